#include "reportchange.h"

#include <algorithm>
#include <cstdlib>

namespace almondridge::gateway {
namespace {

/**
 * Changes that are worth a report: tokens at one engine, and requests at all decode engines
 * together.
 */
struct ChangeThresholds
{
    std::int64_t tokens_;
    int slots_;
};
constexpr ChangeThresholds SmallFleetThresholds {2'000, 3};
constexpr ChangeThresholds LargeFleetThresholds {500, 1};
/** One failure that peers do not know of yet. */
constexpr double MinFailureGrowth = 0.9;

template <typename Map>
bool hasNewFailures(const Map &now, const Map &before)
{
    return std::any_of(now.begin(), now.end(), [&](const auto &entry) {
        const auto found = before.find(entry.first);
        const double previous = found != before.end() ? found->second : 0;
        return entry.second - previous >= MinFailureGrowth;
    });
}

template <typename Map>
std::int64_t largestChange(const Map &now, const Map &before)
{
    std::int64_t largest = 0;
    for (const auto &[id, value] : now) {
        const auto found = before.find(id);
        const std::int64_t previous = found != before.end() ? found->second.all() : 0;
        largest = std::max<std::int64_t>(largest, std::abs(value.all() - previous));
    }
    return largest;
}

template <typename Map>
std::int64_t totalChange(const Map &now, const Map &before)
{
    std::int64_t sum = 0;
    for (const auto &[id, value] : now) {
        const auto found = before.find(id);
        const std::int64_t previous = found != before.end() ? found->second.all() : 0;
        sum += std::abs(value.all() - previous);
    }
    return sum;
}

} // namespace

bool isSignificantChange(const LoadReport &report, const LoadReport &last, FleetSize size)
{
    if (report.canLead_ != last.canLead_ || report.isLeader_ != last.isLeader_
        || report.unreached_ != last.unreached_
        || hasNewFailures(report.failures_, last.failures_)) {
        return true;
    }
    const ChangeThresholds &thresholds =
        size == FleetSize::Small ? SmallFleetThresholds : LargeFleetThresholds;
    const std::int64_t tokens = std::max(largestChange(report.queued_, last.queued_),
                                         largestChange(last.queued_, report.queued_));
    const std::int64_t slots = std::max(totalChange(report.slotUse_, last.slotUse_),
                                        totalChange(last.slotUse_, report.slotUse_));
    return tokens >= thresholds.tokens_ || slots >= thresholds.slots_;
}

} // namespace almondridge::gateway
