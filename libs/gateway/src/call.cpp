#include "call.h"

#include "almondridge/base/log.h"

#include <algorithm>
#include <utility>

namespace almondridge::gateway {
namespace {

/** How long a caller is waited for that does not say how long it waits itself. */
constexpr std::int64_t DefaultPatienceMillis = 30'000;
/**
 * When a refused caller is asked to come back, if no endpoint said: a queue of prompts that an
 * engine has room for is read in this time.
 */
constexpr std::int64_t DefaultRetryAfterMillis = 300;
/** Between two looks whether a suspected request may start. */
constexpr Duration BeginInterval = millis(100);
/** Longer than most runs that crash an endpoint, and little to whoever does not. */
constexpr Duration WeakSuspicionWait = millis(1'000);
/** Until whoever else wants to run the same suspected request has been heard. */
constexpr Duration LeaseSettles = millis(300);
/** The same for the one run that a request gets after its quarantine. */
constexpr Duration RetrialSettles = millis(1'000);
/** An endpoint that says nothing for so long until the caller leaves may have crashed. */
constexpr Duration SuspiciousSilence = millis(1'000);
/** A run that lasts keeps its lease: some renewals may be lost before it lapses. */
constexpr Duration LeaseRenewal = millis(9'000);
constexpr int FirstServerError = 500;
constexpr std::string_view QuarantinedCause = "quarantined";

} // namespace

Call::Call(GatewayState &gateway, CallInput input)
    : gateway_(gateway)
    , input_(std::move(input))
    , deadlineTimer_(gateway.loop_)
    , silence_(gateway.loop_)
    , begin_(gateway.loop_)
{
    const std::int64_t patience = facts().patienceMillis_.value_or(DefaultPatienceMillis);
    const std::int64_t timeout = route().timeoutMillis_ > 0 ? route().timeoutMillis_ : patience;
    deadline_ = input_.request_.startedAt_ + millis(std::min(patience, timeout));
    deadlineTimer_.startAt(deadline_, [this] { deadlinePassed(); });
}

Call::~Call() = default;

void Call::begin()
{
    if (finished_) {
        return;
    }
    const Assessment known = gateway_.crashes_.assess(key());
    switch (known.level_) {
    case Suspicion::Quarantined:
        refuseQuarantined(known);
        return;
    case Suspicion::Strong:
    case Suspicion::HalfOpen:
        beginWithLease(known);
        return;
    case Suspicion::Weak:
        if (runsBesideAnother()
            && BootClock::now() < input_.request_.startedAt_ + WeakSuspicionWait) {
            waitToBegin();
            return;
        }
        break;
    case Suspicion::None:
        break;
    }
    suspicion_ = known.level_;
    started_ = true;
    start();
}

/** Under strong suspicion a request runs once at a time in the whole fleet. */
void Call::beginWithLease(const Assessment &known)
{
    const TimePoint now = BootClock::now();
    const bool halfOpen = known.level_ == Suspicion::HalfOpen;
    if (leaseSettlesAt_ == TimePoint {} && gateway_.crashes_.acquireLease(key())) {
        leaseSettlesAt_ = now + (halfOpen ? RetrialSettles : LeaseSettles);
    } else if (leaseSettlesAt_ != TimePoint {} && now >= leaseSettlesAt_) {
        if (gateway_.crashes_.holdsLease(key())) {
            suspicion_ = Suspicion::Strong;
            started_ = true;
            keepLease();
            start();
            return;
        }
        leaseSettlesAt_ = {};
    }
    if (halfOpen && leaseSettlesAt_ == TimePoint {}) {
        refuseQuarantined(known);
        return;
    }
    waitToBegin();
}

void Call::keepLease()
{
    gateway_.crashes_.renewLease(key());
    begin_.startAt(BootClock::now() + LeaseRenewal, [this] { keepLease(); });
}

void Call::waitToBegin()
{
    begin_.startAt(BootClock::now() + BeginInterval, [this] { begin(); });
}

bool Call::runsBesideAnother() const
{
    return std::any_of(gateway_.calls_.begin(), gateway_.calls_.end(), [&](const auto &entry) {
        const Call &other = *entry.second;
        return &other != this && other.key() == key() && other.started_ && !other.finished_;
    });
}

void Call::refuseQuarantined(const Assessment &known)
{
    const TimePoint now = BootClock::now();
    logEvent(LogLevel::Warning, "request_quarantined",
             {{"id", facts().requestId_},
              {"key", toString(key())},
              {"crashes", known.crashes_},
              {"weight", known.weight_},
              {"first_crash_ms", toMillis(now - known.firstCrashAt_)},
              {"last_crash_ms", toMillis(now - known.lastCrashAt_)},
              {"until_ms", millisUntil(known.quarantinedUntil_, now)}});
    refuse(QuarantinedCause);
}

bool Call::isAt(const EndpointId &endpoint, std::uint64_t lifetime) const noexcept
{
    return attempt_.exchange_ != 0 && attempt_.endpoint_ == endpoint
           && attempt_.lifetime_ == lifetime;
}

bool Call::isQuarantined() const
{
    const Suspicion level = gateway_.crashes_.assess(key()).level_;
    return level == Suspicion::Quarantined || (level == Suspicion::HalfOpen && !started_);
}

std::optional<EndpointId> Call::quietestEndpoint() const
{
    const auto choice = gateway_.placement_.chooseLeastLoaded(
        gateway_.table_, input_.service_, excluded_, gateway_.random_(), BootClock::now());
    const bool spared = choice && choice->isLastUsable_ && suspicion_ == Suspicion::Strong;
    return choice && !spared ? std::optional(choice->endpoint_) : std::nullopt;
}

void Call::countBegan(TimePoint began)
{
    const AccountId &account = input_.access_.account_.id_;
    if (std::exchange(beganCounted_, true) || account.empty() || !gateway_.onBegan_) {
        return;
    }
    gateway_.onBegan_(account, began);
}

/** A process that was frozen between two sends has missed what was taken away meanwhile. */
bool Call::isKeyValid() const
{
    return isStillGranted(*gateway_.config_, input_.access_, gateway_.keyLease_, BootClock::now());
}

/** A broken connection alone does not tell whether the endpoint has crashed: that is tested. */
void Call::noteBreak()
{
    if (attempt_.exchange_ != 0) {
        gateway_.crashes_.onConnectionBroken(attempt_.endpoint_, attempt_.lifetime_, key());
    }
}

std::int64_t Call::patienceMillis() const
{
    return std::max<std::int64_t>(1, millisUntil(deadline_, BootClock::now()));
}

void Call::send(const EndpointId &endpoint, SendOrder order, std::int64_t promptTokens)
{
    const Endpoint *target = gateway_.table_.find(endpoint);
    order.endpoint_ = endpoint;
    order.account_ = input_.access_.account_.id_;
    order.patienceMillis_ = patienceMillis();
    ++sends_;
    attempt_ = {};
    attempt_.endpoint_ = endpoint;
    attempt_.lifetime_ = target->lifetime_;
    attempt_.promptTokens_ = promptTokens;
    attempt_.urgency_ = order.urgency_.value_or(0);
    attempt_.sentAt_ = BootClock::now();
    async::ExchangeRequest request;
    request.peer_ = endpoint.value();
    request.address_ = target->listed_.address_;
    request.text_ =
        gateway_.dialect_.requestText(input_.request_.head_, input_.request_.body_, order);
    request.requestId_ = facts().requestId_;
    request.bodyless_ = input_.request_.head_.method_ == "HEAD";
    request.connectBy_ = BootClock::now() + millis(gateway_.settings_.connectMillis_);
    gateway_.table_.onSent(endpoint, attempt_.urgency_, promptTokens, attempt_.sentAt_);
    trail_ += (trail_.empty() ? "" : ",") + endpoint.value();

    async::ExchangeEvents events;
    events.onHead_ = [this](async::ResponseHead &head) {
        attempt_.head_ = head;
        attempt_.facts_ = gateway_.dialect_.readAnswer(head);
        if (attempt_.facts_.load_ && !endpointRestarted()) {
            gateway_.table_.onLoad(attempt_.endpoint_, *attempt_.facts_.load_, BootClock::now());
        }
        attemptHead();
    };
    events.onBody_ = [this](std::string bytes) { attemptBody(std::move(bytes)); };
    events.onEnd_ = [this] { attemptEnd(); };
    events.onFailed_ = [this](async::ExchangeFailure failure) {
        trail_ += ':';
        trail_ += nameOf(async::ExchangeFailureNames, failure);
        if (failure != async::ExchangeFailure::NotSent) {
            noteBreak();
        }
        attemptFailed(failure);
    };
    attempt_.exchange_ = gateway_.client_.start(std::move(request), std::move(events));
}

HealthSignal Call::refusalEvidence() const
{
    if (attempt_.facts_.misdirected_) {
        return HealthSignal::Declined;
    }
    if (!attempt_.facts_.load_) {
        return HealthSignal::Overloaded;
    }
    const LoadSample &load = *attempt_.facts_.load_;
    const bool hasRoom = load.waiting_ == 0 && 2 * load.running_ < load.slots_;
    return hasRoom ? HealthSignal::Declined : HealthSignal::Overloaded;
}

void Call::logNotRun() const
{
    const LoadSample load = attempt_.facts_.load_.value_or(LoadSample {});
    logEvent(LogLevel::Info, "not_run",
             {{"id", facts().requestId_},
              {"endpoint", attempt_.endpoint_.value()},
              {"status", attempt_.head_.status_},
              {"running", load.running_},
              {"waiting", load.waiting_},
              {"slots", load.slots_},
              {"after_ms", toMillis(BootClock::now() - attempt_.sentAt_)},
              {"body", attempt_.body_.substr(0, 80)}});
}

bool Call::endpointRestarted() const
{
    const Endpoint *endpoint = gateway_.table_.find(attempt_.endpoint_);
    return endpoint != nullptr && endpoint->lifetime_ != attempt_.lifetime_;
}

void Call::promptWasRead()
{
    if (!endpointRestarted()) {
        gateway_.table_.onPrefilled(attempt_.endpoint_, attempt_.urgency_, attempt_.promptTokens_);
    }
    attempt_.promptTokens_ = 0;
}

void Call::closeAttempt(std::optional<HealthSignal> evidence)
{
    silence_.stop();
    if (attempt_.exchange_ == 0) {
        return;
    }
    attempt_.exchange_ = 0;
    promptWasRead();
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
                  {"request", facts().requestId_}});
    }
    gateway_.table_.onClosed(attempt_.endpoint_, attempt_.urgency_);
}

void Call::cancelAttempt(std::optional<HealthSignal> evidence)
{
    gateway_.client_.cancel(attempt_.exchange_);
    closeAttempt(evidence);
}

void Call::leaveEndpoint(std::optional<HealthSignal> evidence)
{
    excluded_.push_back(attempt_.endpoint_);
    cancelAttempt(evidence);
}

void Call::watchSilence(TimePoint until)
{
    silence_.startAt(until, [this] { attemptSilent(); });
}

/**
 * The allowance bounds what second sends add to an endpoint's work, and what never arrived adds
 * none. Taken from it, a crash of a quarter of the engines used it up within a second, and sound
 * engines stood idle while callers were refused.
 */
bool Call::mayTryAnother() const
{
    return sends_ < mostSends_ && BootClock::now() < deadline_ && !isQuarantined();
}

/** The allowance is for requests that others wait for, not for one that may crash endpoints. */
bool Call::maySendAgain()
{
    return mayTryAnother() && suspicion_ != Suspicion::Strong
           && gateway_.budget(input_.service_).take(BootClock::now());
}

bool Call::mayRunAgain()
{
    return route().idempotent() && runs_ < route().maxAttempts_ && maySendAgain();
}

void Call::onCallerGone()
{
    noteSilence();
    abandonEndpoints();
    cancelAttempt(std::nullopt);
    finish(Outcome::Abandoned, 0, "caller-gone");
}

void Call::deadlinePassed()
{
    if (!started_) {
        refuse("suspected");
        return;
    }
    noteSilence();
    failCall(504, "deadline");
}

/** The endpoint may be gone without a sign. */
void Call::noteSilence()
{
    const TimePoint now = BootClock::now();
    if (firstByteAt_ == TimePoint {} && attempt_.sentAt_ + SuspiciousSilence < now) {
        noteBreak();
    }
}

void Call::passOn()
{
    const int status = attempt_.head_.status_;
    gateway_.server_.respond(
        input_.request_.id_,
        {status, gateway_.dialect_.callerHeaders(attempt_.head_.headers_), attempt_.body_});
    finish(Outcome::Answered, status, "");
}

void Call::refuse(std::string_view cause)
{
    // A quarantine holds at all instances: to come back soon brings nothing.
    const auto after = cause == QuarantinedCause || isQuarantined()
                           ? std::nullopt
                           : std::optional(retryAfterMillis_.value_or(DefaultRetryAfterMillis));
    gateway_.server_.respond(input_.request_.id_, gateway_.dialect_.refusal(503, after, cause));
    finish(Outcome::Refused, 503, cause);
}

void Call::failCall(int status, std::string_view cause)
{
    abandonEndpoints();
    cancelAttempt(std::nullopt);
    gateway_.server_.respond(input_.request_.id_,
                             gateway_.dialect_.refusal(status, std::nullopt, cause));
    finish(Outcome::Failed, status, cause);
}

void Call::finish(Outcome outcome, int status, std::string_view cause)
{
    if (finished_) {
        return;
    }
    finished_ = true;
    deadlineTimer_.stop();
    silence_.stop();
    begin_.stop();
    if (outcome == Outcome::Answered && status < FirstServerError) {
        gateway_.crashes_.onCompleted(key());
    } else if (leaseSettlesAt_ != TimePoint {} && (outcome == Outcome::Refused || !started_)) {
        gateway_.crashes_.releaseLease(key());
    }
    const TimePoint now = BootClock::now();
    const TimePoint began = input_.request_.startedAt_;
    const LogLevel level = outcome == Outcome::Answered ? LogLevel::Info : LogLevel::Warning;
    logEvent(level, "request",
             {{"id", facts().requestId_},
              {"key", toString(input_.key_)},
              {"account", input_.access_.account_.id_.value()},
              {"route", route().name_},
              {"service", input_.service_.value()},
              {"config", input_.config_->version()},
              {"outcome", nameOf(OutcomeNames, outcome)},
              {"status", status},
              {"cause", cause},
              {"sends", sends_},
              {"endpoints", trail_},
              {"read_tokens", readTokens_},
              {"read_estimate_ms", static_cast<std::int64_t>(readEstimateMillis_)},
              {"urgency", urgency_},
              {"read_ms", readAt_ == TimePoint {} ? -1 : toMillis(readAt_ - began)},
              {"first_ms", firstByteAt_ == TimePoint {} ? -1 : toMillis(firstByteAt_ - began)},
              {"total_ms", toMillis(now - began)},
              {"left_ms", millisUntil(deadline_, now)}});
    countOutcome(outcome, cause, now);
    gateway_.release(input_.request_.id_.call_);
}

void Call::countOutcome(Outcome outcome, std::string_view cause, TimePoint now)
{
    observe::Metrics &metrics = gateway_.metrics_;
    const std::string kind = observe::metricLabel("kind", nameOf(RouteKindNames, route().kind_));
    metrics.count("requests_total",
                  kind + ',' + observe::metricLabel("outcome", nameOf(OutcomeNames, outcome)) + ','
                      + observe::metricLabel("cause", cause));
    metrics.count("sends_total", kind, static_cast<std::uint64_t>(sends_));
    const TimePoint began = input_.request_.startedAt_;
    metrics.observeSeconds("request_seconds", toSeconds(now - began), kind);
    if (firstByteAt_ != TimePoint {}) {
        metrics.observeSeconds("first_event_seconds", toSeconds(firstByteAt_ - began), kind);
    }
    if (readAt_ != TimePoint {}) {
        metrics.observeSeconds("prompt_read_seconds", toSeconds(readAt_ - began), kind);
    }
}

} // namespace almondridge::gateway
