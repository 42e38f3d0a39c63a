/**
 * Estimates how well load reports predict the wait of a request: the part of a report's excess over
 * the typical load that dispatches of this instance then observed. It has to be estimated at run
 * time, because it falls with the age of reports and with every other instance that acts on them.
 */
#pragma once

#include "endpointload.h"

namespace almondridge::routing {

/** Regression of observed on reported excess waiting times. */
class ReportReliability
{
public:
    /** The part of a report's excess to use in estimates, 0 to 1; 0: reports predict nothing. */
    double weight() const;
    void observe(const ReportOutcome &outcome);

private:
    double products_ = 0; ///< Decayed sum of reported times observed seconds.
    double squares_ = 0;  ///< Decayed sum of squared reported seconds.
};

} // namespace almondridge::routing
