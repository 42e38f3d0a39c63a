/**
 * Keeps the engines of all services in the stages that the plan wants, while this instance has
 * the right to give orders.
 */
#pragma once

#include "almondridge/async/httpclient.h"
#include "almondridge/gateway/authority.h"
#include "almondridge/gateway/gateway.h"
#include "almondridge/gateway/stageplan.h"

#include <functional>
#include <map>

namespace almondridge::gateway {

/** What the right to give orders is taken from. Answers may come late or never. */
class AuthorityStore
{
public:
    virtual ~AuthorityStore() = default;

    /** Asks whether this instance is the one that is named; nullopt: no answer. */
    virtual void ask(const std::function<void(std::optional<bool>)> &done) = 0;
    /** Appends a claim and gives its offset; nullopt: it may or may not be there. */
    virtual void claim(const std::function<void(std::optional<LogOffset>)> &done) = 0;
};

struct StageKeeperSettings
{
    /** Told of each order that an engine took, so that nobody sends it work meanwhile. */
    std::function<void(const EndpointId &engine, TimePoint until)> onOrder_ {};
    /** What all instances together are asked for. */
    std::function<StageDemand(const ServiceId &service)> demand_ {};
    InstanceId instance_;
    AuthoritySettings authority_;
    StagePlanSettings plan_;
};

class StageKeeper
{
public:
    StageKeeper(async::EventLoop &loop, Gateway &gateway, const Dialect &dialect,
                AuthorityStore &store, StageKeeperSettings settings);
    ~StageKeeper();

    void start();
    void stop();
    std::uint64_t orders() const noexcept { return orders_; }
    /** Whether the store names this instance, as far as it knows. */
    bool named() const { return authority_.namedNow(BootClock::now()); }
    bool mayOrder() const { return authority_.right(BootClock::now()).has_value(); }

private:
    void renew();
    void claimIfNeeded();
    void planAll();
    void readEngine(const ServiceId &service, const StageChange &change);
    void learnStart(const EndpointId &id, const EngineReport &report);
    void give(const ServiceId &service, const StageChange &change, const EngineReport &report);
    void ask(const EndpointId &engine, std::string text,
             const std::function<void(int status, const std::string &body)> &done);
    void onOrderAnswer(const ServiceId &service, const EndpointId &engine, int status);
    void onTaken(const ServiceId &service, const EndpointId &engine, TimePoint now);
    StagePlan &planOf(const ServiceId &service);

    Gateway &gateway_;
    const Dialect &dialect_;
    AuthorityStore &store_;
    StageKeeperSettings settings_;
    Authority authority_;
    std::map<ServiceId, StagePlan> plans_;
    async::HttpClient client_;
    async::Timer renewal_;
    async::Timer planning_;
    bool claiming_ = false;
    bool running_ = false;
    std::uint64_t orders_ = 0;
};

} // namespace almondridge::gateway
