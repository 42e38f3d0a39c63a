#include "endpointwatch.h"

#include "almondridge/net/httpexchange.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace almondridge::app {
namespace {

constexpr int ReaderThreads = 4;
constexpr std::int64_t ReadTimeoutMillis = 1'000;
constexpr std::size_t MaxReportBytes = 1 << 20;
/** Consecutive failed reads after which an endpoint is considered unreachable. */
constexpr int FailuresUntilUnreachable = 2;
constexpr std::string_view LoadPathEngine = "/engine/load";
constexpr std::string_view LoadPathService = "/service/load";

Result<nlohmann::json> getJson(const net::Address &address, std::string path, TimePoint deadline)
{
    BOOST_LEAF_AUTO(exchange, net::HttpExchange::connect(address, deadline));
    net::Request request;
    request.path_ = std::move(path);
    BOOST_LEAF_CHECK(exchange.send(request, deadline));
    BOOST_LEAF_AUTO(head, exchange.readHead(deadline));
    BOOST_LEAF_AUTO(body, exchange.readRest(deadline, MaxReportBytes));
    nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
    if (head.status_ != 200 || !json.is_object()) {
        return fail(ErrorKind::Protocol, "status " + std::to_string(head.status_),
                    "check that the address is an endpoint's");
    }
    return json;
}

/** Converts a wall-clock timestamp to this machine's boot clock; never later than now. */
TimePoint timestampOf(const nlohmann::json &json, TimePoint now)
{
    const std::int64_t age = wallMillis() - json.value("stamp_ms", wallMillis());
    return now - millis(std::max<std::int64_t>(age, 0));
}

routing::LoadReport reportOf(const fleet::Endpoint &endpoint, const nlohmann::json &json,
                             TimePoint now)
{
    routing::LoadReport report;
    report.endpoint_ = endpoint.id_;
    report.stamp_ = timestampOf(json, now);
    report.running_ = json.value("running", 0);
    report.waiting_ = json.value("waiting", 0);
    report.prefillTokensWaiting_ = json.value("prefill_tokens_waiting", std::int64_t {0});
    report.kvUsedTokens_ = json.value("kv_used_tokens", std::int64_t {0});
    report.kvCapacityTokens_ = json.value("kv_capacity_tokens", std::int64_t {0});
    report.prefillTokensPerSecond_ = json.value("prefill_tokens_per_second", 0.0);
    report.decodeTokensPerSecond_ = json.value("decode_tokens_per_second", 0.0);
    report.role_ = valueOf(fleet::EngineRoleNames, json.value("role", std::string("mixed")))
                       .value_or(fleet::EngineRole::Mixed);
    report.admits_ = json.value("admits", true);
    return report;
}

} // namespace

EndpointWatch::EndpointWatch(const fleet::Settings &settings, relay::Relay &relay,
                             observe::Timeline &timeline, std::function<void()> onChange)
    : settings_(settings)
    , relay_(relay)
    , timeline_(timeline)
    , onChange_(std::move(onChange))
{
    for (int index = 0; index < ReaderThreads; ++index) {
        threads_.emplace_back([this] { run(); });
    }
}

EndpointWatch::~EndpointWatch()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    condition_.notify_all();
    for (std::thread &thread : threads_) {
        thread.join();
    }
}

void EndpointWatch::setFleet(const fleet::Fleet &fleet)
{
    const std::lock_guard lock(mutex_);
    std::map<EndpointId, WatchedEndpoint> next;
    for (const auto &[id, endpoint] : fleet.endpoints_) {
        if (endpoint.domain_ != settings_.domain_) {
            continue;
        }
        const auto known = endpoints_.find(id);
        if (known != endpoints_.end() && known->second.endpoint_ == endpoint) {
            next.emplace(id, known->second);
            continue;
        }
        WatchedEndpoint watched;
        watched.endpoint_ = endpoint;
        const auto address =
            capture([&text = endpoint.address_] { return net::parseAddress(text); });
        if (address.index() == 0) {
            watched.address_ = std::get<0>(address);
            next.emplace(id, std::move(watched));
        }
    }
    endpoints_ = std::move(next);
    condition_.notify_all();
}

std::map<EndpointId, WatchedEndpoint> EndpointWatch::endpoints() const
{
    const std::lock_guard lock(mutex_);
    return endpoints_;
}

void EndpointWatch::run()
{
    while (std::optional<WatchedEndpoint> endpoint = takeNext()) {
        readOne(std::move(*endpoint));
    }
}

