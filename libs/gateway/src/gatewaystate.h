/**
 * What all calls of one gateway share.
 */
#pragma once

#include "almondridge/async/httpserver.h"
#include "almondridge/base/logratelimiter.h"
#include "almondridge/gateway/access.h"
#include "almondridge/gateway/gateway.h"
#include "almondridge/gateway/placement.h"
#include "almondridge/gateway/requestcosts.h"
#include "crashguard.h"
#include "unknownkeyqueue.h"

#include <map>
#include <random>
#include <set>
#include <unordered_map>

namespace almondridge::gateway {

class Call;

struct GatewayState
{
    GatewayState(async::EventLoop &loop, const Dialect &dialect, GatewaySettings settings);
    ~GatewayState();

    void onCall(async::ServerCall request);
    void admit(async::ServerCall request, const Credentials &credentials);
    bool mayLackConfig(TimePoint now) const;
    void refuseUnrouted(const async::ServerCall &request);
    void begin(async::ServerCall request, const Route &route, AccessVerdict verdict);
    /** 401, or 503 where this instance cannot tell. */
    void deny(const async::CallId &id, Access access);
    /** Requests whose key was not known are looked at again, as there is news or time has passed.
     */
    void lookAtWaitingKeys();
    void onCallerGone(const async::CallId &id);
    void onWritten(const async::CallId &id);
    void refuse(const async::CallId &id, int status, std::string_view reason);
    const ServiceId &pickService(const Route &route);
    SendBudget &budget(const ServiceId &service);
    /** Tries connections to endpoints that could not be reached, when they are due. */
    void testEndpoints();
    void onTested(const EndpointId &id, bool reached);
    /** One line for each endpoint that is left out from now on, or is not any more. */
    void logLeftOut();
    /** Forgets a call once the stack that it is on has unwound. */
    void release(std::uint64_t call);

    async::EventLoop &loop_;
    const Dialect &dialect_;
    GatewaySettings settings_;
    async::HttpServer server_;
    async::HttpClient client_;
    EndpointTable table_;
    Placement placement_;
    CrashGuard crashes_ {*this};
    std::map<ServiceId, SendBudget> budgets_;
    std::shared_ptr<const Config> config_;
    KeyLease keyLease_;
    Gateway::OnBegan onBegan_;
    WaitingKeys waitingKeys_;
    async::Timer waitingKeysTimer_;
    LineAllowance denialLines_;
    LineAllowance endpointLines_;
    std::unordered_map<std::uint64_t, std::unique_ptr<Call>> calls_; ///< By CallId::call_.
    std::map<ServiceId, DemandMeter> demand_;
    std::map<ServiceId, RequestCosts> costs_;
    observe::Metrics metrics_;
    std::mt19937_64 random_;
    async::Timer tests_; ///< Of endpoints that could not be reached.
    async::Timer leftOutTimer_;
    std::set<EndpointId> leftOut_; ///< As last logged.
    int instances_ = 1;
};

} // namespace almondridge::gateway
