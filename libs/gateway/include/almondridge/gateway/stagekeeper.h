/**
 * Keeps the engines of all services in the stages that the plan wants, while this instance has
 * the right to give orders.
 */
#pragma once

#include "almondridge/async/httpclient.h"
#include "almondridge/gateway/gateway.h"
#include "almondridge/gateway/leaderelection.h"
#include "almondridge/gateway/stageplan.h"

#include <functional>
#include <map>

namespace almondridge::gateway {

struct StageKeeperSettings
{
    /** Told of each order that an engine took, so that nobody sends it work meanwhile. */
    std::function<void(const EndpointId &engine, TimePoint until)> onOrder_ {};
    /** What all instances together are asked for. */
    std::function<StageDemand(const ServiceId &service)> demand_ {};
    /** Whether an engine may be given back in a moment: its stage is left as it is. */
    std::function<bool(const Endpoint &engine)> mayLeave_ {};
    InstanceId instance_;
    StagePlanSettings plan_;
};

class StageKeeper
{
public:
    StageKeeper(async::EventLoop &loop, Gateway &gateway, const Dialect &dialect,
                LeaderElection &leaderElection, StageKeeperSettings settings);
    ~StageKeeper();

    void start();
    void stop();
    std::uint64_t orders() const noexcept { return orders_; }

private:
    void planAll();
    void readEngine(const ServiceId &service, const StageChange &change);
    void learnStart(const EndpointId &id, const EngineStatus &report);
    void give(const ServiceId &service, const StageChange &change, const EngineStatus &report);
    void ask(const EndpointId &engine, std::string text,
             const std::function<void(int status, const std::string &body)> &done);
    void onOrderAnswer(const ServiceId &service, const EndpointId &engine, int status);
    void onTaken(const ServiceId &service, const EndpointId &engine, TimePoint now);
    StagePlan &planOf(const ServiceId &service);

    Gateway &gateway_;
    const Dialect &dialect_;
    LeaderElection &leaderElection_;
    StageKeeperSettings settings_;
    std::map<ServiceId, StagePlan> plans_;
    async::HttpClient client_;
    async::Timer planning_;
    bool running_ = false;
    std::uint64_t orders_ = 0;
};

} // namespace almondridge::gateway
