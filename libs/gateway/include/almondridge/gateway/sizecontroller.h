/**
 * Orders and releases endpoints as the plan requires, while this instance is entitled to give
 * orders.
 */
#pragma once

#include "almondridge/gateway/gateway.h"
#include "almondridge/gateway/leaderelection.h"
#include "almondridge/gateway/sizedemand.h"
#include "almondridge/gateway/sizeplan.h"

#include <functional>
#include <map>

namespace almondridge::gateway {

/** Result of an order. */
enum class OrderOutcome {
    Granted,
    NoCapacity, ///< The platform has no endpoints of the kind available in the failure domain.
    StaleFence, ///< The platform has seen a higher fencing token.
    Unanswered, ///< No answer; the order may still be carried out later.
};

inline constexpr std::array<EnumName<OrderOutcome>, 4> OrderOutcomeNames {{
    {OrderOutcome::Granted, "taken"},
    {OrderOutcome::NoCapacity, "none-there"},
    {OrderOutcome::StaleFence, "overtaken"},
    {OrderOutcome::Unanswered, "unanswered"},
}};

/** Platform API that orders and releases endpoints. */
class SizeApi
{
public:
    virtual ~SizeApi() = default;
    /** Orders a number of endpoints under this right to give orders; done gets the result. */
    virtual void order(const LeaderLease &lease, const ServiceId &service, const SizeOrder &order,
                       std::function<void(OrderOutcome)> done) = 0;
};

/** Returns the demand on a service from the callers of all instances. */
using FleetDemandSource = std::function<FleetDemand(const ServiceId &service)>;

class SizeController
{
public:
    SizeController(async::EventLoop &loop, Gateway &gateway, LeaderElection &leaderElection,
                   SizeApi &api, SizePlanSettings settings, FleetDemandSource demand = {});

    void start() { planAll(); }
    void stop() { timer_.stop(); }
    /** Whether the endpoint may be released soon. */
    bool mayBeReleased(const Endpoint &endpoint) const;

private:
    void planAll();
    SizePlan &planOf(const ServiceId &service);
    void observe(const ServiceTraits &service, TimePoint now);
    void planService(const ServiceTraits &service, const LeaderLease &lease, TimePoint now);
    void sendOrder(const LeaderLease &lease, const ServiceId &service, const SizeOrder &order);

    Gateway &gateway_;
    LeaderElection &leaderElection_;
    SizeApi &api_;
    SizePlanSettings settings_;
    FleetDemandSource demandSource_; ///< Used if the settings say followsDemand_.
    std::map<ServiceId, SizePlan> plans_;
    std::map<ServiceId, SizeDemand> demands_;
    async::Timer timer_;
    Fence fence_ = 0; ///< Fencing token of the latest orders.
};

} // namespace almondridge::gateway
