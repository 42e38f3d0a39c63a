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
    limits.silence_ = millis(settings.interTokenTimeoutMillis_);
    return limits;
}

} // namespace

CallDriver::CallDriver(RelayParts &parts, net::ServerExchange &caller, CallInfo info,
                       RequestSpec spec)
    : parts_(parts)
    , caller_(caller)
    , info_(std::move(info))
    , machine_(RequestMachine::Builder()
                   .spec(std::move(spec))
                   .limits(limitsFrom(parts.settings_))
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
    link_.reset();
    closePrefill(true);
    parts_.metrics_.count("stale_events_total", {}, machine_.staleEvents());
}

void CallDriver::feed(const Event &event)
{
    for (const Action &action : machine_.on(event, BootClock::now())) {
        std::visit([&](const auto &which) { perform(which); }, action);
    }
}

void CallDriver::step()
{
    if (!events_.empty()) {
        const Event event = std::move(events_.front());
        events_.pop_front();
        feed(event);
    } else if (!link_) {
        waitWithoutLink();
    } else if (!headRead_) {
        awaitHead();
    } else {
        readBody();
    }
}

// Actions ---------------------------------------------------------------------------------------

void CallDriver::perform(const ChooseEndpoint &action)
{
    link_.reset();
    const TimePoint now = BootClock::now();
    if (action.budgeted_ && !parts_.admission_.takeRetry()) {
        push(NoRetryLeft {now + MachineLimits().retryAt_});
        return;
    }
    routing::RouteQuery wanted = query();
    wanted.excluded_ = action.excluded_;
    wanted.random_ = randomNumber();
    const auto choice = parts_.router_.dispatch(action.attempt_, wanted);
    if (!choice) {
        push(NoEndpoint {now + MachineLimits().retryAt_});
        return;
    }
    parts_.metrics_.count("attempts_total");
    record("request.attempt", "attempt=" + action.attempt_.value() + " endpoint="
                                  + choice->endpoint_.value() + " " + choice->reason_);
    push(EndpointChosen {choice->endpoint_, choice->prefill_, choice->firstToken_});
}

void CallDriver::perform(const Prefill &action)
{
    use_ = LinkUse::Prefill;
    prefillAttempt_ = action.attempt_;
    const routing::RouteQuery wanted = query();
    parts_.router_.with([&](routing::Router &router) {
        router.onDispatched(action.attempt_, action.endpoint_, wanted, BootClock::now());
    });
    open(action.connection_, action.endpoint_, prefillRequestFor(action));
}

void CallDriver::perform(const SendRequest &action)
{
    closePrefill(action.afterPrefill_);
    use_ = LinkUse::Request;
    if (action.base_ > 0) {
        parts_.metrics_.count("continued_total");
        record("request.continued", "endpoint=" + action.endpoint_.value()
                                        + " after_tokens=" + std::to_string(action.base_));
    }
    open(action.connection_, action.endpoint_, requestFor(action));
}

void CallDriver::perform(const ResumeStream &action)
{
    use_ = LinkUse::Resume;
    parts_.metrics_.count("resumed_total");
    record("request.resumed",
           "endpoint=" + action.endpoint_.value() + " offset=" + std::to_string(action.offset_));
    open(action.connection_, action.endpoint_, resumeRequestFor(action));
}

void CallDriver::perform(const CheckEngine &action)
{
    use_ = LinkUse::Check;
    net::Request request;
    request.path_ = "/engine/load";
    open(action.connection_, action.endpoint_, request);
}

void CallDriver::perform(const Deliver &action)
{
    deliver(action);
}

void CallDriver::perform(const PassOn & /*action*/)
{
    passOn();
}

void CallDriver::perform(const Cancel &action)
{
    if (const auto address = addressOf(action.endpoint_)) {
        parts_.canceller_.cancel(*address, action.attempt_);
    }
}

void CallDriver::perform(const AttemptOver &action)
{
    parts_.router_.finished(action.attempt_, action.succeeded_);
}

void CallDriver::perform(const Finish & /*action*/)
{
    finish();
}

void CallDriver::perform(const Refuse &action)
{
    link_.reset();
    refuse(refusalFor(action));
}

void CallDriver::perform(const Abandon & /*action*/)
{
    link_.reset();
    abandon();
}

