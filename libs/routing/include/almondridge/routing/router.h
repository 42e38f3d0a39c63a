/**
 * Choosing an endpoint for a request under late, missing and wrong load reports.
 * Pure: events go in, choices come out, time is passed in.
 */
#pragma once

#include "almondridge/base/ids.h"
#include "almondridge/base/time.h"
#include "almondridge/fleet/fleet.h"
#include "almondridge/routing/ablation.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace almondridge::routing {

/** An endpoint's word on its load. stamp_ is when it was true, on this machine's clock. */
struct LoadReport
{
    EndpointId endpoint_;
    TimePoint stamp_ {};
    int running_ = 0;
    int waiting_ = 0;
    std::int64_t prefillTokensWaiting_ = 0;
    std::int64_t kvUsedTokens_ = 0;
    std::int64_t kvCapacityTokens_ = 0;
    double prefillTokensPerSecond_ = 0; ///< Measured by the engine; 0 when not told.
    double decodeTokensPerSecond_ = 0;  ///< Of one stream at the current batch.
    fleet::EngineRole role_ = fleet::EngineRole::Mixed;
    bool admits_ = true;
};

/** A prompt prefix entered or left an engine's cache, told late and with gaps. */
struct CacheEvent
{
    EndpointId endpoint_;
    std::uint64_t prefixHash_ = 0;
    bool cached_ = true;
    TimePoint stamp_ {};
};

/** Why an endpoint gets no new work; Open: it does. */
enum class Reachability { Open, Withheld, Unreachable };

/** What a request needs. */
struct RouteQuery
{
    ModelId model_;     ///< Empty for services.
    ServiceId service_; ///< Empty for engines.
    std::vector<std::uint64_t>
        prefixHashes_; ///< Of growing prefixes of the prompt, shortest first.
    std::int64_t promptTokens_ = 0;
    std::int64_t outputTokens_ = 0; ///< Expected.
    TimePoint deadline_ {};
    std::vector<EndpointId> excluded_ {}; ///< Failed for this request already.
    bool ownDomainOnly_ = false; ///< Came from another domain, or its KV cache lies in this one.
    std::uint64_t random_ = 0;   ///< A random number of the caller's, for the random candidates.
};

struct RouteChoice
{
    EndpointId endpoint_;               ///< Decodes, and prefills too when prefill_ is empty.
    std::optional<EndpointId> prefill_; ///< Prefills first and hands the KV cache over.
    TimePoint firstToken_ {};           ///< Estimate.
    bool otherDomain_ = false;
    std::string reason_; ///< Estimate, rule and the alternatives, as key=value pairs.
};

class Router
{
public:
    class Builder;

    /** What may get work changes with each file in force. */
    void setFleet(const std::shared_ptr<const fleet::Fleet> &fleet);
    void onReport(const LoadReport &report, TimePoint now);
    void onCacheEvent(const CacheEvent &event, TimePoint now);
    void onReachability(const EndpointId &endpoint, Reachability reachability, TimePoint now);
    /** Other domains say whether they have room; unknown counts as no room. */
    void onDomainCapacity(const DomainId &domain, double spareShare, TimePoint validUntil);

    void onDispatched(const AttemptId &attempt, const EndpointId &endpoint, const RouteQuery &query,
                      TimePoint now);
    /** cachedTokens: the engine's own count, -1 when not told. */
    void onFirstToken(const AttemptId &attempt, std::int64_t cachedTokens, TimePoint now);
    /** succeeded false: the endpoint failed, not the caller. */
    void onFinished(const AttemptId &attempt, bool succeeded, TimePoint now);

    /** nullopt: nothing can take the request now. */
    std::optional<RouteChoice> choose(const RouteQuery &query, TimePoint now);

    /** Whether the endpoint may get new work; to be asked again between a choice and its send. */
    bool isAvailable(const EndpointId &endpoint) const;

    /** Estimated first token for promptTokens at this endpoint if sent now. */
    TimePoint estimateFirstToken(const EndpointId &endpoint, const RouteQuery &query,
                                 TimePoint now) const;
    /** The share of this domain's engines that is free, for other domains and admission. */
    double spareShare(const ModelId &model, TimePoint now) const;

    Router(Router &&) noexcept;
    Router &operator=(Router &&) noexcept;
    ~Router();

private:
    struct State;
    explicit Router(std::unique_ptr<State> state) noexcept;
    std::unique_ptr<State> state_;
};

class Router::Builder
{
public:
    Builder &domain(DomainId domain);
    Builder &reportStaleAfter(Duration age);
    Builder &randomCandidates(int count);
    /** Extra time to the first token that another domain costs. */
    Builder &otherDomainPenalty(Duration latency);
    /** Switches a part of the estimate off, for measurements. */
    Builder &without(Mechanism mechanism);
    Router build();

private:
    DomainId domain_;
    Mechanisms mechanisms_;
    Duration staleAfter_ = millis(5'000);
    int randomCandidates_ = 16;
    Duration otherDomainPenalty_ = millis(10);
};

/** Hashes of growing prefixes of text, one for each blockTokens words. */
std::vector<std::uint64_t> prefixHashes(std::string_view text, std::size_t blockTokens);

/** Tokens of a text, roughly: words. What engines count goes first once it is known. */
std::int64_t estimateTokens(std::string_view text) noexcept;

} // namespace almondridge::routing
