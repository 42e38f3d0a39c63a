#include "reportreliability.h"

#include <algorithm>

namespace almondridge::routing {
namespace {

/** Decay per outcome; about the last 100 outcomes count. */
constexpr double OutcomeDecay = 0.99;
/** Prior of the regression; dominates until reports have differed from the typical load. */
constexpr double PriorSquares = 0.01;
constexpr double PriorSlope = 0.5;
/**
 * All instances read the same reports. The slope that is best for a single instance overshoots if
 * all apply it, and more so the older the report is.
 */
constexpr double SharedReportFactor = 0.5;
/** Bounds outliers, so that one extreme report or first token does not dominate. */
constexpr double MaxSeconds = 2;

} // namespace

double ReportReliability::weight() const
{
    const double slope = (products_ + PriorSquares * PriorSlope) / (squares_ + PriorSquares);
    const double bounded = std::clamp(slope, 0.0, 1.0);
    return SharedReportFactor * bounded * bounded;
}

void ReportReliability::observe(const ReportOutcome &outcome)
{
    const double reported = std::clamp(outcome.reportedExcessSeconds_, -MaxSeconds, MaxSeconds);
    const double observed = std::clamp(outcome.observedExcessSeconds_, -MaxSeconds, MaxSeconds);
    products_ = products_ * OutcomeDecay + reported * observed;
    squares_ = squares_ * OutcomeDecay + reported * reported;
}

} // namespace almondridge::routing
