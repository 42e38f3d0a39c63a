/**
 * The largest of the recent values of a number. No I/O and no clock.
 */
#pragma once

#include "almondridge/base/time.h"

#include <algorithm>
#include <optional>

namespace almondridge::gateway {

/** A value counts for one to two periods after it was added last. */
class RecentMaximum
{
public:
    explicit RecentMaximum(Duration period)
        : period_(period)
    { }

    void add(int value, TimePoint now)
    {
        if (now >= endsAt_) {
            before_ = now < endsAt_ + period_ ? current_ : std::nullopt;
            current_.reset();
            endsAt_ = now + period_;
        }
        current_ = std::max(current_.value_or(value), value);
    }

    /** nullopt: no value was added yet. */
    std::optional<int> at(TimePoint now) const
    {
        return now < endsAt_ ? std::max(current_, before_) : current_;
    }

private:
    Duration period_;
    TimePoint endsAt_ {}; ///< Of the current period.
    std::optional<int> current_;
    std::optional<int> before_; ///< Of the period before.
};

} // namespace almondridge::gateway
