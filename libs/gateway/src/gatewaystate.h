/**
 * State shared by all calls of one gateway.
 */
#pragma once

#include "almondridge/async/httpserver.h"
#include "almondridge/base/logratelimiter.h"
#include "almondridge/gateway/access.h"
#include "almondridge/gateway/endpointreach.h"
#include "almondridge/gateway/gateway.h"
#include "almondridge/gateway/pausewatch.h"
#include "almondridge/gateway/placement.h"
#include "almondridge/gateway/requestcosts.h"
#include "almondridge/gateway/shareadmission.h"
#include "almondridge/gateway/shortagewatch.h"
#include "almondridge/gateway/streamorigins.h"
#include "calltable.h"
#include "crashguard.h"
#include "endpointtraffic.h"
#include "peerrequest.h"
#include "unknownkeyqueue.h"

#include <map>
#include <random>
#include <set>

namespace almondridge::gateway {

struct GatewayState
{
    GatewayState(async::EventLoop &loop, const Dialect &dialect, GatewaySettings settings);
    ~GatewayState();

    void onCall(async::ServerCall request);
    /** Why this instance doesn't take a request that a peer forwards; nullopt: it does. */
    std::optional<PeerRefusal> refusalForPeer(std::uint64_t configVersion) const;
    void refusePeer(const async::CallId &id, PeerRefusal refusal);
    /** What requests get that come after the instance has stopped taking any. */
    net::Response refusalOfStopping(const async::ServerCall &request);
    /** Finds the route and checks the key, then starts, queues or refuses the request. */
    void admit(async::ServerCall request, const Credentials &credentials);
    bool mayConfigBeStale(TimePoint now) const;
    /** After a pause of this process, doubts what may have changed meanwhile. */
    void noticePause();
    void refuseUnrouted(const async::ServerCall &request);
    std::vector<RequestKey> sharedPartKeys(const RequestInfo &request) const;
    /**
     * Asks whether the account's share has room for the request, if a shortage is near. Counts it,
     * so that each request must be asked for once.
     */
    std::optional<ShareRefusal> admitShare(const ShareRequest &request, TimePoint now);
    Duration expectedTime(const Route &route, const RequestInfo &request) const;
    /** Creates and starts the call of an admitted request. */
    void startCall(async::ServerCall request, const Route &route, AccessResult result,
                   const Credentials &credentials);
    /** Responds with 401, or with 503 if this instance can't tell whether the key is valid. */
    void deny(const async::CallId &id, Access access);
    /** Refuses the queued requests with unknown keys that have become due. */
    void resolveUnknownKeys();
    void onCallerGone(const async::CallId &id);
    void onWritten(const async::CallId &id);
    net::Response refusalOfOverloaded(const async::OverloadedRequest &request) const;
    /** Of all answers of this instance together, while they are buffered. */
    std::size_t maxBufferedAnswerBytes() const;
    /** Of one stream that its caller hasn't read; reading from its engine is paused then. */
    std::size_t maxUnwrittenBytes() const;
    /** Gives up the largest answer if those that are kept don't fit into their memory. */
    void limitBufferedAnswers();
    /** Responds with an error before a call exists. */
    void refuse(const async::CallId &id, int status, std::string_view reason);
    /** A random service of the route, by weight. */
    const ServiceId &pickService(const Route &route);
    RetryBudget &budget(const ServiceId &service);
    /** Key of the stream that a request of the account began. */
    RequestKey streamKey(std::string_view requestId, const AccountId &account) const;
    IdleConnectionCheck idleConnectionCheck() const;
    /** Whether a request may be sent before the quarantines are known. */
    bool knowsQuarantines(TimePoint now) const;
    /** Claims the trial for the key on behalf of a call, which is told. */
    void claimTrial(RequestKey key, CallNumber call);
    /** Keeps the origin of a stream, also at other instances. */
    void addOrigin(RequestKey stream, const StreamOrigin &origin);
    /** Asks other instances for an origin; false: there are none. The answer goes to the calls. */
    bool askOrigin(RequestKey stream);
    /** Probes the endpoints that couldn't be reached, when they are due, by connecting to them. */
    void probeEndpoints();
    void onProbed(const EndpointId &id, bool reached);
    /** Tries to connect to some endpoints if nothing shows whether any can be reached. */
    void sampleEndpoints(TimePoint now);
    void onConnectResult(const EndpointId &id, bool connected);
    void onReachChanged(Reach before);
    /** Logs, once in a window of the retry budget, what was sent beyond the first attempts. */
    void logRetries(TimePoint now);
    /** Logs the endpoints that were ejected as outliers, or taken back, since the last call. */
    void logOutliers();
    /** The call whose attempt of that number is in progress; null, and counted, if there is none.
     */
    Call *findAttempt(CallNumber call, int attempt);

    async::EventLoop &loop_;
    const Dialect &dialect_;
    GatewaySettings settings_;
    async::HttpServer server_;
    async::HttpClient client_;     ///< To endpoints.
    async::HttpClient peerClient_; ///< To other instances.
    EndpointTable table_;
    Placement placement_;
    PartKeys partKeys_;
    CrashGuard crashes_ {*this};
    std::map<ServiceId, RetryBudget> budgets_;
    std::shared_ptr<const Config> config_;
    KeyLease keyLease_;
    Gateway::OnExecutionStarted onExecutionStarted_;
    UnknownKeyQueue unknownKeys_;
    async::Timer unknownKeysTimer_;
    LogRateLimiter denialLines_;
    LogRateLimiter endpointLines_;
    LogRateLimiter brokenLines_;
    LogRateLimiter shareLines_;
    LogRateLimiter unroutedLines_; ///< Also of requests that come while this instance stops.
    CallTable calls_;
    std::map<ServiceId, DemandMeter> demand_;
    std::map<ServiceId, RequestCosts> costs_;
    ShareAdmission shares_;
    std::map<ServiceId, ShortageWatch> shortages_;
    observe::Metrics metrics_;
    EndpointTraffic traffic_;
    EndpointReach reach_;
    PeerSelector peers_;
    StreamOrigins origins_;
    Gateway::SendDatagrams sendDatagrams_;
    TrialClaims trialClaims_;
    PauseWatch pauses_;
    TimePoint callsEndAt_ = TimePoint::max(); ///< While this instance stops.
    bool quarantinesKnown_ = false;
    int peerCalls_ = 0; ///< Requests in progress that peers have forwarded.
    std::mt19937_64 random_;
    async::Timer probeTimer_; ///< Next call of probeEndpoints().
    async::Timer outlierTimer_;
    TimePoint retriesLoggedAt_ = BootClock::now();
    std::set<EndpointId> outliers_;      ///< As of the last logOutliers().
    int instances_ = 1;                  ///< That share connection limits.
    std::optional<int> budgetInstances_; ///< That share retry budgets.
};

} // namespace almondridge::gateway
