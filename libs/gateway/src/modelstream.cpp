#include "modelcall.h"

#include <algorithm>
#include <limits>

namespace almondridge::gateway {
namespace {

/** Bytes of a stream that wait for a slow caller before the engine is no longer read. */
constexpr std::size_t MaxUnwritten = 131'072;
/** A stream that may be resumed counts as silent after this many times its longest pause. */
constexpr int StalledAfterGaps = 4;
/** Between two looks whether a silent stream's engine is gone, or another one has room. */
constexpr Duration TakeoverInterval = millis(100);

} // namespace

bool ModelCall::isStream() const
{
    return attempt_.head_.status_ == 200;
}

void ModelCall::sendToDecode()
{
    const TimePoint now = BootClock::now();
    if (!isKeyValid()) {
        giveUp(KeyWithdrawnCause);
        return;
    }
    auto choice = chooseDecodeEngine(prefillDomain_);
    if (!choice || isQuarantined()) {
        giveUp("no-engine");
        return;
    }
    if (suspicion_ == Suspicion::Weak) {
        choice->engine_ = quietestEndpoint().value_or(choice->engine_);
    }
    const auto wait = millis(static_cast<std::int64_t>(choice->waitMillis_));
    const bool late = now + wait > inTimeUntil();
    if (late && isRefusedBy(*choice)) {
        giveUp("generators-full");
        return;
    }
    phase_ = ModelPhase::Waiting;
    ++runs_;
    SendOrder order;
    order.urgency_ =
        std::clamp(priority(), 0, FirstLateUrgency - 1) + (late ? FirstLateUrgency : 0);
    order.prompt_ = handle_;
    fetches_ = true;
    send(choice->engine_, order, Placement::handoverTokens(prompt()));
    watchStream();
}

TimePoint ModelCall::inTimeUntil() const
{
    return input_.request_.startedAt_ + millis(route().objectiveMillis_);
}

std::optional<DecodeChoice> ModelCall::chooseDecodeEngine(const DomainId &source) const
{
    DecodeQuery query;
    query.service_ = input_.service_;
    query.source_ = source;
    query.excluded_ = excluded_;
    query.costs_ = &costs();
    return gateway_.placement_.chooseDecodeEngine(gateway_.table_, query, gateway_.random_(),
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
    countBegan(BootClock::now());
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

/** The engine promises that it did not run the request: the handle may be gone, or it is full. */
void ModelCall::notRun()
{
    retryAfterMillis_ = attempt_.facts_.retryAfterMillis_;
    logNotRun();
    const HealthSignal evidence = refusalEvidence();
    if (fetches_ && !attempt_.facts_.misdirected_ && evidence == HealthSignal::Declined) {
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
        streamBroke(async::ExchangeFailure::Garbled, HealthSignal::Broken);
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
    closeAttempt(HealthSignal::Healthy);
    gateway_.server_.endStream(input_.request_.id_);
    finish(Outcome::Answered, 200, "");
}

void ModelCall::streamBroke(async::ExchangeFailure failure, HealthSignal evidence)
{
    mayHaveRun_ = true;
    countBegan(BootClock::now());
    leaveEndpoint(evidence);
    if (mayRunAgain()) {
        abandonEndpoints(); // Whether the handle was fetched is not known: it is not used again.
        sendResume();
        return;
    }
    giveUp(nameOf(async::ExchangeFailureNames, failure));
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
    const bool leave = engineIsGone()
                       || gateway_.placement_.anyDecodeEngineHasRoom(gateway_.table_,
                                                                     input_.service_, others, now);
    if (!leave || !mayRunAgain()) {
        watchSilence(now + TakeoverInterval);
        return;
    }
    mayHaveRun_ = true;
    noteBreak();
    leaveEndpoint(HealthSignal::TimedOut);
    abandonEndpoints();
    sendResume();
}

bool ModelCall::engineIsGone() const
{
    const Endpoint *engine = gateway_.table_.find(attempt_.endpoint_);
    return engine == nullptr || !engine->isListed_ || engine->failedProbes_ > 0
           || endpointRestarted();
}

} // namespace almondridge::gateway
