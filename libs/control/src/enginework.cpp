#include "enginework.h"

namespace almondridge::control {
namespace {

constexpr std::int64_t ReadTimeoutMillis = 500;
constexpr std::int64_t AnnounceTimeoutMillis = 3'000;
constexpr std::int64_t AppendTimeoutMillis = 2'000;
constexpr std::int64_t OrderTimeoutMillis = 2'000;
constexpr std::int64_t StoreStatusTimeoutMillis = 500;
/** A complete change takes about ten steps. Further steps are left for the next check. */
constexpr int MaxStepsPerCheck = 20;

TimePoint fromNow(std::int64_t timeoutMillis)
{
    return BootClock::now() + millis(timeoutMillis);
}

} // namespace

EngineWork::EngineWork(ReconcilerParts parts, const LeaseLoop &lease)
    : parts_(std::move(parts))
    , lease_(lease)
    , plan_(parts_.domain_)
{ }

void EngineWork::processEndpoint(const EndpointId &id, Fence fence)
{
    for (int steps = 0; steps < MaxStepsPerCheck && mayContinue(fence); ++steps) {
        if (!executeNextStep(id, fence)) {
            break;
        }
    }
    withPlan([&](OrderPlan &plan) { plan.finish(id, BootClock::now()); });
}

/** A holder that lost its lease stops at once and leaves open intents to its successor. */
bool EngineWork::mayContinue(Fence fence) const
{
    const auto held = lease_.held();
    return !stopping_ && held && held->fence_ == fence;
}

bool EngineWork::executeNextStep(const EndpointId &id, Fence fence)
{
    static constexpr std::array<StepFunction, 5> ByKind {
        &EngineWork::wait, &EngineWork::announce, &EngineWork::readStoreStatus,
        &EngineWork::closeIntent, &EngineWork::order};
    if (withPlan([&](OrderPlan &plan) { return plan.wantsState(id); }) && !readState(id, fence)) {
        return false;
    }
    const auto open = openIntent(id);
    EngineStep step;
    const bool current = underFence(fence, [&](OrderPlan &plan) {
        step = plan.step(id, open ? &*open : nullptr, BootClock::now());
    });
    return current && (this->*ByKind[static_cast<std::size_t>(step.kind_)])(id, fence, step);
}

/** Reads the engine's state or records the failure. False when the plan's fence has changed. */
bool EngineWork::readState(const EndpointId &id, Fence fence)
{
    const auto engine = endpoint(id);
    if (!engine) {
        return false;
    }
    const TimePoint readAt = BootClock::now();
    const auto state = capture(
        [&] { return parts_.orders_->readState(*engine, readAt + millis(ReadTimeoutMillis)); });
    return underFence(fence, [&](OrderPlan &plan) {
        if (const auto *read = std::get_if<EngineState>(&state)) {
            plan.onState(id, *read, readAt);
        } else {
            plan.onUnreadable(id, BootClock::now());
        }
    });
}

std::optional<OpenIntent> EngineWork::openIntent(const EndpointId &id) const
{
    return parts_.log_->read([&](const Fold &fold) -> std::optional<OpenIntent> {
        const auto found = fold.openIntents().find(id);
        return found == fold.openIntents().end() ? std::nullopt : std::optional(found->second);
    });
}

std::optional<fleet::Endpoint> EngineWork::endpoint(const EndpointId &id) const
{
    return withPlan([&](OrderPlan &plan) -> std::optional<fleet::Endpoint> {
        const fleet::Endpoint *known = plan.endpoint(id);
        return known != nullptr ? std::optional(*known) : std::nullopt;
    });
}

/** Appends a record; returns nullopt unless it is known to be accepted. */
std::optional<AppendVerdict> EngineWork::append(const EndpointId &id, const Record &record)
{
    const auto answer = capture([&] {
        return parts_.log_->append(record, fromNow(AppendTimeoutMillis), OutagePolicy::Fail);
    });
    const auto *verdict = std::get_if<AppendVerdict>(&answer);
    if (verdict != nullptr && verdict->verdict_ == Verdict::Accepted) {
        return *verdict;
    }
    const std::string why =
        verdict != nullptr ? verdict->reason_ : describe(std::get<Error>(answer));
    addTimelineEvent(observe::EventKind::Order, "order.not-recorded", id,
                     "kind=" + std::string(kindOf(record)) + " why=\"" + why + "\"");
    withPlan([&](OrderPlan &plan) { plan.onNotRecorded(id, BootClock::now()); });
    return std::nullopt;
}

void EngineWork::closeOrphanedIntents(Fence fence)
{
    const auto open = parts_.log_->read([](const Fold &fold) { return fold.openIntents(); });
    std::vector<OutcomeRecord> outcomes;
    underFence(fence, [&](OrderPlan &plan) {
        outcomes = plan.outcomesOfOrphanedIntents(open, BootClock::now());
    });
    for (const OutcomeRecord &outcome : outcomes) {
        if (mayContinue(fence) && append(outcome.engine_, outcome)) {
            addTimelineEvent(observe::EventKind::Order, "order.settled", outcome.engine_,
                             "outcome=unclear intent=" + std::to_string(outcome.intent_)
                                 + " why=\"the engine is no longer in this domain\"");
        }
    }
}

bool EngineWork::wait(const EndpointId &id, Fence /*fence*/, const EngineStep &step)
{
    bool isNew = false;
    {
        const std::scoped_lock lock(waitsMutex_);
        std::string &logged = loggedWaits_[id];
        isNew = logged != step.reason_;
        logged = step.reason_;
    }
    if (isNew && !step.reason_.empty()) {
        addTimelineEvent(observe::EventKind::Order, "order.waits", id,
                         "for=\"" + step.reason_ + "\"");
    }
    return false;
}

bool EngineWork::announce(const EndpointId &id, Fence fence, const EngineStep &step)
{
    const std::scoped_lock lock(announceMutex_);
    parts_.announcer_->announce(id, step.availability_, fence, fromNow(AnnounceTimeoutMillis));
    addTimelineEvent(observe::EventKind::Endpoint, "endpoint.announced", id,
                     "availability=" + std::string(nameOf(AvailabilityNames, step.availability_))
                         + " why=\"" + step.reason_ + "\"");
    return underFence(fence, [&](OrderPlan &plan) { plan.onAnnounced(id, step.availability_); });
}

void EngineWork::announcePending(Fence fence)
{
    const std::scoped_lock lock(announceMutex_);
    Availabilities news;
    const bool current =
        underFence(fence, [&](OrderPlan &plan) { news = plan.takePendingAnnouncements(); });
    if (!current || news.empty()) {
        return;
    }
    parts_.announcer_->announceAll(news, fence, fromNow(AnnounceTimeoutMillis));
    for (const auto &[id, availability] : news) {
        addTimelineEvent(observe::EventKind::Endpoint, "endpoint.announced", id,
                         "availability=" + std::string(nameOf(AvailabilityNames, availability)));
    }
}

bool EngineWork::readStoreStatus(const EndpointId & /*id*/, Fence fence,
                                 const EngineStep & /*step*/)
{
    std::optional<store::WeightStoreStatus> status;
    if (parts_.store_ != nullptr) {
        auto answer =
            capture([&] { return parts_.store_->status(fromNow(StoreStatusTimeoutMillis)); });
        if (const auto *known = std::get_if<store::WeightStoreStatus>(&answer)) {
            status = *known;
        }
    }
    return underFence(fence,
                      [&](OrderPlan &plan) { plan.onStoreStatus(status, BootClock::now()); });
}

bool EngineWork::closeIntent(const EndpointId &id, Fence fence, const EngineStep &step)
{
    const OutcomeRecord outcome {parts_.domain_, fence, step.intent_, id, step.outcome_};
    if (!append(id, outcome)) {
        return false;
    }
    addTimelineEvent(observe::EventKind::Order, "order.settled", id,
                     "outcome=" + std::string(nameOf(OrderOutcomeNames, step.outcome_)) + " intent="
                         + std::to_string(step.intent_) + " why=\"" + step.reason_ + "\"");
    return underFence(
        fence, [&](OrderPlan &plan) { plan.onIntentClosed(id, step.outcome_, BootClock::now()); });
}

/**
 * Appends the intent, reads the state again and sends the order. The append may take long, so no
 * order is based on a state read before it: an engine that crashed in the meantime would be
 * ordered into an unintended change. The next step closes an intent whose order was not sent.
 */
bool EngineWork::order(const EndpointId &id, Fence fence, const EngineStep &step)
{
    const std::uint64_t sequence =
        parts_.log_->read([&](const Fold &fold) { return fold.lastSequence(id); }) + 1;
    const IntentRecord intent {parts_.domain_, fence, sequence, id, step.target_};
    const auto placed = append(id, intent);
    if (!placed || !mayContinue(fence) || !readState(id, fence)) {
        return false;
    }
    // A fleet file accepted before the intent supersedes the one that the step is based on.
    const auto fleet = parts_.log_->fleetInForce();
    bool stillWanted = false;
    const bool current = underFence(fence, [&](OrderPlan &plan) {
        stillWanted =
            plan.fleet() == fleet && plan.stillWantsOrder(id, step.target_, BootClock::now());
        if (stillWanted) {
            plan.onSending(id);
        }
    });
    if (!current || !stillWanted) {
        return current;
    }
    addTimelineEvent(observe::EventKind::Order, "order.sent", id,
                     "target=\"" + describe(step.target_) + "\" fence=" + std::to_string(fence)
                         + " intent=" + std::to_string(placed->offset_) + " why=\"" + step.reason_
                         + "\"");
    return send(id, {fence, sequence, parts_.instance_, step.target_});
}

bool EngineWork::send(const EndpointId &id, const EngineOrder &order)
{
    const auto engine = endpoint(id);
    const auto held = lease_.held();
    if (!engine || !held || held->fence_ != order.fence_) {
        return false;
    }
    const auto answer = capture([&] {
        return parts_.orders_->send(*engine, order, held->until_, fromNow(OrderTimeoutMillis));
    });
    const SendResult result = recordAnswer(id, answer);
    return underFence(order.fence_,
                      [&](OrderPlan &plan) { plan.onSent(id, result, BootClock::now()); });
}

SendResult EngineWork::recordAnswer(const EndpointId &id,
                                    const std::variant<EngineState, Error> &answer)
{
    const auto *error = std::get_if<Error>(&answer);
    if (error == nullptr) {
        return SendResult::Answered;
    }
    const bool unknown =
        error->kind_ == ErrorKind::Interrupted || error->kind_ == ErrorKind::Internal;
    addTimelineEvent(observe::EventKind::Order, unknown ? "order.unknown" : "order.refused", id,
                     "why=\"" + describe(*error) + "\"");
    return unknown ? SendResult::Unknown : SendResult::Refused;
}

void EngineWork::addTimelineEvent(observe::EventKind kind, std::string name, const EndpointId &id,
                                  std::string detail) const
{
    if (parts_.timeline_ != nullptr) {
        parts_.timeline_->add(kind, std::move(name), id.value(), std::move(detail));
    }
}

} // namespace almondridge::control
