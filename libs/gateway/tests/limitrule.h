/**
 * The users' rule on limits that endpoints name.
 */
#pragma once

#include "almondridge/base/time.h"

namespace almondridge::gateway::testing {

inline constexpr Duration LimitWindow = millis(4'000);

/** Requests that a limit allows in a window. */
inline int allowedByLimit(double perSecond)
{
    constexpr double Tolerance = 1.5;
    constexpr int Slack = 5;
    return static_cast<int>(Tolerance * perSecond * toSeconds(LimitWindow)) + Slack;
}

} // namespace almondridge::gateway::testing
