/**
 * Executes the steps of an OrderPlan: reads, announcements, log records and orders.
 */
#pragma once

#include "almondridge/control/reconciler.h"
#include "leaseloop.h"

#include <atomic>

namespace almondridge::control {

/** The dependencies of a Reconciler. Store and timeline may be null. */
struct ReconcilerParts
{
    InstanceId instance_;
    DomainId domain_;
    ControlLog *log_ = nullptr;
    EngineOrders *orders_ = nullptr;
    Announcer *announcer_ = nullptr;
    store::WeightStore *store_ = nullptr;
    observe::Timeline *timeline_ = nullptr;
};

/** Thread-safe; each thread works on a different endpoint. */
class EngineWork
{
public:
    EngineWork(ReconcilerParts parts, const LeaseLoop &lease);

    /** Runs function on the plan under its lock. Keep it short. */
    template <typename Function>
    auto withPlan(Function &&function) const
    {
        const std::scoped_lock lock(planMutex_);
        return function(plan_);
    }

    /** Executes the endpoint's steps under the fence until it has to wait, then finishes it. */
    void processEndpoint(const EndpointId &id, Fence fence);
    /** Sends the pending announcements that no order depends on. */
    void announcePending(Fence fence);
    /** Closes the open intents of engines that left the domain. */
    void closeOrphanedIntents(Fence fence);
    /** Starts no more steps. */
    void stop() noexcept { stopping_ = true; }

private:
    /** Executes one step; returns false when no more steps follow for now. */
    using StepFunction = bool (EngineWork::*)(const EndpointId &, Fence, const EngineStep &);

    bool mayContinue(Fence fence) const;
    bool executeNextStep(const EndpointId &id, Fence fence);
    bool readState(const EndpointId &id, Fence fence);
    std::optional<OpenIntent> openIntent(const EndpointId &id) const;
    std::optional<fleet::Endpoint> endpoint(const EndpointId &id) const;
    std::optional<AppendVerdict> append(const EndpointId &id, const Record &record);

    bool wait(const EndpointId &id, Fence fence, const EngineStep &step);
    bool announce(const EndpointId &id, Fence fence, const EngineStep &step);
    bool readStoreStatus(const EndpointId &id, Fence fence, const EngineStep &step);
    bool closeIntent(const EndpointId &id, Fence fence, const EngineStep &step);
    bool order(const EndpointId &id, Fence fence, const EngineStep &step);
    bool send(const EndpointId &id, const EngineOrder &order);
    SendResult recordAnswer(const EndpointId &id, const std::variant<EngineState, Error> &answer);
    void addTimelineEvent(observe::EventKind kind, std::string name, const EndpointId &id,
                          std::string detail) const;

    /** Runs function on the plan if its fence is still the given one; otherwise returns false. */
    template <typename Function>
    bool underFence(Fence fence, Function &&function) const
    {
        const std::scoped_lock lock(planMutex_);
        if (plan_.fence() != fence) {
            return false;
        }
        function(plan_);
        return true;
    }

    const ReconcilerParts parts_;
    const LeaseLoop &lease_;
    std::atomic<bool> stopping_ = false;

    mutable std::mutex planMutex_;
    mutable OrderPlan plan_;

    /** Serialises announcements so that instances receive the latest one last. */
    std::mutex announceMutex_;

    std::mutex waitsMutex_;
    std::map<EndpointId, std::string> loggedWaits_;
};

} // namespace almondridge::control