void CallDriver::open(ConnectionNumber connection, const EndpointId &endpoint,
                      const net::Request &request)
{
    link_.reset();
    headRead_ = false;
    connection_ = connection;
    const std::optional<net::Address> address = addressOf(endpoint);
    if (!address) {
        onLost(false);
        return;
    }
    const TimePoint until = std::min(
        machine_.wakeAt(), BootClock::now() + millis(parts_.settings_.connectTimeoutMillis_));
    auto connected = capture([&] { return net::HttpExchange::connect(*address, until); });
    if (connected.index() != 0) {
        onLost(false);
        return;
    }
    link_.emplace(std::move(std::get<0>(connected)));
    if (!sendGuarded(endpoint, request)) {
        onLost(link_->anythingSent());
        link_.reset();
    }
}

bool CallDriver::sendGuarded(const EndpointId &endpoint, const net::Request &request)
{
    const auto send = [&] {
        return capture([&] { return link_->send(request, machine_.wakeAt()); }).index() == 0;
    };
    const bool newWork = use_ == LinkUse::Request || use_ == LinkUse::Prefill;
    if (!newWork) {
        return send();
    }
    // Between the choice and here the endpoint may have been announced as draining, and this
    // instance may have confirmed that it sends nothing more: the engine would then be changed
    // under this request. So the view is looked at again, and who confirms waits for what has
    // passed here (Relay::waitSent).
    if (!parts_.router_.beginSend(endpoint)) {
        return false;
    }
    const bool sent = send();
    parts_.router_.endSend(endpoint);
    return sent;
}

void CallDriver::closePrefill(bool succeeded)
{
    if (prefillAttempt_) {
        parts_.router_.finished(*std::exchange(prefillAttempt_, std::nullopt), succeeded);
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

// Help for the kinds of calls -------------------------------------------------------------------

void CallDriver::callerLost()
{
    if (!std::exchange(callerKnownGone_, true)) {
        push(CallerGone {!caller_.callerGone()});
    }
}

std::string CallDriver::readShortBody()
{
    const TimePoint until = BootClock::now() + millis(parts_.settings_.connectTimeoutMillis_);
    auto body = capture([&] { return link_->readRest(until, ShortBodyBytes); });
    return body.index() == 0 ? std::move(std::get<0>(body)) : std::string();
}

void CallDriver::respondRefusal(const Refusal &refusal)
{
    const TimePoint now = BootClock::now();
    net::Headers headers = refusalHeaders(refusal, now);
    headers.push_back({"X-Request-Id", info_.answerId_});
    caller_.respond(refusal.status_, "application/json", errorBody(refusal, now), headers);
}

net::Headers CallDriver::answerHeaders() const
{
    return {{"X-Request-Id", info_.answerId_}};
}

void CallDriver::record(const char *event, std::string detail)
{
    parts_.timeline_.add(observe::EventKind::Request, event, info_.id_.value(), std::move(detail));
}

void CallDriver::outcome(CallOutcome outcome, std::string detail)
{
    const Duration spent = BootClock::now() - info_.started_;
    const std::string name(nameOf(CallOutcomeNames, outcome));
    parts_.metrics_.count("requests_total", "outcome=\"" + name + "\"");
    parts_.metrics_.observeSeconds("request_seconds", toSeconds(spent));
    const bool refused = outcome == CallOutcome::NotRun || outcome == CallOutcome::Unknown;
    parts_.timeline_.add(observe::EventKind::Request,
                         refused ? "request.refused" : "request.finished", info_.id_.value(),
                         "outcome=" + name + " " + std::move(detail), toMillis(spent));
}

std::optional<TimePoint> CallDriver::comeBackOf(const net::ResponseHead &head)
{
    constexpr std::int64_t MillisPerSecond = 1'000;
    constexpr std::int64_t LongestSeconds = 3'600;
    const std::string_view text = net::headerValue(head.headers_, "Retry-After");
    std::int64_t seconds = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seconds);
    if (error != std::errc() || seconds < 0) {
        return std::nullopt;
    }
    return BootClock::now() + millis(std::min(seconds, LongestSeconds) * MillisPerSecond);
}

std::optional<net::Address> CallDriver::addressOf(const EndpointId &endpoint) const
{
    // The router may know a newer file than the one that this request began under.
    const std::shared_ptr<const FleetView> view = parts_.view();
    const auto &endpoints = view->fleet().endpoints_;
    const auto found = endpoints.find(endpoint);
    if (found == endpoints.end()) {
        return std::nullopt;
    }
    auto address = capture([&] { return net::parseAddress(found->second.address_); });
    return address.index() == 0 ? std::optional(std::get<0>(address)) : std::nullopt;
}

} // namespace almondridge::relay
