/**
 * Chooses an endpoint for each request from load reports that may be late, missing or wrong.
 * Performs no I/O and reads no clock: events and the current time are passed in.
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

/** The load of one endpoint as the endpoint reported it. */
struct LoadReport
{
    EndpointId endpoint_;
    TimePoint stamp_ {}; ///< When the values were taken, on this machine's clock.
    int running_ = 0;    ///< Requests in progress.
    int waiting_ = 0;    ///< Queued requests.
    std::int64_t prefillTokensWaiting_ = 0; ///< Prompt tokens queued for prefill.
    std::int64_t kvUsedTokens_ = 0;
    std::int64_t kvCapacityTokens_ = 0;
    double prefillTokensPerSecond_ = 0; ///< Measured by the engine; 0 if not reported.
    double decodeTokensPerSecond_ = 0; ///< Per stream at the current batch size; 0 if not reported.
    fleet::EngineRole role_ = fleet::EngineRole::Mixed;
    bool admits_ = true; ///< False while the endpoint accepts no new requests.
};

/** A prompt prefix entered or left an engine's KV cache. Events may arrive late or get lost. */
struct CacheEvent
{
    EndpointId endpoint_;
    std::uint64_t prefixHash_ = 0;
    bool cached_ = true; ///< False: the prefix was evicted.
    TimePoint stamp_ {}; ///< When it happened, on this machine's clock.
};

/** Whether an endpoint may get new requests (Open) or why it may not. */
enum class Reachability { Open, Withheld, Unreachable };

/** Properties of a request that decide where it may go. */
struct RouteQuery
{
    ModelId model_;                           ///< Empty for a call to a service.
    ServiceId service_;                       ///< Empty for a call to an engine.
    std::vector<std::uint64_t> prefixHashes_; ///< From prefixHashes(), shortest prefix first.
    std::int64_t promptTokens_ = 0;
    std::int64_t outputTokens_ = 0; ///< Expected number of output tokens.
    TimePoint deadline_ {};
    std::vector<EndpointId> excluded_ {}; ///< Endpoints that already failed this request.
    /** Set if the request came from another failure domain or its KV cache is in this one. */
    bool ownDomainOnly_ = false;
    std::uint64_t random_ = 0; ///< Seed for drawing the random candidates.
};

/** The endpoint chosen for a request. */
struct RouteChoice
{
    EndpointId endpoint_;               ///< Decodes; also prefills if prefill_ is empty.
    std::optional<EndpointId> prefill_; ///< Prefills first and transfers the KV cache.
    TimePoint firstToken_ {};           ///< Estimated time of the first token.
    bool otherDomain_ = false;
    std::string reason_; ///< Rule, estimate and alternatives as key=value pairs.
};

/** Keeps the load known of all endpoints and chooses among them. Not thread-safe. */
class Router
{
public:
    class Builder;

    /** Replaces the set of endpoints; keeps what is known of those in both. */
    void setFleet(const std::shared_ptr<const fleet::Fleet> &fleet);
    void onReport(const LoadReport &report, TimePoint now);
    void onCacheEvent(const CacheEvent &event, TimePoint now);
    void onReachability(const EndpointId &endpoint, Reachability reachability, TimePoint now);
    /**
     * Another domain reported the share of its engines that is free, 0 to 1. From validUntil on,
     * or without a report, the domain counts as full.
     */
    void onDomainCapacity(const DomainId &domain, double spareShare, TimePoint validUntil);

    void onDispatched(const AttemptId &attempt, const EndpointId &endpoint, const RouteQuery &query,
                      TimePoint now);
    /** cachedTokens: prompt tokens found in the KV cache, as the engine counted; -1: unknown. */
    void onFirstToken(const AttemptId &attempt, std::int64_t cachedTokens, TimePoint now);
    /** succeeded is false only if the endpoint failed, not if the caller cancelled. */
    void onFinished(const AttemptId &attempt, bool succeeded, TimePoint now);

    /** Returns nullopt if no endpoint can take the request now. */
    std::optional<RouteChoice> choose(const RouteQuery &query, TimePoint now);

    /** Whether the endpoint may get new requests. Check again between choose() and sending. */
    bool isAvailable(const EndpointId &endpoint) const;

    /** Time of the first token if the query is sent now; TimePoint::max() if not in the fleet. */
    TimePoint estimateFirstToken(const EndpointId &endpoint, const RouteQuery &query,
                                 TimePoint now) const;
    /** The free share, 0 to 1, of this domain's engines; for other domains and admission. */
    double spareShare(const ModelId &model, TimePoint now) const;

    Router(Router &&) noexcept;
    Router &operator=(Router &&) noexcept;
    ~Router();

private:
    struct State;
    explicit Router(std::unique_ptr<State> state) noexcept;
    std::unique_ptr<State> state_;
};

/** Configures and creates a Router. */
class Router::Builder
{
public:
    /** The failure domain of this instance. */
    Builder &domain(DomainId domain);
    /** Age beyond which a load report is ignored. */
    Builder &reportStaleAfter(Duration age);
    /** How many randomly drawn endpoints compete for each request; at least 1. */
    Builder &randomCandidates(int count);
    /** Time to the first token that sending to another domain adds. */
    Builder &otherDomainPenalty(Duration latency);
    /** Switches a part of the estimate off, for benchmarks. */
    Builder &without(Mechanism mechanism);
    Router build();

private:
    DomainId domain_;
    Mechanisms mechanisms_;
    Duration staleAfter_ = millis(5'000);
    int randomCandidates_ = 16;
    Duration otherDomainPenalty_ = millis(10);
};

/**
 * Hashes of the prefixes of text that are whole blocks of blockTokens words, shortest first. Words
 * left after the last whole block are not covered.
 */
std::vector<std::uint64_t> prefixHashes(std::string_view text, std::size_t blockTokens);

/**
 * Estimates the number of tokens in a text as its number of words. Use an engine's own count once
 * it is known.
 */
std::int64_t estimateTokens(std::string_view text) noexcept;

} // namespace almondridge::routing
