#include "engine/weightloader.h"

#include "almondridge/base/log.h"
#include "almondridge/net/httpexchange.h"

#include <atomic>
#include <condition_variable>
#include <thread>

namespace almondridge::standins {
namespace {

constexpr Duration FetchTime = std::chrono::minutes(30);
constexpr Duration ConnectTime = std::chrono::seconds(5);
constexpr Duration RetryAfter = std::chrono::milliseconds(500);
constexpr std::size_t MaxAnswerBytes = 4'096;

net::Request fetchRequest(const WeightFetch &fetch)
{
    net::Request request;
    request.path_ =
        "/weights/" + fetch.name_ + "/" + fetch.version_ + "?bytes=" + std::to_string(fetch.bytes_);
    return request;
}

} // namespace

struct WeightLoader::Running
{
    void run(const net::Address &store, const std::vector<WeightFetch> &fetches);
    bool fetchOnce(const net::Address &store, const WeightFetch &fetch);
    Result<bool> exchange(const net::Address &store, const WeightFetch &fetch);
    void stop();

    std::mutex lock_;
    std::condition_variable changed_;
    net::HttpExchange *exchange_ = nullptr; ///< The one under way, to cut it.
    bool stopping_ = false;
    std::atomic<bool> finished_ = false;
    std::thread thread_;
};

void WeightLoader::Running::run(const net::Address &store, const std::vector<WeightFetch> &fetches)
{
    for (const WeightFetch &fetch : fetches) {
        while (!fetchOnce(store, fetch)) {
            std::unique_lock guard(lock_);
            if (changed_.wait_for(guard, RetryAfter, [&] { return stopping_; })) {
                return;
            }
        }
    }
}

bool WeightLoader::Running::fetchOnce(const net::Address &store, const WeightFetch &fetch)
{
    return tryOr([&] { return exchange(store, fetch); },
                 [&](const Error &error) {
                     logEvent(LogLevel::Warning, "weights.fetch-failed",
                              {{"name", fetch.name_}, {"why", describe(error)}});
                     return false;
                 });
}

Result<bool> WeightLoader::Running::exchange(const net::Address &store, const WeightFetch &fetch)
{
    const TimePoint now = BootClock::now();
    BOOST_LEAF_AUTO(exchange, net::HttpExchange::connect(store, now + ConnectTime));
    {
        const std::lock_guard guard(lock_);
        if (stopping_) {
            return false;
        }
        exchange_ = &exchange;
    }
    const auto forget = [&] {
        const std::lock_guard guard(lock_);
        exchange_ = nullptr;
    };
    const auto answered = capture([&]() -> Result<int> {
        BOOST_LEAF_CHECK(exchange.send(fetchRequest(fetch), now + ConnectTime));
        BOOST_LEAF_AUTO(head, exchange.readHead(now + FetchTime));
        BOOST_LEAF_CHECK(exchange.readRest(now + FetchTime, MaxAnswerBytes));
        return head.status_;
    });
    forget();
    if (const Error *const error = std::get_if<Error>(&answered)) {
        return fail(*error);
    }
    constexpr int Ok = 200;
    return std::get<int>(answered) == Ok;
}

void WeightLoader::Running::stop()
{
    {
        const std::lock_guard guard(lock_);
        stopping_ = true;
        if (exchange_ != nullptr) {
            exchange_->shutdown();
        }
    }
    changed_.notify_all();
    if (thread_.joinable()) {
        thread_.join();
    }
}

WeightLoader::WeightLoader(std::optional<net::Address> store)
    : store_(std::move(store))
{ }

WeightLoader::~WeightLoader()
{
    const std::lock_guard guard(lock_);
    for (const auto &running : running_) {
        running->stop();
    }
}

void WeightLoader::load(std::vector<WeightFetch> fetches, std::function<void()> loaded)
{
    if (!store_ || fetches.empty()) {
        loaded();
        return;
    }
    const std::lock_guard guard(lock_);
    running_.remove_if([](const auto &running) {
        if (running->finished_) {
            running->stop();
        }
        return running->finished_.load();
    });
    Running &running = *running_.emplace_back(std::make_unique<Running>());
    running.thread_ = std::thread(
        [&running, store = *store_, fetches = std::move(fetches), loaded = std::move(loaded)] {
            running.run(store, fetches);
            loaded();
            running.finished_ = true;
        });
}

} // namespace almondridge::standins
