/**
 * Rate limit and backoff of appends. Time and random numbers are passed in. Private to the
 * library.
 */
#pragma once

#include "almondridge/base/time.h"

#include <algorithm>

namespace almondridge::control {

/** A token bucket, stored as the time at which it is full again. */
class AppendBudget
{
public:
    AppendBudget(std::int64_t perSecond, std::int64_t burst)
        : interval_(Duration(std::chrono::seconds(1)) / std::max<std::int64_t>(perSecond, 1))
        , tolerance_(interval_ * (std::max<std::int64_t>(burst, 1) - 1))
    { }

    /** The time from which the next append may be sent. */
    TimePoint allowedAt() const noexcept { return fullAt_ - tolerance_; }
    void spend(TimePoint now) noexcept { fullAt_ = std::max(fullAt_, now) + interval_; }

private:
    const Duration interval_;
    const Duration tolerance_;
    TimePoint fullAt_ {};
};

/** Exponential backoff with jitter: waits 50 to 100 % of a delay that doubles up to a limit. */
class Backoff
{
public:
    Backoff(std::int64_t firstMillis, std::int64_t lastMillis)
        : first_(millis(firstMillis))
        , last_(millis(lastMillis))
        , wait_(first_)
    { }

    /** Returns the time of the next attempt; random is in [0, 1). */
    TimePoint onFailure(TimePoint now, double random) noexcept
    {
        const auto drawn = std::chrono::duration_cast<Duration>(wait_ * (0.5 + 0.5 * random));
        wait_ = std::min(2 * wait_, last_);
        return now + drawn;
    }
    void onSuccess() noexcept { wait_ = first_; }

private:
    const Duration first_;
    const Duration last_;
    Duration wait_;
};

} // namespace almondridge::control
