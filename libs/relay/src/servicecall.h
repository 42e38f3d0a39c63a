/**
 * One call to a service: forwards the request to an endpoint and the response to the caller.
 */
#pragma once

#include "calldriver.h"
#include "keyedcall.h"

#include <optional>
#include <string>

namespace almondridge::relay {

/** Parameters of a call to a service. */
struct ServiceTask
{
    ServiceId service_;
    std::string method_;
    std::string path_; ///< Path below the service's prefix, with the query.
    net::Headers headers_;
    std::string body_;
    Recovery recovery_ = Recovery::Once;
    std::optional<IdempotencyKey> key_ {};
};

/** The headers without hop-by-hop headers and without those in excluded (lower case). */
net::Headers endToEndHeaders(const net::Headers &headers,
                             std::initializer_list<std::string_view> excluded);

class ServiceCall : public CallDriver
{
public:
    ServiceCall(RelayContext &context, net::ServerExchange &caller, const CallInfo &info,
                ServiceTask task);
    void serve();

private:
    routing::RouteQuery query() override;
    net::Request requestFor(const SendRequest &action) override;
    void onHead(const net::ResponseHead &head) override;
    void onBytes(std::string_view bytes) override;
    void onEnd() override;
    void forwardResponse() override;
    void finish() override;
    void refuse(const Refusal &refusal) override;
    void abandon() override;

    void respondToDuplicate(const DuplicateResponse &duplicate);
    void startForwarding();
    net::Headers callerHeaders() const;
    std::string contentType() const;

    ServiceTask task_;
    KeyedCall keyedCall_;
    net::ResponseHead head_;
    std::string body_;        ///< Buffered response body, until streaming starts.
    bool forwarding_ = false; ///< The response is being streamed to the caller.
};

} // namespace almondridge::relay
