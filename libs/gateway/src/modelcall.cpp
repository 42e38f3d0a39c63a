#include "modelcall.h"

#include "almondridge/base/log.h"
#include "almondridge/gateway/loadshedding.h"

#include <algorithm>
#include <utility>

namespace almondridge::gateway {
namespace {

/** An answer to the release of a handle says nothing that is needed. */
constexpr std::size_t MaxReleaseAnswerBytes = 4'096;
/** A prefill times out after this many times its estimate, plus the time below. */
constexpr double PrefillTimeoutEstimates = 3;
constexpr Duration PrefillTimeoutBase = millis(1'500);
/** Until an interrupted stream is retried when no engine took it; some slots are free by then. */
constexpr Duration ResumeRetryDelay = millis(200);
constexpr std::string_view AccountShareCause = "account-share";

} // namespace

ModelCall::ModelCall(GatewayState &gateway, CallContext context)
    : Call(gateway, std::move(context))
    , delivery_(gateway.server_, context_.request_.id_, requestInfo().lastEventId_)
{ }

PromptQuery ModelCall::promptQuery() const
{
    PromptQuery query;
    query.service_ = context_.service_;
    query.prompt_ = &prompt();
    query.priority_ = priority();
    query.firstEventDeadline_ = objectiveDeadline();
    query.costs_ = &costs();
    query.excluded_ = excluded_;
    query.prefillInPlace_ = inPlaceOnly_;
    query.version_ = requiredVersion();
    query.hasIdleConnection_ = gateway_.idleConnectionCheck();
    return query;
}

void ModelCall::place()
{
    const TimePoint now = BootClock::now();
    if (!mayBeSent()) {
        giveUp(KeyRevokedCause);
        return;
    }
    if (seemsCutOff() && forward()) {
        return;
    }
    PromptQuery query = promptQuery();
    const auto decodeChoice = chooseDecodeEngine(gateway_.settings_.domain_, std::nullopt);
    if (decodeChoice) {
        query.slotWaitMillis_ = decodeChoice->waitMillis_;
    }
    const auto plan = gateway_.placement_.planPrompt(gateway_.table_, query, now);
    recordDemand(plan ? plan->uncachedTokens_ : prompt().unsharedTokens());
    if (!plan) {
        if (!mayPeerReachMore() || !forward()) {
            giveUp(NoEngineCause);
        }
        return;
    }
    if (!hasShare(*plan, now)) {
        refuse(AccountShareCause);
        return;
    }
    if (plan->urgency_ >= FirstLateUrgency && decodeChoice && isDecodeQueueFull(*decodeChoice)) {
        giveUp("generators-full");
        return;
    }
    if (!hasBegunAnswer() && isTooLate(*plan, now)) {
        giveUp("no-time");
        return;
    }
    if (suspicion_ == Suspicion::Strong) {
        placeOnSingleEngine(*plan);
        return;
    }
    if (plan->prefill_ && !inPlaceOnly_) {
        sendPrefill(*plan);
    } else {
        sendInPlace(*plan);
    }
}

/**
 * The peer prefills as well; a handle of this instance's prefill expires by itself. Only the first
 * prefill of a request is free.
 */
bool ModelCall::forward()
{
    const bool isRetry = mayBePrefilled_;
    if ((isRetry && (!hasPeer() || !acquireRetry())) || !sendToPeer(delivery_.position())) {
        return false;
    }
    mayBePrefilled_ = true;
    wasPrefilledBefore_ = isRetry;
    handle_.reset();
    phase_ = ModelPhase::Waiting;
    fetchesPrompt_ = false;
    ++runs_;
    startStallTimer();
    return true;
}

/** A prompt that is being prefilled hasn't run, so a peer can take it over. */
void ModelCall::onCutOff()
{
    if (phase_ == ModelPhase::Prefilling && shouldForward()) {
        excludeEndpoint(std::nullopt);
        acquireRetry() ? place() : giveUp("prefill-failed");
    }
}

/** For a suspected request: puts one endpoint at risk instead of two. */
void ModelCall::placeOnSingleEngine(PromptPlan plan)
{
    const auto engine = leastLoadedEndpoint(requiredVersion());
    if (!engine) {
        giveUp("no-spare-engine");
        return;
    }
    plan.decode_ = *engine;
    sendInPlace(plan);
}

void ModelCall::recordPrefillPlan(const PromptPlan &plan)
{
    prefillTokens_ = plan.uncachedTokens_;
    prefillEstimateMillis_ = plan.prefillMillis_;
    queuedTokens_ = plan.queuedTokens_;
    cacheHitUnknown_ = plan.cacheHitUnknown_;
    urgency_ = plan.urgency_;
}

/** Those that are assumed if the configuration names none. */
EngineTraits ModelCall::engineTraits() const
{
    const ServiceTraits *service = context_.config_->service(context_.service_);
    return service != nullptr && service->engine_ ? *service->engine_ : EngineTraits {};
}

/**
 * Records the load that the request puts on the engines. Refused requests count too, since they are
 * a reason to change an engine's stage. A stream occupies a slot and KV cache for its prompt while
 * it runs; the scarcer of the two counts.
 */
void ModelCall::recordDemand(std::int64_t newTokens)
{
    constexpr double MillisPerSecond = 1'000;
    if (std::exchange(demandRecorded_, true)) {
        return;
    }
    const EngineTraits engine = engineTraits();
    const double slotShare = 1.0 / std::max(1, engine.slots_);
    const double kvShare = engine.kvTokens_ > 0 ? static_cast<double>(prompt().tokens_)
                                                      / static_cast<double>(engine.kvTokens_)
                                                : 0;
    gateway_.demand_[context_.service_].onRequest(
        costs().prefillComputeMillis(newTokens) / MillisPerSecond,
        costs().generateMillis(route().name_) / MillisPerSecond * std::max(slotShare, kvShare),
        BootClock::now());
}

/**
 * Comes before the request is shed for lack of time: shed requests are demand too, and a fleet that
 * sheds what it can't do would otherwise seem to be asked for no more than its room.
 */
bool ModelCall::hasShare(const PromptPlan &plan, TimePoint now)
{
    const AccountId &account = context_.access_.account_.id_;
    const bool isFirstSend = sends_ == 0 && !mayHaveArrived_ && !hasBegunAnswer();
    const bool isNewStream = !origin_ && requestInfo().lastEventId_.empty();
    const bool isShared = gateway_.settings_.sharesCapacity_
                          && context_.config_->accounts().has_value() && !account.empty()
                          && !isFromPeer();
    if (!isShared || !isFirstSend || !isNewStream || std::exchange(shareChecked_, true)) {
        return true;
    }
    ShareRequest request;
    request.service_ = context_.service_;
    request.account_ = account;
    const std::vector<PromptPart> &parts = prompt().parts_;
    request.session_ = parts.size() >= 2 ? parts[parts.size() - 2].id_ : 0;
    request.rank_ = priority();
    request.workMillis_ = costs().prefillComputeMillis(plan.uncachedTokens_);
    const std::optional<ShareRefusal> refusal = gateway_.admitShare(request, now);
    if (!refusal) {
        return true;
    }
    retryAfterMillis_ = refusal->retryAfterMillis_;
    gateway_.metrics_.count("admission_refused_total",
                            observe::metricLabel("rank", std::to_string(request.rank_)));
    logShareRefusal(request, *refusal, now);
    return false;
}

void ModelCall::logShareRefusal(const ShareRequest &request, const ShareRefusal &refusal,
                                TimePoint now)
{
    if (!gateway_.shareLines_.take(now)) {
        return;
    }
    logEvent(LogLevel::Info, "admission_refused",
             {{"id", requestInfo().requestId_},
              {"account", request.account_.value()},
              {"service", request.service_.value()},
              {"rank", request.rank_},
              {"asked", refusal.asked_},
              {"share", refusal.share_},
              {"room", refusal.room_},
              {"oldest_report_ms", refusal.oldestReportMillis_},
              {"retry_after_ms", refusal.retryAfterMillis_}});
}

/** Sheds the request early with Retry-After, so that engines prefill for callers that will wait. */
bool ModelCall::isTooLate(const PromptPlan &plan, TimePoint now)
{
    const TimePoint abandonedAt =
        expectedAbandonTime(route(), context_.request_.startedAt_, deadline());
    const auto retryAfter = shedRetryAfterMillis(plan.prefillMillis_, abandonedAt, now);
    if (retryAfter) {
        retryAfterMillis_ = retryAfter;
    }
    return retryAfter.has_value();
}

/** A late request would wait too long behind the others, so it is refused with Retry-After. */
bool ModelCall::isDecodeQueueFull(const DecodeChoice &decodeChoice)
{
    if (hasBegunAnswer() || !decodeChoice.full_) {
        return false;
    }
    retryAfterMillis_ = static_cast<std::int64_t>(decodeChoice.lateWaitMillis_);
    return true;
}

std::optional<net::Address> ModelCall::partsCopySource(const PromptPlan &plan,
                                                       const EndpointId &reader) const
{
    const Endpoint *source = plan.copyFrom_ ? gateway_.table_.find(*plan.copyFrom_) : nullptr;
    const Endpoint *target = gateway_.table_.find(reader);
    const bool fits = source != nullptr && target != nullptr
                      && isSameVersion(source->listed_.version_, target->listed_.version_);
    return fits ? std::optional(source->listed_.address_) : std::nullopt;
}

/**
 * The engine that was asked to prefill this prompt separately, if its response was lost or its
 * handle has expired: its cache has the KV entries nevertheless. A prompt of 17,000 tokens is
 * copied from there in some tens of milliseconds; to prefill it on the decode engine, at half the
 * speed, would delay every stream of that engine by half a second. nullopt: there is none, or it
 * may be gone.
 */
std::optional<net::Address> ModelCall::prefilledCopySource(const EndpointId &decodeEngine) const
{
    const Endpoint *prefillEngine = gateway_.table_.find(prefillEngine_);
    const Endpoint *decode = gateway_.table_.find(decodeEngine);
    const bool mayHavePrompt =
        prefillEngine != nullptr && prefillEngine->isListed_ && !prefillEngine->awaitsProbe_
        && prefillEngine->lifetime_ == prefillLifetime_ && prefillEngine_ != decodeEngine
        && decode != nullptr && isSameVersion(prefillVersion_, decode->listed_.version_);
    return mayHavePrompt ? std::optional(prefillEngine->listed_.address_) : std::nullopt;
}

void ModelCall::sendPrefill(const PromptPlan &plan)
{
    phase_ = ModelPhase::Prefilling;
    recordPrefillPlan(plan);
    prefillEngine_ = *plan.prefill_;
    const Endpoint &prefillEngine = *gateway_.table_.find(prefillEngine_);
    prefillLifetime_ = prefillEngine.lifetime_;
    prefillDomain_ = prefillEngine.listed_.domain_;
    prefillVersion_ = prefillEngine.listed_.version_;
    gateway_.placement_.onPromptSent(prefillEngine.listed_, prompt(), BootClock::now());
    DispatchOptions options;
    options.urgency_ = plan.urgency_;
    options.prefillOnly_ = true;
    options.copyPartsFrom_ = partsCopySource(plan, prefillEngine_);
    send(prefillEngine_, options, plan.uncachedTokens_);
    const Duration timeout =
        PrefillTimeoutBase
        + millis(static_cast<std::int64_t>(PrefillTimeoutEstimates * plan.prefillMillis_));
    startAttemptTimer(BootClock::now() + timeout);
}

void ModelCall::sendInPlace(const PromptPlan &plan)
{
    phase_ = ModelPhase::Waiting;
    ++runs_;
    recordPrefillPlan(plan);
    gateway_.placement_.onPromptSent(gateway_.table_.find(plan.decode_)->listed_, prompt(),
                                     BootClock::now());
    fetchesPrompt_ = false;
    DispatchOptions options;
    options.urgency_ = plan.urgency_;
    options.resumeAfter_ = delivery_.position();
    const auto prefilled = prefilledCopySource(plan.decode_);
    options.copyPartsFrom_ = prefilled ? prefilled : partsCopySource(plan, plan.decode_);
    send(plan.decode_, options, plan.uncachedTokens_);
    startStallTimer();
}

void ModelCall::onAttemptEnd()
{
    if (phase_ == ModelPhase::Prefilling) {
        onPrefillEnd();
        return;
    }
    if (answer().isNotRun()) {
        --runs_;
        onNotRun();
        return;
    }
    mayHaveRun_ = true;
    if (isStream()) {
        onStreamEnd();
        return;
    }
    const HealthSignal evidence =
        answer().status() >= 500 ? HealthSignal::ServerError : HealthSignal::Healthy;
    if (evidence == HealthSignal::ServerError && acquireRerun()) {
        excludeEndpoint(evidence);
        sendResume();
        return;
    }
    closeAttempt(evidence);
    if (hasBegunAnswer()) {
        giveUp("not-resumed");
        return;
    }
    forwardResponse();
}

void ModelCall::onPrefillEnd()
{
    const std::string handle = answer().status() == 200
                                   ? gateway_.dialect_.parsePromptHandle(attempt_.body_)
                                   : std::string();
    if (handle.empty()) {
        takeRetryAfter();
        answer().isNotRun() ? onPrefillRefused() : onPrefillFailed(HealthSignal::ServerError);
        return;
    }
    const Endpoint *engine = gateway_.table_.find(attempt_.endpoint_);
    prefilledAt_ = BootClock::now();
    mayBePrefilled_ = true;
    handle_ = PromptHandle {engine->listed_.address_, handle};
    const auto tookMillis = static_cast<double>(toMillis(prefilledAt_ - attempt_.sentAt_));
    if (cacheHitUnknown_) {
        gateway_.placement_.onUnknownPartsPrefilled(costs(), *engine, prompt(), queuedTokens_,
                                                    tookMillis, prefilledAt_);
    } else {
        if (queuedTokens_ == 0) {
            // The costs are those of an engine of usual speed.
            costs().onUncontendedPrefill(prefillTokens_,
                                         tookMillis / engine->workTime_.factorAt(prefilledAt_));
        }
        gateway_.table_.onPrefillTime(
            attempt_.endpoint_, costs().prefillMillis(queuedTokens_ + prefillTokens_), tookMillis);
    }
    closeAttempt(HealthSignal::Healthy);
    sendToDecode();
}

/** The engine reported that it didn't prefill, so another prefill engine is tried. */
void ModelCall::onPrefillRefused()
{
    logNotRun();
    excludeEndpoint(refusalSignal());
    acquireRetry() ? place() : giveUp("prefill-refused");
}

/**
 * The prompt may have been prefilled, but there is no handle for it. From now on the decode engine
 * prefills, as a second separate prefill could count as another execution of the request.
 */
void ModelCall::onPrefillFailed(HealthSignal evidence)
{
    excludeEndpoint(evidence);
    inPlaceOnly_ = true;
    acquireRetry() ? place() : giveUp("prefill-failed");
}

void ModelCall::onAttemptFailed(async::ExchangeFailure failure)
{
    if (failure == async::ExchangeFailure::NotSent) {
        onNotSent();
        return;
    }
    if (phase_ == ModelPhase::Prefilling) {
        onPrefillFailed(HealthSignal::Broken);
        return;
    }
    onStreamBroken(failure, HealthSignal::Broken);
}

/**
 * No connection could be made, so the engine hasn't seen the request, and another one of the same
 * stage is tried. A prefill on a decode engine instead would run at half the speed and delay every
 * stream there.
 */
void ModelCall::onNotSent()
{
    const bool wasPrefill = phase_ == ModelPhase::Prefilling;
    runs_ -= wasPrefill ? 0 : 1;
    if (attempt_.peer_) {
        mayBePrefilled_ = wasPrefilledBefore_;
    }
    excludeEndpoint(HealthSignal::Unreachable);
    if (!canTryAnotherEndpoint()) {
        giveUp("engine-unreachable");
        return;
    }
    gateway_.budget(context_.service_).onNotSent();
    wasPrefill ? place() : continueElsewhere();
}

/**
 * Ends the request without a complete response, or schedules a retry of an interrupted stream. Once
 * events were sent to the caller, the connection is aborted, since an error response would appear
 * within the stream.
 */
void ModelCall::giveUp(std::string_view cause)
{
    releaseEndpointState();
    closeAttempt(std::nullopt);
    if (cause != DeadlineCause && cause != KeyRevokedCause && !canGoOn()) {
        cause = VersionGoneCause;
    } else if (cause != DeadlineCause && cause != KeyRevokedCause && canRetryLater()) {
        phase_ = ModelPhase::Idle;
        excluded_.clear();
        excludedPeers_.clear();
        startAttemptTimer(BootClock::now() + ResumeRetryDelay);
        return;
    }
    endUnanswered(cause);
}

/**
 * A partly delivered stream would be wasted if it were aborted, so it is retried until its
 * deadline: an engine may get a free slot, or the retry budget may allow another attempt.
 */
bool ModelCall::canRetryLater() const
{
    return hasBegunAnswer() && route().resumable_ && runs_ < maxAttempts() && !isQuarantined()
           && BootClock::now() + ResumeRetryDelay < deadline();
}

void ModelCall::onAttemptTimeout()
{
    if (phase_ == ModelPhase::Prefilling) {
        endpointTrace_ += ":silent";
        onPrefillFailed(HealthSignal::TimedOut);
        return;
    }
    if (phase_ == ModelPhase::Idle) {
        acquireRetry() ? sendResume() : giveUp("no-allowance");
        return;
    }
    onStreamStalled();
}

void ModelCall::onDeadline()
{
    if (!hasBegunAnswer()) {
        Call::onDeadline();
        return;
    }
    giveUp(DeadlineCause);
}

void ModelCall::releaseEndpointState()
{
    if (!handle_) {
        return;
    }
    const TimePoint now = BootClock::now();
    const PromptHandle handle = *std::exchange(handle_, std::nullopt);
    if (!gateway_.traffic_.admit(prefillEngine_, RequestPath::Release, now)) {
        return; // The handle expires by itself.
    }
    // No engine will fetch the prompt; until it expires it would occupy KV cache.
    async::ExchangeRequest request;
    request.peer_ = prefillEngine_.value();
    request.address_ = handle.source_;
    request.text_ = gateway_.dialect_.serializeHandleRelease(handle.source_, handle.handle_);
    request.connectBy_ = now + millis(gateway_.settings_.connectTimeoutMillis_);
    request.maxBodyBytes_ = MaxReleaseAnswerBytes;
    // The result doesn't matter, since the handle expires by itself.
    gateway_.client_.start(
        std::move(request),
        gateway_.traffic_.observed(prefillEngine_,
                                   async::gatherAnswer([](const async::ExchangeResult &) {})));
}

std::unique_ptr<Call> makeModelCall(GatewayState &gateway, CallContext context)
{
    return std::make_unique<ModelCall>(gateway, std::move(context));
}

} // namespace almondridge::gateway
