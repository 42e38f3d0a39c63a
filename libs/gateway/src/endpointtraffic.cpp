#include "endpointtraffic.h"

#include "almondridge/base/log.h"

#include <algorithm>
#include <utility>

namespace almondridge::gateway {
namespace {

/** A limited endpoint is logged when its limit changes, and once in this time besides. */
constexpr Duration LimitLogInterval = SendWindow::Length;
/** Limits log lines on what endpoints ask for; the metrics count all requests. */
constexpr int MaxLines = 200;
constexpr Duration LineWindow = millis(10'000);
/** An endpoint that sends an invalid header does so in all answers; a few lines show which. */
constexpr int MaxInvalidLoadLines = 10;

} // namespace

EndpointTraffic::EndpointTraffic(const Dialect &dialect, EndpointTable &table,
                                 observe::Metrics &metrics)
    : dialect_(dialect)
    , table_(table)
    , metrics_(metrics)
    , lines_(MaxLines, LineWindow)
    , invalidLoadLines_(MaxInvalidLoadLines, LineWindow)
{ }

bool EndpointTraffic::admit(const EndpointId &id, RequestPath path, TimePoint now)
{
    const Endpoint *endpoint = std::as_const(table_).find(id);
    const bool admitted = endpoint == nullptr || table_.admits(*endpoint, now);
    if (admitted) {
        onSent(id, path, now);
    } else {
        metrics_.count("requests_held_back_total",
                       observe::metricLabel("path", nameOf(RequestPathNames, path)));
    }
    return admitted;
}

void EndpointTraffic::onSent(const EndpointId &id, RequestPath path, TimePoint now)
{
    Endpoint *endpoint = table_.find(id);
    if (endpoint == nullptr) {
        return;
    }
    endpoint->sent_.add(now);
    if (endpoint->backoffUntil_ > now) {
        ++endpoint->sentInBackoff_;
        metrics_.count("requests_in_backoff_total",
                       observe::metricLabel("path", nameOf(RequestPathNames, path)));
    }
    if (table_.limits().limitOf(id, now)) {
        metrics_.count("requests_to_limited_total",
                       observe::metricLabel("path", nameOf(RequestPathNames, path)));
    }
}

void EndpointTraffic::onAnswer(const EndpointId &id, const AcceptedAnswer &answer, TimePoint now)
{
    const ResponseInfo &response = answer.info();
    if (!response.invalidLoad_.empty()) {
        onInvalidLoad(id, response.invalidLoad_, now);
    }
    // A misdirected request was answered by another endpoint, which has the address by now.
    Endpoint *endpoint = response.misdirected_ ? nullptr : table_.find(id);
    if (endpoint != nullptr) {
        onLeaving(*endpoint, response, now);
        onLimit(*endpoint, response, now);
        onBackoff(*endpoint, response, now);
    }
}

/** Final for the endpoint's process, even if its entry still shows it as ready. */
void EndpointTraffic::onLeaving(Endpoint &endpoint, const ResponseInfo &response, TimePoint now)
{
    if (!response.leaving_ || endpoint.announcedShutdown_) {
        return;
    }
    endpoint.announcedShutdown_ = true;
    metrics_.count("endpoints_announced_shutdown_total");
    if (lines_.take(now)) {
        logEvent(LogLevel::Info, "endpoint_leaving",
                 {{"endpoint", endpoint.listed_.id_.value()},
                  {"listed", endpoint.listed_.draining_ ? "draining" : "ready"},
                  {"own_sends", endpoint.sent_.count(now)},
                  {"window_ms", toMillis(SendWindow::Length)}});
    }
}

/** sent_in_backoff is of the backoff before this one. */
void EndpointTraffic::onBackoff(Endpoint &endpoint, const ResponseInfo &response, TimePoint now)
{
    if (!response.backoffMillis_) {
        return;
    }
    const bool begins = endpoint.backoffUntil_ <= now;
    if (begins && lines_.take(now)) {
        logEvent(LogLevel::Info, "endpoint_backoff",
                 {{"endpoint", endpoint.listed_.id_.value()},
                  {"backoff_ms", *response.backoffMillis_},
                  {"sent_in_backoff", endpoint.sentInBackoff_},
                  {"own_sends", endpoint.sent_.count(now)},
                  {"window_ms", toMillis(SendWindow::Length)}});
    }
    endpoint.sentInBackoff_ = begins ? 0 : endpoint.sentInBackoff_;
    endpoint.backoffUntil_ =
        std::max(endpoint.backoffUntil_, now + millis(*response.backoffMillis_));
}

/** Of all instances, the sum of own_sends is what an endpoint got in the window. */
void EndpointTraffic::onLimit(Endpoint &endpoint, const ResponseInfo &response, TimePoint now)
{
    const EndpointId &id = endpoint.listed_.id_;
    const bool changed = table_.limits().onAnswer(id, response.limitPerSecond_, now);
    const bool isDue =
        response.limitPerSecond_ && endpoint.limitLoggedAt_ + LimitLogInterval <= now;
    if ((!changed && !isDue) || !lines_.take(now)) {
        return;
    }
    logEvent(LogLevel::Info, "endpoint_limit",
             {{"endpoint", id.value()},
              {"limit_per_s", response.limitPerSecond_.value_or(-1)},
              {"own_sends", endpoint.sent_.count(now)},
              {"own_quota", table_.limits().quotaOf(id, now).value_or(-1)},
              {"window_ms", toMillis(SendWindow::Length)}});
    endpoint.limitLoggedAt_ = now;
}

void EndpointTraffic::onInvalidLoad(const EndpointId &id, const std::string &value, TimePoint now)
{
    metrics_.count("load_headers_invalid_total");
    if (invalidLoadLines_.take(now)) {
        logEvent(LogLevel::Warning, "load_header_invalid",
                 {{"endpoint", id.value()}, {"value", value}});
    }
}

async::ExchangeEvents EndpointTraffic::observed(const EndpointId &id, async::ExchangeEvents events)
{
    const Endpoint *asked = std::as_const(table_).find(id);
    events.onHead_ = [this, id, lifetime = asked != nullptr ? asked->lifetime_ : 0,
                      onHead = std::move(events.onHead_)](async::ResponseHead &head) {
        const Endpoint *endpoint = std::as_const(table_).find(id);
        const auto decision = acceptAnswer(dialect_, head, {AnswerUse::OwnRequest});
        const auto *answer = std::get_if<AcceptedAnswer>(&decision);
        if (answer != nullptr && endpoint != nullptr && endpoint->lifetime_ == lifetime) {
            onAnswer(id, *answer, BootClock::now());
        }
        onHead(head);
    };
    return events;
}

} // namespace almondridge::gateway
