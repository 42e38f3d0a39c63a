#include "almondridge/gateway/shortagewatch.h"

namespace almondridge::gateway {
namespace {

/**
 * Demand, as a share of the engines, from which on a shortage is near. A crest grows by a third
 * within the second that the reports by account take to be complete.
 */
constexpr double NearUtilization = 0.7;
/** Covers the trough between two bursts that follow each other. */
constexpr Duration HoldTime = millis(3'000);
/** Two rounds of reports by account, and the window of demand that they are taken from. */
constexpr Duration ReportTime = millis(1'500);

} // namespace

void ShortageWatch::observe(double busy, double engines, bool isComplete, TimePoint now)
{
    if (busy > 0 && busy >= NearUtilization * engines) {
        nearSince_ = isNear() ? nearSince_ : now;
        nearUntil_ = now + HoldTime;
    } else if (isComplete && now >= nearUntil_) {
        nearSince_ = {};
    }
}

bool ShortageWatch::areSharesKnown(TimePoint now) const
{
    return isNear() && now >= nearSince_ + ReportTime;
}

} // namespace almondridge::gateway
