/**
 * The operator's configuration as the gateway uses it: which service a request goes to and what
 * may be done with it.
 */
#pragma once

#include "almondridge/base/enumnames.h"
#include "almondridge/base/ids.h"
#include "almondridge/gateway/accounts.h"

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
    Safe,      ///< May run more than once.
    Unsafe,    ///< Runs at most once.
    Streaming, ///< A series of events; runs at most once unless it may be resumed.
};

inline constexpr std::array<EnumName<RouteKind>, 3> RouteKindNames {{
    {RouteKind::Safe, "safe"},
    {RouteKind::Unsafe, "unsafe"},
    {RouteKind::Streaming, "streaming"},
}};

/** One of the services that share a route's requests. */
struct ServiceShare
{
    ServiceId service_;
    int weight_ = 1;
};

struct Route
{
    std::string name_;
    std::string host_;       ///< Lower case, without a port.
    std::string pathPrefix_; ///< Begins and ends with a slash.
    RouteKind kind_ = RouteKind::Unsafe;
    std::vector<ServiceShare> services_;
    std::int64_t timeoutMillis_ = 0;      ///< The longest that a caller is kept waiting.
    std::int64_t objectiveMillis_ = 0;    ///< For the whole answer; streams: for the first event.
    std::int64_t gapObjectiveMillis_ = 0; ///< Streams: the longest pause between two events.
    int priority_ = 5;                    ///< 0 is the most urgent.
    int maxAttempts_ = 1;                 ///< Servers that may run one request.
    bool resumable_ = false;
    bool public_ = false; ///< Callers need no key.

    /** Whether a request may run again after it may have run. */
    bool idempotent() const noexcept
    {
        return kind_ == RouteKind::Safe || (kind_ == RouteKind::Streaming && resumable_);
    }
};

/** What a service's engines are built for; all of one service are alike. */
struct EngineTraits
{
    int slots_ = 1;
    std::int64_t kvTokens_ = 0;
    double kvBytesPerToken_ = 0;
    std::int64_t handleMillis_ = 0; ///< How long a prefilled prompt waits to be fetched.
    std::int64_t switchMillis_ = 0; ///< How long a change of stage takes an engine away.
};

/** Within which a service's endpoints may be ordered and given back. */
struct SizeLimits
{
    int least_ = 0; ///< Of each failure domain, both kinds together.
    int most_ = 0;
    std::int64_t bootMillis_ = 0;          ///< Until an ordered endpoint serves.
    double spotPrice_ = 1;                 ///< Of a spot endpoint, against another one's.
    std::map<DomainId, double> prices_ {}; ///< Of a second of an endpoint; none: 1.

    bool hasSpot() const noexcept { return spotPrice_ < 1; }
    double priceAt(const DomainId &domain) const
    {
        const auto found = prices_.find(domain);
        return found != prices_.end() ? found->second : 1;
    }
};

struct ServiceTraits
{
    ServiceId id_;
    int maxConnections_ = 0; ///< An endpoint's, from all instances together. 0: unlimited.
    std::optional<EngineTraits> engine_ {};
    std::optional<SizeLimits> size_ {}; ///< None: its endpoints cannot be ordered.
};

/** What callers may send and how long they may take. */
struct CallerLimits
{
    std::int64_t headBytes_ = 16'384;
    std::int64_t bodyBytes_ = 4'194'304;
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
    /** The route whose prefix is the longest that begins path; null when none does. */
    const Route *find(std::string_view host, std::string_view path) const;
    const ServiceTraits *service(const ServiceId &id) const;
    const std::vector<Route> &routes() const noexcept { return routes_; }
    const std::vector<ServiceTraits> &services() const noexcept { return services_; }
    /** nullopt: callers need no keys. */
    const std::optional<Accounts> &accounts() const noexcept { return accounts_; }

private:
    std::uint64_t version_ = 0;
    CallerLimits limits_;
    std::vector<Route> routes_;
    std::vector<ServiceTraits> services_;
    std::optional<Accounts> accounts_;
    std::unordered_map<std::string, std::size_t> byPlace_; ///< "host/prefix/" to index in routes_.
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
