/**
 * One call to a plain service: passed to an endpoint as it is, and its answer back.
 */
#pragma once

#include "calldriver.h"
#include "keyedcall.h"

#include <optional>
#include <string>

namespace almondridge::relay {

struct ServiceTask
{
    ServiceId service_;
    std::string method_;
    std::string path_; ///< In the service, with the query.
    net::Headers headers_;
    std::string body_;
    Recovery recovery_ = Recovery::Once;
    std::optional<IdempotencyKey> key_ {};
};

/** Headers without those that are about one connection only, and without those named. */
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
    KeyedCall keyed_;
    net::ResponseHead head_;
    std::string body_;        ///< Of the answer, until it is passed on in pieces.
    bool forwarding_ = false; ///< The answer goes to the caller in pieces.
};

} // namespace almondridge::relay
