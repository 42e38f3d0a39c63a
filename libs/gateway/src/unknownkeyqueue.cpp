#include "unknownkeyqueue.h"

#include <utility>

namespace almondridge::gateway {
namespace {

/** News take less than this from the store to any instance, over a reader of its domain. */
constexpr Duration LongestWait = millis(400);
/** More have no use of waiting: false keys come in floods, new ones do not. */
constexpr std::size_t MostWaiting = 64;

} // namespace

bool WaitingKeys::mayWait(const async::ServerCall &request, TimePoint now) const
{
    return waiting_.size() < MostWaiting && now < request.startedAt_ + LongestWait;
}

void WaitingKeys::add(async::ServerCall request, const Credentials &credentials, TimePoint now)
{
    const TimePoint until = request.startedAt_ + LongestWait;
    waiting_.push_back({std::move(request), credentials, now, until});
}

void WaitingKeys::forget(const async::CallId &id)
{
    std::erase_if(waiting_, [&](const WaitingKey &one) { return one.request_.id_ == id; });
}

std::deque<WaitingKey> WaitingKeys::takeAll()
{
    return std::exchange(waiting_, {});
}

std::deque<WaitingKey> WaitingKeys::takeSettled(std::optional<TimePoint> asOf, TimePoint now)
{
    std::deque<WaitingKey> settled;
    while (!waiting_.empty()) {
        const WaitingKey &first = waiting_.front();
        const bool known = asOf && *asOf >= first.arrivedAt_;
        if (!known && first.until_ > now) {
            break;
        }
        settled.push_back(std::move(waiting_.front()));
        waiting_.pop_front();
    }
    return settled;
}

std::optional<TimePoint> WaitingKeys::nextDue() const
{
    return waiting_.empty() ? std::nullopt : std::optional(waiting_.front().until_);
}

} // namespace almondridge::gateway
