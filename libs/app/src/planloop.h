/**
 * Runs the role planner on the demand of the whole failure domain, and passes the wanted roles to
 * the reconciler while this instance holds the domain's lease.
 */
#pragma once

#include "almondridge/control/controllog.h"
#include "almondridge/control/reconciler.h"
#include "almondridge/planner/planner.h"
#include "availabilitytable.h"
#include "endpointwatch.h"
#include "mixledger.h"

#include <optional>

namespace almondridge::app {

class PlanLoop
{
public:
    PlanLoop(const fleet::Settings &settings, control::ControlLog &log,
             control::Reconciler &reconciler, MixLedger &ledger, const EndpointWatch &watch,
             const AvailabilityTable &table, observe::Timeline &timeline);

    /** Feeds new demand to the planner and, if this instance holds the lease, plans. */
    void round();
    std::int64_t roleChanges() const noexcept { return roleChanges_; }

private:
    void updateRates();
    void restoreOrderedRoles(Fence fence, const fleet::Fleet &fleet);
    std::vector<planner::EngineView> engineViews(const fleet::Fleet &fleet) const;

    const DomainId domain_;
    control::ControlLog &log_;
    control::Reconciler &reconciler_;
    MixLedger &ledger_;
    const EndpointWatch &watch_;
    const AvailabilityTable &table_;
    observe::Timeline &timeline_;
    planner::Planner planner_;
    Revision revision_ = 0;
    std::optional<Fence> fence_; ///< Fence of the lease for which wanted_ was initialized.
    control::WantedRoles wanted_;
    std::map<EndpointId, TimePoint> lastChange_;
    std::map<std::pair<ModelId, fleet::EngineRole>, planner::RoleRates> rates_;
    std::string lastDeclined_;
    std::int64_t roleChanges_ = 0;
};

} // namespace almondridge::app
