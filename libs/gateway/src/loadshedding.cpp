#include "almondridge/gateway/loadshedding.h"

#include <algorithm>
#include <cmath>

namespace almondridge::gateway {
namespace {

/**
 * Callers are assumed to wait for a first event for two seconds, four times the route's objective
 * or eight times its objective for the gap between events, whichever is longest.
 */
constexpr std::int64_t MinAbandonMillis = 2'000;
constexpr std::int64_t AbandonObjectives = 4;
constexpr std::int64_t AbandonGaps = 8;
/** Estimates are off by some tenths: only a request that is surely too late is rejected. */
constexpr double EstimateErrorFactor = 1.3;
/** Limits of the retry delay, which is the time until the excess is prefilled. */
constexpr double MinRetryAfterMillis = 200;
constexpr double MaxRetryAfterMillis = 1'000;

} // namespace

TimePoint expectedAbandonTime(const Route &route, TimePoint requestedAt, TimePoint deadline)
{
    const std::int64_t abandonMillis =
        std::max({MinAbandonMillis, AbandonObjectives * route.objectiveMillis_,
                  AbandonGaps * route.gapObjectiveMillis_});
    return std::min(requestedAt + millis(abandonMillis), deadline);
}

std::optional<std::int64_t> shedRetryAfterMillis(double prefillMillis, TimePoint abandonAt,
                                                 TimePoint now)
{
    const auto remainingMillis = static_cast<double>(toMillis(abandonAt - now));
    if (prefillMillis <= EstimateErrorFactor * remainingMillis) {
        return std::nullopt;
    }
    return std::llround(
        std::clamp(prefillMillis - remainingMillis, MinRetryAfterMillis, MaxRetryAfterMillis));
}

} // namespace almondridge::gateway