std::optional<WatchedEndpoint> EndpointWatch::takeNext()
{
    std::unique_lock lock(mutex_);
    for (;;) {
        if (stopping_) {
            return std::nullopt;
        }
        WatchedEndpoint *first = nullptr;
        for (auto &[id, endpoint] : endpoints_) {
            const bool earlier = first == nullptr || endpoint.nextRead_ < first->nextRead_;
            if (!endpoint.reading_ && earlier) {
                first = &endpoint;
            }
        }
        const TimePoint now = BootClock::now();
        if (first != nullptr && first->nextRead_ <= now) {
            first->reading_ = true;
            first->nextRead_ = now + millis(settings_.reportIntervalMillis_);
            return *first;
        }
        const Duration wait =
            first == nullptr ? millis(settings_.reportIntervalMillis_) : first->nextRead_ - now;
        condition_.wait_for(lock, wait);
    }
}

void EndpointWatch::readOne(WatchedEndpoint endpoint)
{
    const bool engine = endpoint.endpoint_.kind_ == fleet::EndpointKind::Engine;
    const TimePoint deadline = BootClock::now() + millis(ReadTimeoutMillis);
    const auto answer = capture([&] {
        return getJson(endpoint.address_, std::string(engine ? LoadPathEngine : LoadPathService),
                       deadline);
    });
    if (answer.index() == 1) {
        finish(endpoint, false);
        return;
    }
    const TimePoint now = BootClock::now();
    try {
        endpoint.report_ = reportOf(endpoint.endpoint_, std::get<0>(answer), now);
    } catch (const nlohmann::json::exception &) {
        finish(endpoint, false);
        return;
    }
    relay_.withRouter([&](routing::Router &router) { router.onReport(*endpoint.report_, now); });
    if (engine) {
        readCacheEvents(endpoint);
    }
    finish(endpoint, true);
}

void EndpointWatch::readCacheEvents(WatchedEndpoint &endpoint)
{
    const TimePoint deadline = BootClock::now() + millis(ReadTimeoutMillis);
    const auto answer = capture([&] {
        return getJson(endpoint.address_,
                       "/engine/cache-events?since=" + std::to_string(endpoint.nextCacheEvent_),
                       deadline);
    });
    if (answer.index() == 1) {
        return;
    }
    const nlohmann::json &json = std::get<0>(answer);
    const TimePoint now = BootClock::now();
    try {
        std::vector<routing::CacheEvent> events;
        for (const nlohmann::json &entry : json.at("events")) {
            const std::string hash = entry.at("prefix_hash").get<std::string>();
            events.push_back({endpoint.endpoint_.id_, std::stoull(hash, nullptr, 16),
                              entry.value("cached", true), timestampOf(entry, now)});
        }
        endpoint.nextCacheEvent_ = json.at("next").get<std::uint64_t>();
        relay_.withRouter([&](routing::Router &router) {
            for (const routing::CacheEvent &event : events) {
                router.onCacheEvent(event, now);
            }
        });
    } catch (const std::exception &failure) {
        // Cache events are only routing hints: losing one may cost a prefix
        // hit but fails no request.
        logEvent(LogLevel::Warning, "endpoint.cache-events-malformed",
                 {{"endpoint", endpoint.endpoint_.id_.value()}, {"why", failure.what()}});
    }
}

void EndpointWatch::finish(const WatchedEndpoint &endpoint, bool reachable)
{
    const EndpointId &id = endpoint.endpoint_.id_;
    bool changed = false;
    {
        const std::lock_guard lock(mutex_);
        const auto found = endpoints_.find(id);
        if (found == endpoints_.end()) {
            return;
        }
        WatchedEndpoint &stored = found->second;
        stored.reading_ = false;
        stored.report_ = endpoint.report_;
        stored.nextCacheEvent_ = endpoint.nextCacheEvent_;
        stored.failures_ = reachable ? 0 : stored.failures_ + 1;
        const bool now = stored.failures_ < FailuresUntilUnreachable;
        changed = now != stored.reachable_;
        stored.reachable_ = now;
        reachable = now;
    }
    condition_.notify_one();
    if (changed) {
        timeline_.add(observe::EventKind::Endpoint,
                      reachable ? "endpoint.reachable" : "endpoint.unreachable", id.value());
        onChange_();
    }
}

} // namespace almondridge::app
