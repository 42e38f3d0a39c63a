#include "endpointtraffic.h"

#include "almondridge/base/log.h"

#include <utility>

namespace almondridge::gateway {
namespace {

/** A limited endpoint is logged when its limit changes, and once in this time besides. */
constexpr Duration LimitLogInterval = SendWindow::Length;
/** Limits log lines on limits; the metric counts all requests. */
constexpr int MaxLimitLines = 200;
constexpr Duration LimitLineWindow = millis(10'000);

} // namespace

EndpointTraffic::EndpointTraffic(const Dialect &dialect, EndpointTable &table,
                                 observe::Metrics &metrics)
    : dialect_(dialect)
    , table_(table)
    , metrics_(metrics)
    , limitLines_(MaxLimitLines, LimitLineWindow)
{ }

bool EndpointTraffic::admits(const EndpointId &id, RequestPath path, TimePoint now)
{
    const Endpoint *endpoint = std::as_const(table_).find(id);
    const bool admitted = endpoint == nullptr || table_.admits(*endpoint, now);
    if (!admitted) {
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
    if (table_.limits().limitOf(id, now)) {
        metrics_.count("requests_to_limited_total",
                       observe::metricLabel("path", nameOf(RequestPathNames, path)));
    }
}

void EndpointTraffic::onAnswer(const EndpointId &id, const ResponseInfo &response, TimePoint now)
{
    Endpoint *endpoint = table_.find(id);
    if (endpoint != nullptr) {
        onLimit(*endpoint, response, now);
    }
}

/** Of all instances, the sum of own_sends is what an endpoint got in the window. */
void EndpointTraffic::onLimit(Endpoint &endpoint, const ResponseInfo &response, TimePoint now)
{
    const EndpointId &id = endpoint.listed_.id_;
    const bool changed = table_.limits().onAnswer(id, response.limitPerSecond_, now);
    const bool isDue =
        response.limitPerSecond_ && endpoint.limitLoggedAt_ + LimitLogInterval <= now;
    if ((!changed && !isDue) || !limitLines_.take(now)) {
        return;
    }
    logEvent(LogLevel::Info, "endpoint_limit",
             {{"endpoint", id.value()},
              {"limit_per_s", response.limitPerSecond_.value_or(-1)},
              {"own_sends", endpoint.sent_.count(now)},
              {"own_part", table_.limits().partOf(id, now).value_or(-1)},
              {"window_ms", toMillis(SendWindow::Length)}});
    endpoint.limitLoggedAt_ = now;
}

async::ExchangeEvents EndpointTraffic::observed(const EndpointId &id, async::ExchangeEvents events)
{
    events.onHead_ = [this, id, onHead = std::move(events.onHead_)](async::ResponseHead &head) {
        onAnswer(id, dialect_.parseResponse(head), BootClock::now());
        onHead(head);
    };
    return events;
}

} // namespace almondridge::gateway
