/**
 * What all requests of one relay share.
 */
#pragma once

#include "canceller.h"
#include "fleetview.h"
#include "synchronized.h"
#include "demandcounter.h"

#include "almondridge/fleet/settings.h"
#include "almondridge/observe/metrics.h"
#include "almondridge/observe/timeline.h"
#include "almondridge/relay/relay.h"

#include <atomic>
#include <memory>
#include <mutex>

namespace almondridge::relay {

/** Names for requests, unique over all instances and all lives of one. */
class RequestIds
{
public:
    explicit RequestIds(const InstanceId &instance);
    RequestId next();

private:
    std::string prefix_;
    std::atomic<std::uint64_t> last_ {0};
};

struct RelayParts
{
    RelayParts(fleet::Settings settings, KeyClaims &claims, observe::Metrics &metrics,
               observe::Timeline &timeline, FleetSource source);

    /** The fleet in force, or null. */
    std::shared_ptr<const FleetView> view();
    /** Tells admission what the router knows of the model's engines. */
    void feedCapacity(const ModelId &model);
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
    RouterGate router_;
    AdmissionGate admission_;
    Canceller canceller_;
    MixCounter mix_;
    RequestIds ids_;
};

} // namespace almondridge::relay
