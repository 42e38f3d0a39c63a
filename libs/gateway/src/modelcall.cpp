#include "call.h"
#include "eventsplitter.h"

#include "almondridge/base/log.h"
#include "almondridge/gateway/patience.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace almondridge::gateway {
namespace {

/** Bytes of a stream that wait for a slow caller before the engine is no longer read. */
constexpr std::size_t MaxUnwritten = 131'072;
/** A prefill is given up after this many times its estimate, and the time below. */
constexpr double SilentAfterEstimates = 3;
constexpr Duration SilentAtLeast = millis(1'500);
/** A stream that may be resumed counts as silent after this many times its longest pause. */
constexpr int StalledAfterGaps = 4;
/** Between two looks whether a silent stream's engine is gone, or another one has room. */
constexpr Duration TakeoverInterval = millis(100);
/** Until a stream that no engine would go on with is offered again: some slots are free by then. */
constexpr Duration OfferAgainAfter = millis(200);

constexpr std::string_view DeadlineCause = "deadline";

enum class ModelPhase {
    Idle,       ///< Nothing is sent; a begun stream waits to be offered again.
    Prefilling, ///< One engine reads the prompt.
    Waiting,    ///< Sent to the engine that generates; no event came yet.
    Streaming,  ///< Events are passed on.
};

class ModelCall final : public Call
{
public:
    using Call::Call;

    void start() override { place(); }
    void onWritten() override;

private:
    void place();
    bool comesTooLate(const PromptPlan &plan, TimePoint now);
    void sendPrefill(const PromptPlan &plan);
    std::optional<net::Address> partsSource(const PromptPlan &plan) const;
    void sendInPlace(const PromptPlan &plan);
    void sendToDecode();
    TimePoint inTimeUntil() const;
    std::optional<GeneratorChoice> chooseGenerator(const DomainId &source) const;
    void sendResume();
    void goOn();
    bool engineIsGone() const;
    bool readerRestarted() const;
    void takeOver();
    bool mayOfferAgain() const;
    void attemptHead() override;
    void attemptBody(std::string bytes) override;
    void attemptEnd() override;
    void attemptFailed(async::ExchangeFailure failure) override;
    void attemptSilent() override;
    void deadlinePassed() override;
    void abandonEndpoints() override;

    void prefillEnded();
    void prefillRefused();
    void prefillFailed(Evidence evidence);
    void neverArrived();
    void notRun();
    void streamEnded();
    void streamBroke(async::ExchangeFailure failure, Evidence evidence);
    void countRead(const PromptPlan &plan);
    void countDemand(const EngineTraits &engine, std::int64_t newTokens);
    void passEvents(std::string_view events);
    void giveUp(std::string_view cause);
    void watchStream();
    bool isStream() const;
    const Prompt &prompt() const { return *facts().prompt_; }
    RequestCosts &costs() const { return gateway_.costs_[input_.service_]; }

    ModelPhase phase_ = ModelPhase::Idle;
    std::optional<PromptHandle> handle_; ///< Read, and not fetched by an engine as far as we know.
    EndpointId prefillEngine_;
    std::uint64_t prefillLifetime_ = 0;
    DomainId prefillDomain_;
    EventSplitter events_;
    std::int64_t aheadTokens_ = 0; ///< Read before this prompt, where it is read.
    bool partsUnknown_ = false;    ///< Whether its shared parts were cached there was a guess.
    bool fetches_ = false;         ///< The attempt is to fetch the prompt that was read elsewhere.
    bool inPlaceOnly_ = false;
    bool demandCounted_ = false;
    bool silent_ = false; ///< The attempt's engine has said nothing for longer than it should.
    bool begun_ = false;  ///< The answer's head went to the caller.
    bool paused_ = false; ///< The engine is not read, as the caller is slow.
};

bool ModelCall::isStream() const
{
    return attempt_.head_.status_ == 200;
}

void ModelCall::place()
{
    const TimePoint now = BootClock::now();
    PromptQuery query;
    query.service_ = input_.service_;
    query.prompt_ = &prompt();
    query.priority_ = route().priority_;
    query.inTime_ = inTimeUntil();
    query.costs_ = &costs();
    query.excluded_ = excluded_;
    const ServiceTraits *service = input_.config_->service(input_.service_);
    const EngineTraits traits =
        service != nullptr && service->engine_ ? *service->engine_ : EngineTraits {};
    const auto generator = chooseGenerator(gateway_.settings_.domain_);
    if (generator) {
        query.slotWaitMillis_ = generator->waitMillis_;
    }
    const auto plan = gateway_.placement_.planPrompt(gateway_.table_, query, now);
    countDemand(traits, plan ? plan->newTokens_ : prompt().ownTokens());
    if (!plan) {
        giveUp("no-engine");
        return;
    }
    if (!begun_ && plan->urgency_ >= LateUrgencies && generator && generator->full_) {
        retryAfterMillis_ = static_cast<std::int64_t>(generator->lateWaitMillis_);
        giveUp("generators-full");
        return;
    }
    if (!begun_ && comesTooLate(*plan, now)) {
        giveUp("no-time");
        return;
    }
    if (plan->prefill_ && !inPlaceOnly_) {
        sendPrefill(*plan);
    } else {
        sendInPlace(*plan);
    }
}

void ModelCall::countRead(const PromptPlan &plan)
{
    readTokens_ = plan.newTokens_;
    readEstimateMillis_ = plan.readMillis_;
    aheadTokens_ = plan.aheadTokens_;
    partsUnknown_ = plan.partsUnknown_;
    urgency_ = plan.urgency_;
}

/**
 * What the request asks of the engines, whatever becomes of it: also the refused ones are a reason
 * to change a stage. A stream takes a slot and its prompt's memory while it runs: whichever is
 * scarcer counts.
 */
void ModelCall::countDemand(const EngineTraits &engine, std::int64_t newTokens)
{
    constexpr double MillisPerSecond = 1'000;
    if (std::exchange(demandCounted_, true)) {
        return;
    }
    const double slot = 1.0 / std::max(1, engine.slots_);
    const double memory = engine.kvTokens_ > 0 ? static_cast<double>(prompt().tokens_)
                                                     / static_cast<double>(engine.kvTokens_)
                                               : 0;
    gateway_.demand_[input_.service_].onRequest(costs().readingMillis(newTokens) / MillisPerSecond,
                                                costs().generateMillis(route().name_)
                                                    / MillisPerSecond * std::max(slot, memory),
                                                BootClock::now());
}

/** Tells the caller at once when to come back, and the engine reads for those that stay. */
bool ModelCall::comesTooLate(const PromptPlan &plan, TimePoint now)
{
    const TimePoint leaves = callerLeavesAt(route(), input_.request_.startedAt_, deadline());
    const auto after = returnAfterMillis(plan.readMillis_, leaves, now);
    if (after) {
        retryAfterMillis_ = after;
    }
    return after.has_value();
}

std::optional<net::Address> ModelCall::partsSource(const PromptPlan &plan) const
{
    const Endpoint *source = plan.copyFrom_ ? gateway_.table_.find(*plan.copyFrom_) : nullptr;
    return source != nullptr ? std::optional(source->listed_.address_) : std::nullopt;
}

void ModelCall::sendPrefill(const PromptPlan &plan)
{
    phase_ = ModelPhase::Prefilling;
    countRead(plan);
    prefillEngine_ = *plan.prefill_;
    const Endpoint &reader = *gateway_.table_.find(prefillEngine_);
    prefillLifetime_ = reader.lifetime_;
    prefillDomain_ = reader.listed_.domain_;
    gateway_.placement_.onPromptRead(reader.listed_, prompt(), BootClock::now());
    SendOrder order;
    order.urgency_ = plan.urgency_;
    order.prefillOnly_ = true;
    order.copyPartsFrom_ = partsSource(plan);
    send(prefillEngine_, order, plan.newTokens_);
    const Duration patience =
        SilentAtLeast + millis(static_cast<std::int64_t>(SilentAfterEstimates * plan.readMillis_));
    watchSilence(BootClock::now() + patience);
}

void ModelCall::sendInPlace(const PromptPlan &plan)
{
    phase_ = ModelPhase::Waiting;
    ++runs_;
    countRead(plan);
    gateway_.placement_.onPromptRead(gateway_.table_.find(plan.decode_)->listed_, prompt(),
                                     BootClock::now());
    fetches_ = false;
    SendOrder order;
    order.urgency_ = plan.urgency_;
    order.resumeAfter_ = events_.lastId();
    order.copyPartsFrom_ = partsSource(plan);
    send(plan.decode_, order, plan.newTokens_);
    watchStream();
}

void ModelCall::sendToDecode()
{
    const TimePoint now = BootClock::now();
    const auto choice = chooseGenerator(prefillDomain_);
    if (!choice) {
        giveUp("no-engine");
        return;
    }
    const auto wait = millis(static_cast<std::int64_t>(choice->waitMillis_));
    const bool late = now + wait > inTimeUntil();
    if (late && choice->full_ && !begun_) {
        retryAfterMillis_ = static_cast<std::int64_t>(choice->lateWaitMillis_);
        giveUp("generators-full");
        return;
    }
    phase_ = ModelPhase::Waiting;
    ++runs_;
    SendOrder order;
    order.urgency_ =
        std::clamp(route().priority_, 0, LateUrgencies - 1) + (late ? LateUrgencies : 0);
    order.prompt_ = handle_;
    fetches_ = true;
    send(choice->engine_, order, Placement::handoverTokens(prompt()));
    watchStream();
}

TimePoint ModelCall::inTimeUntil() const
{
    return input_.request_.startedAt_ + millis(route().objectiveMillis_);
}

std::optional<GeneratorChoice> ModelCall::chooseGenerator(const DomainId &source) const
{
    GeneratorQuery query;
    query.service_ = input_.service_;
    query.source_ = source;
    query.excluded_ = excluded_;
    query.costs_ = &costs();
    return gateway_.placement_.chooseGenerator(gateway_.table_, query, gateway_.random_(),
                                               BootClock::now());
}

/** Goes on at another engine after the last event that the caller got. */
void ModelCall::sendResume()
{
    events_.dropRest();
    inPlaceOnly_ = true;
    place();
}

/** Only streams that may be resumed are watched: the others can only be waited for. */
void ModelCall::watchStream()
{
    silent_ = false;
    if (!route().resumable_ || runs_ >= route().maxAttempts_) {
        return;
    }
    const std::int64_t gap = phase_ == ModelPhase::Streaming
                                 ? StalledAfterGaps * route().gapObjectiveMillis_
                                 : 2 * route().objectiveMillis_;
    watchSilence(BootClock::now() + millis(gap));
}

void ModelCall::attemptHead()
{
    if (phase_ != ModelPhase::Waiting) {
        return;
    }
    if (!attempt_.facts_.misdirected_) {
        // The engine took the request as its own, and a handle can be fetched only once.
        handle_.reset();
    }
    if (isStream()) {
        promptWasRead();
    }
}

void ModelCall::attemptBody(std::string bytes)
{
    if (phase_ == ModelPhase::Prefilling || !isStream()) {
        attempt_.body_ += bytes;
        return;
    }
    const std::string whole = events_.feed(bytes);
    if (!whole.empty()) {
        passEvents(whole);
    }
}

void ModelCall::passEvents(std::string_view events)
{
    phase_ = ModelPhase::Streaming;
    if (!begun_) {
        begun_ = true;
        mostSends_ = std::numeric_limits<int>::max(); // Bounded by the pause between two offers.
        firstByteAt_ = BootClock::now();
        gateway_.server_.beginStream(input_.request_.id_,
                                     {attempt_.head_.status_, attempt_.head_.reason_,
                                      gateway_.dialect_.callerHeaders(attempt_.head_.headers_)});
    }
    gateway_.server_.streamBytes(input_.request_.id_, events);
    if (gateway_.server_.unwritten(input_.request_.id_) > MaxUnwritten && !paused_) {
        paused_ = true;
        stopWatching();
        gateway_.client_.pause(attempt_.exchange_);
        return;
    }
    watchStream();
}

void ModelCall::onWritten()
{
    if (paused_) {
        paused_ = false;
        watchStream();
        gateway_.client_.resume(attempt_.exchange_);
    }
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
    const Evidence evidence =
        attempt_.head_.status_ >= 500 ? Evidence::ServerError : Evidence::Sound;
    if (evidence == Evidence::ServerError && mayRunAgain()) {
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
        attempt_.facts_.notRun_ ? prefillRefused() : prefillFailed(Evidence::ServerError);
        return;
    }
    const Endpoint *engine = gateway_.table_.find(attempt_.endpoint_);
    readAt_ = BootClock::now();
    handle_ = PromptHandle {engine->listed_.address_, handle};
    const auto tookMillis = static_cast<double>(toMillis(readAt_ - attempt_.sentAt_));
    if (aheadTokens_ == 0 && !partsUnknown_) {
        costs().onReadAlone(readTokens_, tookMillis);
    }
    if (partsUnknown_) {
        gateway_.placement_.onUnknownRead(costs(), *engine, prompt(), aheadTokens_, tookMillis);
    } else {
        gateway_.table_.onReadTime(attempt_.endpoint_,
                                   costs().readMillis(aheadTokens_ + readTokens_), tookMillis);
    }
    closeAttempt(Evidence::Sound);
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
void ModelCall::prefillFailed(Evidence evidence)
{
    leaveEndpoint(evidence);
    inPlaceOnly_ = true;
    maySendAgain() ? place() : giveUp("prefill-failed");
}

/** The engine promises that it did not run the request: the handle may be gone, or it is full. */
void ModelCall::notRun()
{
    retryAfterMillis_ = attempt_.facts_.retryAfterMillis_;
    logNotRun();
    const Evidence evidence = refusalEvidence();
    if (fetches_ && !attempt_.facts_.misdirected_ && evidence == Evidence::Unwilling) {
        // It has room: the memory was not there any more, or could not be moved in time. Blamed
        // alone, sound engines were left out for the lapsed handles of others.
        gateway_.table_.onHandoverRefused(prefillEngine_, attempt_.endpoint_, BootClock::now());
        leaveEndpoint(std::nullopt);
    } else {
        leaveEndpoint(evidence);
    }
    maySendAgain() ? goOn() : giveUp("engine-full");
}

/** At another engine: with the prompt as it was read, if no engine has fetched it. */
void ModelCall::goOn()
{
    if (readerRestarted()) {
        handle_.reset(); // Gone with all that the engine held.
    }
    handle_ ? sendToDecode() : sendResume();
}

bool ModelCall::readerRestarted() const
{
    const Endpoint *reader = gateway_.table_.find(prefillEngine_);
    return handle_ && reader != nullptr && reader->lifetime_ != prefillLifetime_;
}

void ModelCall::streamEnded()
{
    if (!attempt_.facts_.signed_ && !begun_) {
        streamBroke(async::ExchangeFailure::Garbled, Evidence::Broken);
        return;
    }
    const std::string rest = events_.rest();
    if (!begun_ || !rest.empty()) {
        passEvents(rest);
    }
    if (firstByteAt_ >= attempt_.sentAt_) {
        costs().onGenerated(route().name_,
                            static_cast<double>(toMillis(BootClock::now() - firstByteAt_)));
    }
    closeAttempt(Evidence::Sound);
    gateway_.server_.endStream(input_.request_.id_);
    finish(Outcome::Answered, 200, "");
}

void ModelCall::attemptFailed(async::ExchangeFailure failure)
{
    if (failure == async::ExchangeFailure::NotSent) {
        neverArrived();
        return;
    }
    if (phase_ == ModelPhase::Prefilling) {
        prefillFailed(Evidence::Broken);
        return;
    }
    streamBroke(failure, Evidence::Broken);
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
    leaveEndpoint(Evidence::Unreachable);
    if (!mayTryAnother()) {
        giveUp("engine-unreachable");
        return;
    }
    wasPrefill ? place() : goOn();
}

void ModelCall::streamBroke(async::ExchangeFailure failure, Evidence evidence)
{
    mayHaveRun_ = true;
    leaveEndpoint(evidence);
    if (mayRunAgain()) {
        abandonEndpoints(); // Whether the handle was fetched is not known: it is not used again.
        sendResume();
        return;
    }
    giveUp(nameOf(async::ExchangeFailureNames, failure));
}

/**
 * Ends the request without a whole answer. Once events went to the caller only a cut tells that
 * no more will come: a refusal would stand in the middle of the stream.
 */
void ModelCall::giveUp(std::string_view cause)
{
    abandonEndpoints();
    cancelAttempt(std::nullopt);
    if (cause != DeadlineCause && mayOfferAgain()) {
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

void ModelCall::attemptSilent()
{
    if (phase_ == ModelPhase::Prefilling) {
        trail_ += ":silent";
        prefillFailed(Evidence::Silent);
        return;
    }
    if (phase_ == ModelPhase::Idle) {
        maySendAgain() ? sendResume() : giveUp("no-allowance");
        return;
    }
    takeOver();
}

/**
 * An engine that is crowded puts requests back and says nothing meanwhile, and so does one that
 * hangs. A stream that is taken away from the first and refused by the others is lost, though it
 * would have gone on: it is left for evidence that its engine is gone, or for one with room.
 */
void ModelCall::takeOver()
{
    const TimePoint now = BootClock::now();
    if (!silent_) {
        silent_ = true;
        trail_ += ":silent";
        gateway_.table_.onSuspected(attempt_.endpoint_, now);
    }
    std::vector<EndpointId> others = excluded_;
    others.push_back(attempt_.endpoint_);
    const bool leave =
        engineIsGone()
        || gateway_.placement_.someGeneratorHasRoom(gateway_.table_, input_.service_, others, now);
    if (!leave || !mayRunAgain()) {
        watchSilence(now + TakeoverInterval);
        return;
    }
    mayHaveRun_ = true;
    leaveEndpoint(Evidence::Silent);
    abandonEndpoints();
    sendResume();
}

bool ModelCall::engineIsGone() const
{
    const Endpoint *engine = gateway_.table_.find(attempt_.endpoint_);
    return engine == nullptr || !engine->listedNow_ || engine->failedTests_ > 0
           || endpointRestarted();
}

/** A stream that its caller has the beginning of is worth nothing if it is cut: until its deadline
 * another engine may have room, or the allowance. */
bool ModelCall::mayOfferAgain() const
{
    return begun_ && route().resumable_ && runs_ < route().maxAttempts_
           && BootClock::now() + OfferAgainAfter < deadline();
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

} // namespace

std::unique_ptr<Call> makeModelCall(GatewayState &gateway, CallInput input)
{
    return std::make_unique<ModelCall>(gateway, std::move(input));
}

} // namespace almondridge::gateway
