#include "almondridge/gateway/gateway.h"

#include "almondridge/base/log.h"
#include "answerbuffers.h"
#include "call.h"
#include "gatewaystate.h"

#include <algorithm>
#include <iterator>

namespace almondridge::gateway {

namespace {

/** Between two checks for due probes; short relative to the shortest pause between two probes. */
constexpr Duration ProbeInterval = millis(50);
/** Between two calls of logOutliers(). */
constexpr Duration OutlierLogInterval = millis(250);
/** Short, as the retry may reach another instance, which may answer. */
constexpr std::int64_t OtherInstanceRetryMillis = 100;
/** Limits log lines, since anybody can send invalid keys; the metric counts all of them. */
constexpr int MaxDenialLines = 20;
constexpr Duration DenialLogWindow = millis(10'000);
/** Limits log lines on changed endpoints: a full list has thousands, and one log line in total. */
constexpr int MaxEndpointLines = 200;
constexpr Duration EndpointLogWindow = millis(10'000);
/** Limits log lines on requests whose connections to endpoints broke. */
constexpr int MaxBrokenLines = 100;
constexpr Duration BrokenLogWindow = millis(10'000);
/**
 * A new process waits so long at most for the quarantines in the store; when it can't be read,
 * peers have told the newest ones by then.
 */
constexpr Duration QuarantineReadTime = millis(2'000);
/** Limits log lines on requests that an account's share has no room for; the metric has all. */
constexpr int MaxShareLines = 200;
constexpr Duration ShareLogWindow = millis(10'000);
/** Work that one engine does in a second. */
constexpr double EngineRoomMillis = 1'000;
constexpr std::size_t MaxIdlePeerConnections = 64;
/** Memory of a part of a prompt: as it was read, and its key. */
constexpr std::size_t PartBytes = sizeof(PromptPart) + sizeof(RequestKey);
/** Answers that are buffered may take this part of the memory for clients. */
constexpr std::size_t BufferedAnswersPart = 4;
/** The same of what is buffered for the clients of streams, all together. */
constexpr std::size_t StreamsPart = 8;
/** Bytes buffered for a slow caller before reading from the engine is paused. */
constexpr std::size_t MaxUnwrittenBytes = 131'072;
constexpr std::size_t MinUnwrittenBytes = 8'192;
/** Limits log lines on requests without a route; the metric counts all of them. */
constexpr int MaxUnroutedLines = 50;
constexpr Duration UnroutedLogWindow = millis(10'000);
/** Of a request's target or host in a log line. */
constexpr std::size_t LoggedTargetBytes = 256;
/** Requests that peers forward are taken up to this many, and this multiple of callers' own. */
constexpr int MinPeerCalls = 64;
constexpr int PeerCallsPerOwn = 3;

/** Work that the engines can prefill, in milliseconds a second. */
double prefillRoom(const std::vector<const Endpoint *> &engines)
{
    const auto prefills = std::count_if(engines.begin(), engines.end(), [](const Endpoint *engine) {
        return engine->listed_.stage_ == Stage::Prefill;
    });
    const auto count = prefills > 0 ? static_cast<std::size_t>(prefills) : engines.size();
    return EngineRoomMillis * static_cast<double>(count);
}

} // namespace

GatewayState::GatewayState(async::EventLoop &loop, const Dialect &dialect, GatewaySettings settings)
    : loop_(loop)
    , dialect_(dialect)
    , settings_(std::move(settings))
    , server_(loop, {[this](async::ServerCall call) { onCall(std::move(call)); },
                     [this](const async::CallId &id) { onCallerGone(id); },
                     [this](const async::CallId &id) { onWritten(id); },
                     [this](const async::ServerCall &call) { return refusalOfStopping(call); },
                     [this](const async::OverloadedRequest &request) {
                         return refusalOfOverloaded(request);
                     }})
    , client_(loop)
    , peerClient_(loop)
    , placement_({settings_.domain_})
    , partKeys_(settings_.keySecret_)
    , keyLease_(settings_.revokeBoundMillis_)
    , unknownKeysTimer_(loop)
    , denialLines_(MaxDenialLines, DenialLogWindow)
    , endpointLines_(MaxEndpointLines, EndpointLogWindow)
    , brokenLines_(MaxBrokenLines, BrokenLogWindow)
    , shareLines_(MaxShareLines, ShareLogWindow)
    , unroutedLines_(MaxUnroutedLines, UnroutedLogWindow)
    , calls_(loop)
    , traffic_(dialect, table_, metrics_)
    , random_(std::random_device {}())
    , probeTimer_(loop)
    , outlierTimer_(loop)
{
    table_.setOwnStart(settings_.startedAtWallMillis_);
    client_.setMaxKept(settings_.maxIdleConnections_);
    client_.setReceiveBuffer(async::ReceiveBufferBytes);
    peerClient_.setReceiveBuffer(async::ReceiveBufferBytes);
    peerClient_.setMaxKept(MaxIdlePeerConnections);
    client_.setConnectEvents(
        {[this](const std::string &peer) { onConnectResult(EndpointId(peer), true); },
         [this](const std::string &peer) { onConnectResult(EndpointId(peer), false); }});
    probeEndpoints();
    logOutliers();
}

GatewayState::~GatewayState() = default;

Gateway::Gateway(async::EventLoop &loop, const Dialect &dialect, GatewaySettings settings)
    : state_(std::make_unique<GatewayState>(loop, dialect, std::move(settings)))
{ }

Gateway::~Gateway() = default;

std::uint16_t Gateway::port() const
{
    return state_->server_.port();
}

const std::shared_ptr<const Config> &Gateway::config() const noexcept
{
    return state_->config_;
}

EndpointTable &Gateway::endpoints() noexcept
{
    return state_->table_;
}

bool Gateway::admitOwnRequest(const EndpointId &endpoint, RequestPath path)
{
    return state_->traffic_.admit(endpoint, path, BootClock::now());
}

async::ExchangeEvents Gateway::observed(const EndpointId &endpoint, async::ExchangeEvents events)
{
    return state_->traffic_.observed(endpoint, std::move(events));
}

std::vector<PromptCacheIndex::Key> Gateway::takeNewCachedParts()
{
    return state_->placement_.takeNewCachedParts();
}

void Gateway::onPeerCachedParts(const std::vector<PromptCacheIndex::Key> &parts)
{
    state_->placement_.onPeerCachedParts(parts, BootClock::now());
}

std::map<ServiceId, StageDemand> Gateway::demand() const
{
    const TimePoint now = BootClock::now();
    std::map<ServiceId, StageDemand> rates;
    for (const auto &[service, meter] : state_->demand_) {
        rates[service] = meter.at(now);
    }
    return rates;
}

StageLoad Gateway::stageLoad(const ServiceId &service, const StageDemand &demand) const
{
    const RequestCosts &costs = state_->costs_[service];
    return {demand, costs.prefillComputeMillis(1), costs.meanGenerateMillis()};
}

CrashEvidence &Gateway::crashEvidence() noexcept
{
    return state_->crashes_.evidence();
}

ShareAdmission *Gateway::shareAdmission() noexcept
{
    return state_->settings_.sharesCapacity_ ? &state_->shares_ : nullptr;
}

void Gateway::observeDemand(const ServiceId &service, const StageDemand &demand, bool isComplete,
                            TimePoint now)
{
    // All listed engines rather than the usable ones, so that instances which reach different ones
    // agree.
    const double room = prefillRoom(state_->table_.listed(service));
    state_->shares_.setRoom(service, room);
    state_->shortages_[service].observe(demand.prefill_, room / EngineRoomMillis, isComplete, now);
}

bool Gateway::isShortageNear() const
{
    return std::any_of(state_->shortages_.begin(), state_->shortages_.end(),
                       [](const auto &entry) { return entry.second.isNear(); });
}

std::map<ServiceId, bool> Gateway::shortages(TimePoint now) const
{
    std::map<ServiceId, bool> shortages;
    for (const auto &[service, watch] : state_->shortages_) {
        shortages[service] = watch.isNear() && state_->shares_.isShort(service, now);
    }
    return shortages;
}

observe::Metrics &Gateway::metrics() noexcept
{
    return state_->metrics_;
}

std::map<ServiceId, double> Gateway::retryBudgetLeft()
{
    std::map<ServiceId, double> left;
    for (auto &[service, budget] : state_->budgets_) {
        left[service] = budget.left(BootClock::now());
    }
    return left;
}

const async::ClientCounters &Gateway::clientCounters() const noexcept
{
    return state_->client_.counters();
}

void Gateway::onTurn()
{
    state_->noticePause();
    state_->pauses_.onTurn(BootClock::now());
}

void Gateway::beginDrain(TimePoint callsEndAt)
{
    state_->callsEndAt_ = std::min(state_->callsEndAt_, callsEndAt);
    state_->server_.beginDrain();
}

void Gateway::endIntake()
{
    state_->server_.endIntake();
    logEvent(LogLevel::Info, "intake_ended",
             {{"connections", state_->server_.connections()}, {"open_calls", openCalls()}});
}

std::size_t Gateway::unfinished() const
{
    return state_->server_.unfinished();
}

void Gateway::endCalls()
{
    state_->calls_.forEach([](Call &call) { call.onStop(); });
}

const async::ClientLimitCounters &Gateway::clientLimits() const noexcept
{
    return state_->server_.limitsMet();
}

std::size_t Gateway::openCalls() const noexcept
{
    return state_->server_.openCalls();
}

Result<void> Gateway::listen(const net::Address &address)
{
    return state_->server_.listen(address);
}

Result<void> Gateway::listenForPeers(const net::Address &address)
{
    return state_->server_.listen(address, async::Listener::Peers);
}

std::uint16_t Gateway::peerPort() const
{
    return state_->server_.port(async::Listener::Peers);
}

void Gateway::setPeers(const InstanceId &self, const std::vector<PeerInstance> &peers)
{
    state_->peers_.setPeers(self, state_->settings_.domain_, peers);
    std::vector<MeshMember> members;
    members.reserve(peers.size());
    for (const PeerInstance &peer : peers) {
        members.push_back({peer.id_, peer.domain_});
    }
    state_->origins_.setMembers(self, members);
}

void Gateway::setSendDatagrams(SendDatagrams sendDatagrams)
{
    state_->sendDatagrams_ = std::move(sendDatagrams);
}

void Gateway::setTrialClaims(TrialClaims claims)
{
    state_->trialClaims_ = std::move(claims);
}

void Gateway::setQuarantinesKnown()
{
    state_->quarantinesKnown_ = true;
}

ReceiveResult Gateway::onOriginDatagram(std::string_view datagram, TimePoint now)
{
    std::vector<MeshDatagram> out;
    const ReceiveResult result = state_->origins_.onDatagram(datagram, now, out);
    if (!out.empty() && state_->sendDatagrams_) {
        state_->sendDatagrams_(out);
    }
    for (const OriginAnswer &answer : state_->origins_.takeAnswers()) {
        state_->calls_.forEach([&answer](Call &call) { call.onOriginAnswer(answer); });
    }
    return result;
}

bool Gateway::isCutOff() const noexcept
{
    return state_->reach_.state() == Reach::Cut;
}

bool Gateway::isReachInDoubt() const noexcept
{
    return !state_->reach_.failed().empty();
}

std::vector<EndpointId> Gateway::unreachableEndpoints(TimePoint now) const
{
    std::vector<EndpointId> found = state_->table_.recentlyUnreachable(now);
    std::erase_if(found, [&](const EndpointId &id) {
        return !state_->reach_.isProvenSince(state_->table_.all().at(id).unreachableAt_);
    });
    return found;
}

void Gateway::setConfig(std::shared_ptr<const Config> config)
{
    if (state_->config_ != nullptr && config->version() < state_->config_->version()) {
        return;
    }
    const CallerLimits &limits = config->limits();
    state_->server_.setLimits({{static_cast<std::uint32_t>(limits.maxHeadBytes_),
                                static_cast<std::uint64_t>(limits.maxBodyBytes_)},
                               limits.headerTimeoutMillis_,
                               limits.idleTimeoutMillis_});
    logEvent(LogLevel::Info, "config",
             {{"version", config->version()},
              {"before", state_->config_ != nullptr ? state_->config_->version() : 0},
              {"routes", config->routes().size()},
              {"services", config->services().size()}});
    state_->config_ = std::move(config);
    for (QueuedRequest &one : state_->unknownKeys_.takeAll()) {
        state_->admit(std::move(one.request_), one.credentials_);
    }
}

void Gateway::setOnExecutionStarted(OnExecutionStarted onExecutionStarted)
{
    state_->onExecutionStarted_ = std::move(onExecutionStarted);
}

void Gateway::confirmConfig(TimePoint asOf)
{
    state_->keyLease_.confirm(asOf);
    state_->table_.onListConfirmed(asOf);
    state_->resolveUnknownKeys();
}

double Gateway::keysAgeSeconds(TimePoint now) const
{
    const auto asOf = state_->keyLease_.asOf();
    return asOf ? toSeconds(now - *asOf) : -1;
}

void Gateway::listEndpoint(const ListedEndpoint &listed)
{
    const ListingChange change = state_->table_.list(listed, BootClock::now());
    if (change == ListingChange::Unchanged) {
        return;
    }
    if (state_->endpointLines_.take(BootClock::now())) {
        logEvent(LogLevel::Info, "endpoint",
                 {{"endpoint", listed.id_.value()},
                  {"service", listed.service_.value()},
                  {"address", net::toString(listed.address_)},
                  {"domain", listed.domain_.value()},
                  {"version", listed.version_.value()},
                  {"state", listed.draining_ ? "draining" : "ready"},
                  {"stage", nameOf(StageNames, listed.stage_)},
                  {"restarted", change == ListingChange::Restarted ? "yes" : "no"},
                  {"started_at", listed.startedAtMillis_}});
    }
    // After a restart the idle connections belong to a process that has ended.
    if (listed.draining_ || change == ListingChange::Restarted) {
        state_->client_.dropKept(listed.id_.value());
    }
}

void Gateway::unlistEndpoint(const EndpointId &id)
{
    if (state_->table_.unlist(id)) {
        if (state_->endpointLines_.take(BootClock::now())) {
            logEvent(LogLevel::Info, "endpoint", {{"endpoint", id.value()}, {"state", "gone"}});
        }
        state_->client_.dropKept(id.value());
    }
}

void Gateway::setInstances(int count)
{
    state_->instances_ = std::max(1, count);
    state_->table_.setInstances(state_->instances_);
    state_->shares_.setInstances(state_->instances_);
}

void Gateway::setRetryBudgetInstances(int count)
{
    const TimePoint now = BootClock::now();
    state_->budgetInstances_ = count;
    for (auto &[service, budget] : state_->budgets_) {
        budget.setInstances(count, now);
    }
}

void Gateway::setMembers(const InstanceId &self, const std::vector<InstanceId> &members)
{
    state_->table_.limits().setMembers(self, members);
}

RetryBudget &GatewayState::budget(const ServiceId &service)
{
    const auto [place, added] =
        budgets_.try_emplace(service, settings_.retryBudget_, settings_.startedAt_);
    if (added && budgetInstances_) {
        place->second.setInstances(*budgetInstances_, BootClock::now());
    }
    return place->second;
}

RequestKey GatewayState::streamKey(std::string_view requestId, const AccountId &account) const
{
    return requestKey(settings_.keySecret_, {"", "stream", requestId, "", account.value()});
}

IdleConnectionCheck GatewayState::idleConnectionCheck() const
{
    return [this](const EndpointId &endpoint) { return client_.hasIdle(endpoint.value()); };
}

bool GatewayState::knowsQuarantines(TimePoint now) const
{
    return quarantinesKnown_ || now >= settings_.startedAt_ + QuarantineReadTime;
}

void GatewayState::claimTrial(RequestKey key, CallNumber call)
{
    const auto onClaimed = [this, key, call](bool granted) {
        if (Call *found = calls_.find(call)) {
            found->onTrialClaimed(granted);
        } else if (granted && trialClaims_.release_) {
            trialClaims_.release_(key);
        }
    };
    trialClaims_.claim_ ? trialClaims_.claim_(key, onClaimed) : onClaimed(true);
}

void GatewayState::addOrigin(RequestKey stream, const StreamOrigin &origin)
{
    const std::vector<MeshDatagram> datagrams = origins_.add(stream, origin, BootClock::now());
    if (sendDatagrams_) {
        sendDatagrams_(datagrams);
    }
}

bool GatewayState::askOrigin(RequestKey stream)
{
    const std::vector<MeshDatagram> datagrams = origins_.ask(stream);
    if (datagrams.empty() || !sendDatagrams_) {
        origins_.endQuery(stream);
        return false;
    }
    sendDatagrams_(datagrams);
    return true;
}

const ServiceId &GatewayState::pickService(const Route &route)
{
    int total = 0;
    for (const ServiceShare &share : route.services_) {
        total += share.weight_;
    }
    auto ticket = static_cast<int>(random_() % static_cast<std::uint64_t>(std::max(1, total)));
    for (const ServiceShare &share : route.services_) {
        ticket -= share.weight_;
        if (ticket < 0) {
            return share.service_;
        }
    }
    return route.services_.front().service_;
}

void GatewayState::refuse(const async::CallId &id, int status, std::string_view reason)
{
    constexpr std::int64_t UnavailableRetryMillis = 500;
    const auto retryAfter = status == 503 ? std::optional(UnavailableRetryMillis) : std::nullopt;
    server_.respond(id, dialect_.refusal(status, retryAfter, reason));
}

std::optional<PeerRefusal> GatewayState::refusalForPeer(std::uint64_t configVersion) const
{
    if (config_ == nullptr || config_->version() < configVersion) {
        return PeerRefusal::Outdated;
    }
    if (reach_.state() == Reach::Cut) {
        return PeerRefusal::CutOff;
    }
    const int own = static_cast<int>(calls_.size()) - peerCalls_;
    return peerCalls_ >= std::max(MinPeerCalls, PeerCallsPerOwn * own)
               ? std::optional(PeerRefusal::Busy)
               : std::nullopt;
}

void GatewayState::refusePeer(const async::CallId &id, PeerRefusal refusal)
{
    const std::string_view reason = nameOf(PeerRefusalNames, refusal);
    metrics_.count("requests_of_peers_refused_total", observe::metricLabel("reason", reason));
    net::Response response = dialect_.refusal(503, std::nullopt, reason);
    response.headers_.push_back(refusalHeader(refusal));
    server_.respond(id, response);
}

net::Response GatewayState::refusalOfStopping(const async::ServerCall &request)
{
    const bool isFromPeer = request.listener_ == async::Listener::Peers;
    metrics_.count("requests_refused_stopping_total",
                   observe::metricLabel("from", isFromPeer ? "peer" : "caller"));
    if (unroutedLines_.take(BootClock::now())) {
        logEvent(LogLevel::Info, "request_refused",
                 {{"id", dialect_.parseRequest(request.head_).requestId_},
                  {"cause", StoppingCause},
                  {"from", isFromPeer ? "peer" : "caller"}});
    }
    net::Response response = dialect_.refusal(503, OtherInstanceRetryMillis, StoppingCause);
    if (isFromPeer) {
        response.headers_.push_back(refusalHeader(PeerRefusal::Busy));
    }
    return response;
}

net::Response GatewayState::refusalOfOverloaded(const async::OverloadedRequest &request) const
{
    net::Response response = dialect_.refusal(503, request.retryAfterMillis_, NoMemoryCause);
    if (request.listener_ == async::Listener::Peers) {
        response.headers_.push_back(refusalHeader(PeerRefusal::Busy));
    }
    return response;
}

void GatewayState::noticePause()
{
    const TimePoint now = BootClock::now();
    if (const auto length = pauses_.notice(now)) {
        logEvent(LogLevel::Warning, "paused", {{"for_ms", toMillis(*length)}});
        table_.onPause(now);
    }
}

void GatewayState::onCall(async::ServerCall request)
{
    if (request.listener_ == async::Listener::Peers) {
        const auto refusal = refusalForPeer(takeConfigVersion(request.head_));
        if (refusal) {
            refusePeer(request.id_, *refusal);
            return;
        }
        metrics_.count("requests_of_peers_total");
    }
    if (config_ == nullptr) {
        refuse(request.id_, 503, "no-config");
        return;
    }
    // Removed first, so that the key can't get into logs or messages to endpoints.
    const Credentials credentials =
        config_->accounts() ? dialect_.takeCredentials(request.head_) : Credentials {};
    admit(std::move(request), credentials);
}

void GatewayState::admit(async::ServerCall request, const Credentials &credentials)
{
    const std::string_view host = net::headerValue(request.head_.headers_, "Host");
    const Route *route = config_->find(host, request.head_.target_);
    if (route == nullptr || route->services_.empty()) {
        refuseUnrouted(request);
        return;
    }
    const TimePoint now = BootClock::now();
    AccessResult result = checkAccess(*config_, *route, credentials, keyLease_, now);
    switch (result.access_) {
    case Access::Anonymous:
    case Access::Granted:
        startCall(std::move(request), *route, std::move(result), credentials);
        return;
    case Access::KeyUnknown:
        if (unknownKeys_.canQueue(request, now)) {
            unknownKeys_.add(std::move(request), credentials, now);
            resolveUnknownKeys();
            return;
        }
        break;
    case Access::Unconfirmed:
    case Access::KeyMissing:
    case Access::KeyMalformed:
        break;
    }
    deny(request.id_, result.access_);
}

/**
 * Whether other instances may have a newer configuration than this one, which could have a route
 * that is missing here.
 */
bool GatewayState::mayConfigBeStale(TimePoint now) const
{
    const auto asOf = keyLease_.asOf();
    return settings_.configBoundMillis_ > 0
           && (!asOf || *asOf + millis(settings_.configBoundMillis_) < now);
}

void GatewayState::refuseUnrouted(const async::ServerCall &request)
{
    const bool mayBeStale = mayConfigBeStale(BootClock::now());
    metrics_.count("requests_unrouted_total");
    if (unroutedLines_.take(BootClock::now())) {
        const std::string_view host = net::headerValue(request.head_.headers_, "Host");
        logEvent(LogLevel::Info, "no_route",
                 {{"host", host.substr(0, LoggedTargetBytes)},
                  {"target", request.head_.target_.substr(0, LoggedTargetBytes)},
                  {"config", config_->version()},
                  {"proven", mayBeStale ? "no" : "yes"}});
    }
    if (mayBeStale) {
        server_.respond(request.id_,
                        dialect_.refusal(503, OtherInstanceRetryMillis, "config-unproven"));
    } else {
        refuse(request.id_, 404, "no-route");
    }
}

/** The last part of a prompt belongs to the request alone. */
std::vector<RequestKey> GatewayState::sharedPartKeys(const RequestInfo &request) const
{
    std::vector<RequestKey> keys;
    if (request.prompt_ && !request.prompt_->parts_.empty()) {
        const std::vector<PromptPart> &parts = request.prompt_->parts_;
        keys.reserve(parts.size() - 1);
        std::transform(parts.begin(), parts.end() - 1, std::back_inserter(keys),
                       [&](const PromptPart &part) {
                           return partKeys_.keyOf(request.prompt_->model_, part.id_);
                       });
    }
    return keys;
}

std::optional<ShareRefusal> GatewayState::admitShare(const ShareRequest &request, TimePoint now)
{
    const auto watch = shortages_.find(request.service_);
    if (watch == shortages_.end() || !watch->second.isNear()) {
        return std::nullopt;
    }
    const std::optional<ShareRefusal> refusal = shares_.admit(request, random_(), now);
    return watch->second.areSharesKnown(now) ? refusal : std::nullopt;
}

/** Until the end of the answer; at most as long as the caller waits. */
Duration GatewayState::expectedTime(const Route &route, const RequestInfo &request) const
{
    std::int64_t expected = route.objectiveMillis_;
    const bool isModelCall = route.kind_ == RouteKind::Streaming && request.prompt_.has_value();
    for (const ServiceShare &share : route.services_) {
        const auto costs = costs_.find(share.service_);
        if (isModelCall && costs != costs_.end()) {
            const auto generating =
                static_cast<std::int64_t>(costs->second.generateMillis(route.name_));
            expected = std::max(expected, route.objectiveMillis_ + generating);
        }
    }
    return millis(std::min(expected, request.maxWaitMillis_.value_or(expected)));
}

void GatewayState::startCall(async::ServerCall request, const Route &route, AccessResult result,
                             const Credentials &credentials)
{
    CallContext context;
    context.requestInfo_ = dialect_.parseRequest(request.head_);
    if (BootClock::now() + expectedTime(route, context.requestInfo_) > callsEndAt_) {
        server_.respond(request.id_, refusalOfStopping(request));
        return;
    }
    context.keys_.own_ =
        requestKey(settings_.keySecret_,
                   {net::headerValue(request.head_.headers_, "Host"), request.head_.method_,
                    request.head_.target_, request.body_, result.account_.id_.value()});
    context.keys_.parts_ = sharedPartKeys(context.requestInfo_);
    request.held_.set(request.held_.bytes() + context.keys_.parts_.capacity() * PartBytes);
    context.request_ = std::move(request);
    context.config_ = config_;
    context.route_ = &route;
    context.access_ = std::move(result);
    if (context.request_.listener_ == async::Listener::Peers) {
        context.origin_ = takeOrigin(context.request_.head_.headers_);
    }
    context.service_ = context.origin_ ? context.origin_->service_ : pickService(route);
    context.credentials_ = credentials;
    if (context.request_.listener_ == async::Listener::Callers) {
        // The instance that forwards a request has counted it.
        budget(context.service_).onRequest(BootClock::now());
    }
    const bool isModelCall =
        route.kind_ == RouteKind::Streaming && context.requestInfo_.prompt_.has_value();
    const CallNumber number = context.request_.id_.call_;
    calls_.add(number, isModelCall ? makeModelCall(*this, std::move(context))
                                   : makeServiceCall(*this, std::move(context)));
    calls_.find(number)->tryStart();
}

void GatewayState::deny(const async::CallId &id, Access access)
{
    const std::string_view reason = nameOf(AccessNames, access);
    metrics_.count("requests_denied_total", observe::metricLabel("reason", reason));
    const TimePoint now = BootClock::now();
    if (denialLines_.take(now)) {
        const auto asOf = keyLease_.asOf();
        logEvent(LogLevel::Info, "denied",
                 {{"reason", reason},
                  {"config", config_->version()},
                  {"keys_age_ms", asOf ? toMillis(now - *asOf) : -1}});
    }
    if (access == Access::Unconfirmed) {
        server_.respond(id, dialect_.refusal(503, OtherInstanceRetryMillis, reason));
    } else {
        server_.respond(id, dialect_.refusal(401, std::nullopt, reason));
    }
}

void GatewayState::resolveUnknownKeys()
{
    for (const QueuedRequest &one : unknownKeys_.takeResolved(keyLease_.asOf(), BootClock::now())) {
        deny(one.request_.id_, Access::KeyUnknown);
    }
    unknownKeysTimer_.stop();
    if (const auto due = unknownKeys_.nextDeadline()) {
        unknownKeysTimer_.startAt(*due, [this] { resolveUnknownKeys(); });
    }
}

void GatewayState::onCallerGone(const async::CallId &id)
{
    unknownKeys_.remove(id);
    if (Call *call = calls_.find(id.call_)) {
        call->onCallerGone();
    }
}

std::size_t GatewayState::maxBufferedAnswerBytes() const
{
    const std::size_t limit = loop_.memory().limit();
    return limit > 0 ? std::min(MaxBufferedAnswerBytes, limit / BufferedAnswersPart)
                     : MaxBufferedAnswerBytes;
}

std::size_t GatewayState::maxUnwrittenBytes() const
{
    const std::size_t limit = loop_.memory().limit();
    const std::size_t share = limit / StreamsPart / std::max<std::size_t>(1, calls_.size());
    return limit > 0 ? std::clamp(share, MinUnwrittenBytes, MaxUnwrittenBytes) : MaxUnwrittenBytes;
}

void GatewayState::limitBufferedAnswers()
{
    std::vector<BufferedAnswer> answers;
    answers.reserve(calls_.size());
    for (const auto &[number, call] : calls_.all()) {
        answers.push_back({number, call->bufferedBytes()});
    }
    if (const auto largest = answerToGiveUp(answers, maxBufferedAnswerBytes())) {
        calls_.find(*largest)->giveUpAnswer();
    }
}

void GatewayState::onWritten(const async::CallId &id)
{
    if (Call *call = calls_.find(id.call_)) {
        call->onWritten();
    }
}

void GatewayState::probeEndpoints()
{
    const TimePoint now = BootClock::now();
    for (const EndpointId &id : table_.takeDueProbes(now)) {
        const net::Address address = table_.find(id)->listed_.address_;
        client_.dropKept(id.value());
        client_.open(id.value(), address, now + millis(settings_.connectTimeoutMillis_),
                     [this, id](bool reached) { onProbed(id, reached); });
    }
    sampleEndpoints(now);
    probeTimer_.startAt(now + ProbeInterval, [this] { probeEndpoints(); });
}

void GatewayState::onProbed(const EndpointId &id, bool reached)
{
    const Endpoint *endpoint = table_.find(id);
    if (endpoint == nullptr) {
        return;
    }
    if (reached || endpoint->failedProbes_ == 0) {
        logEvent(LogLevel::Info, "endpoint_test",
                 {{"endpoint", id.value()}, {"reached", reached ? "yes" : "no"}});
    }
    table_.onProbed(id, reached, BootClock::now());
    if (!reached) {
        crashes_.onConnectFailed(id);
    }
}

void GatewayState::sampleEndpoints(TimePoint now)
{
    const std::size_t count = reach_.takeSample(now);
    if (count == 0) {
        return;
    }
    std::vector<const Endpoint *> serving;
    for (const auto &[id, endpoint] : std::as_const(table_).all()) {
        if (endpoint.isListed_ && !endpoint.isDraining()) {
            serving.push_back(&endpoint);
        }
    }
    std::vector<const Endpoint *> others;
    std::copy_if(
        serving.begin(), serving.end(), std::back_inserter(others),
        [this](const Endpoint *one) { return !reach_.failed().contains(one->listed_.id_); });
    if (others.empty()) {
        others = std::move(serving);
    }
    std::vector<const Endpoint *> sample;
    std::sample(others.begin(), others.end(), std::back_inserter(sample), count, random_);
    for (const Endpoint *endpoint : sample) {
        const EndpointId &id = endpoint->listed_.id_;
        client_.open(id.value(), endpoint->listed_.address_,
                     now + millis(settings_.connectTimeoutMillis_), [](bool) {});
    }
}

void GatewayState::onConnectResult(const EndpointId &id, bool connected)
{
    const TimePoint now = BootClock::now();
    const Endpoint *endpoint = std::as_const(table_).find(id);
    const bool isKnown = endpoint != nullptr && endpoint->failedProbes_ > 0;
    if (!connected && isKnown && reach_.state() == Reach::Connected) {
        return; // Tells nothing new about the other endpoints.
    }
    reach_.setListed(table_.all().size());
    const Reach before = reach_.state();
    if (connected ? reach_.onConnected(now) : reach_.onConnectFailed(id, now)) {
        onReachChanged(before);
    }
    if (connected) {
        crashes_.onReached(id);
    }
    sampleEndpoints(now);
}

void GatewayState::onReachChanged(Reach before)
{
    metrics_.count("endpoint_reach_changes_total",
                   observe::metricLabel("state", nameOf(ReachNames, reach_.state())));
    logEvent(LogLevel::Warning, "endpoint_reach",
             {{"state", nameOf(ReachNames, reach_.state())},
              {"unreached", reach_.failed().size()},
              {"listed", table_.all().size()},
              {"open_calls", calls_.size()}});
    if (reach_.state() == Reach::Cut) {
        table_.forgetFailures();
        crashes_.onCutOff();
        client_.dropAllKept();
        calls_.forEach([](Call &call) { call.onCutOff(); });
    } else if (before == Reach::Cut) {
        table_.probeSoon(BootClock::now());
    }
}

void GatewayState::logRetries(TimePoint now)
{
    if (now < retriesLoggedAt_ + millis(settings_.retryBudget_.windowMillis_)) {
        return;
    }
    retriesLoggedAt_ = now;
    for (auto &[service, budget] : budgets_) {
        const RetryCounts counts = budget.takeCounts();
        if (counts.hasFurtherSends()) {
            logEvent(LogLevel::Info, "retry_budget",
                     {{"service", service.value()},
                      {"instances", budget.instances(now)},
                      {"age_ms", toMillis(now - settings_.startedAt_)},
                      {"requests", counts.requests_},
                      {"retries", counts.retries_},
                      {"denied", counts.denied_},
                      {"not_sent", counts.notSent_},
                      {"forwarded", counts.forwarded_},
                      {"left", budget.left(now)}});
        }
    }
}

void GatewayState::logOutliers()
{
    const TimePoint now = BootClock::now();
    outlierTimer_.startAt(now + OutlierLogInterval, [this] { logOutliers(); });
    logRetries(now);
    std::set<EndpointId> present;
    for (const Endpoint *endpoint : table_.outliers(now)) {
        const EndpointId &id = endpoint->listed_.id_;
        present.insert(id);
        if (!outliers_.contains(id)) {
            logEvent(LogLevel::Warning, "endpoint_left_out",
                     {{"endpoint", id.value()},
                      {"own_failures", endpoint->recentFailures_.at(now)},
                      {"told_failures", endpoint->peerFailures_},
                      {"own_sends", endpoint->recentSends_.at(now)},
                      {"instances", instances_}});
        }
    }
    for (const EndpointId &id : outliers_) {
        if (!present.contains(id)) {
            logEvent(LogLevel::Info, "endpoint_taken_back", {{"endpoint", id.value()}});
        }
    }
    outliers_ = std::move(present);
}

Call *GatewayState::findAttempt(CallNumber call, int attempt)
{
    Call *found = calls_.find(call);
    if (found == nullptr || !found->isAttempt(attempt)) {
        metrics_.count("late_exchange_events_total");
        return nullptr;
    }
    return found;
}

} // namespace almondridge::gateway
