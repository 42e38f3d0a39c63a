#include "planloop.h"

#include <algorithm>

namespace almondridge::app {

using control::Availability;

PlanLoop::PlanLoop(const fleet::Settings &settings, control::ControlLog &log,
                   control::Reconciler &reconciler, MixLedger &ledger, const EndpointWatch &watch,
                   const AvailabilityTable &table, observe::Timeline &timeline)
    : domain_(settings.domain_)
    , log_(log)
    , reconciler_(reconciler)
    , ledger_(ledger)
    , watch_(watch)
    , table_(table)
    , timeline_(timeline)
    , planner_(planner::Planner::Builder().domain(settings.domain_).build())
{ }

void PlanLoop::round()
{
    const TimePoint now = BootClock::now();
    const control::AcceptedFleet accepted = log_.fleet();
    if (!accepted.fleet_) {
        return;
    }
    if (accepted.revision_ != revision_) {
        revision_ = accepted.revision_;
        planner_.setFleet(accepted.fleet_);
        fence_.reset();
    }
    updateRates();
    for (const planner::Demand &demand : ledger_.takeDemand()) {
        planner_.onDemand(demand, now);
    }
    const std::optional<Fence> held = reconciler_.heldFence();
    if (!held) {
        fence_.reset();
        return;
    }
    if (fence_ != held) {
        restoreOrderedRoles(*held, *accepted.fleet_);
    }
    const planner::Plan plan = planner_.plan(engineViews(*accepted.fleet_), now);
    for (const planner::RoleChange &change : plan.changes_) {
        wanted_[change.engine_] = change.to_;
        lastChange_[change.engine_] = now;
        ++roleChanges_;
        timeline_.add(observe::EventKind::Plan, "plan.role-change", change.engine_.value(),
                      change.reason_);
    }
    if (plan.changes_.empty() && plan.declined_ != lastDeclined_ && !plan.declined_.empty()) {
        timeline_.add(observe::EventKind::Plan, "plan.declined", domain_.value(), plan.declined_);
    }
    lastDeclined_ = plan.declined_;
    reconciler_.setWantedRoles(wanted_);
}

void PlanLoop::updateRates()
{
    for (const auto &[id, watched] : watch_.endpoints()) {
        if (!watched.report_ || watched.endpoint_.kind_ != fleet::EndpointKind::Engine) {
            continue;
        }
        const routing::LoadReport &report = *watched.report_;
        if (report.prefillTokensPerSecond_ <= 0 || report.running_ <= 0) {
            continue;
        }
        planner::RoleRates &rates = rates_[{watched.endpoint_.model_, report.role_}];
        rates.prefill_ = std::max(rates.prefill_, report.prefillTokensPerSecond_);
        rates.decode_ = std::max(rates.decode_, report.decodeTokensPerSecond_ * report.running_);
        planner_.onRates(watched.endpoint_.model_, report.role_, rates);
    }
}

void PlanLoop::restoreOrderedRoles(Fence fence, const fleet::Fleet &fleet)
{
    // A new lease holder continues from the roles ordered last. Starting from the roles in the
    // fleet file would revert the planner's role changes on every change of the holder.
    fence_ = fence;
    wanted_.clear();
    log_.read([&](const control::Fold &fold) {
        for (const auto &[id, endpoint] : fleet.endpoints_) {
            const control::EngineTarget *done = fold.lastDone(id);
            if (endpoint.domain_ == domain_ && done != nullptr && done->model_ == endpoint.model_) {
                wanted_[id] = done->role_;
            }
        }
    });
}

std::vector<planner::EngineView> PlanLoop::engineViews(const fleet::Fleet &fleet) const
{
    std::vector<planner::EngineView> views;
    const std::map<EndpointId, WatchedEndpoint> watched = watch_.endpoints();
    for (const auto &[id, endpoint] : fleet.endpoints_) {
        if (endpoint.domain_ != domain_ || endpoint.kind_ != fleet::EndpointKind::Engine) {
            continue;
        }
        planner::EngineView view;
        view.engine_ = id;
        view.model_ = endpoint.model_;
        const auto wanted = wanted_.find(id);
        view.role_ = wanted == wanted_.end() ? endpoint.role_ : wanted->second;
        const auto seen = watched.find(id);
        view.available_ = table_.availability(id) == Availability::Open && seen != watched.end()
                          && seen->second.reachable_;
        const auto changed = lastChange_.find(id);
        view.lastChange_ = changed == lastChange_.end() ? TimePoint {} : changed->second;
        views.push_back(std::move(view));
    }
    return views;
}

} // namespace almondridge::app
