/**
 * The plan of one model's engines in one failure domain: demand, windows and the best change.
 */
#pragma once

#include "capacity.h"
#include "demandphase.h"
#include "rolesearch.h"

#include <optional>
#include <string>
#include <vector>

namespace almondridge::planner {

/** Changes that are worth starting, the most pressing first, or why there are none. */
struct Proposal
{
    std::vector<RoleChange> changes_;
    std::string declined_;
    bool forBounds_ = false; ///< The roles break the bounds of the fleet file.
    double net_ = 0;         ///< Worth less cost, in seconds of the whole demand.
};

/** What plan() is asked under. */
struct PlanTerms
{
    TimePoint now_ {};
    Duration away_ {};
    TimePoint settledBefore_ {}; ///< Engines changed after this must stay as they are.
    double weight_ = 1;
    fleet::RoleBounds bounds_;
};

class ModelPlan
{
public:
    ModelPlan(Duration fastWindow, Duration slowWindow, const Tuning &tuning);

    void onDemand(const Demand &demand, TimePoint now);
    RoleRateTable &rates() noexcept { return rates_; }
    TimePoint lastDemand() const noexcept { return lastDemand_; }
    /** Whether demand has been seen for long enough to judge it. */
    bool warm(TimePoint now) const;

    Proposal propose(const std::vector<EngineView> &engines, const PlanTerms &terms) const;

private:
    SearchTerms searchTerms(const std::vector<EngineView> &engines, const PlanTerms &terms) const;
    std::string reasonOf(const Assignment &present, const Assignment &target,
                         const SearchTerms &search) const;

    Duration fastWindow_;
    double hysteresisSeconds_;
    RoleRateTable rates_;
    MixPhase phase_;
    std::optional<TimePoint> firstDemand_;
    TimePoint lastDemand_ {};
};

} // namespace almondridge::planner
