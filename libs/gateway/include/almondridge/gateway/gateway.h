/**
 * The reverse proxy of one instance: accepts callers' requests, chooses endpoints for them, retries
 * where that is allowed, and forwards the responses. Runs on one event loop, without locks.
 */
#pragma once

#include "almondridge/async/clientlimits.h"
#include "almondridge/async/eventloop.h"
#include "almondridge/async/httpclient.h"
#include "almondridge/gateway/config.h"
#include "almondridge/gateway/crashevidence.h"
#include "almondridge/gateway/dialect.h"
#include "almondridge/gateway/endpoints.h"
#include "almondridge/gateway/loadmesh.h"
#include "almondridge/gateway/peerselector.h"
#include "almondridge/gateway/promptcacheindex.h"
#include "almondridge/gateway/requestpath.h"
#include "almondridge/gateway/retrybudget.h"
#include "almondridge/gateway/shareadmission.h"
#include "almondridge/gateway/stageplan.h"
#include "almondridge/observe/metrics.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace almondridge::gateway {

struct GatewayState;

struct GatewaySettings
{
    DomainId domain_;                         ///< Failure domain of this instance.
    RetryBudgetLimits retryBudget_;           ///< For each service, shared by all instances.
    std::int64_t connectTimeoutMillis_ = 400; ///< To connect to an endpoint.
    std::size_t maxIdleConnections_ = 512;    ///< To all endpoints together.
    /**
     * Time after which a revoked key is refused, even by an instance that can't reach the store;
     * 0: no bound.
     */
    std::int64_t revokeBoundMillis_ = 0;
    /** Time after which an accepted configuration is in force at every instance; 0: no bound. */
    std::int64_t configBoundMillis_ = 0;
    /** HMAC key for request keys; the same for all instances of a deployment. */
    std::string keySecret_ {};
    TimePoint startedAt_ {}; ///< When this process started.
    /** The same in milliseconds since the Unix epoch; 0: not known. */
    std::int64_t startedAtWallMillis_ = 0;
    /** Whether client accounts get shares of a service's capacity while it is scarce. */
    bool sharesCapacity_ = false;
};

/** Decides in the whole fleet which instance makes the single trial run after a quarantine. */
struct TrialClaims
{
    /** Calls done with whether the trial for the key is this instance's; at most one is. */
    std::function<void(RequestKey key, std::function<void(bool)> done)> claim_;
    /** The trial was inconclusive, or the key is cleared: another one may be claimed. */
    std::function<void(RequestKey key)> release_;
};

class Gateway
{
public:
    Gateway(async::EventLoop &loop, const Dialect &dialect, GatewaySettings settings);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    /** Starts to accept callers; fails if the address can't be bound. */
    Result<void> listen(const net::Address &address);
    /** Starts to accept requests that other instances forward; fails as listen(). */
    Result<void> listenForPeers(const net::Address &address);
    std::uint16_t port() const;
    std::uint16_t peerPort() const;

