#include "almondridge/gateway/sizekeeper.h"

#include "almondridge/base/log.h"

namespace almondridge::gateway {
namespace {

/** Between two looks at the plan: a part of the notice that spot endpoints get. */
constexpr Duration PlanInterval = millis(250);

} // namespace

SizeKeeper::SizeKeeper(async::EventLoop &loop, Gateway &gateway, LeaderElection &leaderElection,
                       SizeApi &api, SizePlanSettings settings)
    : gateway_(gateway)
    , leaderElection_(leaderElection)
    , api_(api)
    , settings_(settings)
    , timer_(loop)
{ }

void SizeKeeper::planAll()
{
    const TimePoint now = BootClock::now();
    timer_.startAt(now + PlanInterval, [this] { planAll(); });
    if (gateway_.config() == nullptr) {
        return;
    }
    const auto lease = leaderElection_.lease();
    if (!lease) {
        for (const ServiceTraits &service : gateway_.config()->services()) {
            planOf(service.id_).watch(gateway_.endpoints(), service, now);
        }
        return;
    }
    if (lease->fence_ != fence_) {
        fence_ = lease->fence_;
        for (auto &[service, plan] : plans_) {
            plan.forgetOrders();
        }
    }
    for (const ServiceTraits &service : gateway_.config()->services()) {
        planService(service, *lease, now);
    }
}

SizePlan &SizeKeeper::planOf(const ServiceId &service)
{
    return plans_.try_emplace(service, settings_).first->second;
}

bool SizeKeeper::mayLeave(const Endpoint &endpoint) const
{
    const auto plan = plans_.find(endpoint.listed_.service_);
    return !endpoint.listed_.spot_ && plan != plans_.end()
           && plan->second.givesBack(endpoint.listed_.domain_);
}

void SizeKeeper::planService(const ServiceTraits &service, const LeaderLease &lease, TimePoint now)
{
    SizePlan &plan = planOf(service.id_);
    for (const SizeOrder &order : plan.plan(gateway_.endpoints(), service, now)) {
        give(lease, service.id_, order);
    }
}

void SizeKeeper::give(const LeaderLease &lease, const ServiceId &service, const SizeOrder &order)
{
    api_.order(lease, service, order, [this, service, order](OrderOutcome outcome) {
        logEvent(LogLevel::Info, "size_order",
                 {{"service", service.value()},
                  {"domain", order.domain_.value()},
                  {"kind", order.spot_ ? "spot" : "lasting"},
                  {"count", order.count_},
                  {"fence", fence_},
                  {"outcome", nameOf(OrderOutcomeNames, outcome)}});
        if (outcome == OrderOutcome::Overtaken) {
            leaderElection_.onHigherFenceSeen();
        }
        plans_.at(service).onAnswer(order, outcome == OrderOutcome::Taken, BootClock::now());
    });
}

} // namespace almondridge::gateway
