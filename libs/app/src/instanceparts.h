/**
 * The components of an entry instance, declared in construction order and destroyed in reverse.
 */
#pragma once

#include "adminapi.h"
#include "almondridge/app/instance.h"
#include "almondridge/control/controllog.h"
#include "almondridge/control/keyclaims.h"
#include "almondridge/control/reconciler.h"
#include "almondridge/net/httpserver.h"
#include "almondridge/observe/metrics.h"
#include "almondridge/observe/timeline.h"
#include "almondridge/peers/peerexchange.h"
#include "almondridge/relay/relay.h"
#include "almondridge/store/httpstore.h"
#include "availabilitytable.h"
#include "endpointwatch.h"
#include "mixledger.h"
#include "peerlinks.h"
#include "periodic.h"
#include "planloop.h"

#include <atomic>
#include <memory>
#include <optional>

namespace almondridge::app {

/** Adapts the idempotency keys stored in the control log to the relay's interface. */
class ControlKeyClaims final : public relay::KeyClaims
{
public:
    explicit ControlKeyClaims(control::LogKeyClaims &claims)
        : claims_(claims)
    { }
    relay::ClaimResult claim(const std::string &key, const RequestId &request,
                             TimePoint deadline) override;
    relay::ClaimResult lookUp(const std::string &key, TimePoint deadline) override;
    void finish(const std::string &key, const RequestId &request, int httpStatus,
                const std::string &body) override;

private:
    control::LogKeyClaims &claims_;
};

struct Instance::Parts
{
    explicit Parts(const fleet::Settings &settings);

    Result<void> build();
    void buildControl();
    Result<void> buildPeers();
    Result<void> buildServer();
    void startLoops();

    /** Handles one HTTP request from a caller or an operator. */
    void serve(net::ServerExchange &exchange);
    bool ready() const;
    /** Updates the reachability of every endpoint in the router from all sources. */
    void refreshReachability();
    /** Waits for a newer fleet revision and applies it to the relay and the endpoint watch. */
    void followFleet();
    void followInstanceList();
    void catchUpFromPeers();
    nlohmann::json digest();
    void onDigest(const peers::Member &member);
    nlohmann::json status();

    const fleet::Settings settings_;
    observe::Timeline timeline_;
    observe::Metrics metrics_;
    std::atomic<bool> stopping_ = false;
    std::atomic<Revision> followedRevision_ = 0;

    std::unique_ptr<store::LogService> logService_;
    std::unique_ptr<store::InstanceList> instanceList_;
    std::unique_ptr<store::WeightStore> weightStore_;
    PeerRecordSource recordSource_;
    std::unique_ptr<control::ControlLog> log_;
    std::unique_ptr<control::LogKeyClaims> logClaims_;
    std::unique_ptr<ControlKeyClaims> claims_;
    std::unique_ptr<relay::Relay> relay_;
    AvailabilityTable availability_;
    MixLedger ledger_;
    std::unique_ptr<EndpointWatch> watch_;
    std::unique_ptr<control::EngineOrders> orders_;
    std::unique_ptr<PeerAnnouncer> announcer_;
    std::unique_ptr<control::Reconciler> reconciler_;
    std::unique_ptr<PlanLoop> planLoop_;
    std::unique_ptr<peers::PeerExchange> peers_;
    std::unique_ptr<AdminApi> admin_;
    std::optional<net::HttpServer> server_;
    std::unique_ptr<Periodic> fleetFollower_;
    std::unique_ptr<Periodic> listFollower_;
    std::unique_ptr<Periodic> catchUp_;
    std::unique_ptr<Periodic> planTimer_;
};

} // namespace almondridge::app
