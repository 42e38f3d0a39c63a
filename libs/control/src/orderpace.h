/**
 * Intervals and limits of checks and orders.
 */
#pragma once

#include "almondridge/base/time.h"

#include <algorithm>

namespace almondridge::control {

/** Interval between two checks of an endpoint with a change in progress. */
inline constexpr Duration MinCheckInterval = millis(100);
/** Minimum interval between two checks of an engine that is in its target state. */
inline constexpr Duration MinSteadyCheckInterval = millis(1'000);
/**
 * Limit for all engines of a domain that are in their target state. One read takes about 1 KB on
 * the wire, and control may use 2 KB/s.
 */
inline constexpr std::int64_t SteadyReadsPerSecond = 2;
/** An engine that was unreadable for this long counts as broken, not as away for a change. */
inline constexpr Duration AwayGrace = millis(30'000);
/** An engine also counts as broken after this many consecutive failed orders. */
inline constexpr int MaxConsecutiveFailedOrders = 3;
/** Wait after a record that the log did not accept. */
inline constexpr Duration RecordRetryDelay = millis(1'000);
/** How long the weight store's status is used before it is read again. */
inline constexpr Duration StoreStatusInterval = millis(1'000);
/** Concurrent loads are limited so that each one takes at most this long at the store's rate. */
inline constexpr double TargetLoadSeconds = 120;

inline constexpr Duration FirstBackoff = millis(200);
inline constexpr int MaxBackoffDoublings = 6;

/** Exponential backoff, starting with FirstBackoff; zero without failures. */
constexpr Duration orderBackoff(int failures) noexcept
{
    if (failures == 0) {
        return {};
    }
    return FirstBackoff * (1LL << std::min(failures - 1, MaxBackoffDoublings));
}

} // namespace almondridge::control
