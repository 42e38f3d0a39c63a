#include "almondridge/planner/planner.h"

#include "modelplan.h"

#include <algorithm>
#include <fmt/format.h>
#include <limits>
#include <map>

namespace almondridge::planner {
namespace {

/** Demand older than this says nothing about now. */
constexpr Duration DemandStaleAfter = millis(10'000);

/** With fewer engines in service than this share, something other than the mix is wrong. */
constexpr double LeastAvailableShare = 0.5;

/** A change that has not been seen done after so many times its usual length is given up. */
constexpr int GiveUpAfter = 4;

fleet::RoleBounds unbounded()
{
    constexpr int Any = std::numeric_limits<int>::max();
    return {{}, {}, 0, Any, 0, Any};
}

} // namespace

/** An engine whose change was asked for and has not been seen done. */
struct PendingChange
{
    fleet::EngineRole to_ = fleet::EngineRole::Mixed;
    TimePoint givenUpAt_ {};
};

using ViewsByModel = std::map<ModelId, std::vector<EngineView>>;

struct Planner::State
{
    DomainId domain_;
    Duration fastWindow_ {};
    Duration slowWindow_ {};
    Duration away_ {};
    Tuning tuning_;
    std::shared_ptr<const fleet::Fleet> fleet_;
    std::map<ModelId, ModelPlan> models_;
    std::map<EndpointId, PendingChange> pending_;