    /** Puts a configuration in force, unless its version isn't newer than the current one's. */
    void setConfig(std::shared_ptr<const Config> config);
    /** The configuration in force; null until the first one. */
    const std::shared_ptr<const Config> &config() const noexcept;
    /** Called for each request of an account when an endpoint began to execute it. */
    using OnExecutionStarted = std::function<void(const AccountId &account, TimePoint startedAt)>;
    void setOnExecutionStarted(OnExecutionStarted onExecutionStarted);
    /**
     * The configuration in force was the newest one in the store at that time, and so were the
     * entries of endpoints, which are read together with it.
     */
    void confirmConfig(TimePoint asOf);
    /** Seconds since the keys were last confirmed to be current; -1: never confirmed. */
    double keysAgeSeconds(TimePoint now) const;
    /** Adds or updates an endpoint of the endpoint list. */
    void listEndpoint(const ListedEndpoint &listed);
    /** An endpoint was removed from the endpoint list. */
    void unlistEndpoint(const EndpointId &id);
    /** Number of known instances; they share the endpoints' connection limits. */
    void setInstances(int count);
    /** Number of all instances, which share the retry budget; to be called once it is known. */
    void setRetryBudgetInstances(int count);
    /** The known instances, this one included; they divide limits of endpoints among them. */
    void setMembers(const InstanceId &self, const std::vector<InstanceId> &members);
    /** Sets the instances to which requests can be forwarded; this one may be among them. */
    void setPeers(const InstanceId &self, const std::vector<PeerInstance> &peers);
    /**
     * Sets how datagrams about streams' origins are sent to other instances. Without it, a stream
     * can be taken up only at the instance that began it.
     */
    using SendDatagrams = std::function<void(const std::vector<MeshDatagram> &datagrams)>;
    void setSendDatagrams(SendDatagrams sendDatagrams);
    /** Without them, the instances' own messages alone keep trials apart. */
    void setTrialClaims(TrialClaims claims);
    /** The quarantines that the store has are known: until then requests wait for a short while. */
    void setQuarantinesKnown();
    /** Processes such a datagram; it begins with OriginDatagramMark. */
    ReceiveResult onOriginDatagram(std::string_view datagram, TimePoint now);
    /** Whether this instance holds itself cut off from all endpoints. */
    bool isCutOff() const noexcept;
    /**
     * Endpoints that requests of this instance recently failed to reach, and that are to blame:
     * this instance reaches others.
     */
    std::vector<EndpointId> unreachableEndpoints(TimePoint now) const;
    /** Whether failures may be this instance's own, as nothing was reached since the last one. */
    bool isReachInDoubt() const noexcept;
    EndpointTable &endpoints() noexcept;
    /**
     * Whether an endpoint admits a request that the owner of the gateway sends by itself. If so,
     * the request counts as sent.
     */
    bool admitOwnRequest(const EndpointId &endpoint, RequestPath path);
    /** Events of such a request, which also report the head of its answer to the gateway. */
    async::ExchangeEvents observed(const EndpointId &endpoint, async::ExchangeEvents events);
    /** Shared prompt parts that engines cached for this instance's requests since the last call. */
    std::vector<PromptCacheIndex::Key> takeNewCachedParts();
    /** Shared prompt parts that another instance reported as cached by engines. */
    void onPeerCachedParts(const std::vector<PromptCacheIndex::Key> &parts);
    /** Recent load of this instance's requests on the engines of each service. */
    std::map<ServiceId, StageDemand> demand() const;
    /** The demand together with this instance's estimates of what the service's requests cost. */
    StageLoad stageLoad(const ServiceId &service, const StageDemand &demand) const;
    /** Evidence of requests that crash endpoints, to be exchanged with other instances. */
    CrashEvidence &crashEvidence() noexcept;
    /** What accounts ask for, to be exchanged with other instances; null: capacity isn't shared. */
    ShareAdmission *shareAdmission() noexcept;
    /** Sets the fleet's demand on a service; isComplete: it covers all instances. */
    void observeDemand(const ServiceId &service, const StageDemand &demand, bool isComplete,
                       TimePoint now);
    /** Whether the demand on some service comes close to what its engines can do. */
    bool isShortageNear() const;
    /** Whether the fleet asks for more than its room, of each service that accounts have asked. */
    std::map<ServiceId, bool> shortages(TimePoint now) const;
    /** Metrics of requests; the owner of the gateway adds its own. */
    observe::Metrics &metrics() noexcept;
    /** Retries that each service's budget allows now. */
    std::map<ServiceId, double> retryBudgetLeft();
    const async::ClientCounters &clientCounters() const noexcept;

    /** Makes answers close their connections, so that callers reconnect to other instances. */
    /** Called several times a second, so that a pause of the process is noticed. */
    void onTurn();
    /**
     * Calls end at callsEndAt: from now on requests are refused that can't be expected to end
     * before, while it is true that they didn't run.
     */
    void beginDrain(TimePoint callsEndAt = TimePoint::max());
    /** From now on requests are refused, and connections end; see async::Intake::Closed. */
    void endIntake();
    /** Clients that met a limit of the server for callers and peers. */
    const async::ClientLimitCounters &clientLimits() const noexcept;
    std::size_t openCalls() const noexcept;
    /** As openCalls(), with requests being received and answers being written. */
    std::size_t unfinished() const;
    /** Gives each open call its final answer: the process is about to end. */
    void endCalls();

private:
    std::unique_ptr<GatewayState> state_;
};

} // namespace almondridge::gateway
