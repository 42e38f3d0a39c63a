#include "canceller.h"

#include "almondridge/base/log.h"
#include "almondridge/net/httpexchange.h"

#include <utility>

namespace almondridge::relay {
namespace {

/** More than one, so that an unresponsive engine does not delay cancels on others. */
constexpr int WorkerCount = 2;
constexpr int MaxSends = 2;
constexpr std::size_t MaxQueuedCancels = 4'096;

} // namespace

Canceller::Canceller(observe::Metrics &metrics, Duration timeout)
    : metrics_(metrics)
    , timeout_(timeout)
{
    for (int index = 0; index < WorkerCount; ++index) {
        workers_.emplace_back([this] { runWorker(); });
    }
}

Canceller::~Canceller()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    wake_.notify_all();
    for (std::thread &worker : workers_) {
        worker.join();
    }
}

void Canceller::cancel(const net::Address &engine, const AttemptId &attempt)
{
    {
        const std::lock_guard lock(mutex_);
        if (queue_.size() >= MaxQueuedCancels) {
            metrics_.count("cancels_dropped_total");
            return;
        }
        queue_.push_back({engine, attempt, 0});
    }
    wake_.notify_one();
}

void Canceller::runWorker()
{
    std::unique_lock lock(mutex_);
    for (;;) {
        wake_.wait(lock, [&] { return stopping_ || !queue_.empty(); });
        if (queue_.empty()) {
            return;
        }
        CancelRequest request = std::move(queue_.front());
        queue_.pop_front();
        lock.unlock();
        const bool sent = send(request);
        lock.lock();
        if (!sent && ++request.sendCount_ < MaxSends && !stopping_) {
            queue_.push_back(std::move(request));
        }
    }
}

bool Canceller::send(const CancelRequest &request)
{
    const TimePoint deadline = BootClock::now() + timeout_;
    const auto status = capture([&]() -> Result<int> {
        BOOST_LEAF_AUTO(exchange, net::HttpExchange::connect(request.engine_, deadline));
        BOOST_LEAF_CHECK(
            exchange.send({"DELETE", "/v1/streams/" + request.attempt_.value(), {}, {}}, deadline));
        BOOST_LEAF_AUTO(head, exchange.readHead(deadline));
        return head.status_;
    });
    if (const Error *error = std::get_if<Error>(&status)) {
        logEvent(LogLevel::Warning, "request.cancel-failed",
                 {{"attempt", request.attempt_.value()}, {"why", error->message_}});
        return false;
    }
    metrics_.count("cancelled_total");
    return true;
}

} // namespace almondridge::relay
