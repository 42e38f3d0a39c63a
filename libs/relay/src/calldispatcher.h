/**
 * Parses and validates a caller's request, refuses an invalid one, and starts the call.
 */
#pragma once

#include "modelcall.h"
#include "relaycontext.h"
#include "servicecall.h"

namespace almondridge::relay {

/** Dispatches one request by its path. */
class CallDispatcher
{
public:
    CallDispatcher(RelayContext &context, net::ServerExchange &exchange);

    /** Whether the relay serves the path. */
    bool handlesPath() const;
    void serve();
    void refuse(const Refusal &refusal);

private:
    /** Serves one route. A returned error means that the request is invalid and nothing ran. */
    using Handler = Result<void> (CallDispatcher::*)();
    struct Route
    {
        std::string_view path_; ///< A path that ends in a slash matches as a prefix.
        std::string_view method_;
        Handler handler_;
    };
    static const std::array<Route, 4> Routes;

    Result<void> dispatch();
    Result<void> serveCompletions();
    Result<void> serveChat();
    Result<void> serveModels();
    Result<void> serveStream();
    Result<void> serveService(const fleet::Service &service);
    Result<void> serveModel(Api api);

    Result<CallInfo> parseCallInfo();
    Result<void> parseDeadline(CallInfo &info) const;
    Result<std::optional<IdempotencyKey>> parseKey(const CallInfo &info,
                                                   std::string_view scope) const;
    Result<std::string> readBody();
    Result<void> parseResume(const CallInfo &info, ModelTask &task) const;
    Result<ResumeToken> verifyToken(const CallInfo &info, std::string_view text) const;
    bool refuseExpired(const CallInfo &info);
    void refuseMethod(std::string_view allowed);
    void refuseModel(const ModelId &model);

    RelayContext &context_;
    net::ServerExchange &exchange_;
    std::shared_ptr<const FleetView> view_;
    RequestId id_;
    std::string responseId_;
    TimePoint started_;
    bool bodyRead_ = false;
};

} // namespace almondridge::relay
