#include "almondridge/gateway/leaderstate.h"

#include <algorithm>

namespace almondridge::gateway {

Authority::Authority(AuthoritySettings settings, TimePoint startedAt)
    : settings_(settings)
    , mayHaveActedUntil_(startedAt)
{ }

Duration Authority::takeOverWait() const
{
    return millis(settings_.termMillis_ + settings_.renewMillis_ + settings_.marginMillis_);
}

TimePoint Authority::firstOrderAt(TimePoint now) const
{
    return settings_.fencesAreChecked_ ? std::max(now, mayHaveActedUntil_ + takeOverWait())
                                       : now + takeOverWait();
}

void Authority::onNamed(bool named, TimePoint askedAt, TimePoint now)
{
    const bool lapsed = namedUntil_ <= now;
    if (!named || lapsed) {
        // Whoever was named in between may have given orders: begin anew, with a higher fence.
        if (fence_) {
            mayHaveActedUntil_ = std::min(now, namedUntil_);
        }
        fence_.reset();
    }
    named_ = named;
    namedUntil_ =
        named ? askedAt + millis(settings_.termMillis_ - settings_.marginMillis_) : TimePoint {};
}

bool Authority::needsFence(TimePoint now) const
{
    return named_ && namedUntil_ > now && !fence_;
}

void Authority::onClaimed(LogOffset offset, TimePoint now)
{
    if (!needsFence(now)) {
        return;
    }
    fence_ = offset + 1;
    // The first claim of all has nobody before it.
    ordersFrom_ = offset == 0 ? now : firstOrderAt(now);
}

void Authority::onOvertaken(TimePoint now)
{
    mayHaveActedUntil_ = now;
    fence_.reset();
    named_ = false;
    namedUntil_ = {};
}

std::optional<OrderRight> Authority::right(TimePoint now) const
{
    if (!named_ || !fence_ || namedUntil_ <= now || ordersFrom_ > now) {
        return std::nullopt;
    }
    return OrderRight {*fence_, namedUntil_};
}

} // namespace almondridge::gateway
