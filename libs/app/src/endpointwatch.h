/**
 * Polls the endpoints of this failure domain for load reports and cache events.
 */
#pragma once

#include "almondridge/fleet/settings.h"
#include "almondridge/net/http.h"
#include "almondridge/observe/timeline.h"
#include "almondridge/relay/relay.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace almondridge::app {

/** An endpoint, its polling state and its latest load report. */
struct WatchedEndpoint
{
    fleet::Endpoint endpoint_;
    net::Address address_;
    TimePoint nextRead_ {};
    bool reading_ = false;
    bool reachable_ = true;
    int failures_ = 0; ///< Consecutive failed reads.
    std::uint64_t nextCacheEvent_ = 0;
    std::optional<routing::LoadReport> report_;
};

class EndpointWatch
{
public:
    /** Calls onChange, with no lock held, when an endpoint becomes reachable or unreachable. */
    EndpointWatch(const fleet::Settings &settings, relay::Relay &relay, observe::Timeline &timeline,
                  std::function<void()> onChange);
    ~EndpointWatch();
    EndpointWatch(const EndpointWatch &) = delete;
    EndpointWatch &operator=(const EndpointWatch &) = delete;

    /** Replaces the set of polled endpoints by those of this failure domain in fleet. */
    void setFleet(const fleet::Fleet &fleet);
    std::map<EndpointId, WatchedEndpoint> endpoints() const;

private:
    void run();
    /** Waits for the next endpoint that is due and claims it; nullopt when stopping. */
    std::optional<WatchedEndpoint> takeNext();
    void readOne(WatchedEndpoint endpoint);
    void readCacheEvents(WatchedEndpoint &endpoint);
    void finish(const WatchedEndpoint &endpoint, bool reachable);

    const fleet::Settings settings_;
    relay::Relay &relay_;
    observe::Timeline &timeline_;
    const std::function<void()> onChange_;
    mutable std::mutex mutex_;
    std::condition_variable condition_;
    std::map<EndpointId, WatchedEndpoint> endpoints_;
    bool stopping_ = false;
    std::vector<std::thread> threads_;
};

} // namespace almondridge::app
