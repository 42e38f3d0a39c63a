/**
 * Moves the engines of all services to the stages that the plan requires, while this instance is
 * entitled to give orders.
 */
#pragma once

#include "almondridge/async/httpclient.h"
#include "almondridge/gateway/gateway.h"
#include "almondridge/gateway/leaderelection.h"
#include "almondridge/gateway/stageplan.h"

#include <functional>
#include <map>

namespace almondridge::gateway {

struct StageControllerSettings
{
    /**
     * Called for each order that an engine accepted, so that peers can be told to send it no work
     * until then.
     */
    std::function<void(const EndpointId &engine, TimePoint until)> onOrderAccepted_ {};
    /** The demand on a service from the callers of all instances. */
    std::function<StageDemand(const ServiceId &service)> demand_ {};
    /** Whether an engine may be released soon; its stage is then left unchanged. */
    std::function<bool(const Endpoint &engine)> mayBeReleased_ {};
    InstanceId instance_;
    StagePlanSettings plan_;
};

class StageController
{
public:
    StageController(async::EventLoop &loop, Gateway &gateway, const Dialect &dialect,
                    LeaderElection &leaderElection, StageControllerSettings settings);
    ~StageController();

    void start();
    void stop();
    /** Returns the number of orders sent since the start. */
    std::uint64_t orders() const noexcept { return orders_; }

private:
    void planAll();
    void fetchReport(const ServiceId &service, const StageChange &change);
    void updateStartTime(const EndpointId &id, const EngineStatus &report);
    void sendOrder(const ServiceId &service, const StageChange &change, const EngineStatus &report);
    bool sendRequest(const EndpointId &engine, RequestPath path, std::string text,
                     const std::function<void(int status, const std::string &body)> &done);
    void onNotGiven(const ServiceId &service, const EndpointId &engine, std::string_view why);
    void onOrderAnswer(const ServiceId &service, const EndpointId &engine, int status);
    void onAccepted(const ServiceId &service, const EndpointId &engine, TimePoint now);
    StagePlan &planOf(const ServiceId &service);

    Gateway &gateway_;
    const Dialect &dialect_;
    LeaderElection &leaderElection_;
    StageControllerSettings settings_;
    std::map<ServiceId, StagePlan> plans_;
    async::HttpClient client_;
    async::Timer planTimer_;
    bool running_ = false;
    std::uint64_t orders_ = 0;
};

} // namespace almondridge::gateway
