/**
 * The control loop of a failure domain's lease holder: brings engines to the file in force and
 * to the planner's roles, draining before every change.
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

/** What the holder tells the domain's entries before it drains, and after. */
class Announcer
{
public:
    virtual ~Announcer() = default;
    /** Tells all live entries of the domain; returns once each has confirmed or its heartbeat
     * deadline passed, or at deadline. */
    virtual void announce(const EndpointId &engine, Availability availability, Fence fence,
                          TimePoint deadline) = 0;
    /** The same for several endpoints at once; worth one message to each entry. */
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
    /** Finishes or hands over what is under way and releases the lease. */
    void stop();

    void setWantedRoles(WantedRoles roles);
    /** Endpoints that the platform's list shows as leaving, besides those of the file. */
    void setLeaving(std::set<EndpointId> leaving);
    /**
     * Reads an engine's state soon: its load report shows something else than it should, or it
     * failed a request. Engines that are as wanted are otherwise read seldom.
     */
    void lookAt(const EndpointId &engine);
    /** The fence held now, if any. */
    std::optional<Fence> heldFence() const;
    /** What entries have been told under the held lease and is not Open, for heartbeats. */
    Availabilities withheld() const;
    /** One line for status: engine, target, phase. */
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
    /** build() adds a listener to it, so it must not be started before. */
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
