/**
 * One call to a plain service that may not run twice.
 */
#pragma once

#include "load/entryclient.h"

namespace almondridge::standins {

/** Runs once, on one thread. */
class ServiceCall
{
public:
    ServiceCall(const EntryClient &client, const PlannedCall &call, TimePoint planned);

    CallResult run();

private:
    net::Request request(int attempt) const;
    CallOutcome ask(std::size_t entry, int attempt);
    Result<CallOutcome> exchange(std::size_t entry, int attempt);
    /** Takes the outcome of a repetition into account. */
    void combine(CallOutcome latest);

    const EntryClient &client_;
    const PlannedCall &call_;
    TimePoint planned_;
    TimePoint patienceEnds_;
    std::int64_t plannedWallMillis_;
    std::size_t entry_ = 0;
    CallResult result_;
};

} // namespace almondridge::standins
