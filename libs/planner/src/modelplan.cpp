#include "modelplan.h"

#include <algorithm>
#include <fmt/format.h>
#include <iterator>

namespace almondridge::planner {
namespace {

using fleet::EngineRole;

/** Demand is judged after so many fast windows: the first one is as noisy as any. */
constexpr int WarmFastWindows = 2;

bool movable(const EngineView &engine, const PlanTerms &terms)
{
    return engine.available_ && engine.lastChange_ <= terms.settledBefore_;
}

/** Movable engines of a role, the one longest unchanged last. */
std::vector<EndpointId> enginesToMove(const std::vector<EngineView> &engines, EngineRole role,
                                      const PlanTerms &terms)
{
    std::vector<EngineView> fitting;
    std::copy_if(
        engines.begin(), engines.end(), std::back_inserter(fitting),
        [&](const EngineView &engine) { return engine.role_ == role && movable(engine, terms); });
    std::stable_sort(fitting.begin(), fitting.end(),
                     [](const EngineView &left, const EngineView &right) {
                         return left.lastChange_ > right.lastChange_;
                     });
    std::vector<EndpointId> ids;
    ids.reserve(fitting.size());
    for (const EngineView &engine : fitting) {
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

bool ModelPlan::warm(TimePoint now) const
{
    return firstDemand_ && now - *firstDemand_ >= WarmFastWindows * fastWindow_;
}

SearchTerms ModelPlan::searchTerms(const std::vector<EngineView> &engines,
                                   const PlanTerms &terms) const
{
    SearchTerms search;
    int total = 0;
    for (const EngineView &engine : engines) {
        search.counts_[indexOf(engine.role_)] += engine.available_ ? 1 : 0;
        search.movable_[indexOf(engine.role_)] += movable(engine, terms) ? 1 : 0;
        total += engine.available_ ? 1 : 0;
    }
    const double lost = toSeconds(terms.away_) / std::max(total, 1);
    search.bounds_ = terms.bounds_;
    search.demand_ = phase_.demand();
    search.horizonSeconds_ = toSeconds(phase_.likelyToLast(terms.now_));
    search.changeCost_ = terms.weight_ * lost + hysteresisSeconds_;
    return search;
}

Proposal ModelPlan::propose(const std::vector<EngineView> &engines, const PlanTerms &terms) const
{
    const SearchTerms search = searchTerms(engines, terms);
    const Assignment present = presentAssignment(rates_, search);
    const Assignment target = bestAssignment(rates_, search);
    const std::string reason = reasonOf(present, target, search);
    Proposal proposal;
    proposal.forBounds_ = target.outOfBounds_ < present.outOfBounds_;
    proposal.net_ = target.net();
    if (target.moved_ == 0) {
        proposal.declined_ = "rule=gain-below-cost " + reason;
        return proposal;
    }
    const char *rule = proposal.forBounds_ ? "rule=bounds " : "rule=goodput ";
    std::array<std::vector<EndpointId>, RoleTotal> movableByRole;
    for (const EngineRole role : {EngineRole::Prefill, EngineRole::Decode, EngineRole::Mixed}) {
        movableByRole[indexOf(role)] = enginesToMove(engines, role, terms);
    }
    for (const RoleMove &move : movesBetween(search.counts_, target.counts_)) {
        for (int index = 0; index < move.engines_; ++index) {
            // Each engine is taken off its list: one that two moves named would get two orders.
            std::vector<EndpointId> &movable = movableByRole[indexOf(move.from_)];
            proposal.changes_.push_back({movable.back(), move.from_, move.to_, rule + reason});
            movable.pop_back();
        }
    }
    return proposal;
}

std::string ModelPlan::reasonOf(const Assignment &present, const Assignment &target,
                                const SearchTerms &search) const
{
    return fmt::format("gain_s={:.2f} cost_s={:.2f} served={:.2f} then={:.2f} horizon_s={:.0f} "
                       "engines={}/{}/{} target={}/{}/{} prefill_phase={:.0f} decode_phase={:.0f} "
                       "prefill_fast={:.0f} decode_fast={:.0f}",
                       target.gain_, target.cost_, present.served(), target.served(),
                       search.horizonSeconds_, present.counts_[0], present.counts_[1],
                       present.counts_[2], target.counts_[0], target.counts_[1], target.counts_[2],
                       search.demand_.prefill_, search.demand_.decode_,
                       phase_.lastSeconds().prefill_, phase_.lastSeconds().decode_);
}

} // namespace almondridge::planner
