#include "almondridge/gateway/authority.h"

namespace almondridge::gateway {

Authority::Authority(AuthoritySettings settings)
    : settings_(settings)
{ }

Duration Authority::takeOverWait() const
{
    return millis(settings_.termMillis_ + settings_.renewMillis_ + settings_.marginMillis_);
}

void Authority::onNamed(bool named, TimePoint askedAt, TimePoint now)
{
    const bool lapsed = namedUntil_ <= now;
    if (!named || lapsed) {
        // Whoever was named in between may have given orders: begin anew, with a higher fence.
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
    ordersFrom_ = offset == 0 ? now : now + takeOverWait();
}

void Authority::onOvertaken(TimePoint)
{
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
