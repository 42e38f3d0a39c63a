/**
 * The contents of a fleet file: which models, adapters and versions run where and in which roles.
 * Plain data, validated by FleetBuilder and parseFleet().
 */
#pragma once

#include "almondridge/base/enumnames.h"
#include "almondridge/base/ids.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace almondridge::fleet {

enum class EndpointKind { Engine, Service };

inline constexpr std::array<EnumName<EndpointKind>, 2> EndpointKindNames {{
    {EndpointKind::Engine, "engine"},
    {EndpointKind::Service, "service"},
}};

/** The phase that an engine is tuned for. A mixed engine runs both, each a little slower. */
enum class EngineRole { Prefill, Decode, Mixed };

inline constexpr std::array<EnumName<EngineRole>, 3> EngineRoleNames {{
    {EngineRole::Prefill, "prefill"},
    {EngineRole::Decode, "decode"},
    {EngineRole::Mixed, "mixed"},
}};

/** Whether an engine refuses orders with a stale fencing number. */
enum class Fencing { Checks, Ignores };

inline constexpr std::array<EnumName<Fencing>, 2> FencingNames {{
    {Fencing::Checks, "checks"},
    {Fencing::Ignores, "ignores"},
}};

/** Whether a request may be retried when the result of the first attempt is unknown. */
enum class Repeatability { Idempotent, NonIdempotent };

inline constexpr std::array<EnumName<Repeatability>, 2> RepeatabilityNames {{
    {Repeatability::Idempotent, "idempotent"},
    {Repeatability::NonIdempotent, "non-idempotent"},
}};

struct Adapter
{
    AdapterId id_;
    std::string version_;

    friend bool operator==(const Adapter &, const Adapter &) = default;
};

struct Model
{
    ModelId id_;
    std::string version_;
    std::vector<Adapter> adapters_;
    std::uint64_t weightBytes_ = 0;

    friend bool operator==(const Model &, const Model &) = default;
};

/** An engine or a service process that serves requests. */
struct Endpoint
{
    EndpointId id_;
    DomainId domain_;
    EndpointKind kind_ = EndpointKind::Engine;
    std::string address_;                 ///< "ip:port".
    Fencing fencing_ = Fencing::Ignores;  ///< Engines only.
    ModelId model_;                       ///< Engines only.
    EngineRole role_ = EngineRole::Mixed; ///< Engines only: the initial role.
    ServiceId service_;                   ///< Services only.
    bool leaving_ = false;                ///< Being drained: gets no new requests.

    friend bool operator==(const Endpoint &, const Endpoint &) = default;
};

/** The requests of a service with the same method and path prefix. */
struct Route
{
    std::string method_;
    std::string pathPrefix_;
    Repeatability repeatability_ = Repeatability::NonIdempotent;

    friend bool operator==(const Route &, const Route &) = default;
};

struct Service
{
    ServiceId id_;
    std::string pathPrefix_; ///< As in "/booking"; removed before a request is forwarded.
    std::vector<Route> routes_;

    friend bool operator==(const Service &, const Service &) = default;
};

/** A client account: an API key with its share of the engines. */
struct Account
{
    AccountId id_;
    std::string apiKeySha256_; ///< Lower-case hex of the bearer token's SHA-256.
    double share_ = 1.0;       ///< Weight relative to other accounts.
    int priority_ = 0;         ///< Passed on to engines; higher values are served first.

    friend bool operator==(const Account &, const Account &) = default;
};

/** Limits on the number of a model's engines in each role in a failure domain. */
struct RoleBounds
{
    DomainId domain_;
    ModelId model_;
    int minPrefill_ = 0;
    int maxPrefill_ = 0;
    int minDecode_ = 0;
    int maxDecode_ = 0;

    friend bool operator==(const RoleBounds &, const RoleBounds &) = default;
};

struct Policy
{
    double roleChangeWeight_ = 1.0; ///< Factor on the lost goodput that a change must regain.
    std::int64_t minimumDwellMillis_ = 60'000; ///< Minimum time between role changes of an engine.
    int maxAwayPerDomain_ = 1; ///< Engines of a failure domain that may change role at once.
    std::int64_t firstTokenMillis_ = 320; ///< Target for the time to first token.
    std::int64_t interTokenMillis_ = 47;  ///< Target for the time between tokens.
    double retryBudget_ = 0.1;            ///< Retries as a share of first attempts.

    friend bool operator==(const Policy &, const Policy &) = default;
};

/** A fleet file. */
struct Fleet
{
    std::string name_;
    std::vector<DomainId> domains_;
    std::map<ModelId, Model> models_;
    std::map<ServiceId, Service> services_;
    std::map<EndpointId, Endpoint> endpoints_;
    std::map<AccountId, Account> accounts_;
    std::vector<RoleBounds> roleBounds_;
    Policy policy_;

    friend bool operator==(const Fleet &, const Fleet &) = default;
};

} // namespace almondridge::fleet
