/**
 * How far reports may be believed: the part of a report's excess over the typical load that own
 * dispatches then met. It is learnt, since it falls with the lag and with every other entry that
 * acts on the same report.
 */
#pragma once

#include "endpointload.h"

namespace almondridge::routing {

class ReportReliability
{
public:
    /** The part of a report's excess to count on; 0: it says nothing about what is met. */
    double share() const;
    void observe(const ReportOutcome &outcome);

private:
    double products_ = 0; ///< Of reported and observed seconds.
    double squares_ = 0;  ///< Of reported seconds.
};

} // namespace almondridge::routing
