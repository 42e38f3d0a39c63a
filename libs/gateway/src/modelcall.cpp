#include "modelcall.h"

#include "almondridge/gateway/loadshedding.h"

#include <algorithm>
#include <utility>

namespace almondridge::gateway {
namespace {

/** A prefill is given up after this many times its estimate, and the time below. */
constexpr double SilentAfterEstimates = 3;
constexpr Duration SilentAtLeast = millis(1'500);
/** Until a stream that no engine would go on with is offered again: some slots are free by then. */
constexpr Duration OfferAgainAfter = millis(200);

} // namespace

PromptQuery ModelCall::promptQuery() const
{
    PromptQuery query;
    query.service_ = input_.service_;
    query.prompt_ = &prompt();
    query.priority_ = priority();
    query.firstEventDeadline_ = inTimeUntil();
    query.costs_ = &costs();
    query.excluded_ = excluded_;
    query.prefillInPlace_ = inPlaceOnly_;
    return query;
}

void ModelCall::place()
{
    const TimePoint now = BootClock::now();
    if (!isKeyValid()) {
        giveUp(KeyWithdrawnCause);
        return;
    }
    PromptQuery query = promptQuery();
    const auto generator = chooseDecodeEngine(gateway_.settings_.domain_);
    if (generator) {
        query.slotWaitMillis_ = generator->waitMillis_;
    }
    const auto plan = gateway_.placement_.planPrompt(gateway_.table_, query, now);
    countDemand(plan ? plan->uncachedTokens_ : prompt().ownTokens());
    if (!plan) {
        giveUp("no-engine");
        return;
    }
    if (plan->urgency_ >= FirstLateUrgency && generator && isRefusedBy(*generator)) {
        giveUp("generators-full");
        return;
    }
    if (!begun_ && comesTooLate(*plan, now)) {
        giveUp("no-time");
        return;
    }
    if (suspicion_ == Suspicion::Strong) {
        placeAlone(*plan);
        return;
    }
    if (plan->prefill_ && !inPlaceOnly_) {
        sendPrefill(*plan);
    } else {
        sendInPlace(*plan);
    }
}

/** One endpoint is at risk instead of two. */
void ModelCall::placeAlone(PromptPlan plan)
{
    const auto engine = quietestEndpoint();
    if (!engine) {
        giveUp("no-spare-engine");
        return;
    }
    plan.decode_ = *engine;
    sendInPlace(plan);
}

void ModelCall::countRead(const PromptPlan &plan)
{
    readTokens_ = plan.uncachedTokens_;
    readEstimateMillis_ = plan.prefillMillis_;
    queuedTokens_ = plan.queuedTokens_;
    cacheHitUnknown_ = plan.cacheHitUnknown_;
    urgency_ = plan.urgency_;
}

/**
 * What the request asks of the engines, whatever becomes of it: also the refused ones are a reason
 * to change a stage. A stream takes a slot and its prompt's memory while it runs: whichever is
 * scarcer counts.
 */
void ModelCall::countDemand(std::int64_t newTokens)
{
    constexpr double MillisPerSecond = 1'000;
    if (std::exchange(demandCounted_, true)) {
        return;
    }
    const ServiceTraits *service = input_.config_->service(input_.service_);
    const EngineTraits engine =
        service != nullptr && service->engine_ ? *service->engine_ : EngineTraits {};
    const double slot = 1.0 / std::max(1, engine.slots_);
    const double memory = engine.kvTokens_ > 0 ? static_cast<double>(prompt().tokens_)
                                                     / static_cast<double>(engine.kvTokens_)
                                               : 0;
    gateway_.demand_[input_.service_].onRequest(
        costs().prefillComputeMillis(newTokens) / MillisPerSecond,
        costs().generateMillis(route().name_) / MillisPerSecond * std::max(slot, memory),
        BootClock::now());
}

/** Tells the caller at once when to come back, and the engine reads for those that stay. */
bool ModelCall::comesTooLate(const PromptPlan &plan, TimePoint now)
{
    const TimePoint leaves = expectedAbandonTime(route(), input_.request_.startedAt_, deadline());
    const auto after = shedRetryAfterMillis(plan.prefillMillis_, leaves, now);
    if (after) {
        retryAfterMillis_ = after;
    }
    return after.has_value();
}

/** A late request would wait too long behind the others: its caller is told when to come back. */
bool ModelCall::isRefusedBy(const DecodeChoice &generator)
{
    if (begun_ || !generator.full_) {
        return false;
    }
    retryAfterMillis_ = static_cast<std::int64_t>(generator.lateWaitMillis_);
    return true;
}

std::optional<net::Address> ModelCall::partsSource(const PromptPlan &plan) const
{
    const Endpoint *source = plan.copyFrom_ ? gateway_.table_.find(*plan.copyFrom_) : nullptr;
    return source != nullptr ? std::optional(source->listed_.address_) : std::nullopt;
}

/**
 * The engine that was asked to read this prompt apart, when its answer was lost or its handle
 * lapsed: it has the memory all the same. Copied from there, a prompt of 17,000 tokens is at the
 * generating engine in some tens of milliseconds; read again there, at half the speed, it delays
 * every stream of that engine by half a second. nullopt: there is none, or it may be gone.
 */
std::optional<net::Address> ModelCall::readerOfThisPrompt(const EndpointId &generator) const
{
    const Endpoint *reader = gateway_.table_.find(prefillEngine_);
    const bool mayHaveIt = reader != nullptr && reader->isListed_ && !reader->awaitsProbe_
                           && reader->lifetime_ == prefillLifetime_ && prefillEngine_ != generator;
    return mayHaveIt ? std::optional(reader->listed_.address_) : std::nullopt;
}

void ModelCall::sendPrefill(const PromptPlan &plan)
{
    phase_ = ModelPhase::Prefilling;
    countRead(plan);
    prefillEngine_ = *plan.prefill_;
    const Endpoint &reader = *gateway_.table_.find(prefillEngine_);
    prefillLifetime_ = reader.lifetime_;
    prefillDomain_ = reader.listed_.domain_;
    gateway_.placement_.onPromptSent(reader.listed_, prompt(), BootClock::now());
    SendOrder order;
    order.urgency_ = plan.urgency_;
    order.prefillOnly_ = true;
    order.copyPartsFrom_ = partsSource(plan);
    send(prefillEngine_, order, plan.uncachedTokens_);
    const Duration patience =
        SilentAtLeast
        + millis(static_cast<std::int64_t>(SilentAfterEstimates * plan.prefillMillis_));
    watchSilence(BootClock::now() + patience);
}

void ModelCall::sendInPlace(const PromptPlan &plan)
{
    phase_ = ModelPhase::Waiting;
    ++runs_;
    countRead(plan);
    gateway_.placement_.onPromptSent(gateway_.table_.find(plan.decode_)->listed_, prompt(),
                                     BootClock::now());
    fetches_ = false;
    SendOrder order;
    order.urgency_ = plan.urgency_;
    order.resumeAfter_ = events_.lastId();
    const auto reader = readerOfThisPrompt(plan.decode_);
    order.copyPartsFrom_ = reader ? reader : partsSource(plan);
    send(plan.decode_, order, plan.uncachedTokens_);
    watchStream();
}

void ModelCall::attemptEnd()
{
    if (phase_ == ModelPhase::Prefilling) {
        prefillEnded();
        return;
    }
    if (attempt_.facts_.notRun_) {
        --runs_;
        notRun();
        return;
    }
    mayHaveRun_ = true;
    if (isStream()) {
        streamEnded();
        return;
    }
    const HealthSignal evidence =
        attempt_.head_.status_ >= 500 ? HealthSignal::ServerError : HealthSignal::Healthy;
    if (evidence == HealthSignal::ServerError && mayRunAgain()) {
        leaveEndpoint(evidence);
        sendResume();
        return;
    }
    closeAttempt(evidence);
    if (begun_) {
        giveUp("not-resumed");
        return;
    }
    passOn();
}

void ModelCall::prefillEnded()
{
    const std::string handle = attempt_.head_.status_ == 200
                                   ? gateway_.dialect_.readHandle(attempt_.body_)
                                   : std::string();
    if (handle.empty()) {
        retryAfterMillis_ = attempt_.facts_.retryAfterMillis_;
        attempt_.facts_.notRun_ ? prefillRefused() : prefillFailed(HealthSignal::ServerError);
        return;
    }
    const Endpoint *engine = gateway_.table_.find(attempt_.endpoint_);
    readAt_ = BootClock::now();
    handle_ = PromptHandle {engine->listed_.address_, handle};
    const auto tookMillis = static_cast<double>(toMillis(readAt_ - attempt_.sentAt_));
    if (cacheHitUnknown_) {
        gateway_.placement_.onUnknownPartsPrefilled(costs(), *engine, prompt(), queuedTokens_,
                                                    tookMillis);
    } else {
        if (queuedTokens_ == 0) {
            costs().onUncontendedPrefill(readTokens_, tookMillis);
        }
        gateway_.table_.onPrefillTime(
            attempt_.endpoint_, costs().prefillMillis(queuedTokens_ + readTokens_), tookMillis);
    }
    closeAttempt(HealthSignal::Healthy);
    sendToDecode();
}

/** The engine read nothing and says so: another one that reads takes the prompt. */
void ModelCall::prefillRefused()
{
    logNotRun();
    leaveEndpoint(refusalEvidence());
    maySendAgain() ? place() : giveUp("prefill-refused");
}

/**
 * The prompt may have been read, but not for us: it is read where it is generated, as a second
 * reading apart could count as another run of the request.
 */
void ModelCall::prefillFailed(HealthSignal evidence)
{
    leaveEndpoint(evidence);
    inPlaceOnly_ = true;
    maySendAgain() ? place() : giveUp("prefill-failed");
}

void ModelCall::attemptFailed(async::ExchangeFailure failure)
{
    if (failure == async::ExchangeFailure::NotSent) {
        neverArrived();
        return;
    }
    if (phase_ == ModelPhase::Prefilling) {
        prefillFailed(HealthSignal::Broken);
        return;
    }
    streamBroke(failure, HealthSignal::Broken);
}

/**
 * No connection could be made, so the engine knows nothing of the request. Another one of the
 * same stage takes it: prompts that are read on generating engines instead go at half the speed
 * and delay every stream there.
 */
void ModelCall::neverArrived()
{
    const bool wasPrefill = phase_ == ModelPhase::Prefilling;
    runs_ -= wasPrefill ? 0 : 1;
    leaveEndpoint(HealthSignal::Unreachable);
    if (!mayTryAnother()) {
        giveUp("engine-unreachable");
        return;
    }
    wasPrefill ? place() : goOn();
}

/**
 * Ends the request without a whole answer. Once events went to the caller only a cut tells that
 * no more will come: a refusal would stand in the middle of the stream.
 */
void ModelCall::giveUp(std::string_view cause)
{
    abandonEndpoints();
    cancelAttempt(std::nullopt);
    if (cause != DeadlineCause && cause != KeyWithdrawnCause && mayOfferAgain()) {
        phase_ = ModelPhase::Idle;
        excluded_.clear();
        watchSilence(BootClock::now() + OfferAgainAfter);
        return;
    }
    if (begun_) {
        gateway_.server_.abort(input_.request_.id_);
        finish(Outcome::Failed, 0, cause);
    } else if (mayHaveRun_) {
        failCall(502, cause);
    } else {
        refuse(cause);
    }
}

/**
 * A stream that its caller has the beginning of is worth nothing if it is cut: until its deadline
 * another engine may have room, or the allowance.
 */
bool ModelCall::mayOfferAgain() const
{
    return begun_ && route().resumable_ && runs_ < route().maxAttempts_ && !isQuarantined()
           && BootClock::now() + OfferAgainAfter < deadline();
}

void ModelCall::attemptSilent()
{
    if (phase_ == ModelPhase::Prefilling) {
        trail_ += ":silent";
        prefillFailed(HealthSignal::TimedOut);
        return;
    }
    if (phase_ == ModelPhase::Idle) {
        maySendAgain() ? sendResume() : giveUp("no-allowance");
        return;
    }
    takeOver();
}

void ModelCall::deadlinePassed()
{
    if (!begun_) {
        Call::deadlinePassed();
        return;
    }
    giveUp(DeadlineCause);
}

void ModelCall::abandonEndpoints()
{
    if (!handle_) {
        return;
    }
    // Nobody will fetch it; until it lapses it would take memory from other prompts.
    async::ExchangeRequest request;
    request.peer_ = prefillEngine_.value();
    request.address_ = handle_->source_;
    request.text_ = gateway_.dialect_.dropHandleText(handle_->source_, handle_->handle_);
    request.connectBy_ = BootClock::now() + millis(gateway_.settings_.connectMillis_);
    handle_.reset();
    // Whatever comes of it: the handle lapses by itself.
    gateway_.client_.start(std::move(request),
                           async::gatherAnswer([](const async::ExchangeResult &) {}));
}

std::unique_ptr<Call> makeModelCall(GatewayState &gateway, CallInput input)
{
    return std::make_unique<ModelCall>(gateway, std::move(input));
}

} // namespace almondridge::gateway
