/**
 * Reads a caller's request, refuses what is wrong with it at once, and starts the call it asks
 * for.
 */
#pragma once

#include "modelcall.h"
#include "relaycontext.h"
#include "servicecall.h"

namespace almondridge::relay {

class CallDispatcher
{
public:
    CallDispatcher(RelayContext &context, net::ServerExchange &exchange);

    /** Whether the path is one that the relay answers. */
    bool handlesPath() const;
    void serve();
    void refuse(const Refusal &refusal);

private:
    /** Answers one kind of path. A failure says what is wrong with the request; nothing ran. */
    using Handler = Result<void> (CallDispatcher::*)();
    struct Route
    {
        std::string_view path_; ///< One that ends in a slash stands for all that begin with it.
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
