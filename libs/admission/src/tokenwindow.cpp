#include "tokenwindow.h"

#include <algorithm>

namespace almondridge::admission {
namespace {

/** A lower limit would stop a fleet that is merely slow. */
constexpr std::int64_t MinLimit = 4'000;
constexpr double CutFactor = 0.85;
/** Single late first tokens are due to long prompts; in an overload most are late. */
constexpr double LateShareThreshold = 0.25;
constexpr double LateDecay = 0.95;
/** A window's worth of tokens whose first tokens were in time grows the limit by this part. */
constexpr double GrowthFactor = 0.05;
/** The window grows only if at least this part is used; otherwise the limit was not tested. */
constexpr double MinUtilization = 0.7;

} // namespace

bool TokenWindow::fits(std::int64_t tokens) const
{
    // A request larger than the window is admitted alone; otherwise it would never run.
    return outstanding_ == 0 || outstanding_ + tokens <= limit_;
}

void TokenWindow::onFirstToken(std::int64_t tokens, bool late, TimePoint admittedAt, TimePoint now)
{
    lateShare_ = lateShare_ * LateDecay + (late ? 1 - LateDecay : 0);
    if (late) {
        // Requests admitted before the last cut were delayed by the overload that caused that cut.
        // Cutting again for each of them would close the window after a single overload.
        if (lateShare_ >= LateShareThreshold && admittedAt > lastCut_) {
            const double kept = static_cast<double>(std::min(outstanding_, limit_)) * CutFactor;
            limit_ = std::max(static_cast<std::int64_t>(kept), MinLimit);
            lastCut_ = now;
        }
        return;
    }
    if (static_cast<double>(outstanding_) >= static_cast<double>(limit_) * MinUtilization) {
        limit_ += static_cast<std::int64_t>(static_cast<double>(tokens) * GrowthFactor) + 1;
    }
}

} // namespace almondridge::admission
