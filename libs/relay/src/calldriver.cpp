#include "calldriver.h"

#include "almondridge/base/log.h"

#include <algorithm>
#include <charconv>
#include <random>
#include <utility>

namespace almondridge::relay {
namespace {

constexpr std::size_t ShortBodyBytes = 65'536;

std::uint64_t randomNumber()
{
    thread_local std::mt19937_64 generator(std::random_device {}());
    return generator();
}

MachineLimits limitsFrom(const fleet::Settings &settings)
{
    MachineLimits limits;
    limits.inactivityTimeout_ = millis(settings.interTokenTimeoutMillis_);
    return limits;
}

} // namespace

CallDriver::CallDriver(RelayContext &context, net::ServerExchange &caller, CallInfo info,
                       RequestSpec spec)
    : context_(context)
    , caller_(caller)
    , info_(std::move(info))
    , machine_(RequestMachine::Builder()
                   .spec(std::move(spec))
                   .limits(limitsFrom(context.settings_))
                   .build())
{ }

void CallDriver::run()
{
    for (const Action &action : machine_.start(BootClock::now())) {
        std::visit([&](const auto &which) { perform(which); }, action);
    }
    while (!machine_.finished()) {
        step();
    }
    endpointExchange_.reset();
    endPrefill(true);
    context_.metrics_.count("stale_events_total", {}, machine_.staleEvents());
}

void CallDriver::feed(const Event &event)
{
    for (const Action &action : machine_.on(event, BootClock::now())) {
        std::visit([&](const auto &which) { perform(which); }, action);
    }
}

void CallDriver::step()
{
    if (!pendingEvents_.empty()) {
        const Event event = std::move(pendingEvents_.front());
        pendingEvents_.pop_front();
        feed(event);
    } else if (!endpointExchange_) {
        waitWithoutConnection();
    } else if (!headRead_) {
        awaitHead();
    } else {
        readBody();
    }
}

// Actions ---------------------------------------------------------------------------------------

void CallDriver::perform(const ChooseEndpoint &action)
{
    endpointExchange_.reset();
    const TimePoint now = BootClock::now();
    if (action.budgeted_ && !context_.admission_.takeRetry()) {
        push(RetryBudgetExhausted {now + MachineLimits().defaultRetryDelay_});
        return;
    }
    routing::RouteQuery wanted = query();
    wanted.excluded_ = action.excluded_;
    wanted.random_ = randomNumber();
    const auto choice = context_.router_.dispatch(action.attempt_, wanted);
    if (!choice) {
        push(NoEndpoint {now + MachineLimits().defaultRetryDelay_});
        return;
    }
    context_.metrics_.count("attempts_total");
    recordEvent("request.attempt", "attempt=" + action.attempt_.value() + " endpoint="
                                       + choice->endpoint_.value() + " " + choice->reason_);
    push(EndpointChosen {choice->endpoint_, choice->prefill_, choice->firstToken_});
}

void CallDriver::perform(const Prefill &action)
{
    connectionUse_ = ConnectionUse::Prefill;
    prefillAttempt_ = action.attempt_;
    const routing::RouteQuery wanted = query();
    context_.router_.with([&](routing::Router &router) {
        router.onDispatched(action.attempt_, action.endpoint_, wanted, BootClock::now());
    });
    open(action.connection_, action.endpoint_, prefillRequestFor(action));
}

void CallDriver::perform(const SendRequest &action)
{
    endPrefill(action.afterPrefill_);
    connectionUse_ = ConnectionUse::Request;
    if (action.base_ > 0) {
        context_.metrics_.count("continued_total");
        recordEvent("request.continued", "endpoint=" + action.endpoint_.value()
                                             + " after_tokens=" + std::to_string(action.base_));
    }
    open(action.connection_, action.endpoint_, requestFor(action));
}

void CallDriver::perform(const ResumeStream &action)
{
    connectionUse_ = ConnectionUse::Resume;
    context_.metrics_.count("resumed_total");
    recordEvent("request.resumed", "endpoint=" + action.endpoint_.value()
                                       + " offset=" + std::to_string(action.offset_));
    open(action.connection_, action.endpoint_, resumeRequestFor(action));
}

void CallDriver::perform(const CheckEngine &action)
{
    connectionUse_ = ConnectionUse::Check;
    net::Request request;
    request.path_ = "/engine/load";
    open(action.connection_, action.endpoint_, request);
}

void CallDriver::perform(const Deliver &action)
{
    deliver(action);
}

void CallDriver::perform(const ForwardResponse & /*action*/)
{
    forwardResponse();
}

void CallDriver::perform(const Cancel &action)
{
    if (const auto address = addressOf(action.endpoint_)) {
        context_.canceller_.cancel(*address, action.attempt_);
    }
}

void CallDriver::perform(const AttemptEnded &action)
{
    context_.router_.onFinished(action.attempt_, action.succeeded_);
}

void CallDriver::perform(const Finish & /*action*/)
{
    finish();
}

void CallDriver::perform(const Refuse &action)
{
    endpointExchange_.reset();
    refuse(refusalFor(action));
}

void CallDriver::perform(const Abandon & /*action*/)
{
    endpointExchange_.reset();
    abandon();
}

void CallDriver::open(ConnectionNumber connection, const EndpointId &endpoint,
                      const net::Request &request)
{
    endpointExchange_.reset();
    headRead_ = false;
    connection_ = connection;
    const std::optional<net::Address> address = addressOf(endpoint);
    if (!address) {
        onLost(false);
        return;
    }
    const TimePoint until = std::min(
        machine_.wakeAt(), BootClock::now() + millis(context_.settings_.connectTimeoutMillis_));
    auto connected = capture([&] { return net::HttpExchange::connect(*address, until); });
    if (connected.index() != 0) {
        onLost(false);
        return;
    }
    endpointExchange_.emplace(std::move(std::get<0>(connected)));
    if (!sendIfAvailable(endpoint, request)) {
        onLost(endpointExchange_->anythingSent());
        endpointExchange_.reset();
    }
}

bool CallDriver::sendIfAvailable(const EndpointId &endpoint, const net::Request &request)
{
    const auto send = [&] {
        return capture([&] { return endpointExchange_->send(request, machine_.wakeAt()); }).index()
               == 0;
    };
    const bool newWork =
        connectionUse_ == ConnectionUse::Request || connectionUse_ == ConnectionUse::Prefill;
    if (!newWork) {
        return send();
    }
    // Since it was chosen, the endpoint may have started to drain, and this instance may have
    // confirmed that it sends no new work; the engine would then be reconfigured during this
    // request. So availability is checked again here, and the confirmation waits for sends in
    // progress (Relay::waitForSends).
    if (!context_.router_.beginSend(endpoint)) {
        return false;
    }
    const bool sent = send();
    context_.router_.endSend(endpoint);
    return sent;
}

void CallDriver::endPrefill(bool succeeded)
{
    if (prefillAttempt_) {
        context_.router_.onFinished(*std::exchange(prefillAttempt_, std::nullopt), succeeded);
    }
}

void CallDriver::onLost(bool anythingSent)
{
    push(ConnectionLost {connection_, anythingSent});
}

void CallDriver::deliver(const Deliver & /*action*/) { }

void CallDriver::keepAlive() { }

net::Request CallDriver::resumeRequestFor(const ResumeStream & /*action*/)
{
    return {};
}

net::Request CallDriver::prefillRequestFor(const Prefill & /*action*/)
{
    return {};
}

// Helpers for derived classes -------------------------------------------------------------------

void CallDriver::onCallerLost()
{
    if (!std::exchange(callerKnownGone_, true)) {
        push(CallerGone {!caller_.callerGone()});
    }
}

std::string CallDriver::readShortBody()
{
    const TimePoint until = BootClock::now() + millis(context_.settings_.connectTimeoutMillis_);
    auto body = capture([&] { return endpointExchange_->readRest(until, ShortBodyBytes); });
    return body.index() == 0 ? std::move(std::get<0>(body)) : std::string();
}

void CallDriver::respondRefusal(const Refusal &refusal)
{
    const TimePoint now = BootClock::now();
    net::Headers headers = refusalHeaders(refusal, now);
    headers.push_back({"X-Request-Id", info_.responseId_});
    caller_.respond(refusal.status_, "application/json", errorBody(refusal, now), headers);
}

net::Headers CallDriver::responseHeaders() const
{
    return {{"X-Request-Id", info_.responseId_}};
}

void CallDriver::recordEvent(const char *event, std::string detail)
{
    context_.timeline_.add(observe::EventKind::Request, event, info_.id_.value(),
                           std::move(detail));
}

void CallDriver::recordOutcome(CallOutcome outcome, std::string detail)
{
    const Duration elapsed = BootClock::now() - info_.started_;
    const std::string name(nameOf(CallOutcomeNames, outcome));
    context_.metrics_.count("requests_total", "outcome=\"" + name + "\"");
    context_.metrics_.observeSeconds("request_seconds", toSeconds(elapsed));
    const bool refused = outcome == CallOutcome::NotRun || outcome == CallOutcome::Unknown;
    context_.timeline_.add(observe::EventKind::Request,
                           refused ? "request.refused" : "request.finished", info_.id_.value(),
                           "outcome=" + name + " " + std::move(detail), toMillis(elapsed));
}

std::optional<TimePoint> CallDriver::retryAfterOf(const net::ResponseHead &head)
{
    constexpr std::int64_t MillisPerSecond = 1'000;
    constexpr std::int64_t MaxRetryAfterSeconds = 3'600;
    const std::string_view text = net::headerValue(head.headers_, "Retry-After");
    std::int64_t seconds = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seconds);
    if (error != std::errc() || seconds < 0) {
        return std::nullopt;
    }
    return BootClock::now() + millis(std::min(seconds, MaxRetryAfterSeconds) * MillisPerSecond);
}

std::optional<net::Address> CallDriver::addressOf(const EndpointId &endpoint) const
{
    // The router may use a newer fleet than the one in force when this request started.
    const std::shared_ptr<const FleetView> view = context_.view();
    const auto &endpoints = view->fleet().endpoints_;
    const auto found = endpoints.find(endpoint);
    if (found == endpoints.end()) {
        return std::nullopt;
    }
    auto address = capture([&] { return net::parseAddress(found->second.address_); });
    return address.index() == 0 ? std::optional(std::get<0>(address)) : std::nullopt;
}

} // namespace almondridge::relay
