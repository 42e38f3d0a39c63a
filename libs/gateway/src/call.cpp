#include "call.h"

#include "answerbuffers.h"

#include "almondridge/base/log.h"

#include <algorithm>
#include <utility>

namespace almondridge::gateway {
namespace {

/** Deadline of requests whose callers give none; a route's timeout can only shorten it. */
constexpr std::int64_t DefaultMaxWaitMillis = 30'000;
/**
 * Retry-After of refused requests if no endpoint gave one: an engine prefills a full queue of
 * prompts in this time.
 */
constexpr std::int64_t DefaultRetryAfterMillis = 300;
/** Longest Retry-After for what endpoints ask of this instance. */
constexpr std::int64_t MaxRetryAfterMillis = 1'000;
/** Between two checks whether a suspected request may start. */
constexpr Duration StartRetryInterval = millis(100);
/** Longer than most executions that crash an endpoint, and a short delay for harmless requests. */
constexpr Duration WeakSuspicionWait = millis(1'000);
/** Until other instances' claims to run the same suspected request have arrived. */
constexpr Duration LeaseSettleTime = millis(300);
/** The same for the single trial run after a quarantine (half-open). */
constexpr Duration HalfOpenSettleTime = millis(1'000);
/** An endpoint that was silent for this long when the request ended may have crashed. */
constexpr Duration CrashCheckSilence = millis(1'000);
constexpr std::size_t MaxLoggedPartsBytes = 1'024;
/** Interval of lease renewals for long executions; several may be lost before the lease expires. */
constexpr Duration LeaseRenewalInterval = millis(9'000);
/** Peers that one request is offered to when several of them are cut off, too. */
constexpr std::size_t MaxPeersAsked = 8;
/** The same if only the endpoints of its service can't be reached, which are mostly gone then. */
constexpr std::size_t MaxPeersAskedForService = 2;
/** Between two queries where a stream began; several times the way to another failure domain. */
constexpr Duration OriginQueryInterval = millis(50);
/** A caller abandons a stream after seconds without events; a refusal lets it try elsewhere. */
constexpr Duration OriginQueryTime = millis(250);
constexpr int FirstNotSuccess = 300;
constexpr int FirstServerError = 500;
constexpr std::string_view QuarantinedCause = "quarantined";
/** An endpoint, or a peer, answered as if it hadn't run the request, and didn't state so. */
constexpr std::string_view UnprovenRefusalCause = "unproven-refusal";

/** Callers send a request that can't be repeated once more after one of these statuses. */
bool isPromiseOfNotRun(int status)
{
    constexpr std::array<int, 4> Promises {408, 421, 429, 503};
    return std::find(Promises.begin(), Promises.end(), status) != Promises.end();
}

RequestPath pathOf(const DispatchOptions &options)
{
    if (options.prefillOnly_) {
        return RequestPath::Prefill;
    }
    if (options.prompt_) {
        return RequestPath::Decode;
    }
    if (!options.resumeAfter_.empty()) {
        return RequestPath::Resume;
    }
    return options.urgency_ ? RequestPath::InPlace : RequestPath::Service;
}

} // namespace

Call::Call(GatewayState &gateway, CallContext context)
    : gateway_(gateway)
    , context_(std::move(context))
    , origin_(context_.origin_)
    , deadlineTimer_(gateway.loop_)
    , attemptTimer_(gateway.loop_)
    , startRetryTimer_(gateway.loop_)
{
    const std::int64_t maxWait = requestInfo().maxWaitMillis_.value_or(DefaultMaxWaitMillis);
    const std::int64_t timeout = route().timeoutMillis_ > 0 ? route().timeoutMillis_ : maxWait;
    deadline_ = context_.request_.startedAt_ + millis(std::min(maxWait, timeout));
    startTimer(deadlineTimer_, deadline_, &Call::onDeadline);
    gateway_.peerCalls_ += isFromPeer() ? 1 : 0;
}

Call::~Call() = default;

void Call::startTimer(async::Timer &timer, TimePoint at, Handler handler)
{
    timer.startAt(at, [&calls = gateway_.calls_, number = number(), handler] {
        if (Call *call = calls.find(number)) {
            (call->*handler)();
        }
    });
}

void Call::tryStart()
{
    if (origin_ && !route().leadsTo(origin_->service_)) {
        refuse(VersionGoneCause);
        return;
    }
    if (shouldForward()) {
        // The instance that sends it to an endpoint decides by the crash evidence.
        begin();
        return;
    }
    if (!gateway_.knowsQuarantines(BootClock::now())) {
        scheduleStartRetry();
        return;
    }
    const Assessment assessment = gateway_.crashes_.assess(keys());
    switch (assessment.level_) {
    case Suspicion::Quarantined:
        refuseQuarantined(assessment);
        return;
    case Suspicion::Strong:
    case Suspicion::HalfOpen:
        startWithLease(assessment);
        return;
    case Suspicion::Weak:
        if (isEqualRequestRunning()
            && BootClock::now() < context_.request_.startedAt_ + WeakSuspicionWait) {
            scheduleStartRetry();
            return;
        }
        break;
    case Suspicion::None:
        break;
    }
    suspicion_ = assessment.level_;
    begin();
}

void Call::begin()
{
    started_ = true;
    resumesStream() && !origin_ ? findOrigin() : start();
}

bool Call::resumesStream() const
{
    return route().kind_ == RouteKind::Streaming && !requestInfo().lastEventId_.empty();
}

/** All attempts to resume a stream name the request that began it. */
RequestKey Call::streamKey() const
{
    return gateway_.streamKey(resumesStream() ? requestInfo().resumes_ : requestInfo().requestId_,
                              context_.access_.account_.id_);
}

void Call::findOrigin()
{
    if (requestInfo().resumes_.empty()) {
        refuseUnknownVersion();
        return;
    }
    const TimePoint now = BootClock::now();
    if (const auto known = gateway_.origins_.find(streamKey(), now)) {
        goOnAt(*known);
        return;
    }
    originDeadline_ = now + OriginQueryTime;
    askOrigin();
}

void Call::askOrigin()
{
    const TimePoint now = BootClock::now();
    if (now >= originDeadline_ || !gateway_.askOrigin(streamKey())) {
        gateway_.origins_.endQuery(streamKey());
        refuseUnknownVersion();
        return;
    }
    startTimer(attemptTimer_, std::min(now + OriginQueryInterval, originDeadline_),
               &Call::askOrigin);
}

void Call::refuseUnknownVersion()
{
    gateway_.metrics_.count("streams_taken_up_total", observe::metricLabel("origin", "unknown"));
    refuse(VersionUnknownCause);
}

void Call::onOriginAnswer(const OriginAnswer &answer)
{
    const bool isAwaited = started_ && originDeadline_ != TimePoint {} && !origin_;
    if (!isAwaited || answer.stream_ != streamKey()) {
        return;
    }
    attemptTimer_.stop();
    if (answer.origin_) {
        goOnAt(*answer.origin_);
    } else {
        refuseUnknownVersion();
    }
}

void Call::goOnAt(const StreamOrigin &origin)
{
    gateway_.metrics_.count(
        "streams_taken_up_total",
        observe::metricLabel("origin", originDeadline_ == TimePoint {} ? "known" : "asked"));
    setOrigin(origin);
    if (!route().leadsTo(origin.service_)) {
        refuse(VersionGoneCause);
        return;
    }
    gateway_.addOrigin(streamKey(), origin); // Those that were told before may be gone.
    start();
}

void Call::onStreamBegun(const StreamOrigin &origin)
{
    setOrigin(origin);
    // The instance that forwards a request tells the others.
    if (route().resumable_ && !origin.version_.empty() && !isFromPeer()) {
        gateway_.addOrigin(streamKey(), origin);
    }
}

/** Under strong suspicion only one of the equal requests runs at a time in the whole fleet. */
void Call::startWithLease(const Assessment &assessment)
{
    const TimePoint now = BootClock::now();
    const bool halfOpen = assessment.level_ == Suspicion::HalfOpen;
    if (leaseSettledAt_ == TimePoint {} && gateway_.crashes_.acquireLease(assessment.key_)) {
        leaseKey_ = assessment.key_;
        leaseSettledAt_ = now + (halfOpen ? HalfOpenSettleTime : LeaseSettleTime);
    } else if (leaseSettledAt_ != TimePoint {} && now >= leaseSettledAt_) {
        if (gateway_.crashes_.holdsLease(leaseKey_)) {
            if (!halfOpen) {
                runAlone();
            } else if (!std::exchange(trialAsked_, true)) {
                gateway_.claimTrial(leaseKey_, number());
            }
            return;
        }
        leaseSettledAt_ = {};
    }
    if (halfOpen && leaseSettledAt_ == TimePoint {}) {
        refuseQuarantined(assessment);
        return;
    }
    scheduleStartRetry();
}

void Call::runAlone()
{
    suspicion_ = Suspicion::Strong;
    scheduleLeaseRenewal();
    begin();
}

void Call::onTrialClaimed(bool granted)
{
    if (started_) {
        return;
    }
    trialGranted_ = granted;
    const Assessment assessment = gateway_.crashes_.assess(keys());
    const bool mayRun = granted && assessment.level_ != Suspicion::Quarantined
                        && gateway_.crashes_.holdsLease(leaseKey_);
    mayRun ? runAlone() : refuseQuarantined(assessment);
}

void Call::scheduleLeaseRenewal()
{
    gateway_.crashes_.renewLease(leaseKey_);
    startTimer(startRetryTimer_, BootClock::now() + LeaseRenewalInterval,
               &Call::scheduleLeaseRenewal);
}

void Call::scheduleStartRetry()
{
    startTimer(startRetryTimer_, BootClock::now() + StartRetryInterval, &Call::tryStart);
}

bool Call::isEqualRequestRunning() const
{
    const auto &calls = gateway_.calls_.all();
    return std::any_of(calls.begin(), calls.end(), [&](const auto &entry) {
        const Call &other = *entry.second;
        return &other != this && other.key() == key() && other.started_;
    });
}

void Call::refuseQuarantined(const Assessment &assessment)
{
    const TimePoint now = BootClock::now();
    logEvent(LogLevel::Warning, "request_quarantined",
             {{"id", requestInfo().requestId_},
              {"key", toString(assessment.key_)},
              {"crashes", assessment.crashes_},
              {"weight", assessment.weight_},
              {"first_crash_ms", toMillis(now - assessment.firstCrashAt_)},
              {"last_crash_ms", toMillis(now - assessment.lastCrashAt_)},
              {"until_ms", millisUntil(assessment.quarantinedUntil_, now)}});
    refuse(QuarantinedCause);
}

bool Call::isRunningOn(const EndpointId &endpoint, std::uint64_t lifetime) const noexcept
{
    return hasAttempt() && attempt_.endpoint_ == endpoint && attempt_.lifetime_ == lifetime;
}

bool Call::isQuarantined() const
{
    const Suspicion level = gateway_.crashes_.assess(keys()).level_;
    return level == Suspicion::Quarantined || (level == Suspicion::HalfOpen && !started_);
}

std::optional<EndpointId>
Call::leastLoadedEndpoint(const std::optional<SoftwareVersion> &version) const
{
    const auto choice =
        gateway_.placement_.chooseLeastLoaded(gateway_.table_, context_.service_, excluded_,
                                              gateway_.random_(), BootClock::now(), version);
    const bool isLastOne = choice && choice->isLastUsable_ && suspicion_ == Suspicion::Strong;
    return choice && !isLastOne ? std::optional(choice->endpoint_) : std::nullopt;
}

void Call::reportExecutionStart(TimePoint startedAt)
{
    const AccountId &account = context_.access_.account_.id_;
    // A peer reports what it sends to endpoints itself.
    if (attempt_.peer_ || std::exchange(executionReported_, true) || account.empty()
        || !gateway_.onExecutionStarted_) {
        return;
    }
    gateway_.onExecutionStarted_(account, startedAt);
}

/**
 * A process that was frozen between two attempts may have missed a revocation, and restarts of
 * endpoints.
 */
bool Call::mayBeSent() const
{
    gateway_.noticePause();
    return isStillGranted(*gateway_.config_, context_.access_, gateway_.keyLease_,
                          BootClock::now());
}

/** Shows what the requests at an endpoint that crashes have in common. */
void Call::logBroken() const
{
    if (!gateway_.brokenLines_.take(BootClock::now())) {
        return;
    }
    std::string parts;
    for (const RequestKey part : keys().parts_) {
        parts += (parts.empty() ? "" : ",") + toString(part);
    }
    logEvent(LogLevel::Info, "connection_broken",
             {{"endpoint", attempt_.endpoint_.value()},
              {"key", toString(key())},
              {"parts", parts.substr(0, MaxLoggedPartsBytes)}});
}

/** A broken connection alone doesn't prove a crash, so a new connection is tried. */
void Call::checkForCrash()
{
    if (hasAttempt() && !attempt_.peer_) {
        logBroken();
        gateway_.crashes_.onConnectionBroken(attempt_.endpoint_, attempt_.lifetime_, keys());
    }
}

std::int64_t Call::remainingMillis() const
{
    return std::max<std::int64_t>(1, millisUntil(deadline_, BootClock::now()));
}

void Call::send(const EndpointId &endpoint, DispatchOptions options, std::int64_t promptTokens)
{
    if (!beginAttempt()) {
        return;
    }
    const Endpoint *target = gateway_.table_.find(endpoint);
    options.endpoint_ = endpoint;
    options.account_ = context_.access_.account_.id_;
    options.maxWaitMillis_ = remainingMillis();
    attempt_.endpoint_ = endpoint;
    attempt_.lifetime_ = target->lifetime_;
    attempt_.origin_ = {context_.service_,
                        gateway_.table_.streamVersionAt(*target, BootClock::now())};
    attempt_.promptTokens_ = promptTokens;
    attempt_.urgency_ = options.urgency_.value_or(0);
    attempt_.sentAt_ = BootClock::now();
    gateway_.table_.onSent(endpoint, attempt_.urgency_, promptTokens, attempt_.sentAt_);
    gateway_.traffic_.onSent(endpoint, pathOf(options), attempt_.sentAt_);
    endpointTrace_ += (endpointTrace_.empty() ? "" : ",") + endpoint.value();
    versionTrace_ += (sends_ > 1 ? "," : "") + attempt_.origin_.version_.value();
    startExchange(gateway_.client_, endpoint.value(), target->listed_.address_,
                  context_.request_.head_, options);
    gateway_.reach_.onSent(attempt_.sentAt_);
}

bool Call::beginAttempt()
{
    if (hasEnded()) {
        gateway_.metrics_.count("sends_after_end_total");
        logEvent(LogLevel::Error, "send_after_end", {{"id", requestInfo().requestId_}});
        return false;
    }
    ++sends_;
    attempt_ = {};
    attempt_.held_ = async::HeldBytes(gateway_.loop_.memory());
    return true;
}

void Call::startExchange(async::HttpClient &client, const std::string &peer,
                         const net::Address &address, const async::RequestHead &head,
                         const DispatchOptions &options)
{
    async::ExchangeRequest request;
    request.peer_ = peer;
    request.address_ = address;
    request.text_ = gateway_.dialect_.serializeRequest(head, context_.request_.body_, options);
    request.requestId_ = requestInfo().requestId_;
    request.bodyless_ = head.method_ == "HEAD";
    request.connectBy_ = attempt_.sentAt_ + millis(gateway_.settings_.connectTimeoutMillis_);
    attempt_.number_ = ++attempts_;
    attempt_.exchange_ = {client, client.start(std::move(request), attemptEvents())};
}

async::ExchangeEvents Call::attemptEvents() const
{
    const auto find = [&gateway = gateway_, call = number(), attempt = attempt_.number_] {
        return gateway.findAttempt(call, attempt);
    };
    async::ExchangeEvents events;
    events.onHead_ = [find](async::ResponseHead &head) {
        if (Call *call = find()) {
            call->onHead(head);
        }
    };
    events.onBody_ = [find](std::string bytes) {
        if (Call *call = find()) {
            call->onBody(std::move(bytes));
        }
    };
    events.onEnd_ = [find] {
        if (Call *call = find()) {
            call->onAttemptEnd();
        }
    };
    events.onFailed_ = [find](async::ExchangeFailure failure) {
        if (Call *call = find()) {
            call->onFailed(failure);
        }
    };
    return events;
}

void Call::onHead(async::ResponseHead &head)
{
    if (!attempt_.peer_) {
        mayHaveArrived_ = true;
        gateway_.reach_.onHeard();
    }
    auto decision = acceptAnswer(gateway_.dialect_, std::move(head), answerTerms());
    if (const auto *defect = std::get_if<AnswerDefect>(&decision)) {
        rejectAnswer(*defect);
        return;
    }
    attempt_.answer_ = std::get<AcceptedAnswer>(std::move(decision));
    attempt_.headBytes_ = async::heldBytes(answer().head());
    countBuffered();
    if (attempt_.peer_) {
        attempt_.origin_ = answer().origin();
        if (!answer().peerRefusal()) {
            gateway_.peers_.onAnswered(*attempt_.peer_);
        }
    } else if (!endpointRestarted()) {
        onAnswerOfEndpoint();
    }
    onAttemptHead();
}

AnswerTerms Call::answerTerms() const
{
    AnswerTerms terms;
    terms.use_ = answerUse();
    terms.sender_ = attempt_.peer_ ? AnswerSender::Peer : AnswerSender::Endpoint;
    terms.origin_ = attemptOrigin();
    const bool goesOn = origin_ && terms.use_ != AnswerUse::PromptHandle;
    terms.version_ = goesOn ? std::optional(origin_->version_) : std::nullopt;
    return terms;
}

void Call::rejectAnswer(AnswerDefect defect)
{
    const std::string_view name = nameOf(AnswerDefectNames, defect);
    endpointTrace_ += ':';
    endpointTrace_ += name;
    gateway_.metrics_.count("answers_rejected_total", observe::metricLabel("defect", name));
    logEvent(LogLevel::Warning, "answer_rejected",
             {{"id", requestInfo().requestId_},
              {"endpoint", attempt_.endpoint_.value()},
              {"through", attempt_.peer_.value_or(InstanceId()).value()},
              {"defect", name}});
    mayHaveArrived_ = true;
    defect == AnswerDefect::OtherVersion ? onOtherVersion()
                                         : onAttemptFailed(async::ExchangeFailure::Garbled);
}

void Call::onBody(std::string bytes)
{
    if (!attempt_.peer_) {
        gateway_.reach_.onHeard();
    }
    onAttemptBody(std::move(bytes));
}

void Call::onFailed(async::ExchangeFailure failure)
{
    endpointTrace_ += ':';
    endpointTrace_ += nameOf(async::ExchangeFailureNames, failure);
    if (failure != async::ExchangeFailure::NotSent) {
        mayHaveArrived_ = true;
        checkForCrash();
    }
    onAttemptFailed(failure);
}

void Call::bufferAnswer(std::string_view bytes)
{
    attempt_.body_ += bytes;
    limitBufferedAnswers();
}

void Call::countBuffered()
{
    attempt_.held_.set(attempt_.headBytes_ + attempt_.body_.capacity() + partialEventBytes()
                       + unreadAnswerBytes());
}

void Call::limitBufferedAnswers()
{
    countBuffered();
    const async::MemoryAccount &memory = gateway_.loop_.memory();
    const bool isFull = memory.limit() > 0 && memory.held() > memory.limit();
    if (bufferedBytes() > SmallAnswerBytes || isFull) {
        gateway_.limitBufferedAnswers();
    }
}

void Call::giveUpAnswer()
{
    attempt_.exchange_.fail(async::ExchangeFailure::Truncated);
}

bool Call::seemsCutOff() const
{
    return !isFromPeer() && gateway_.reach_.state() != Reach::Connected;
}

bool Call::hasPeer() const
{
    return gateway_.peers_.choose(excludedPeers_, BootClock::now()).has_value();
}

bool Call::shouldForward() const
{
    return seemsCutOff() && hasPeer();
}

StreamOrigin Call::attemptOrigin() const
{
    const Endpoint *endpoint = gateway_.table_.find(attempt_.endpoint_);
    const bool isInDoubt = !attempt_.peer_
                           && (endpoint == nullptr || endpointRestarted()
                               || gateway_.table_.streamVersionAt(*endpoint, BootClock::now())
                                      != attempt_.origin_.version_);
    return isInDoubt ? StreamOrigin {attempt_.origin_.service_, {}} : attempt_.origin_;
}

void Call::setOrigin(const StreamOrigin &origin)
{
    origin_ = origin;
    context_.service_ = origin.service_;
}

bool Call::isVersionListed() const
{
    return gateway_.table_.hasVersion(origin_->service_, origin_->version_);
}

/** The list of endpoints is read together with the configuration. */
bool Call::mayBeListedElsewhere() const
{
    return !origin_->version_.empty()
           && (seemsCutOff() || gateway_.mayConfigBeStale(BootClock::now()));
}

bool Call::canGoOn() const
{
    return !origin_ || isVersionListed() || mayBeListedElsewhere();
}

bool Call::mayPeerReachMore() const
{
    const bool isListOld = origin_ && !isVersionListed() && mayBeListedElsewhere();
    return !isFromPeer() && (isListOld || gateway_.table_.hasUnreachable(context_.service_));
}

bool Call::sendToPeer(const std::string &resumeAfter)
{
    const TimePoint now = BootClock::now();
    const auto peer = gateway_.peers_.choose(excludedPeers_, now);
    const std::size_t maxAsked =
        gateway_.reach_.state() == Reach::Connected ? MaxPeersAskedForService : MaxPeersAsked;
    if (!peer || sends_ >= maxSends_ || excludedPeers_.size() >= maxAsked || !beginAttempt()) {
        return false;
    }
    if (attempts_ > 0) {
        gateway_.budget(context_.service_).onForwarded();
    }
    attempt_.peer_ = peer->id_;
    attempt_.origin_.service_ = context_.service_;
    attempt_.sentAt_ = now;
    DispatchOptions options;
    options.maxWaitMillis_ = remainingMillis();
    options.resumeAfter_ = resumeAfter;
    async::RequestHead head = context_.request_.head_;
    addPeerHeaders(head, context_.config_->version(), context_.credentials_);
    if (origin_) {
        head.headers_.push_back(originHeader(*origin_));
    }
    endpointTrace_ += (endpointTrace_.empty() ? "instance:" : ",instance:") + peer->id_.value();
    versionTrace_ += sends_ > 1 ? "," : "";
    gateway_.peers_.onSent(peer->id_);
    gateway_.metrics_.count("requests_forwarded_total");
    startExchange(gateway_.peerClient_, peer->id_.value(), peer->address_, head, options);
    return true;
}

bool Call::onPeerRefused()
{
    const TimePoint now = BootClock::now();
    const PeerRefusal refusal = answer().peerRefusal().value_or(PeerRefusal::Final);
    endpointTrace_ += ':';
    endpointTrace_ += nameOf(PeerRefusalNames, refusal);
    gateway_.metrics_.count("requests_forwarded_refused_total",
                            observe::metricLabel("reason", nameOf(PeerRefusalNames, refusal)));
    takeRetryAfter();
    --sends_; // No endpoint was asked.
    const InstanceId peer = *attempt_.peer_;
    excludeEndpoint(std::nullopt);
    if (refusal == PeerRefusal::CutOff) {
        gateway_.peers_.onCutOff(peer, now);
    } else if (refusal != PeerRefusal::Final) {
        gateway_.peers_.onUnavailable(peer, now);
    }
    return refusal != PeerRefusal::Final && canTryAnotherEndpoint();
}

void Call::onAnswerOfEndpoint()
{
    const TimePoint now = BootClock::now();
    if (answer().info().load_) {
        gateway_.table_.onLoad(attempt_.endpoint_, *answer().info().load_, now);
    }
    gateway_.traffic_.onAnswer(attempt_.endpoint_, answer(), now);
}

HealthSignal Call::refusalSignal() const
{
    if (answer().info().misdirected_) {
        return HealthSignal::Declined;
    }
    if (!answer().info().load_) {
        return HealthSignal::Overloaded;
    }
    const LoadSample &load = *answer().info().load_;
    const bool hasCapacity = load.waiting_ == 0 && 2 * load.running_ < load.slots_;
    return hasCapacity ? HealthSignal::Declined : HealthSignal::Overloaded;
}

void Call::logNotRun() const
{
    const LoadSample load = answer().info().load_.value_or(LoadSample {});
    logEvent(LogLevel::Info, "not_run",
             {{"id", requestInfo().requestId_},
              {"endpoint", attempt_.endpoint_.value()},
              {"status", answer().status()},
              {"running", load.running_},
              {"waiting", load.waiting_},
              {"slots", load.slots_},
              {"after_ms", toMillis(BootClock::now() - attempt_.sentAt_)},
              {"backoff_ms", answer().info().backoffMillis_.value_or(-1)},
              {"taken_as", nameOf(HealthSignalNames, refusalSignal())},
              {"body", attempt_.body_.substr(0, 80)}});
}

bool Call::endpointRestarted() const
{
    const Endpoint *endpoint = gateway_.table_.find(attempt_.endpoint_);
    return endpoint != nullptr && endpoint->lifetime_ != attempt_.lifetime_;
}

void Call::markPromptPrefilled()
{
    if (!endpointRestarted()) {
        gateway_.table_.onPrefilled(attempt_.endpoint_, attempt_.urgency_, attempt_.promptTokens_);
    }
    attempt_.promptTokens_ = 0;
}

void Call::closeAttempt(std::optional<HealthSignal> evidence)
{
    attemptTimer_.stop();
    if (!hasAttempt()) {
        return;
    }
    attempt_.exchange_.cancel();
    if (attempt_.peer_) {
        gateway_.peers_.onEnded(*attempt_.peer_);
        return;
    }
    markPromptPrefilled();
    if (endpointRestarted()) {
        gateway_.table_.onClosedOfEarlierLifetime(attempt_.endpoint_);
        return;
    }
    if (evidence
        && gateway_.table_.onHealthSignal(attempt_.endpoint_, *evidence, BootClock::now())) {
        logEvent(LogLevel::Warning, "endpoint_trust",
                 {{"endpoint", attempt_.endpoint_.value()},
                  {"evidence", nameOf(HealthSignalNames, *evidence)},
                  {"trusted", *evidence == HealthSignal::Healthy ? "yes" : "no"},
                  {"request", requestInfo().requestId_}});
    }
    gateway_.table_.onClosed(attempt_.endpoint_, attempt_.urgency_);
}

void Call::excludeEndpoint(std::optional<HealthSignal> evidence)
{
    if (attempt_.peer_) {
        // A broken answer shows that the peer lost its endpoint, not that it can't reach another.
        if (evidence != HealthSignal::Broken) {
            excludedPeers_.push_back(*attempt_.peer_);
        }
        if (evidence == HealthSignal::Unreachable || evidence == HealthSignal::TimedOut) {
            gateway_.peers_.onUnavailable(*attempt_.peer_, BootClock::now());
        }
    } else {
        excluded_.push_back(attempt_.endpoint_);
    }
    closeAttempt(evidence);
}

void Call::startAttemptTimer(TimePoint until)
{
    startTimer(attemptTimer_, until, &Call::onAttemptTimeout);
}

/**
 * Doesn't take from the retry budget: the budget limits the load that retries add to endpoints, and
 * a request that never arrived adds none. When these retries were counted, a crash of a quarter of
 * the engines used up the budget within a second, and healthy engines idled while callers were
 * refused.
 */
bool Call::canTryAnotherEndpoint() const
{
    return sends_ < maxSends_ && BootClock::now() < deadline_ && !isQuarantined();
}

/** Strongly suspected requests get no retries, as each could crash another endpoint. */
bool Call::acquireRetry()
{
    return canTryAnotherEndpoint() && suspicion_ != Suspicion::Strong
           && gateway_.budget(context_.service_).take(BootClock::now());
}

bool Call::acquireRerun()
{
    return route().idempotent() && runs_ < maxAttempts() && acquireRetry();
}

void Call::onCallerGone()
{
    checkForCrashIfSilent();
    releaseEndpointState();
    closeAttempt(std::nullopt);
    finish(Outcome::Abandoned, 0, "caller-gone");
}

void Call::onStop()
{
    mayHaveRun_ = mayHaveRun_ || runs_ > 0;
    releaseEndpointState();
    closeAttempt(std::nullopt);
    endUnanswered(StoppingCause);
}

void Call::endUnanswered(std::string_view cause)
{
    if (hasBegunAnswer()) {
        gateway_.server_.abort(context_.request_.id_);
        finish(Outcome::Failed, 0, cause);
    } else if (mayHaveRun_) {
        failCall(502, cause);
    } else {
        refuse(cause);
    }
}

void Call::onDeadline()
{
    if (!started_) {
        refuse("suspected");
        return;
    }
    if (attempts_ == 0 && resumesStream()) {
        refuseUnknownVersion();
        return;
    }
    checkForCrashIfSilent();
    failCall(504, "deadline");
}

/** An endpoint can be gone without its connections being reset. */
void Call::checkForCrashIfSilent()
{
    const TimePoint now = BootClock::now();
    if (firstByteAt_ == TimePoint {} && attempt_.sentAt_ + CrashCheckSilence < now) {
        checkForCrash();
    }
}

void Call::forwardResponse()
{
    const int status = answer().status();
    if (isPromiseOfNotRun(status) && !mayPromiseNotRun()) {
        endpointTrace_ += ':' + std::to_string(status);
        failCall(502, UnprovenRefusalCause);
        return;
    }
    net::Headers headers = gateway_.dialect_.callerHeaders(answer().head().headers_);
    if (isFromPeer() && origin_) {
        headers.push_back(originHeader(*origin_));
    }
    gateway_.server_.respond(context_.request_.id_, {status, std::move(headers), attempt_.body_});
    finish(Outcome::Answered, status, "");
}

bool Call::mayPromiseNotRun() const
{
    return route().idempotent() || (!mayHaveRun_ && runs_ == 0);
}

void Call::refuse(std::string_view cause)
{
    if (!mayPromiseNotRun()) {
        failCall(502, cause);
        return;
    }
    // No Retry-After for what every instance would refuse, too.
    const bool isVersionGone = cause == VersionGoneCause && !mayBeListedElsewhere();
    const bool isNotNamed = cause == VersionUnknownCause && requestInfo().resumes_.empty();
    const bool isFinal =
        cause == QuarantinedCause || isQuarantined() || isVersionGone || isNotNamed;
    const auto retryAfter =
        isFinal ? std::nullopt : std::optional(retryAfterMillis_.value_or(millisUntilAdmitted()));
    net::Response response = gateway_.dialect_.refusal(503, retryAfter, cause);
    if (isFromPeer()) {
        const bool hasNone = cause == NoEngineCause || cause == NoEndpointCause;
        const bool isUnreachable =
            !mayHaveArrived_
            && (gateway_.reach_.state() != Reach::Connected
                || (hasNone && gateway_.table_.hasUnreachable(context_.service_)));
        const bool isListOld = !mayHaveArrived_ && cause == VersionGoneCause && !isVersionGone;
        response.headers_.push_back(refusalHeader(isUnreachable ? PeerRefusal::CutOff
                                                  : isListOld   ? PeerRefusal::Outdated
                                                                : PeerRefusal::Final));
    }
    gateway_.server_.respond(context_.request_.id_, response);
    finish(Outcome::Refused, 503, cause);
}

/** The backoff concerns this instance: a caller that comes back may reach another one. */
void Call::takeRetryAfter()
{
    if (answer().info().backoffMillis_) {
        retryAfterMillis_ = std::min(*answer().info().backoffMillis_, MaxRetryAfterMillis);
    }
}

/** Until an endpoint admits a request of this instance; another instance may send one sooner. */
std::int64_t Call::millisUntilAdmitted() const
{
    const TimePoint now = BootClock::now();
    const TimePoint at = gateway_.table_.admitsAt(context_.service_, now).value_or(now);
    return std::clamp(millisUntil(at, now), DefaultRetryAfterMillis, MaxRetryAfterMillis);
}

void Call::failCall(int status, std::string_view cause)
{
    releaseEndpointState();
    closeAttempt(std::nullopt);
    gateway_.server_.respond(context_.request_.id_,
                             gateway_.dialect_.refusal(status, std::nullopt, cause));
    finish(Outcome::Failed, status, cause);
}

/** An error says nothing about the parts of the prompt: it needn't have been read. */
RequestKeys Call::answeredKeys(int status) const
{
    return status < FirstNotSuccess ? keys() : RequestKeys {key(), {}};
}

void Call::finish(Outcome outcome, int status, std::string_view cause)
{
    if (hasEnded()) {
        return;
    }
    closeAttempt(std::nullopt);
    gateway_.peerCalls_ -= isFromPeer() ? 1 : 0;
    deadlineTimer_.stop();
    attemptTimer_.stop();
    startRetryTimer_.stop();
    if (outcome == Outcome::Answered && status < FirstServerError) {
        gateway_.crashes_.onCompleted(answeredKeys(status));
    } else if (leaseSettledAt_ != TimePoint {} && (outcome == Outcome::Refused || !started_)) {
        gateway_.crashes_.releaseLease(leaseKey_);
    }
    const bool isInconclusive = outcome == Outcome::Refused || !started_;
    if (trialGranted_ && (isInconclusive || outcome == Outcome::Answered)
        && gateway_.trialClaims_.release_) {
        gateway_.trialClaims_.release_(leaseKey_);
    }
    const TimePoint now = BootClock::now();
    const TimePoint arrivedAt = context_.request_.startedAt_;
    const LogLevel level = outcome == Outcome::Answered ? LogLevel::Info : LogLevel::Warning;
    logEvent(level, "request",
             {{"id", requestInfo().requestId_},
              {"key", toString(key())},
              {"account", context_.access_.account_.id_.value()},
              {"route", route().name_},
              {"service", context_.service_.value()},
              {"config", context_.config_->version()},
              {"outcome", nameOf(OutcomeNames, outcome)},
              {"status", status},
              {"cause", cause},
              {"reach", nameOf(ReachNames, gateway_.reach_.state())},
              {"from", isFromPeer() ? "peer" : "caller"},
              {"sends", sends_},
              {"endpoints", endpointTrace_},
              {"versions", versionTrace_},
              {"resumes", requestInfo().resumes_},
              {"resumes_after", requestInfo().lastEventId_},
              {"read_tokens", prefillTokens_},
              {"read_estimate_ms", static_cast<std::int64_t>(prefillEstimateMillis_)},
              {"urgency", urgency_},
              {"read_ms", prefilledAt_ == TimePoint {} ? -1 : toMillis(prefilledAt_ - arrivedAt)},
              {"first_ms", firstByteAt_ == TimePoint {} ? -1 : toMillis(firstByteAt_ - arrivedAt)},
              {"total_ms", toMillis(now - arrivedAt)},
              {"left_ms", millisUntil(deadline_, now)}});
    countOutcome(outcome, cause, now);
    gateway_.calls_.end(number());
}

void Call::countOutcome(Outcome outcome, std::string_view cause, TimePoint now)
{
    observe::Metrics &metrics = gateway_.metrics_;
    const std::string kind = observe::metricLabel("kind", nameOf(RouteKindNames, route().kind_));
    metrics.count("requests_total",
                  kind + ',' + observe::metricLabel("outcome", nameOf(OutcomeNames, outcome)) + ','
                      + observe::metricLabel("cause", cause));
    metrics.count("sends_total", kind, static_cast<std::uint64_t>(sends_));
    const TimePoint arrivedAt = context_.request_.startedAt_;
    metrics.observeSeconds("request_seconds", toSeconds(now - arrivedAt), kind);
    if (firstByteAt_ != TimePoint {}) {
        metrics.observeSeconds("first_event_seconds", toSeconds(firstByteAt_ - arrivedAt), kind);
    }
    if (prefilledAt_ != TimePoint {}) {
        metrics.observeSeconds("prompt_read_seconds", toSeconds(prefilledAt_ - arrivedAt), kind);
    }
}

} // namespace almondridge::gateway
