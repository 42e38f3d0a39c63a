#include "instanceparts.h"

#include "almondridge/base/log.h"
#include "jsonanswers.h"

#include <thread>

namespace almondridge::app {
namespace {

using observe::EventKind;

/** Workers beyond maxStreams, for health checks, operators and rejections under full load. */
constexpr int SpareWorkers = 32;
constexpr int HeartbeatsUntilLost = 4;
constexpr std::int64_t KeyHorizonMillis = 3'600'000;
constexpr std::int64_t FollowFleetMillis = 200;
constexpr std::int64_t FollowListMillis = 1'000;
constexpr std::int64_t CatchUpMillis = 250;
constexpr std::int64_t PlanMillis = 1'000;
constexpr std::int64_t ListTimeoutMillis = 2'000;
/** Heartbeat intervals for which another failure domain's reported spare capacity stays valid. */
constexpr int CapacityTtlHeartbeats = 4;
constexpr std::size_t MaxRecordsPerAnswer = 1'000;
constexpr std::int64_t DrainPollMillis = 100;

relay::ClaimStatus toRelay(control::KeyClaimStatus status)
{
    switch (status) {
    case control::KeyClaimStatus::Claimed:
        return relay::ClaimStatus::Claimed;
    case control::KeyClaimStatus::Finished:
        return relay::ClaimStatus::Finished;
    case control::KeyClaimStatus::Unknown:
        return relay::ClaimStatus::Unknown;
    case control::KeyClaimStatus::LogOut:
        break;
    }
    return relay::ClaimStatus::LogUnavailable;
}

relay::ClaimResult toRelay(const control::KeyClaimAnswer &answer)
{
    return {toRelay(answer.status_), answer.httpStatus_, answer.body_};
}

Result<net::Address> addressOf(const std::string &text)
{
    return net::parseAddress(text);
}

} // namespace

relay::ClaimResult ControlKeyClaims::claim(const std::string &key, const RequestId &request,
                                           TimePoint deadline)
{
    return toRelay(claims_.claim(key, request, deadline));
}

relay::ClaimResult ControlKeyClaims::lookUp(const std::string &key, TimePoint deadline)
{
    return toRelay(claims_.lookUp(key, deadline));
}

void ControlKeyClaims::finish(const std::string &key, const RequestId &request, int httpStatus,
                              const std::string &body)
{
    claims_.finish(key, request, httpStatus, body);
}

Instance::Parts::Parts(const fleet::Settings &settings)
    : settings_(settings)
    , timeline_(settings.instance_, settings.domain_,
                static_cast<std::size_t>(settings.timelineEvents_))
{ }

Result<void> Instance::Parts::build()
{
    BOOST_LEAF_AUTO(logAddress, addressOf(settings_.logService_));
    BOOST_LEAF_AUTO(listAddress, addressOf(settings_.instanceList_));
    BOOST_LEAF_AUTO(weightAddress, addressOf(settings_.weightStore_));
    logService_ = store::makeHttpLogService(logAddress);
    instanceList_ = store::makeHttpInstanceList(listAddress);
    weightStore_ = store::makeHttpWeightStore(weightAddress);
    buildControl();
    BOOST_LEAF_CHECK(buildPeers());
    BOOST_LEAF_CHECK(buildServer());
    startLoops();
    return {};
}

void Instance::Parts::buildControl()
{
    log_ = control::ControlLog::Builder()
               .logService(*logService_)
               .recordSource(recordSource_)
               .timeline(timeline_)
               .keyHorizon(KeyHorizonMillis)
               .appendsPerSecond(settings_.appendsPerSecond_)
               .snapshotEvery(settings_.snapshotRecords_)
               .build();
    logClaims_ = std::make_unique<control::LogKeyClaims>(*log_, settings_.instance_);
    claims_ = std::make_unique<ControlKeyClaims>(*logClaims_);
    relay_ = relay::Relay::Builder()
                 .settings(settings_)
                 .claims(*claims_)
                 .metrics(metrics_)
                 .timeline(timeline_)
                 .fleet([this] { return log_->fleet().fleet_; })
                 .build();
    watch_ = std::make_unique<EndpointWatch>(settings_, *relay_, timeline_,
                                             [this] { refreshReachability(); });
    orders_ = control::makeHttpEngineOrders();
    announcer_ = std::make_unique<PeerAnnouncer>(availability_, settings_.domain_,
                                                 [this] { refreshReachability(); });
    reconciler_ = control::Reconciler::Builder()
                      .self(settings_.instance_, settings_.domain_)
                      .lease(settings_.leaseTermMillis_, settings_.leaseMarginMillis_)
                      .controlLog(*log_)
                      .orders(*orders_)
                      .announcer(*announcer_)
                      .weightStore(*weightStore_)
                      .timeline(timeline_)
                      .build();
    planLoop_ = std::make_unique<PlanLoop>(settings_, *log_, *reconciler_, ledger_, *watch_,
                                           availability_, timeline_);
}

Result<void> Instance::Parts::buildPeers()
{
    BOOST_LEAF_AUTO(listen, addressOf(settings_.peerListen_));
    const Duration interval = millis(settings_.heartbeatMillis_);
    peers_ =
        peers::PeerExchange::Builder()
            .self(settings_.instance_, settings_.domain_)
            .listen({listen.ip_, listen.port_})
            .key(settings_.peerKey_)
            .heartbeat(interval, interval * HeartbeatsUntilLost)
            .timeline(timeline_)
            .digest([this] { return digest(); })
            .onDigest([this](const peers::Member &member) { onDigest(member); })
            .handle(std::string(RecordsTopic),
                    [this](const InstanceId &,
                           const nlohmann::json &message) -> Result<nlohmann::json> {
                        const LogOffset from = message.value("from", LogOffset {1});
                        return recordsToJson(log_->recordsFrom(from, MaxRecordsPerAnswer));
                    })
            .handle(std::string(AnnounceTopic),
                    [this](const InstanceId &,
                           const nlohmann::json &message) -> Result<nlohmann::json> {
                        BOOST_LEAF_AUTO(announcement, announcementFromJson(message));
                        availability_.onAnnouncement(announcement);
                        refreshReachability();
                        return nlohmann::json::object();
                    })
            .handle(std::string(StatusTopic),
                    [this](const InstanceId &, const nlohmann::json &) -> Result<nlohmann::json> {
                        return status();
                    })
            .handle(
                std::string(TimelineTopic),
                [this](const InstanceId &, const nlohmann::json &) -> Result<nlohmann::json> {
                    return nlohmann::json {{"events", observe::eventsToJson(timeline_.events())}};
                })
            .build();
    BOOST_LEAF_CHECK(peers_->start());
    recordSource_.setExchange(peers_.get());
    announcer_->setExchange(peers_.get());
    return {};
}

Result<void> Instance::Parts::buildServer()
{
    admin_ = std::make_unique<AdminApi>(settings_, *log_, *peers_, timeline_,
                                        [this] { return status(); });
    BOOST_LEAF_AUTO(listen, addressOf(settings_.listen_));
    BOOST_LEAF_AUTO(server, net::HttpServer::Builder()
                                .listen(listen)
                                .workers(settings_.maxStreams_ + SpareWorkers)
                                .callerTimeout(settings_.callerTimeoutMillis_)
                                .bodyMemory(static_cast<std::size_t>(settings_.bodyMemoryBytes_))
                                .handler([this](net::ServerExchange &exchange) { serve(exchange); })
                                .start());
    server_.emplace(std::move(server));
    return {};
}

void Instance::Parts::startLoops()
{
    log_->start();
    reconciler_->start();
    fleetFollower_ =
        std::make_unique<Periodic>(millis(FollowFleetMillis), [this] { followFleet(); });
    listFollower_ =
        std::make_unique<Periodic>(millis(FollowListMillis), [this] { followInstanceList(); });
    catchUp_ = std::make_unique<Periodic>(millis(CatchUpMillis), [this] { catchUpFromPeers(); });
    planTimer_ = std::make_unique<Periodic>(millis(PlanMillis), [this] {
        ledger_.addLocal(relay_->takeDemand());
        planLoop_->round();
    });
    timeline_.add(EventKind::Instance, "instance.started", settings_.instance_.value());
}

void Instance::Parts::serve(net::ServerExchange &exchange)
{
    const std::string_view path = exchange.path();
    if (path == "/healthz") {
        exchange.respond(200, "text/plain", "ok\n");
        return;
    }
    if (path == "/readyz") {
        const bool isReady = ready();
        exchange.respond(isReady ? 200 : 503, "text/plain", isReady ? "ready\n" : "not ready\n");
        return;
    }
    if (path == "/metrics") {
        exchange.respond(200, "text/plain; version=0.0.4", metrics_.prometheusText());
        return;
    }
    if (admin_->handle(exchange) || relay_->handle(exchange)) {
        return;
    }
    answerError(exchange, 404,
                {ErrorKind::NotFound, "nothing is served at this path",
                 "use /v1/... or a service's path of the fleet file in force"});
}

bool Instance::Parts::ready() const
{
    return !stopping_ && log_->fleet().fleet_ != nullptr;
}

void Instance::Parts::refreshReachability()
{
    const TimePoint now = BootClock::now();
    const std::map<EndpointId, WatchedEndpoint> endpoints = watch_->endpoints();
    relay_->withRouter([&](routing::Router &router) {
        for (const auto &[id, watched] : endpoints) {
            const bool open = availability_.availability(id) == control::Availability::Open;
            const auto reachable = watched.reachable_ ? routing::Reachability::Open
                                                      : routing::Reachability::Unreachable;
            router.onReachability(id, open ? reachable : routing::Reachability::Withheld, now);
        }
    });
}

void Instance::Parts::followFleet()
{
    log_->waitForRevision(followedRevision_ + 1, BootClock::now() + millis(FollowFleetMillis));
    const control::AcceptedFleet accepted = log_->fleet();
    if (accepted.revision_ == followedRevision_ || !accepted.fleet_) {
        return;
    }
    std::set<EndpointId> leaving;
    for (const auto &[id, endpoint] : accepted.fleet_->endpoints_) {
        if (endpoint.leaving_) {
            leaving.insert(id);
        }
    }
    availability_.setFileLeaving(std::move(leaving));
    relay_->onFleet(accepted.fleet_);
    watch_->setFleet(*accepted.fleet_);
    refreshReachability();
    followedRevision_ = accepted.revision_;
    timeline_.add(EventKind::Apply, "apply.followed", std::to_string(accepted.revision_),
                  "operator=" + quoteLogValue(accepted.operator_));
}

void Instance::Parts::followInstanceList()
{
    const auto listed =
        capture([&] { return instanceList_->fetch(BootClock::now() + millis(ListTimeoutMillis)); });
    if (listed.index() == 1) {
        // While the instance list is unavailable, the last known members stay in use.
        return;
    }
    std::vector<peers::PeerAddress> seeds;
    std::set<EndpointId> leaving;
    for (const store::ListedInstance &entry : std::get<0>(listed)) {
        if (entry.kind_ != "entry") {
            if (entry.state_ == store::ListedState::Leaving) {
                leaving.insert(EndpointId(entry.id_));
            }
            continue;
        }
        const auto address = capture([&] { return net::parseAddress(entry.address_); });
        if (address.index() == 0 && entry.id_ != settings_.instance_.value()) {
            seeds.push_back({std::get<0>(address).ip_, std::get<0>(address).port_});
        }
    }
    peers_->seed(seeds);
    availability_.setListLeaving(leaving);
    reconciler_->setLeaving(std::move(leaving));
    refreshReachability();
}

void Instance::Parts::catchUpFromPeers()
{
    const LogOffset next = log_->read([](const control::Fold &fold) { return fold.next(); });
    const std::vector<store::LogRecord> records = recordSource_.recordsFrom(next);
    if (!records.empty()) {
        log_->offer(records);
    }
}

nlohmann::json Instance::Parts::digest()
{
    nlohmann::json digest;
    const control::AcceptedFleet accepted = log_->fleet();
    digest["revision"] = accepted.revision_;
    digest["next"] = log_->read([](const control::Fold &fold) { return fold.next(); });
    digest["mix"] = ledger_.localTotals();
    if (reconciler_->heldFence()) {
        digest["announcement"] = toJson(availability_.announcement());
    }
    nlohmann::json spare = nlohmann::json::object();
    if (accepted.fleet_) {
        const TimePoint now = BootClock::now();
        relay_->withRouter([&](routing::Router &router) {
            for (const auto &[id, model] : accepted.fleet_->models_) {
                spare[id.value()] = router.spareShare(id, now);
            }
        });
    }
    digest["spare"] = std::move(spare);
    return digest;
}

void Instance::Parts::onDigest(const peers::Member &member)
{
    const nlohmann::json &digest = member.digest_;
    if (!digest.is_object()) {
        return;
    }
    const TimePoint now = BootClock::now();
    if (member.domain_ == settings_.domain_) {
        ledger_.onRemoteTotals(member.instance_, digest.value("mix", nlohmann::json::object()));
        if (digest.contains("announcement")) {
            // Heartbeats repeat the announcement, so that an instance which missed it catches up
            // within one interval.
            const auto announcement =
                capture([&] { return announcementFromJson(digest["announcement"]); });
            if (announcement.index() == 0
                && availability_.onAnnouncement(std::get<0>(announcement))) {
                refreshReachability();
            }
        }
        return;
    }
    double spare = 0;
    const nlohmann::json spares = digest.value("spare", nlohmann::json::object());
    for (const auto &[model, share] : spares.items()) {
        spare = std::max(spare, share.is_number() ? share.get<double>() : 0.0);
    }
    const TimePoint validUntil = now + millis(settings_.heartbeatMillis_) * CapacityTtlHeartbeats;
    relay_->withRouter([&](routing::Router &router) {
        router.onDomainCapacity(member.domain_, spare, validUntil);
    });
}

nlohmann::json Instance::Parts::status()
{
    nlohmann::json members = nlohmann::json::array();
    for (const peers::Member &member : peers_->members()) {
        members.push_back({{"instance", member.instance_.value()},
                           {"domain", member.domain_.value()},
                           {"alive", member.alive_},
                           {"leaving", member.leaving_}});
    }
    nlohmann::json withheld = nlohmann::json::object();
    for (const auto &[endpoint, availability] : availability_.withheld()) {
        withheld[endpoint.value()] = nameOf(control::AvailabilityNames, availability);
    }
    nlohmann::json progress = nlohmann::json::object();
    for (const auto &[engine, line] : reconciler_->progress()) {
        progress[engine.value()] = line;
    }
    return {{"instance", settings_.instance_.value()},
            {"domain", settings_.domain_.value()},
            {"ready", ready()},
            {"stopping", stopping_.load()},
            {"revision", log_->fleet().revision_},
            {"revision_followed", followedRevision_.load()},
            {"next_offset", log_->read([](const control::Fold &fold) { return fold.next(); })},
            {"log_reachable", log_->logReachable()},
            {"appends", log_->appends()},
            {"fence", reconciler_->heldFence().value_or(0)},
            {"role_changes", planLoop_->roleChanges()},
            {"in_work", relay_->activeRequests()},
            {"members", std::move(members)},
            {"withheld", std::move(withheld)},
            {"engines", std::move(progress)}};
}

Result<std::unique_ptr<Instance>> Instance::start(const fleet::Settings &settings)
{
    auto parts = std::make_unique<Parts>(settings);
    BOOST_LEAF_CHECK(parts->build());
    return std::unique_ptr<Instance>(new Instance(std::move(parts)));
}

Instance::Instance(std::unique_ptr<Parts> parts) noexcept
    : parts_(std::move(parts))
{ }

Instance::~Instance()
{
    parts_->planTimer_.reset();
    parts_->catchUp_.reset();
    parts_->listFollower_.reset();
    parts_->fleetFollower_.reset();
    parts_->reconciler_->stop();
    if (parts_->server_) {
        parts_->server_->stop();
    }
    parts_->recordSource_.setExchange(nullptr);
    parts_->announcer_->setExchange(nullptr);
    parts_->peers_->stop();
    parts_->log_->stop();
}

std::uint16_t Instance::port() const noexcept
{
    return parts_->server_->port();
}

void Instance::shutDown()
{
    parts_->stopping_ = true;
    parts_->timeline_.add(EventKind::Instance, "instance.stopping",
                          parts_->settings_.instance_.value());
    parts_->peers_->setLeaving();
    parts_->peers_->heartbeatNow();
    parts_->planTimer_.reset();
    parts_->reconciler_->stop();
    // Load balancers notice late that this instance is not ready; requests that they still send
    // are served.
    std::this_thread::sleep_for(millis(parts_->settings_.shutdownGraceMillis_));
    parts_->relay_->stopAccepting();
    while (!parts_->relay_->waitIdle(BootClock::now() + millis(DrainPollMillis))) { }
    parts_->timeline_.add(EventKind::Instance, "instance.stopped",
                          parts_->settings_.instance_.value());
}

} // namespace almondridge::app
