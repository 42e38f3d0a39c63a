#include "almondridge/gateway/sizecontroller.h"

#include "almondridge/base/log.h"

namespace almondridge::gateway {
namespace {

/**
 * Interval between two evaluations of the plan; a fraction of the notice that spot endpoints get.
 */
constexpr Duration PlanInterval = millis(250);

} // namespace

SizeController::SizeController(async::EventLoop &loop, Gateway &gateway,
                               LeaderElection &leaderElection, SizeApi &api,
                               SizePlanSettings settings)
    : gateway_(gateway)
    , leaderElection_(leaderElection)
    , api_(api)
    , settings_(settings)
    , timer_(loop)
{ }

void SizeController::planAll()
{
    const TimePoint now = BootClock::now();
    timer_.startAt(now + PlanInterval, [this] { planAll(); });
    if (gateway_.config() == nullptr) {
        return;
    }
    const auto lease = leaderElection_.lease();
    if (!lease) {
        for (const ServiceTraits &service : gateway_.config()->services()) {
            planOf(service.id_).observe(gateway_.endpoints(), service, now);
        }
        return;
    }
    if (lease->fence_ != fence_) {
        fence_ = lease->fence_;
        for (auto &[service, plan] : plans_) {
            plan.resetOrders();
        }
    }
    for (const ServiceTraits &service : gateway_.config()->services()) {
        planService(service, *lease, now);
    }
}

SizePlan &SizeController::planOf(const ServiceId &service)
{
    return plans_.try_emplace(service, settings_).first->second;
}

bool SizeController::mayBeReleased(const Endpoint &endpoint) const
{
    const auto plan = plans_.find(endpoint.listed_.service_);
    return !endpoint.listed_.spot_ && plan != plans_.end()
           && plan->second.isReleasing(endpoint.listed_.domain_);
}

void SizeController::planService(const ServiceTraits &service, const LeaderLease &lease,
                                 TimePoint now)
{
    SizePlan &plan = planOf(service.id_);
    for (const SizeOrder &order : plan.plan(gateway_.endpoints(), service, now)) {
        sendOrder(lease, service.id_, order);
    }
}

void SizeController::sendOrder(const LeaderLease &lease, const ServiceId &service,
                               const SizeOrder &order)
{
    api_.order(lease, service, order, [this, service, order](OrderOutcome outcome) {
        logEvent(LogLevel::Info, "size_order",
                 {{"service", service.value()},
                  {"domain", order.domain_.value()},
                  {"kind", order.spot_ ? "spot" : "lasting"},
                  {"count", order.count_},
                  {"fence", fence_},
                  {"outcome", nameOf(OrderOutcomeNames, outcome)}});
        if (outcome == OrderOutcome::StaleFence) {
            leaderElection_.onHigherFenceSeen();
        }
        plans_.at(service).onAnswer(order, outcome == OrderOutcome::Granted, BootClock::now());
    });
}

} // namespace almondridge::gateway