    ModelPlan &model(const ModelId &id);
    fleet::RoleBounds bounds(const ModelId &model) const;
    PlanTerms terms(const ModelId &model, TimePoint now) const;
    std::string frozen(const ModelId &id, const std::vector<EngineView> &engines,
                       TimePoint now) const;
    void settlePending(const std::vector<EngineView> &engines, TimePoint now);
    int away(const std::vector<EngineView> &engines, TimePoint now) const;
    ViewsByModel byModel(const std::vector<EngineView> &engines, TimePoint now) const;
    Proposal propose(const ModelId &id, const std::vector<EngineView> &engines, TimePoint now);
    Plan take(std::vector<Proposal> proposals, int room, TimePoint now);
};

ModelPlan &Planner::State::model(const ModelId &id)
{
    return models_.try_emplace(id, fastWindow_, slowWindow_, tuning_).first->second;
}

fleet::RoleBounds Planner::State::bounds(const ModelId &model) const
{
    for (const fleet::RoleBounds &bounds : fleet_->roleBounds_) {
        if (bounds.domain_ == domain_ && bounds.model_ == model) {
            return bounds;
        }
    }
    return unbounded();
}

PlanTerms Planner::State::terms(const ModelId &model, TimePoint now) const
{
    const fleet::Policy &policy = fleet_->policy_;
    return {now, away_, now - millis(policy.minimumDwellMillis_), policy.roleChangeWeight_,
            bounds(model)};
}

std::string Planner::State::frozen(const ModelId &id, const std::vector<EngineView> &engines,
                                   TimePoint now) const
{
    const auto known = models_.find(id);
    if (known == models_.end() || !known->second.warm(now)) {
        return "rule=warming";
    }
    if (now - known->second.lastDemand() > DemandStaleAfter) {
        return "rule=stale-demand";
    }
    const auto available = std::count_if(engines.begin(), engines.end(),
                                         [](const EngineView &view) { return view.available_; });
    if (static_cast<double>(available)
        < LeastAvailableShare * static_cast<double>(engines.size())) {
        return fmt::format("rule=engines-unavailable available={} engines={}", available,
                           engines.size());
    }
    return {};
}

void Planner::State::settlePending(const std::vector<EngineView> &engines, TimePoint now)
{
    for (const EngineView &engine : engines) {
        const auto found = pending_.find(engine.engine_);
        if (found != pending_.end() && engine.available_ && engine.role_ == found->second.to_) {
            pending_.erase(found);
        }
    }
    std::erase_if(pending_, [&](const auto &entry) { return entry.second.givenUpAt_ <= now; });
}

int Planner::State::away(const std::vector<EngineView> &engines, TimePoint now) const
{
    auto away = static_cast<int>(pending_.size());
    for (const EngineView &engine : engines) {
        // A change that the holder of the lease before this one began: the engine is away, and
        // this planner has never heard of it.
        const bool changing = !engine.available_ && now - engine.lastChange_ < GiveUpAfter * away_;
        away += changing && !pending_.contains(engine.engine_) ? 1 : 0;
    }
    return away;
}

ViewsByModel Planner::State::byModel(const std::vector<EngineView> &engines, TimePoint now) const
{
    ViewsByModel views;
    for (EngineView engine : engines) {
        const auto found = pending_.find(engine.engine_);
        if (found != pending_.end()) {
            // It counts as what it will be: else its being away would look like a loss of capacity
            // that more changes have to make good.
            engine.role_ = found->second.to_;
            engine.available_ = true;
            engine.lastChange_ = now;
        }
        views[engine.model_].push_back(engine);
    }
    return views;
}

Proposal Planner::State::propose(const ModelId &id, const std::vector<EngineView> &engines,
                                 TimePoint now)
{
    Proposal proposal;
    proposal.declined_ = frozen(id, engines, now);
    if (proposal.declined_.empty()) {
        proposal = model(id).propose(engines, terms(id, now));
    }
    if (!proposal.declined_.empty()) {
        proposal.declined_ = "model=" + id.value() + " " + proposal.declined_;
    }
    return proposal;
}

Plan Planner::State::take(std::vector<Proposal> proposals, int room, TimePoint now)
{
    std::stable_sort(
        proposals.begin(), proposals.end(), [](const Proposal &left, const Proposal &right) {
            return std::pair(left.forBounds_, left.net_) > std::pair(right.forBounds_, right.net_);
        });
    Plan plan;
    for (Proposal &proposal : proposals) {
        if (!proposal.declined_.empty()) {
            plan.declined_ += (plan.declined_.empty() ? "" : "; ") + proposal.declined_;
        }
        for (RoleChange &change : proposal.changes_) {
            if (static_cast<int>(plan.changes_.size()) < room) {
                pending_[change.engine_] = {change.to_, now + GiveUpAfter * away_};
                plan.changes_.push_back(std::move(change));
            }
        }
    }
    return plan;
}

void Planner::setFleet(std::shared_ptr<const fleet::Fleet> fleet)
{
    state_->fleet_ = std::move(fleet);
}

void Planner::onRates(const ModelId &model, fleet::EngineRole role, RoleRates rates)
{
    state_->model(model).rates().set(role, rates);
}

void Planner::onDemand(const Demand &demand, TimePoint now)
{
    state_->model(demand.model_).onDemand(demand, now);
}

Plan Planner::plan(const std::vector<EngineView> &engines, TimePoint now)
{
    Plan whole;
    if (!state_->fleet_) {
        whole.declined_ = "rule=no-fleet";
        return whole;
    }
    state_->settlePending(engines, now);
    const int most = state_->fleet_->policy_.maxAwayPerDomain_;
    const int away = state_->away(engines, now);
    if (away >= most) {
        whole.declined_ = fmt::format("rule=max-away away={} most={}", away, most);
        return whole;
    }
    std::vector<Proposal> proposals;
    for (const auto &[id, views] : state_->byModel(engines, now)) {
        proposals.push_back(state_->propose(id, views, now));
    }
    return state_->take(std::move(proposals), most - away, now);
}

Planner::Planner(std::unique_ptr<State> state) noexcept
    : state_(std::move(state))
{ }

Planner::Planner(Planner &&) noexcept = default;
Planner &Planner::operator=(Planner &&) noexcept = default;
Planner::~Planner() = default;

Planner::Builder &Planner::Builder::domain(DomainId domain)
{
    domain_ = std::move(domain);
    return *this;
}

Planner::Builder &Planner::Builder::fastWindow(Duration window)
{
    fastWindow_ = window;
    return *this;
}

Planner::Builder &Planner::Builder::slowWindow(Duration window)
{
    slowWindow_ = window;
    return *this;
}

Planner::Builder &Planner::Builder::roleChangeDuration(Duration away)
{
    away_ = away;
    return *this;
}

Planner::Builder &Planner::Builder::tuning(const Tuning &tuning)
{
    tuning_ = tuning;
    return *this;
}

Planner Planner::Builder::build()
{
    auto state = std::make_unique<State>();
    state->domain_ = std::move(domain_);
    state->fastWindow_ = fastWindow_;
    state->slowWindow_ = slowWindow_;
    state->away_ = away_;
    state->tuning_ = tuning_;
    return Planner(std::move(state));
}

} // namespace almondridge::planner
