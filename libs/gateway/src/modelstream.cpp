#include "almondridge/base/log.h"
#include "almondridge/net/bodyend.h"
#include "modelcall.h"

#include <algorithm>
#include <limits>

namespace almondridge::gateway {
namespace {

/** A resumable stream counts as stalled after this many times its target pause. */
constexpr int StallGapMultiple = 4;
/** Between two checks whether a stalled stream's engine is gone, or another one has capacity. */
constexpr Duration StallCheckInterval = millis(100);

} // namespace

bool ModelCall::isStream() const
{
    return answer().status() == 200;
}

AnswerUse ModelCall::answerUse() const
{
    if (phase_ == ModelPhase::Prefilling) {
        return AnswerUse::PromptHandle;
    }
    if (hasBegunAnswer()) {
        return AnswerUse::GoOnStream;
    }
    return requestInfo().lastEventId_.empty() ? AnswerUse::Stream : AnswerUse::ResumeStream;
}

void ModelCall::sendToDecode()
{
    const TimePoint now = BootClock::now();
    if (!mayBeSent()) {
        giveUp(KeyRevokedCause);
        return;
    }
    if (seemsCutOff() && forward()) {
        return;
    }
    auto choice = chooseDecodeEngine(prefillDomain_, prefillVersion_);
    if (!choice && mayPeerReachMore() && forward()) {
        return;
    }
    if (isQuarantined()) {
        giveUp(NoEngineCause);
        return;
    }
    if (!choice) {
        releaseEndpointState(); // Engines of other versions can't use what was read.
        sendResume();
        return;
    }
    if (suspicion_ == Suspicion::Weak) {
        choice->engine_ = leastLoadedEndpoint(prefillVersion_).value_or(choice->engine_);
    }
    const auto wait = millis(static_cast<std::int64_t>(choice->waitMillis_));
    const bool late = now + wait > objectiveDeadline();
    if (late && isDecodeQueueFull(*choice)) {
        giveUp("generators-full");
        return;
    }
    phase_ = ModelPhase::Waiting;
    ++runs_;
    DispatchOptions options;
    options.urgency_ =
        std::clamp(priority(), 0, FirstLateUrgency - 1) + (late ? FirstLateUrgency : 0);
    options.prompt_ = handle_;
    fetchesPrompt_ = true;
    send(choice->engine_, options, Placement::handoverTokens(prompt()));
    startStallTimer();
}

TimePoint ModelCall::objectiveDeadline() const
{
    return context_.request_.startedAt_ + millis(route().objectiveMillis_);
}

std::optional<DecodeChoice>
ModelCall::chooseDecodeEngine(const DomainId &source,
                              const std::optional<SoftwareVersion> &prefillVersion) const
{
    DecodeQuery query;
    query.service_ = context_.service_;
    query.source_ = source;
    query.excluded_ = excluded_;
    query.costs_ = &costs();
    query.version_ = requiredVersion();
    query.prefillVersion_ = prefillVersion;
    query.promptTokens_ = prompt().tokens_;
    query.kvTokens_ = engineTraits().kvTokens_;
    return gateway_.placement_.chooseDecodeEngine(gateway_.table_, query, gateway_.random_(),
                                                  BootClock::now());
}

/** Resumes the stream at another engine, after the last event that was sent to the caller. */
void ModelCall::sendResume()
{
    events_.discardPartialEvent();
    inPlaceOnly_ = true;
    place();
}

/** Only resumable streams are checked for stalls, since the others can't be moved. */
void ModelCall::startStallTimer()
{
    stalled_ = false;
    if (!route().resumable_ || runs_ >= maxAttempts()) {
        return;
    }
    const std::int64_t gap = phase_ == ModelPhase::Streaming
                                 ? StallGapMultiple * route().gapObjectiveMillis_
                                 : 2 * route().objectiveMillis_;
    startAttemptTimer(BootClock::now() + millis(gap));
}

void ModelCall::onAttemptHead()
{
    if (phase_ != ModelPhase::Waiting) {
        return;
    }
    if (!answer().info().misdirected_) {
        // The engine accepted the request, and a handle can be fetched only once.
        handle_.reset();
    }
    if (isStream()) {
        markPromptPrefilled();
    }
}

void ModelCall::onAttemptBody(std::string bytes)
{
    if (phase_ == ModelPhase::Prefilling || !isStream()) {
        bufferAnswer(bytes);
        return;
    }
    const std::string complete = events_.feed(bytes);
    if (!complete.empty()) {
        if (fitsStream(complete)) {
            forwardEvents(complete);
        }
        return;
    }
    limitBufferedAnswers();
}

bool ModelCall::fitsStream(std::string_view events)
{
    if (eventsFrom_.attempt_ == attempt_.number_) {
        return true;
    }
    std::optional<AnswerDefect> defect = answer().defectUnder(answerTerms());
    if (!defect && !delivery_.isFollowedBy(events)) {
        defect = AnswerDefect::OtherPlace;
    }
    if (defect) {
        rejectAnswer(*defect);
    }
    return !defect;
}

/** The endpoint was replaced after its entry was read. */
void ModelCall::onOtherVersion()
{
    logEvent(LogLevel::Warning, "stream_version_differs",
             {{"id", requestInfo().requestId_},
              {"endpoint", attempt_.endpoint_.value()},
              {"version", attemptOrigin().version_.value()},
              {"began_version", origin_->version_.value()}});
    mayHaveRun_ = true;
    excludeEndpoint(std::nullopt);
    if (!acquireRerun()) {
        giveUp("version-differs");
        return;
    }
    releaseEndpointState(); // The handle isn't used again, as it may have been fetched.
    sendResume();
}

void ModelCall::forwardEvents(std::string_view events)
{
    phase_ = ModelPhase::Streaming;
    reportExecutionStart(BootClock::now());
    if (!hasBegunAnswer()) {
        maxSends_ = std::numeric_limits<int>::max(); // Bounded by ResumeRetryDelay.
        firstByteAt_ = BootClock::now();
        beginStream();
    }
    logContinued();
    delivery_.handOn(answer(), events);
    if (gateway_.server_.unwritten(context_.request_.id_) > gateway_.maxUnwrittenBytes()
        && !paused_) {
        paused_ = true;
        stopAttemptTimer();
        attempt_.exchange_.pause();
        countBuffered();
        return;
    }
    startStallTimer();
}

/** The events of an attempt that fits the stream, or begins it, come next. */
void ModelCall::beginStream()
{
    if (!origin_) {
        onStreamBegun(attemptOrigin());
    }
    net::Headers headers = gateway_.dialect_.callerHeaders(answer().head().headers_);
    if (isFromPeer()) {
        headers.push_back(originHeader(*origin_));
    }
    delivery_.begin(answer(), std::move(headers));
}

/** Logs which endpoint goes on with a stream of this answer or of an earlier one. */
void ModelCall::logContinued()
{
    const bool isResumed = !requestInfo().lastEventId_.empty();
    const bool isSameAnswer = eventsFrom_.attempt_ != 0;
    if (eventsFrom_.attempt_ == attempt_.number_) {
        return;
    }
    if (isSameAnswer || isResumed) {
        logEvent(LogLevel::Info, "stream_continued",
                 {{"id", requestInfo().requestId_},
                  {"resumes", requestInfo().resumes_},
                  {"event", delivery_.position()},
                  {"how", isSameAnswer ? "same-answer" : "caller"},
                  {"through", attempt_.peer_.value_or(InstanceId()).value()},
                  {"began_at", eventsFrom_.endpoint_.value()},
                  {"began_version", eventsFrom_.version_.value()},
                  {"endpoint", attempt_.endpoint_.value()},
                  {"version", attempt_.origin_.version_.value()},
                  {"restarted", endpointRestarted() ? "yes" : "no"},
                  {"prompt_from", fetchesPrompt_ ? prefillEngine_.value() : ""}});
    }
    eventsFrom_ = {attempt_.endpoint_, attempt_.origin_.version_, attempt_.number_};
}

void ModelCall::onWritten()
{
    if (paused_) {
        paused_ = false;
        countBuffered();
        startStallTimer();
        attempt_.exchange_.resume();
    }
}

/** The engine asserts that it didn't execute the request: the handle has expired, or it is full. */
void ModelCall::onNotRun()
{
    if (attempt_.peer_) {
        mayBePrefilled_ = wasPrefilledBefore_;
        onPeerRefused() ? place() : giveUp("peers-refused");
        return;
    }
    takeRetryAfter();
    logNotRun();
    const HealthSignal evidence = refusalSignal();
    if (fetchesPrompt_ && !answer().info().misdirected_ && evidence == HealthSignal::Declined) {
        // The engine has capacity, so the prompt had expired or couldn't be transferred in time.
        // When only this engine was blamed, healthy engines were excluded for expired handles of
        // others.
        gateway_.table_.onHandoverRefused(prefillEngine_, attempt_.endpoint_, BootClock::now());
        excludeEndpoint(std::nullopt);
    } else {
        excludeEndpoint(evidence);
    }
    acquireRetry() ? continueElsewhere() : giveUp("engine-full");
}

/** Continues at another engine, with the prefilled prompt unless an engine has fetched it. */
void ModelCall::continueElsewhere()
{
    if (hasPrefillEngineRestarted()) {
        handle_.reset(); // A restart loses the engine's KV cache.
    }
    handle_ ? sendToDecode() : sendResume();
}

bool ModelCall::hasPrefillEngineRestarted() const
{
    const Endpoint *prefillEngine = gateway_.table_.find(prefillEngine_);
    return handle_ && prefillEngine != nullptr && prefillEngine->lifetime_ != prefillLifetime_;
}

void ModelCall::onStreamEnd()
{
    const std::string rest = events_.partialEvent();
    if (!rest.empty() && answer().mayHoldEvents()) {
        checkForCrash();
        onStreamBroken(async::ExchangeFailure::Truncated, HealthSignal::Broken);
        return;
    }
    if (!fitsStream(rest)) {
        return;
    }
    if (!hasBegunAnswer() || !rest.empty()) {
        forwardEvents(rest);
    }
    if (firstByteAt_ >= attempt_.sentAt_) {
        costs().onGenerated(route().name_,
                            static_cast<double>(toMillis(BootClock::now() - firstByteAt_)));
    }
    closeAttempt(HealthSignal::Healthy);
    delivery_.end(answer());
    finish(Outcome::Answered, 200, "");
}

void ModelCall::logPartialEvent() const
{
    if (!events_.partialEvent().empty()) {
        logEvent(LogLevel::Info, "partial_event",
                 {{"id", requestInfo().requestId_},
                  {"endpoint", attempt_.endpoint_.value()},
                  {"bytes", events_.partialEvent().size()},
                  {"content_type", net::headerValue(answer().head().headers_, "Content-Type")}});
    }
}

void ModelCall::onStreamBroken(async::ExchangeFailure failure, HealthSignal evidence)
{
    logPartialEvent();
    mayHaveRun_ = true;
    reportExecutionStart(BootClock::now());
    excludeEndpoint(evidence);
    if (acquireRerun()) {
        releaseEndpointState(); // The handle isn't used again, as it may have been fetched.
        sendResume();
        return;
    }
    giveUp(nameOf(async::ExchangeFailureNames, failure));
}

/**
 * Handles a stall. An overloaded engine preempts requests and sends nothing meanwhile, which looks
 * the same as a hang. A stream that is moved away from an overloaded engine and refused by the
 * others is lost, though it would have continued. So it is moved only if its engine is known to be
 * gone, or if another engine has capacity.
 */
void ModelCall::onStreamStalled()
{
    const TimePoint now = BootClock::now();
    if (attempt_.peer_) {
        startAttemptTimer(now + StallCheckInterval); // Only the peer can tell whether it hangs.
        return;
    }
    if (!stalled_) {
        stalled_ = true;
        endpointTrace_ += ":silent";
        gateway_.table_.onSuspected(attempt_.endpoint_, now);
    }
    DecodeQuery others;
    others.service_ = context_.service_;
    others.excluded_ = excluded_;
    others.excluded_.push_back(attempt_.endpoint_);
    others.version_ = requiredVersion();
    const bool shouldMove =
        isEngineGone() || gateway_.placement_.anyDecodeEngineHasRoom(gateway_.table_, others, now);
    if (!shouldMove || !acquireRerun()) {
        startAttemptTimer(now + StallCheckInterval);
        return;
    }
    mayHaveRun_ = true;
    checkForCrash();
    excludeEndpoint(HealthSignal::TimedOut);
    releaseEndpointState();
    sendResume();
}

bool ModelCall::isEngineGone() const
{
    const Endpoint *engine = gateway_.table_.find(attempt_.endpoint_);
    return engine == nullptr || !engine->isListed_ || engine->failedProbes_ > 0
           || endpointRestarted();
}

} // namespace almondridge::gateway
