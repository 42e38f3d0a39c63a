#include "almondridge/planner/planner.h"

#include "modelplan.h"

#include <algorithm>
#include <fmt/format.h>
#include <limits>
#include <map>

namespace almondridge::planner {
namespace {

/** Without demand for longer than this, roles are kept. */
constexpr Duration DemandStaleAfter = millis(10'000);

/** If a smaller share of engines is available, an outage is assumed and roles are kept. */
constexpr double MinAvailableShare = 0.5;

/** A change not completed within this multiple of its usual duration is no longer waited for. */
constexpr int PendingTimeoutFactor = 4;

fleet::RoleBounds unbounded()
{
    constexpr int Any = std::numeric_limits<int>::max();
    return {{}, {}, 0, Any, 0, Any};
}

} // namespace

/** A planned role change whose completion has not been observed. */
struct PendingChange
{
    fleet::EngineRole to_ = fleet::EngineRole::Mixed;
    TimePoint expiresAt_ {};
};

using ViewsByModel = std::map<ModelId, std::vector<EngineView>>;

struct Planner::State
{
    DomainId domain_;
    Duration fastWindow_ {};
    Duration slowWindow_ {};
    Duration roleChangeDuration_ {};
    Tuning tuning_;
    std::shared_ptr<const fleet::Fleet> fleet_;
    std::map<ModelId, ModelPlan> models_;
    std::map<EndpointId, PendingChange> pending_;

    ModelPlan &model(const ModelId &id);
    fleet::RoleBounds bounds(const ModelId &model) const;
    PlanConstraints constraints(const ModelId &model, TimePoint now) const;
    std::string declineReason(const ModelId &id, const std::vector<EngineView> &engines,
                              TimePoint now) const;
    void removeFinishedChanges(const std::vector<EngineView> &engines, TimePoint now);
    int countChanging(const std::vector<EngineView> &engines, TimePoint now) const;
    ViewsByModel groupByModel(const std::vector<EngineView> &engines, TimePoint now) const;
    Proposal propose(const ModelId &id, const std::vector<EngineView> &engines, TimePoint now);
    Plan selectChanges(std::vector<Proposal> proposals, int maxChanges, TimePoint now);
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

PlanConstraints Planner::State::constraints(const ModelId &model, TimePoint now) const
{
    const fleet::Policy &policy = fleet_->policy_;
    return {now, roleChangeDuration_, now - millis(policy.minimumDwellMillis_),
            policy.roleChangeWeight_, bounds(model)};
}

std::string Planner::State::declineReason(const ModelId &id, const std::vector<EngineView> &engines,
                                          TimePoint now) const
{
    const auto known = models_.find(id);
    if (known == models_.end() || !known->second.warmedUp(now)) {
        return "rule=warming";
    }
    if (now - known->second.lastDemand() > DemandStaleAfter) {
        return "rule=stale-demand";
    }
    const auto available = std::count_if(engines.begin(), engines.end(),
                                         [](const EngineView &view) { return view.available_; });
    if (static_cast<double>(available) < MinAvailableShare * static_cast<double>(engines.size())) {
        return fmt::format("rule=engines-unavailable available={} engines={}", available,
                           engines.size());
    }
    return {};
}

void Planner::State::removeFinishedChanges(const std::vector<EngineView> &engines, TimePoint now)
{
    for (const EngineView &engine : engines) {
        const auto found = pending_.find(engine.engine_);
        if (found != pending_.end() && engine.available_ && engine.role_ == found->second.to_) {
            pending_.erase(found);
        }
    }
    std::erase_if(pending_, [&](const auto &entry) { return entry.second.expiresAt_ <= now; });
}

int Planner::State::countChanging(const std::vector<EngineView> &engines, TimePoint now) const
{
    auto away = static_cast<int>(pending_.size());
    for (const EngineView &engine : engines) {
        // The previous holder of the lease may have started this change, which is therefore not in
        // pending_.
        const bool changing =
            !engine.available_
            && now - engine.lastChange_ < PendingTimeoutFactor * roleChangeDuration_;
        away += changing && !pending_.contains(engine.engine_) ? 1 : 0;
    }
    return away;
}

ViewsByModel Planner::State::groupByModel(const std::vector<EngineView> &engines,
                                          TimePoint now) const
{
    ViewsByModel views;
    for (EngineView engine : engines) {
        const auto found = pending_.find(engine.engine_);
        if (found != pending_.end()) {
            // Counts with its new role. Otherwise its absence would look like a loss of capacity
            // that needs further changes.
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
    proposal.declined_ = declineReason(id, engines, now);
    if (proposal.declined_.empty()) {
        proposal = model(id).propose(engines, constraints(id, now));
    }
    if (!proposal.declined_.empty()) {
        proposal.declined_ = "model=" + id.value() + " " + proposal.declined_;
    }
    return proposal;
}

Plan Planner::State::selectChanges(std::vector<Proposal> proposals, int maxChanges, TimePoint now)
{
    std::stable_sort(proposals.begin(), proposals.end(),
                     [](const Proposal &left, const Proposal &right) {
                         return std::pair(left.fixesBounds_, left.net_)
                                > std::pair(right.fixesBounds_, right.net_);
                     });
    Plan plan;
    for (Proposal &proposal : proposals) {
        if (!proposal.declined_.empty()) {
            plan.declined_ += (plan.declined_.empty() ? "" : "; ") + proposal.declined_;
        }
        for (RoleChange &change : proposal.changes_) {
            if (static_cast<int>(plan.changes_.size()) < maxChanges) {
                pending_[change.engine_] = {change.to_,
                                            now + PendingTimeoutFactor * roleChangeDuration_};
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
    Plan result;
    if (!state_->fleet_) {
        result.declined_ = "rule=no-fleet";
        return result;
    }
    state_->removeFinishedChanges(engines, now);
    const int maxAway = state_->fleet_->policy_.maxAwayPerDomain_;
    const int away = state_->countChanging(engines, now);
    if (away >= maxAway) {
        result.declined_ = fmt::format("rule=max-away away={} most={}", away, maxAway);
        return result;
    }
    std::vector<Proposal> proposals;
    for (const auto &[id, views] : state_->groupByModel(engines, now)) {
        proposals.push_back(state_->propose(id, views, now));
    }
    return state_->selectChanges(std::move(proposals), maxAway - away, now);
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

Planner::Builder &Planner::Builder::roleChangeDuration(Duration duration)
{
    roleChangeDuration_ = duration;
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
    state->roleChangeDuration_ = roleChangeDuration_;
    state->tuning_ = tuning_;
    return Planner(std::move(state));
}

} // namespace almondridge::planner
