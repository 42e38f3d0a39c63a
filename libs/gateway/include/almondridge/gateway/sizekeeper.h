/**
 * Orders endpoints and gives them back as the plan wants, while this instance has the right to.
 */
#pragma once

#include "almondridge/gateway/gateway.h"
#include "almondridge/gateway/leaderelection.h"
#include "almondridge/gateway/sizeplan.h"

#include <functional>
#include <map>

namespace almondridge::gateway {

/** What came of an order. */
enum class OrderOutcome {
    Taken,
    NoneThere,  ///< None of the kind are to be had there at the moment.
    Overtaken,  ///< A higher fencing number was seen.
    Unanswered, ///< It may be carried out all the same, later.
};

inline constexpr std::array<EnumName<OrderOutcome>, 4> OrderOutcomeNames {{
    {OrderOutcome::Taken, "taken"},
    {OrderOutcome::NoneThere, "none-there"},
    {OrderOutcome::Overtaken, "overtaken"},
    {OrderOutcome::Unanswered, "unanswered"},
}};

/** Where endpoints are ordered. */
class SizeApi
{
public:
    virtual ~SizeApi() = default;
    virtual void order(const LeaderLease &lease, const ServiceId &service, const SizeOrder &order,
                       std::function<void(OrderOutcome)> done) = 0;
};

class SizeKeeper
{
public:
    SizeKeeper(async::EventLoop &loop, Gateway &gateway, LeaderElection &leaderElection,
               SizeApi &api, SizePlanSettings settings);

    void start() { planAll(); }
    void stop() { timer_.stop(); }
    /** Whether the endpoint may be given back in a moment. */
    bool mayLeave(const Endpoint &endpoint) const;

private:
    void planAll();
    SizePlan &planOf(const ServiceId &service);
    void planService(const ServiceTraits &service, const LeaderLease &lease, TimePoint now);
    void give(const LeaderLease &lease, const ServiceId &service, const SizeOrder &order);

    Gateway &gateway_;
    LeaderElection &leaderElection_;
    SizeApi &api_;
    SizePlanSettings settings_;
    std::map<ServiceId, SizePlan> plans_;
    async::Timer timer_;
    Fence fence_ = 0; ///< Of the right that orders were last given with.
};

} // namespace almondridge::gateway
