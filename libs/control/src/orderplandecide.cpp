#include "almondridge/control/orderplan.h"
#include "orderpace.h"

#include <algorithm>

namespace almondridge::control {
namespace {

EngineStep announceStep(Availability availability, std::string reason)
{
    EngineStep step;
    step.kind_ = StepKind::Announce;
    step.availability_ = availability;
    step.reason_ = std::move(reason);
    return step;
}

EngineStep settleStep(LogOffset intent, OrderOutcome outcome, std::string reason)
{
    EngineStep step;
    step.kind_ = StepKind::Settle;
    step.intent_ = intent;
    step.outcome_ = outcome;
    step.reason_ = std::move(reason);
    return step;
}

/** Whether the engine serves requests; a crashed engine restarts without a model. */
bool serves(const EngineState &state)
{
    return state.phase_ == EnginePhase::Ready && state.target_.admit_
           && !state.target_.model_.empty();
}

template <typename Entry>
EngineStep waitUntil(Entry &entry, TimePoint nextLook, const std::string &reason)
{
    entry.nextLook_ = nextLook;
    entry.waitsFor_ = reason;
    EngineStep step;
    step.reason_ = reason;
    return step;
}

} // namespace

EngineStep OrderPlan::step(const EndpointId &id, const OpenIntent *open, TimePoint now)
{
    Entry *entry = find(id);
    if (entry == nullptr || !fence_) {
        return {};
    }
    EngineStep step = nextStep(*entry, open, now);
    if (step.kind_ == StepKind::Announce) {
        news_.erase(id); // Superseded by this announcement.
    }
    return step;
}

EngineStep OrderPlan::nextStep(Entry &entry, const OpenIntent *open, TimePoint now)
{
    if (entry.leaving_ && entry.told_ != Availability::Leaving) {
        return announceStep(Availability::Leaving, "it leaves");
    }
    if (entry.endpoint_.kind_ == fleet::EndpointKind::Service) {
        if (!entry.leaving_) {
            addNews(entry, Availability::Open);
        }
        return waitUntil(entry, steadyLook(now), "");
    }
    if (open != nullptr && open->intent_.domain_ != domain_) {
        return waitUntil(entry, steadyLook(now), "the outcome of another domain's order");
    }
    if (entry.state_) {
        return open != nullptr ? settle(entry, *open, now) : decide(entry, now);
    }
    if (open != nullptr) {
        if (auto announce = tell(entry, Availability::Unclear)) {
            return *announce;
        }
    }
    return waitUntil(entry, now + orderBackoff(entry.unreadable_), "an answer of the engine");
}

bool OrderPlan::stillWants(const EndpointId &id, const EngineTarget &target, TimePoint now)
{
    Entry *entry = find(id);
    if (entry == nullptr || !fence_ || !entry->state_) {
        return false;
    }
    const EngineStep step = decide(*entry, now);
    return step.kind_ == StepKind::Order && step.target_ == target;
}

EngineStep OrderPlan::decide(Entry &entry, TimePoint now)
{
    static constexpr std::array<Decision, 3> ByPhase {
        &OrderPlan::decideReady, &OrderPlan::decideChanging, &OrderPlan::decideUnclear};
    return (this->*ByPhase[static_cast<std::size_t>(entry.state_->phase_)])(entry, now);
}

EngineStep OrderPlan::decideReady(Entry &entry, TimePoint now)
{
    const EngineTarget &present = entry.state_->target_;
    if (entry.leaving_) {
        return present.admit_ ? order(entry, withAdmit(present, false), "it leaves", now)
                              : waitUntil(entry, steadyLook(now), "its removal");
    }
    if (!entry.wanted_ || present == *entry.wanted_) {
        return inSync(entry, now);
    }
    if (differsInAdmitOnly(present, *entry.wanted_)) {
        return order(entry, *entry.wanted_, "it is as wanted and does not admit", now);
    }
    return change(entry, now);
}

EngineStep OrderPlan::decideChanging(Entry &entry, TimePoint now)
{
    addNews(entry, Availability::Changing);
    return waitUntil(entry, now + ShortestLook, "the end of a change");
}

/** An engine that crashed during a change gets no requests until a known state was ordered. */
EngineStep OrderPlan::decideUnclear(Entry &entry, TimePoint now)
{
    if (auto announce = tell(entry, Availability::Unclear)) {
        return *announce;
    }
    if (!entry.wanted_) {
        return waitUntil(entry, steadyLook(now), "its removal");
    }
    if (entry.state_->running_ > 0) {
        return waitUntil(entry, now + ShortestLook, "the end of its requests");
    }
    if (auto wait = waitForLoad(entry, now)) {
        return *wait;
    }
    return order(entry, *entry.wanted_, "its state is unclear", now);
}

/**
 * Announces the drain, makes the engine reject new requests, waits until it runs none, and then
 * orders the change. The wait has no deadline: a planned change never aborts a request. The
 * target admits requests again, which saves one order and two appends per change and leaves the
 * engine usable if the holder dies. Instances send requests only after the new state was read and
 * announced as open.
 */
EngineStep OrderPlan::change(Entry &entry, TimePoint now)
{
    const EngineState &state = *entry.state_;
    if (auto wait = waitForShares(entry, now)) {
        return *wait;
    }
    entry.slot_ = true;
    if (auto announce = tell(entry, Availability::Draining)) {
        return *announce;
    }
    if (!drained(entry)) {
        return order(entry, withAdmit(state.target_, false), "drain before a change", now);
    }
    if (state.running_ > 0) {
        return waitUntil(entry, now + ShortestLook, "the end of its requests");
    }
    return order(entry, *entry.wanted_, "change after drain", now);
}

/** Takes the slots that a change needs; until they are free, the engine keeps serving. */
std::optional<EngineStep> OrderPlan::waitForShares(Entry &entry, TimePoint now)
{
    const EngineState &state = *entry.state_;
    if (!entry.slot_ && serves(state)) {
        addNews(entry, Availability::Open);
        if (!slotFree(now)) {
            entry.wantsShare_ = true;
            return waitUntil(entry, steadyLook(now), "the change of another engine");
        }
    }
    return needsLoad(state.target_, *entry.wanted_) ? waitForLoad(entry, now) : std::nullopt;
}

EngineStep OrderPlan::inSync(Entry &entry, TimePoint now)
{
    if (entry.slot_) {
        entry.slot_ = false;
        wakeNext(now);
    }
    addNews(entry, Availability::Open);
    return waitUntil(entry, steadyLook(now), "");
}

EngineStep OrderPlan::order(Entry &entry, EngineTarget target, std::string reason, TimePoint now)
{
    if (now < entry.nextOrder_) {
        return waitUntil(entry, entry.nextOrder_, "the wait after an order that failed");
    }
    // An engine that ignores fences would accept a delayed order of the previous holder. After
    // this wait, such an order has arrived before the state is read that our order is based on.
    const bool ignores = entry.endpoint_.fencing_ == fleet::Fencing::Ignores;
    if (ignores && now < firstOrderToIgnoring_) {
        return waitUntil(entry, firstOrderToIgnoring_, "the last orders of the holder before");
    }
    EngineStep step;
    step.kind_ = StepKind::Order;
    step.target_ = std::move(target);
    step.reason_ = std::move(reason);
    return step;
}

/** Takes a load slot of the weight store; returns a step when that has to wait. */
std::optional<EngineStep> OrderPlan::waitForLoad(Entry &entry, TimePoint now)
{
    if (entry.loading_) {
        return std::nullopt;
    }
    if (!weightsUntil_ || now >= *weightsUntil_) {
        EngineStep ask;
        ask.kind_ = StepKind::AskWeights;
        ask.reason_ = "a load is ahead";
        return ask;
    }
    if (!loadFree(entry, now)) {
        entry.wantsShare_ = true;
        return waitUntil(entry, steadyLook(now), "the weight store");
    }
    entry.loading_ = true;
    return std::nullopt;
}

EngineStep OrderPlan::settle(Entry &entry, const OpenIntent &open, TimePoint now)
{
    static constexpr std::array<Settlement, 3> ByPhase {
        &OrderPlan::settleReady, &OrderPlan::settleChanging, &OrderPlan::settleUnclear};
    return (this->*ByPhase[static_cast<std::size_t>(entry.state_->phase_)])(entry, open, now);
}

EngineStep OrderPlan::settleReady(Entry &entry, const OpenIntent &open, TimePoint now)
{
    if (entry.state_->target_ == open.intent_.target_) {
        return settleStep(open.offset_, OrderOutcome::Done, "the engine is in the state ordered");
    }
    if (!mayStillBeTaken(entry, open)) {
        return settleStep(open.offset_, OrderOutcome::Refused, "the engine is in another state");
    }
    if (auto announce = tell(entry, Availability::Unclear)) {
        return *announce;
    }
    return waitUntil(entry, std::max(settleTime(entry, open), now + ShortestLook),
                     "an order that may still arrive");
}

EngineStep OrderPlan::settleChanging(Entry &entry, const OpenIntent & /*open*/, TimePoint now)
{
    return decideChanging(entry, now);
}

EngineStep OrderPlan::settleUnclear(Entry &entry, const OpenIntent &open, TimePoint now)
{
    if (auto announce = tell(entry, Availability::Unclear)) {
        return *announce;
    }
    if (mayStillBeTaken(entry, open)) {
        return waitUntil(entry, std::max(settleTime(entry, open), now + ShortestLook),
                         "an order that may still arrive");
    }
    return settleStep(open.offset_, OrderOutcome::Unclear, "the engine is unclear after it");
}

/** Whether the order may take effect after the last read of the engine's state. */
bool OrderPlan::mayStillBeTaken(const Entry &entry, const OpenIntent &open) const noexcept
{
    const bool own = open.intent_.fence_ == *fence_;
    return (!own || entry.answerUnknown_) && entry.readAt_ < settleTime(entry, open);
}

TimePoint OrderPlan::settleTime(const Entry &entry, const OpenIntent &open) const noexcept
{
    const bool own = open.intent_.fence_ == *fence_;
    return own ? entry.settleAfter_ : std::max(firstOrderToIgnoring_, entry.settleAfter_);
}

std::optional<EngineStep> OrderPlan::tell(Entry &entry, Availability availability)
{
    if (entry.leaving_ || entry.told_ == availability) {
        return std::nullopt;
    }
    return announceStep(availability, std::string(nameOf(AvailabilityNames, availability)));
}

void OrderPlan::addNews(Entry &entry, Availability availability)
{
    if (!entry.leaving_ && entry.told_ != availability) {
        entry.told_ = availability;
        news_[entry.endpoint_.id_] = availability;
    }
}

/** A broken engine is not counted as away, so that it does not block changes of the others. */
bool OrderPlan::broken(const Entry &entry, TimePoint now) const noexcept
{
    const bool silent = entry.unreadable_ > 0 && now >= entry.unreadableSince_ + AwayGrace;
    return silent || entry.failedOrders_ >= FailedOrdersOfABrokenEngine;
}

bool OrderPlan::away(const Entry &entry, TimePoint now) const noexcept
{
    if (entry.leaving_ || entry.endpoint_.kind_ != fleet::EndpointKind::Engine
        || broken(entry, now)) {
        return false;
    }
    return entry.slot_ || (entry.state_ && !serves(*entry.state_));
}

/** False until all engines were read: the previous holder may have left some of them away. */
bool OrderPlan::slotFree(TimePoint now) const noexcept
{
    int count = 0;
    for (const auto &[id, entry] : entries_) {
        const bool engine = entry.endpoint_.kind_ == fleet::EndpointKind::Engine;
        if (engine && !entry.leaving_ && !entry.looked_) {
            return false;
        }
        count += away(entry, now) ? 1 : 0;
    }
    return count < fleet_->policy_.maxAwayPerDomain_;
}

bool OrderPlan::loadFree(const Entry &entry, TimePoint now) const noexcept
{
    int loading = 0;
    for (const auto &[id, other] : entries_) {
        loading += other.loading_ && !broken(other, now) ? 1 : 0;
    }
    if (!weights_) {
        return loading == 0;
    }
    const auto model = fleet_->models_.find(entry.wanted_->model_);
    const double bytes = static_cast<double>(model->second.weightBytes_);
    const double together = std::max(loading, weights_->fetchesRunning_);
    return together == 0 || (together + 1) * bytes <= weights_->bytesPerSecond_ * LoadAimSeconds;
}

/** Whether the engine rejects new requests and no earlier order can make it admit again. */
bool OrderPlan::drained(const Entry &entry) const noexcept
{
    const bool checks = entry.endpoint_.fencing_ == fleet::Fencing::Checks;
    const bool alone = (checks && entry.ordered_) || entry.readAt_ >= firstOrderToIgnoring_;
    return !entry.state_->target_.admit_ && alone;
}

} // namespace almondridge::control
