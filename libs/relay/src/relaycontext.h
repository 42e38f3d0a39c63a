/**
 * State shared by all requests of one relay.
 */
#pragma once

#include "canceller.h"
#include "demandcounter.h"
#include "fleetview.h"
#include "synchronized.h"

#include "almondridge/fleet/settings.h"
#include "almondridge/observe/metrics.h"
#include "almondridge/observe/timeline.h"
#include "almondridge/relay/relay.h"

#include <atomic>
#include <memory>
#include <mutex>

namespace almondridge::relay {

/** Generates request ids, unique across instances and their restarts. */
class RequestIdGenerator
{
public:
    explicit RequestIdGenerator(const InstanceId &instance);
    RequestId next();

private:
    std::string prefix_;
    std::atomic<std::uint64_t> last_ {0};
};

/** The shared state. Thread-safe. */
struct RelayContext
{
    RelayContext(fleet::Settings settings, KeyClaims &claims, observe::Metrics &metrics,
                 observe::Timeline &timeline, FleetSource source);

    /** The fleet in force, or null. Applies a new fleet from the source first. */
    std::shared_ptr<const FleetView> view();
    /** Passes the router's capacity estimate for the model to admission. */
    void updateAdmissionCapacity(const ModelId &model);
    /** Applies a fleet to the router, admission and view(). */
    void setFleet(std::shared_ptr<const fleet::Fleet> fleet);

private:
    // Declared first, hence destroyed last: threads of later members use them until joined.
    std::mutex viewMutex_;
    std::shared_ptr<const FleetView> view_;

public:
    const fleet::Settings settings_;
    KeyClaims &claims_;
    observe::Metrics &metrics_;
    observe::Timeline &timeline_;
    const FleetSource source_;
    SynchronizedRouter router_;
    SynchronizedAdmission admission_;
    Canceller canceller_;
    DemandCounter demand_;
    RequestIdGenerator ids_;
};

} // namespace almondridge::relay
