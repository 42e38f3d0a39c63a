/**
 * One instance's way from callers to endpoints: takes requests, places, sends and repeats them
 * where that is allowed, and passes answers on. Runs on one event loop; nothing locks.
 */
#pragma once

#include "almondridge/async/eventloop.h"
#include "almondridge/async/httpclient.h"
#include "almondridge/gateway/config.h"
#include "almondridge/gateway/crashevidence.h"
#include "almondridge/gateway/dialect.h"
#include "almondridge/gateway/endpoints.h"
#include "almondridge/gateway/promptcacheindex.h"
#include "almondridge/gateway/retrybudget.h"
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
    DomainId domain_;
    RetryBudgetLimits secondSends_;
    std::int64_t connectMillis_ = 400; ///< Until a connection to an endpoint counts as refused.
    std::size_t maxKeptConnections_ = 512;
    /** Until a key that was taken away must not work any more, in touch or not; 0: no bound. */
    std::int64_t revokeBoundMillis_ = 0;
    /** Until a configuration that was accepted is in force everywhere; 0: no bound. */
    std::int64_t configBoundMillis_ = 0;
    std::string keySecret_ {}; ///< Of request keys; the same for all instances of a deployment.
};

class Gateway
{
public:
    Gateway(async::EventLoop &loop, const Dialect &dialect, GatewaySettings settings);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    Result<void> listen(const net::Address &address);
    std::uint16_t port() const;

    /** Puts a configuration in force; an older one than the present is ignored. */
    void setConfig(std::shared_ptr<const Config> config);
    const std::shared_ptr<const Config> &config() const noexcept;
    /** Told of each request of an account that an endpoint began to run, and when. */
    using OnBegan = std::function<void(const AccountId &account, TimePoint began)>;
    void setOnBegan(OnBegan onBegan);
    /** The configuration in force was the store's newest at that time. */
    void confirmConfig(TimePoint asOf);
    /** Since the keys were last known to be those in force; -1: never. */
    double keysAgeSeconds(TimePoint now) const;
    void listEndpoint(const ListedEndpoint &listed);
    void unlistEndpoint(const EndpointId &id);
    /** How many instances may share the allowance for second sends and the endpoints' connections.
     */
    void setInstances(int count);
    EndpointTable &endpoints() noexcept;
    /** Shared parts that came to engines by this instance since the last call. */
    std::vector<PromptCacheIndex::Key> takeNewCachedParts();
    /** The same as another instance told. */
    void onPeerCachedParts(const std::vector<PromptCacheIndex::Key> &parts);
    /** What this instance's callers asked of each service's engines in the last seconds. */
    std::map<ServiceId, StageDemand> demand() const;
    /** The demand with what requests of the service cost, as this instance has learnt. */
    StageLoad stageLoad(const ServiceId &service, const StageDemand &demand) const;
    /** What is held against requests; other instances' part of it goes in and out here. */
    CrashEvidence &crashEvidence() noexcept;
    /** What requests came to, for the metrics page; the owner adds its own. */
    observe::Metrics &metrics() noexcept;
    /** Second sends that are left now, for each service. */
    std::map<ServiceId, double> secondSendsLeft();
    const async::ClientCounters &clientCounters() const noexcept;

    /** From now on answers close their connections, so that callers go elsewhere. */
    void closeAfterAnswers();
    void stopListening();
    void closeIdle();
    std::size_t openCalls() const noexcept;

private:
    std::unique_ptr<GatewayState> state_;
};

} // namespace almondridge::gateway
