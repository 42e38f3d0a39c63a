/**
 * What all requests of one relay share.
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

/** Names for requests, unique over all instances and all lives of one. */
class RequestIdGenerator
{
public:
    explicit RequestIdGenerator(const InstanceId &instance);
    RequestId next();

private:
    std::string prefix_;
    std::atomic<std::uint64_t> last_ {0};
};

struct RelayContext
{
    RelayContext(fleet::Settings settings, KeyClaims &claims, observe::Metrics &metrics,
                 observe::Timeline &timeline, FleetSource source);

    /** The fleet in force, or null. */
    std::shared_ptr<const FleetView> view();
    /** Tells admission what the router knows of the model's engines. */
    void updateAdmissionCapacity(const ModelId &model);
    void setFleet(std::shared_ptr<const fleet::Fleet> fleet);

private:
    // Before the rest, whose threads use them until they are joined.
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
