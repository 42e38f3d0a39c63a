#include "almondridge/gateway/leaderstate.h"

#include <algorithm>

namespace almondridge::gateway {

LeaderState::LeaderState(LeaderLeaseSettings settings, TimePoint startedAt)
    : settings_(settings)
    , lastLeaseEnd_(startedAt)
{ }

Duration LeaderState::takeoverWait() const
{
    return millis(settings_.termMillis_ + settings_.renewMillis_ + settings_.marginMillis_);
}

TimePoint LeaderState::firstOrderAt(TimePoint now) const
{
    return settings_.fencesAreChecked_ ? std::max(now, lastLeaseEnd_ + takeoverWait())
                                       : now + takeoverWait();
}

void LeaderState::onLeaderReply(bool isNamed, TimePoint askedAt, TimePoint now)
{
    const bool hasExpired = leaseUntil_ <= now;
    if (!isNamed || hasExpired) {
        // Another leader may have given orders in between, so a higher fencing number is needed.
        if (fence_) {
            lastLeaseEnd_ = std::min(now, leaseUntil_);
        }
        fence_.reset();
    }
    named_ = isNamed;
    leaseUntil_ =
        isNamed ? askedAt + millis(settings_.termMillis_ - settings_.marginMillis_) : TimePoint {};
}

bool LeaderState::needsFence(TimePoint now) const
{
    return named_ && leaseUntil_ > now && !fence_;
}

void LeaderState::onFenceClaimed(const FenceClaim &claim, TimePoint now)
{
    if (!needsFence(now)) {
        return;
    }
    fence_ = claim.offset_ + 1;
    ordersAllowedAt_ = claim.isFirst_ ? now : firstOrderAt(now);
}

void LeaderState::onHigherFenceSeen(TimePoint now)
{
    lastLeaseEnd_ = now;
    fence_.reset();
    named_ = false;
    leaseUntil_ = {};
}

std::optional<LeaderLease> LeaderState::lease(TimePoint now) const
{
    if (!named_ || !fence_ || leaseUntil_ <= now || ordersAllowedAt_ > now) {
        return std::nullopt;
    }
    return LeaderLease {*fence_, leaseUntil_};
}

} // namespace almondridge::gateway
