#include "reportreliability.h"

#include <algorithm>

namespace almondridge::routing {
namespace {

/** Weight of all earlier outcomes when the next one arrives: some 100 of them count. */
constexpr double OutcomeFade = 0.99;
/** Holds the share at its start until reports have differed from the typical load. */
constexpr double PriorSquares = 0.01;
constexpr double PriorSlope = 0.5;
/**
 * Every entry reads the same report. What is best for one entry that trusts it is too much when
 * all do, and the more so the older it is.
 */
constexpr double CommonKnowledge = 0.5;
/** One report or first token that is far off must not outweigh all the others. */
constexpr double MostSeconds = 2;

} // namespace

double ReportReliability::share() const
{
    const double slope = (products_ + PriorSquares * PriorSlope) / (squares_ + PriorSquares);
    const double bounded = std::clamp(slope, 0.0, 1.0);
    return CommonKnowledge * bounded * bounded;
}

void ReportReliability::observe(const ReportOutcome &outcome)
{
    const double reported = std::clamp(outcome.reportedSeconds_, -MostSeconds, MostSeconds);
    const double observed = std::clamp(outcome.observedSeconds_, -MostSeconds, MostSeconds);
    products_ = products_ * OutcomeFade + reported * observed;
    squares_ = squares_ * OutcomeFade + reported * reported;
}

} // namespace almondridge::routing
