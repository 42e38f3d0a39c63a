/**
 * Plans the roles of one model's engines in one failure domain.
 */
#pragma once

#include "capacity.h"
#include "demandphase.h"
#include "rolesearch.h"

#include <optional>
#include <string>
#include <vector>

namespace almondridge::planner {

/** Role changes for one model, or the reason why there are none. */
struct Proposal
{
    std::vector<RoleChange> changes_;
    std::string declined_;
    bool fixesBounds_ = false; ///< The changes reduce violations of the configured bounds.
    double net_ = 0;           ///< Gain minus cost, in seconds of the whole demand.
};

/** Time, policy and bounds of one planning round. */
struct PlanConstraints
{
    TimePoint now_ {};
    Duration roleChangeDuration_ {};
    TimePoint lastChangeBefore_ {}; ///< Engines changed after this must keep their roles.
    double roleChangeWeight_ = 1;
    fleet::RoleBounds bounds_;
};

/** Demand, rates and planning for one model. */
class ModelPlan
{
public:
    ModelPlan(Duration fastWindow, Duration slowWindow, const Tuning &tuning);

    void onDemand(const Demand &demand, TimePoint now);
    RoleRateTable &rates() noexcept { return rates_; }
    TimePoint lastDemand() const noexcept { return lastDemand_; }
    /** Whether demand has been observed for long enough to plan for it. */
    bool warmedUp(TimePoint now) const;

    /** Proposes the most valuable role changes. */
    Proposal propose(const std::vector<EngineView> &engines,
                     const PlanConstraints &constraints) const;

private:
    SearchProblem searchProblem(const std::vector<EngineView> &engines,
                                const PlanConstraints &constraints) const;
    std::string formatReason(const Assignment &current, const Assignment &target,
                             const SearchProblem &problem) const;

    Duration fastWindow_;
    double hysteresisSeconds_;
    RoleRateTable rates_;
    DemandPhaseDetector phase_;
    std::optional<TimePoint> firstDemand_;
    TimePoint lastDemand_ {};
};

} // namespace almondridge::planner
