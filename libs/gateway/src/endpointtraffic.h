/**
 * Every request that leaves for an endpoint and every answer of one, whether for a caller or for
 * the gateway itself, is reported here.
 */
#pragma once

#include "acceptedanswer.h"
#include "almondridge/async/httpclient.h"
#include "almondridge/base/logratelimiter.h"
#include "almondridge/gateway/dialect.h"
#include "almondridge/gateway/endpoints.h"
#include "almondridge/gateway/requestpath.h"
#include "almondridge/observe/metrics.h"

namespace almondridge::gateway {

class EndpointTraffic
{
public:
    EndpointTraffic(const Dialect &dialect, EndpointTable &table, observe::Metrics &metrics);

    /**
     * Whether the endpoint admits a request that isn't placed by EndpointTable::usable(). If so, it
     * counts as sent; if not, it is counted as held back.
     */
    bool admit(const EndpointId &id, RequestPath path, TimePoint now);
    void onSent(const EndpointId &id, RequestPath path, TimePoint now);
    void onAnswer(const EndpointId &id, const AcceptedAnswer &answer, TimePoint now);
    /** Events that also report the head of the answer here. */
    async::ExchangeEvents observed(const EndpointId &id, async::ExchangeEvents events);

private:
    void onLeaving(Endpoint &endpoint, const ResponseInfo &response, TimePoint now);
    void onBackoff(Endpoint &endpoint, const ResponseInfo &response, TimePoint now);
    void onLimit(Endpoint &endpoint, const ResponseInfo &response, TimePoint now);
    void onInvalidLoad(const EndpointId &id, const std::string &value, TimePoint now);

    const Dialect &dialect_;
    EndpointTable &table_;
    observe::Metrics &metrics_;
    LogRateLimiter lines_;
    LogRateLimiter invalidLoadLines_;
};

} // namespace almondridge::gateway
