/**
 * The operator's configuration as the gateway uses it: the routes that map requests to services,
 * the services' engines and scaling limits, the limits for callers, and the client accounts.
 */
#pragma once

#include "almondridge/base/enumnames.h"
#include "almondridge/base/ids.h"
#include "almondridge/gateway/accounts.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace almondridge::gateway {

enum class RouteKind {
    Safe,      ///< Idempotent: may be executed more than once.
    Unsafe,    ///< Executed at most once.
    Streaming, ///< Answered by a stream of events; executed at most once unless it is resumable.
};

inline constexpr std::array<EnumName<RouteKind>, 3> RouteKindNames {{
    {RouteKind::Safe, "safe"},
    {RouteKind::Unsafe, "unsafe"},
    {RouteKind::Streaming, "streaming"},
}};

/** A service that gets a weighted part of a route's requests. */
struct ServiceShare
{
    ServiceId service_;
    int weight_ = 1; ///< Relative to the other services of the route.
};

/** Requests of one host and path prefix, and how they are handled. */
struct Route
{
    std::string name_;
    std::string host_;       ///< Lower case, without a port.
    std::string pathPrefix_; ///< Begins and ends with a slash.
    RouteKind kind_ = RouteKind::Unsafe;
    std::vector<ServiceShare> services_;
    std::int64_t timeoutMillis_ = 0;   ///< From arrival to the whole answer; 0: as the caller asks.
    std::int64_t objectiveMillis_ = 0; ///< Latency target: whole answer, or a stream's first event.
    std::int64_t gapObjectiveMillis_ = 0; ///< Streams: target for the pause between two events.
    int priority_ = 5;       ///< 0 is the most urgent; an account's own has precedence.
    int maxAttempts_ = 1;    ///< Executions that one request may have.
    bool resumable_ = false; ///< Streams: can be continued after the last received event.
    bool public_ = false;    ///< Callers need no API key.

    /** Whether requests may go to the service. */
    bool leadsTo(const ServiceId &service) const
    {
        return std::any_of(services_.begin(), services_.end(),
                           [&](const ServiceShare &share) { return share.service_ == service; });
    }

    /** Whether a request may be executed again when it may already have been executed. */
    bool idempotent() const noexcept
    {
        return kind_ == RouteKind::Safe || (kind_ == RouteKind::Streaming && resumable_);
    }
};

/** Capacity and timing of a service's engines; all engines of a service are the same. */
struct EngineTraits
{
    int slots_ = 1;             ///< Requests that one engine runs at the same time.
    std::int64_t kvTokens_ = 0; ///< Capacity of the KV cache; 0: unlimited.
    double kvBytesPerToken_ = 0;
    std::int64_t handleTtlMillis_ = 0;   ///< How long a prefilled prompt is kept for fetching.
    std::int64_t stageChangeMillis_ = 0; ///< How long a stage change makes an engine unavailable.
};

/** Limits and prices for adding and removing endpoints of a service. */
struct SizeLimits
{
    /** Endpoints in each failure domain, spot and other ones together. */
    int minPerDomain_ = 0;
    int maxPerDomain_ = 0;
    std::int64_t startupMillis_ = 0; ///< From the order of an endpoint until it serves.
    double spotPriceRatio_ = 1;      ///< Price of a spot endpoint relative to another one's.
    /** Price of an endpoint per second; 1 for domains that aren't listed. */
    std::map<DomainId, double> domainPrices_ {};

    bool hasSpot() const noexcept { return spotPriceRatio_ < 1; }
    double priceAt(const DomainId &domain) const
    {
        const auto found = domainPrices_.find(domain);
        return found != domainPrices_.end() ? found->second : 1;
    }
};

struct ServiceTraits
{
    ServiceId id_;
    int maxConnections_ = 0; ///< Per endpoint, from all instances together; 0: unlimited.
    std::optional<EngineTraits> engine_ {}; ///< nullopt: not a model service.
    std::optional<SizeLimits> size_ {};     ///< nullopt: its endpoints aren't scaled.
};

/** Limits on the size of callers' requests and on the time that callers take. */
struct CallerLimits
{
    std::int64_t maxHeadBytes_ = 16'384;
    std::int64_t maxBodyBytes_ = 4'194'304;
    std::int64_t headerTimeoutMillis_ = 3'000;
    std::int64_t idleTimeoutMillis_ = 15'000;
};

/** One version of the configuration, immutable once built. */
class Config
{
public:
    class Builder;

    std::uint64_t version() const noexcept { return version_; }
    const CallerLimits &limits() const noexcept { return limits_; }
    /** The route of the host with the longest prefix of the path; null if there is none. */
    const Route *find(std::string_view host, std::string_view path) const;
    /** Null if the service isn't configured. */
    const ServiceTraits *service(const ServiceId &id) const;
    const std::vector<Route> &routes() const noexcept { return routes_; }
    const std::vector<ServiceTraits> &services() const noexcept { return services_; }
    /** nullopt: no accounts are configured, and callers need no keys. */
    const std::optional<Accounts> &accounts() const noexcept { return accounts_; }

private:
    std::uint64_t version_ = 0;
    CallerLimits limits_;
    std::vector<Route> routes_;
    std::vector<ServiceTraits> services_;
    std::optional<Accounts> accounts_;
    /** From "host/prefix/" to the index in routes_. */
    std::unordered_map<std::string, std::size_t> routeByHostAndPrefix_;
};

class Config::Builder
{
public:
    Builder &version(std::uint64_t version);
    Builder &limits(const CallerLimits &limits);
    Builder &route(Route route);
    Builder &service(ServiceTraits service);
    Builder &accounts(Accounts accounts);
    std::shared_ptr<const Config> build();

private:
    Config config_;
};

} // namespace almondridge::gateway
