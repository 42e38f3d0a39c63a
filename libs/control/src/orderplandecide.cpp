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

EngineStep closeIntentStep(LogOffset intent, OrderOutcome outcome, std::string reason)
{
    EngineStep step;
    step.kind_ = StepKind::CloseIntent;
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
EngineStep waitUntil(Entry &entry, TimePoint nextCheck, const std::string &reason)
{
    entry.nextCheck_ = nextCheck;
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
        pendingAnnouncements_.erase(id); // Superseded by this announcement.
    }
    return step;
}

EngineStep OrderPlan::nextStep(Entry &entry, const OpenIntent *open, TimePoint now)
{
    if (entry.leaving_ && entry.announced_ != Availability::Leaving) {
        return announceStep(Availability::Leaving, "the endpoint leaves");
    }
    if (entry.endpoint_.kind_ == fleet::EndpointKind::Service) {
        if (!entry.leaving_) {
            queueAnnouncement(entry, Availability::Open);
        }
        return waitUntil(entry, nextSteadyCheck(now), "");
    }
    if (open != nullptr && open->intent_.domain_ != domain_) {
        return waitUntil(entry, nextSteadyCheck(now), "the outcome of another domain's order");
    }
    if (entry.state_) {
        return open != nullptr ? closeIntent(entry, *open, now) : decide(entry, now);
    }
    if (open != nullptr) {
        if (auto announce = announceIfChanged(entry, Availability::Unclear)) {
            return *announce;
        }
    }
    return waitUntil(entry, now + orderBackoff(entry.unreadable_), "a response of the engine");
}

bool OrderPlan::stillWantsOrder(const EndpointId &id, const EngineTarget &target, TimePoint now)
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
        return present.admit_ ? order(entry, withAdmit(present, false), "the endpoint leaves", now)
                              : waitUntil(entry, nextSteadyCheck(now), "the removal of the engine");
    }
    if (!entry.wanted_ || present == *entry.wanted_) {
        return inSync(entry, now);
    }
    if (differsInAdmitOnly(present, *entry.wanted_)) {
        return order(entry, *entry.wanted_, "only admit differs from the target", now);
    }
    return change(entry, now);
}

EngineStep OrderPlan::decideChanging(Entry &entry, TimePoint now)
{
    queueAnnouncement(entry, Availability::Changing);
    return waitUntil(entry, now + MinCheckInterval, "the end of a change");
}

/** An engine that crashed during a change gets no requests until a known state was ordered. */
EngineStep OrderPlan::decideUnclear(Entry &entry, TimePoint now)
{
    if (auto announce = announceIfChanged(entry, Availability::Unclear)) {
        return *announce;
    }
    if (!entry.wanted_) {
        return waitUntil(entry, nextSteadyCheck(now), "the removal of the engine");
    }
    if (entry.state_->running_ > 0) {
        return waitUntil(entry, now + MinCheckInterval, "the end of the running requests");
    }
    if (auto wait = waitForLoadSlot(entry, now)) {
        return *wait;
    }
    return order(entry, *entry.wanted_, "the engine's state is unclear", now);
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
    if (auto wait = waitForSlots(entry, now)) {
        return *wait;
    }
    entry.hasChangeSlot_ = true;
    if (auto announce = announceIfChanged(entry, Availability::Draining)) {
        return *announce;
    }
    if (!isDrained(entry)) {
        return order(entry, withAdmit(state.target_, false), "drain before a change", now);
    }
    if (state.running_ > 0) {
        return waitUntil(entry, now + MinCheckInterval, "the end of the running requests");
    }
    return order(entry, *entry.wanted_, "change after drain", now);
}

