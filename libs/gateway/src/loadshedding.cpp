#include "almondridge/gateway/loadshedding.h"

#include <algorithm>
#include <cmath>

namespace almondridge::gateway {
namespace {

/**
 * How long callers wait for a first event: two seconds, four times the route's objective or eight
 * times its longest pause, whichever is longest. They leave then.
 */
constexpr std::int64_t LeastPatienceMillis = 2'000;
constexpr std::int64_t PatientObjectives = 4;
constexpr std::int64_t PatientGaps = 8;
/** An estimate is off by some tenths: only a caller that is surely too late is refused. */
constexpr double SureAt = 1.3;
/** When a caller that came too late is asked to return: once the excess has been read. */
constexpr double ShortestReturnMillis = 200;
constexpr double LongestReturnMillis = 1'000;

} // namespace

TimePoint expectedAbandonTime(const Route &route, TimePoint askedAt, TimePoint deadline)
{
    const std::int64_t patience =
        std::max({LeastPatienceMillis, PatientObjectives * route.objectiveMillis_,
                  PatientGaps * route.gapObjectiveMillis_});
    return std::min(askedAt + millis(patience), deadline);
}

std::optional<std::int64_t> shedRetryAfterMillis(double prefillMillis, TimePoint leavesAt, TimePoint now)
{
    const auto left = static_cast<double>(toMillis(leavesAt - now));
    if (prefillMillis <= SureAt * left) {
        return std::nullopt;
    }
    return std::llround(std::clamp(prefillMillis - left, ShortestReturnMillis, LongestReturnMillis));
}

} // namespace almondridge::gateway
