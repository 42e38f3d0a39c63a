#include "modelplan.h"

#include <algorithm>
#include <fmt/format.h>
#include <iterator>

namespace almondridge::planner {
namespace {

using fleet::EngineRole;

/** Fast windows before planning starts, since a single window is too noisy. */
constexpr int WarmupFastWindows = 2;

bool movable(const EngineView &engine, const PlanConstraints &constraints)
{
    return engine.available_ && engine.lastChange_ <= constraints.lastChangeBefore_;
}

/** Movable engines of a role, sorted so that the one unchanged for longest is last. */
std::vector<EndpointId> movableEngines(const std::vector<EngineView> &engines, EngineRole role,
                                       const PlanConstraints &constraints)
{
    std::vector<EngineView> candidates;
    std::copy_if(engines.begin(), engines.end(), std::back_inserter(candidates),
                 [&](const EngineView &engine) {
                     return engine.role_ == role && movable(engine, constraints);
                 });
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](const EngineView &left, const EngineView &right) {
                         return left.lastChange_ > right.lastChange_;
                     });
    std::vector<EndpointId> ids;
    ids.reserve(candidates.size());
    for (const EngineView &engine : candidates) {
        ids.push_back(engine.engine_);
    }
    return ids;
}

} // namespace

ModelPlan::ModelPlan(Duration fastWindow, Duration slowWindow, const Tuning &tuning)
    : fastWindow_(fastWindow)
    , hysteresisSeconds_(tuning.hysteresisSeconds_)
    , rates_(tuning)
    , phase_({fastWindow, slowWindow, tuning})
{ }

void ModelPlan::onDemand(const Demand &demand, TimePoint now)
{
    phase_.observe({demand.prefillTokens_, demand.decodeTokens_}, rates_, now);
    firstDemand_ = firstDemand_.value_or(now);
    lastDemand_ = now;
}

bool ModelPlan::warmedUp(TimePoint now) const
{
    return firstDemand_ && now - *firstDemand_ >= WarmupFastWindows * fastWindow_;
}

SearchProblem ModelPlan::searchProblem(const std::vector<EngineView> &engines,
                                       const PlanConstraints &constraints) const
{
    SearchProblem problem;
    int total = 0;
    for (const EngineView &engine : engines) {
        problem.counts_[indexOf(engine.role_)] += engine.available_ ? 1 : 0;
        problem.movable_[indexOf(engine.role_)] += movable(engine, constraints) ? 1 : 0;
        total += engine.available_ ? 1 : 0;
    }
    const double lostSeconds = toSeconds(constraints.roleChangeDuration_) / std::max(total, 1);
    problem.bounds_ = constraints.bounds_;
    problem.demand_ = phase_.demand();
    problem.horizonSeconds_ = toSeconds(phase_.expectedRemaining(constraints.now_));
    problem.changeCost_ = constraints.roleChangeWeight_ * lostSeconds + hysteresisSeconds_;
    return problem;
}

Proposal ModelPlan::propose(const std::vector<EngineView> &engines,
                            const PlanConstraints &constraints) const
{
    const SearchProblem problem = searchProblem(engines, constraints);
    const Assignment current = currentAssignment(rates_, problem);
    const Assignment target = bestAssignment(rates_, problem);
    const std::string reason = formatReason(current, target, problem);
    Proposal proposal;
    proposal.fixesBounds_ = target.boundViolations_ < current.boundViolations_;
    proposal.net_ = target.net();
    if (target.movedEngines_ == 0) {
        proposal.declined_ = "rule=gain-below-cost " + reason;
        return proposal;
    }
    const char *rule = proposal.fixesBounds_ ? "rule=bounds " : "rule=goodput ";
    std::array<std::vector<EndpointId>, NumRoles> movableByRole;
    for (const EngineRole role : {EngineRole::Prefill, EngineRole::Decode, EngineRole::Mixed}) {
        movableByRole[indexOf(role)] = movableEngines(engines, role, constraints);
    }
    for (const RoleMove &move : movesBetween(problem.counts_, target.counts_)) {
        for (int index = 0; index < move.engines_; ++index) {
            // Each engine is removed from the list, so that no engine is in two moves.
            std::vector<EndpointId> &movable = movableByRole[indexOf(move.from_)];
            proposal.changes_.push_back({movable.back(), move.from_, move.to_, rule + reason});
            movable.pop_back();
        }
    }
    return proposal;
}

std::string ModelPlan::formatReason(const Assignment &current, const Assignment &target,
                                    const SearchProblem &problem) const
{
    return fmt::format("gain_s={:.2f} cost_s={:.2f} served={:.2f} then={:.2f} horizon_s={:.0f} "
                       "engines={}/{}/{} target={}/{}/{} prefill_phase={:.0f} decode_phase={:.0f} "
                       "prefill_fast={:.0f} decode_fast={:.0f}",
                       target.gain_, target.cost_, current.servedShare(), target.servedShare(),
                       problem.horizonSeconds_, current.counts_[0], current.counts_[1],
                       current.counts_[2], target.counts_[0], target.counts_[1], target.counts_[2],
                       problem.demand_.prefill_, problem.demand_.decode_,
                       phase_.fastDemand().prefill_, phase_.fastDemand().decode_);
}

} // namespace almondridge::planner
