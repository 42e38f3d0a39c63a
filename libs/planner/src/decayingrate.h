/**
 * An exponentially weighted moving average of a rate, updated without a timer.
 */
#pragma once

#include "almondridge/base/time.h"

#include <optional>

namespace almondridge::planner {

/** Average amount per second over an exponential window. */
class DecayingRate
{
public:
    explicit DecayingRate(Duration window);

    /** Adds the amount since the last call. The first call only starts the first interval. */
    void add(double amount, TimePoint now);
    /** Amount per second over the window, or over the time since the start if that is shorter. */
    double perSecond() const noexcept;
    /** When the first interval began. */
    std::optional<TimePoint> started() const noexcept { return started_; }

private:
    double windowSeconds_;
    std::optional<TimePoint> started_;
    TimePoint updated_ {};
    double pending_ = 0; ///< Added at the time of the last update, not yet in value_.
    double value_ = 0;
    double weight_ = 0; ///< Sum of the weights in value_; below 1 while the window fills.
};

} // namespace almondridge::planner
