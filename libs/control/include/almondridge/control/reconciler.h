/**
 * The control loop of a failure domain's lease holder. It brings the engines to the state wanted
 * by the current fleet file and the planner's roles, and drains them before every change.
 */
#pragma once

#include "almondridge/control/controllog.h"
#include "almondridge/control/leasekeeper.h"
#include "almondridge/control/ordergate.h"
#include "almondridge/control/orderplan.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace almondridge::control {

/** Announces the availability of endpoints to the domain's instances. */
class Announcer
{
public:
    virtual ~Announcer() = default;
    /** Announces to all live instances of the domain. Returns once each has confirmed or missed its
     * heartbeat deadline, or at deadline. */
    virtual void announce(const EndpointId &engine, Availability availability, Fence fence,
                          TimePoint deadline) = 0;
    /** The same for several endpoints; implementations should send one message per instance. */
    virtual void announceAll(const Availabilities &availabilities, Fence fence, TimePoint deadline);
};

class Reconciler
{
public:
    class Builder;

    ~Reconciler();
    Reconciler(const Reconciler &) = delete;
    Reconciler &operator=(const Reconciler &) = delete;

    void start();
    /** Finishes the steps in progress and releases the lease; a successor continues the rest. */
    void stop();

    void setWantedRoles(WantedRoles roles);
    /** Sets the endpoints that the platform's list marks as leaving, in addition to the file's. */
    void setLeaving(std::set<EndpointId> leaving);
    /**
     * Requests a read of an engine's state soon, because its load report differs from its target
     * or it failed a request. Engines in their target state are otherwise read rarely.
     */
    void requestCheck(const EndpointId &engine);
    /** The fence of the held lease; nullopt when none is held. */
    std::optional<Fence> heldFence() const;
    /** The announced availabilities other than Open, to be repeated in heartbeats. */
    Availabilities withheld() const;
    /** A status line for each endpoint: target, phase, availability and reason for waiting. */
    std::map<EndpointId, std::string> progress() const;

private:
    struct State;
    explicit Reconciler(std::unique_ptr<State> state) noexcept;
    std::unique_ptr<State> state_;
};

class Reconciler::Builder
{
public:
    Builder &self(InstanceId instance, DomainId domain);
    Builder &lease(std::int64_t termMillis, std::int64_t marginMillis);
    /** Must not be started yet, because build() adds a listener to it. */
    Builder &controlLog(ControlLog &log);
    Builder &orders(EngineOrders &orders);
    Builder &announcer(Announcer &announcer);
    Builder &weightStore(store::WeightStore &store);
    Builder &timeline(observe::Timeline &timeline);
    std::unique_ptr<Reconciler> build();

private:
    InstanceId instance_;
    DomainId domain_;
    std::int64_t termMillis_ = 6'000;
    std::int64_t marginMillis_ = 1'000;
    ControlLog *log_ = nullptr;
    EngineOrders *orders_ = nullptr;
    Announcer *announcer_ = nullptr;
    store::WeightStore *store_ = nullptr;
    observe::Timeline *timeline_ = nullptr;
};

} // namespace almondridge::control
