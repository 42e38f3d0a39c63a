/**
 * Notices that this process stood still: a loop that turns several times a second was not run for
 * longer. What it knew of the fleet is then old by the length of the pause, whatever it handles
 * first. Does no I/O and reads no clock.
 */
#pragma once

#include "almondridge/base/time.h"

#include <optional>

namespace almondridge::gateway {

/** Longer than a turn of a loaded loop, and shorter than an endpoint takes to restart. */
inline constexpr Duration ShortestPause = millis(700);

class PauseWatch
{
public:
    /** A turn of the loop, several times within ShortestPause. Pauses are noticed from the first.
     */
    void onTurn(TimePoint now) { lastTurnAt_ = now; }
    /** The length of the pause that ended just now; nullopt: there was none. */
    std::optional<Duration> notice(TimePoint now)
    {
        if (!lastTurnAt_ || now - *lastTurnAt_ < ShortestPause) {
            return std::nullopt;
        }
        const Duration length = now - *lastTurnAt_;
        lastTurnAt_ = now;
        return length;
    }

private:
    std::optional<TimePoint> lastTurnAt_;
};

} // namespace almondridge::gateway
