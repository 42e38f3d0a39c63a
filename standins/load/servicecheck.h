/**
 * Compares what callers were told of service calls with what the services ran.
 */
#pragma once

#include "common/fieldtable.h"
#include "load/callresult.h"

#include <map>

namespace almondridge::standins {

/** What the callers of one service call were told. */
struct ServiceClaim
{
    CallOutcome outcome_ = CallOutcome::Lost;
    bool notRunAfterUnknown_ = false;
};

struct ServiceFindings
{
    std::int64_t checked_ = 0;
    std::int64_t ran_ = 0;
    std::int64_t doubled_ = 0;         ///< Ran more than once.
    std::int64_t wronglyNotRun_ = 0;   ///< Said not to have run, but ran.
    std::int64_t wholeWithoutRun_ = 0; ///< Answered whole, but never ran.
    /** Ran, and a repetition after an unknown outcome was refused as not run. */
    std::int64_t notRunAfterUnknown_ = 0;
    std::vector<std::string> examples_ {}; ///< Ids of the first faults.
};

/** How often each call ran, by its id. */
using RunsById = std::map<std::string, std::int64_t>;

/** Adds the runs that a service's control shows, by the last piece of each path. */
void addRuns(const Json &control, RunsById &runs);

ServiceFindings checkService(const std::map<std::string, ServiceClaim> &claims,
                             const RunsById &runs);
Json toJson(const ServiceFindings &findings);

} // namespace almondridge::standins