/** Takes the slots that a change needs; until they are free, the engine keeps serving. */
std::optional<EngineStep> OrderPlan::waitForSlots(Entry &entry, TimePoint now)
{
    const EngineState &state = *entry.state_;
    if (!entry.hasChangeSlot_ && serves(state)) {
        queueAnnouncement(entry, Availability::Open);
        if (!changeSlotFree(now)) {
            entry.waitsForSlot_ = true;
            return waitUntil(entry, nextSteadyCheck(now), "the change of another engine");
        }
    }
    return needsLoad(state.target_, *entry.wanted_) ? waitForLoadSlot(entry, now) : std::nullopt;
}

EngineStep OrderPlan::inSync(Entry &entry, TimePoint now)
{
    if (entry.hasChangeSlot_) {
        entry.hasChangeSlot_ = false;
        wakeNextWaiting(now);
    }
    queueAnnouncement(entry, Availability::Open);
    return waitUntil(entry, nextSteadyCheck(now), "");
}

EngineStep OrderPlan::order(Entry &entry, EngineTarget target, std::string reason, TimePoint now)
{
    if (now < entry.nextOrder_) {
        return waitUntil(entry, entry.nextOrder_, "the backoff after a failed order");
    }
    // An engine that ignores fences would accept a delayed order of the previous holder. After
    // this wait, such an order has arrived before the state is read that our order is based on.
    const bool ignores = entry.endpoint_.fencing_ == fleet::Fencing::Ignores;
    if (ignores && now < firstUnfencedOrder_) {
        return waitUntil(entry, firstUnfencedOrder_, "delayed orders of the previous holder");
    }
    EngineStep step;
    step.kind_ = StepKind::Order;
    step.target_ = std::move(target);
    step.reason_ = std::move(reason);
    return step;
}

/** Takes a load slot of the weight store; returns a step when that has to wait. */
std::optional<EngineStep> OrderPlan::waitForLoadSlot(Entry &entry, TimePoint now)
{
    if (entry.hasLoadSlot_) {
        return std::nullopt;
    }
    if (!storeStatusUntil_ || now >= *storeStatusUntil_) {
        EngineStep ask;
        ask.kind_ = StepKind::ReadStoreStatus;
        ask.reason_ = "a load is needed";
        return ask;
    }
    if (!loadSlotFree(entry, now)) {
        entry.waitsForSlot_ = true;
        return waitUntil(entry, nextSteadyCheck(now), "a load slot of the weight store");
    }
    entry.hasLoadSlot_ = true;
    return std::nullopt;
}

EngineStep OrderPlan::closeIntent(Entry &entry, const OpenIntent &open, TimePoint now)
{
    static constexpr std::array<CloseDecision, 3> ByPhase {&OrderPlan::closeIntentWhenReady,
                                                           &OrderPlan::closeIntentWhenChanging,
                                                           &OrderPlan::closeIntentWhenUnclear};
    return (this->*ByPhase[static_cast<std::size_t>(entry.state_->phase_)])(entry, open, now);
}

EngineStep OrderPlan::closeIntentWhenReady(Entry &entry, const OpenIntent &open, TimePoint now)
{
    if (entry.state_->target_ == open.intent_.target_) {
        return closeIntentStep(open.offset_, OrderOutcome::Done,
                               "the engine is in the ordered state");
    }
    if (!mayStillTakeEffect(entry, open)) {
        return closeIntentStep(open.offset_, OrderOutcome::Refused,
                               "the engine is in a different state");
    }
    if (auto announce = announceIfChanged(entry, Availability::Unclear)) {
        return *announce;
    }
    return waitUntil(entry, std::max(closeTime(entry, open), now + MinCheckInterval),
                     "an order that may still arrive");
}

EngineStep OrderPlan::closeIntentWhenChanging(Entry &entry, const OpenIntent & /*open*/,
                                              TimePoint now)
{
    return decideChanging(entry, now);
}

