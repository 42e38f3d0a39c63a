#include "unknownkeyqueue.h"

#include <utility>

namespace almondridge::gateway {
namespace {

/** An update reaches any instance from the store, over a reader in its failure domain, in less. */
constexpr Duration MaxWait = millis(400);
/** More requests than this are a flood of invalid keys rather than callers with new keys. */
constexpr std::size_t MaxQueued = 64;

} // namespace

bool UnknownKeyQueue::canQueue(const async::ServerCall &request, TimePoint now) const
{
    return queue_.size() < MaxQueued && now < request.startedAt_ + MaxWait;
}

void UnknownKeyQueue::add(async::ServerCall request, const Credentials &credentials, TimePoint now)
{
    const TimePoint until = request.startedAt_ + MaxWait;
    queue_.push_back({std::move(request), credentials, now, until});
}

void UnknownKeyQueue::remove(const async::CallId &id)
{
    std::erase_if(queue_, [&](const QueuedRequest &one) { return one.request_.id_ == id; });
}

std::deque<QueuedRequest> UnknownKeyQueue::takeAll()
{
    return std::exchange(queue_, {});
}

std::deque<QueuedRequest> UnknownKeyQueue::takeResolved(std::optional<TimePoint> asOf,
                                                        TimePoint now)
{
    std::deque<QueuedRequest> resolved;
    while (!queue_.empty()) {
        const QueuedRequest &first = queue_.front();
        const bool isConfirmed = asOf && *asOf >= first.arrivedAt_;
        if (!isConfirmed && first.until_ > now) {
            break;
        }
        resolved.push_back(std::move(queue_.front()));
        queue_.pop_front();
    }
    return resolved;
}

std::optional<TimePoint> UnknownKeyQueue::nextDeadline() const
{
    return queue_.empty() ? std::nullopt : std::optional(queue_.front().until_);
}

} // namespace almondridge::gateway
