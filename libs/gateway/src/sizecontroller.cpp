#include "almondridge/gateway/sizecontroller.h"

#include "almondridge/base/log.h"

#include <algorithm>
#include <utility>

namespace almondridge::gateway {
namespace {

/**
 * Interval between two evaluations of the plan; a fraction of the notice that spot endpoints get.
 */
constexpr Duration PlanInterval = millis(250);
/**
 * Endpoints that a service keeps in each failure domain where it was found: one for each stage, so
 * that an isolated domain can continue on its own.
 */
constexpr int MinNeedPerDomain = 2;

} // namespace

SizeController::SizeController(async::EventLoop &loop, Gateway &gateway,
                               LeaderElection &leaderElection, SizeApi &api,
                               SizePlanSettings settings, FleetDemandSource demand)
    : gateway_(gateway)
    , leaderElection_(leaderElection)
    , api_(api)
    , settings_(settings)
    , demandSource_(std::move(demand))
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
            observe(service, now);
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

/**
 * Also without the right to give orders, so that the peak of the demand is known when this instance
 * gets it.
 */
void SizeController::observe(const ServiceTraits &service, TimePoint now)
{
    SizePlan &plan = planOf(service.id_);
    plan.observe(gateway_.endpoints(), service, now);
    if (!settings_.followsDemand_ || !demandSource_ || !service.size_) {
        return;
    }
    const int perDomain = std::max(MinNeedPerDomain, service.size_->minPerDomain_);
    const int found = plan.found();
    const int atMost = std::max(found, service.size_->maxPerDomain_ * plan.domains());
    const SizeBounds bounds {found, std::min(found, perDomain * plan.domains()), atMost};
    SizeDemand &demand = demands_[service.id_];
    const bool hasChanged = demand.observe(demandSource_(service.id_), bounds, now);
    if (!demand.need()) {
        return;
    }
    plan.setNeed(*demand.need());
    if (hasChanged) {
        logEvent(LogLevel::Info, "size_need",
                 {{"service", service.id_.value()},
                  {"need", *demand.need()},
                  {"peak_prefill", demand.peak().prefill_},
                  {"peak_decode", demand.peak().decode_},
                  {"found", bounds.found_}});
    }
}

void SizeController::planService(const ServiceTraits &service, const LeaderLease &lease,
                                 TimePoint now)
{
    observe(service, now);
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