EngineStep OrderPlan::closeIntentWhenUnclear(Entry &entry, const OpenIntent &open, TimePoint now)
{
    if (auto announce = announceIfChanged(entry, Availability::Unclear)) {
        return *announce;
    }
    if (mayStillTakeEffect(entry, open)) {
        return waitUntil(entry, std::max(closeTime(entry, open), now + MinCheckInterval),
                         "an order that may still arrive");
    }
    return closeIntentStep(open.offset_, OrderOutcome::Unclear,
                           "the engine is unclear after the order");
}

/** Whether the order may take effect after the last read of the engine's state. */
bool OrderPlan::mayStillTakeEffect(const Entry &entry, const OpenIntent &open) const noexcept
{
    const bool own = open.intent_.fence_ == *fence_;
    return (!own || entry.answerUnknown_) && entry.readAt_ < closeTime(entry, open);
}

TimePoint OrderPlan::closeTime(const Entry &entry, const OpenIntent &open) const noexcept
{
    const bool own = open.intent_.fence_ == *fence_;
    return own ? entry.unansweredUntil_ : std::max(firstUnfencedOrder_, entry.unansweredUntil_);
}

std::optional<EngineStep> OrderPlan::announceIfChanged(Entry &entry, Availability availability)
{
    if (entry.leaving_ || entry.announced_ == availability) {
        return std::nullopt;
    }
    return announceStep(availability, std::string(nameOf(AvailabilityNames, availability)));
}

void OrderPlan::queueAnnouncement(Entry &entry, Availability availability)
{
    if (!entry.leaving_ && entry.announced_ != availability) {
        entry.announced_ = availability;
        pendingAnnouncements_[entry.endpoint_.id_] = availability;
    }
}

/** A broken engine is not counted as away, so that it does not block changes of the others. */
bool OrderPlan::isBroken(const Entry &entry, TimePoint now) const noexcept
{
    const bool silent = entry.unreadable_ > 0 && now >= entry.unreadableSince_ + AwayGrace;
    return silent || entry.failedOrders_ >= MaxConsecutiveFailedOrders;
}

bool OrderPlan::isAway(const Entry &entry, TimePoint now) const noexcept
{
    if (entry.leaving_ || entry.endpoint_.kind_ != fleet::EndpointKind::Engine
        || isBroken(entry, now)) {
        return false;
    }
    return entry.hasChangeSlot_ || (entry.state_ && !serves(*entry.state_));
}

/** False until all engines were read: the previous holder may have left some of them away. */
bool OrderPlan::changeSlotFree(TimePoint now) const noexcept
{
    int count = 0;
    for (const auto &[id, entry] : entries_) {
        const bool engine = entry.endpoint_.kind_ == fleet::EndpointKind::Engine;
        if (engine && !entry.leaving_ && !entry.readAttempted_) {
            return false;
        }
        count += isAway(entry, now) ? 1 : 0;
    }
    return count < fleet_->policy_.maxAwayPerDomain_;
}

bool OrderPlan::loadSlotFree(const Entry &entry, TimePoint now) const noexcept
{
    int loading = 0;
    for (const auto &[id, other] : entries_) {
        loading += other.hasLoadSlot_ && !isBroken(other, now) ? 1 : 0;
    }
    if (!storeStatus_) {
        return loading == 0;
    }
    const auto model = fleet_->models_.find(entry.wanted_->model_);
    const double bytes = static_cast<double>(model->second.weightBytes_);
    const double together = std::max(loading, storeStatus_->fetchesRunning_);
    return together == 0
           || (together + 1) * bytes <= storeStatus_->bytesPerSecond_ * TargetLoadSeconds;
}

/** Whether the engine rejects new requests and no earlier order can make it admit again. */
bool OrderPlan::isDrained(const Entry &entry) const noexcept
{
    const bool checks = entry.endpoint_.fencing_ == fleet::Fencing::Checks;
    const bool alone = (checks && entry.ordered_) || entry.readAt_ >= firstUnfencedOrder_;
    return !entry.state_->target_.admit_ && alone;
}

} // namespace almondridge::control
