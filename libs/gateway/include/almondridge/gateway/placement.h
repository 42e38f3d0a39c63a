/**
 * Chooses the endpoint for each request. No I/O and no clock: the endpoint table, the index of
 * cached prompt parts and the current time are inputs.
 *
 * Prompts are routed by prefix affinity. A rendezvous hash ranks the prefill engines for each
 * shared prompt part, so that all instances compute the same ranking without coordination. The
 * first usable engine of the ranking prefills the part, unless its queue is so long that computing
 * the part again on another engine is faster. Where endpoints report work times, more engines of
 * the ranking compete, and the time that work takes on each of them now counts.
 */
#pragma once

#include "almondridge/gateway/dialect.h"
#include "almondridge/gateway/endpoints.h"
#include "almondridge/gateway/promptcacheindex.h"
#include "almondridge/gateway/requestcosts.h"
#include "almondridge/gateway/versionroom.h"

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace almondridge::gateway {

/** Whether a request to the endpoint could use an idle connection. Empty: never. */
using IdleConnectionCheck = std::function<bool(const EndpointId &endpoint)>;

struct PlacementSettings
{
    DomainId domain_; ///< Failure domain of this instance.
    /** Prefill speed of an engine that also decodes, relative to one that only prefills. */
    double decodePrefillSpeed_ = 0.5;
    /**
     * Time from the end of the prefill to the first event at the caller: the transfer of the prompt
     * to the decode engine and the first decode step.
     */
    std::int64_t handoverMillis_ = 30;
};

/** Where and how a prompt is served. */
struct PromptPlan
{
    std::optional<EndpointId> prefill_; ///< Empty: the decode engine prefills the prompt itself.
    EndpointId decode_;
    int urgency_ = 0;
    std::int64_t uncachedTokens_ = 0; ///< Estimated prompt tokens that are not in the cache of the
                                      ///< engine that prefills.
    std::int64_t queuedTokens_ = 0;   ///< Prompt tokens queued there ahead of this prompt.
    bool cacheHitUnknown_ = false;    ///< The index doesn't know whether the shared parts are
                                      ///< cached there; uncachedTokens_ uses a learned hit rate.
    std::optional<EndpointId> copyFrom_; ///< Engine to copy cached shared parts from that the
                                         ///< prefilling engine lacks.
    double prefillMillis_ = 0; ///< Estimated time until the prefill ends, including the queue.
};

/** Input of Placement::planPrompt(). */
struct PromptQuery
{
    ServiceId service_;
    const Prompt *prompt_ = nullptr;
    int priority_ = 0;                ///< Priority of the route; 0 is the most urgent.
    TimePoint firstEventDeadline_ {}; ///< The request is late if its first event comes after this.
    std::vector<EndpointId> excluded_ {};
    const RequestCosts *costs_ = &RequestCosts::assumed(); ///< Costs of this service's requests.
    double slotWaitMillis_ = 0;   ///< Estimated wait for a decode slot after the prefill.
    bool prefillInPlace_ = false; ///< Prefill on the decode engine even if prefill engines exist.
    /** Only engines of this version, to go on with a stream; nullopt: the prompt begins one. */
    std::optional<SoftwareVersion> version_ {};
    IdleConnectionCheck hasIdleConnection_ {};
};

/** Input of Placement::chooseDecodeEngine(). */
struct DecodeQuery
{
    ServiceId service_;
    DomainId source_; ///< Failure domain of the engine that prefilled the prompt.
    std::vector<EndpointId> excluded_ {};
    const RequestCosts *costs_ = &RequestCosts::assumed(); ///< Costs of this service's requests.
    /** Only engines of this version, to go on with a stream; nullopt: the prompt begins one. */
    std::optional<SoftwareVersion> version_ {};
    /** Only engines of this version, which can use what was read; nullopt: nothing was. */
    std::optional<SoftwareVersion> prefillVersion_ {};
    std::int64_t promptTokens_ = 0; ///< Of the request, in the engine's KV cache while it runs.
    std::int64_t kvTokens_ = 0;     ///< Capacity of an engine's KV cache; 0: unlimited.
};

struct DecodeChoice
{
    EndpointId engine_;
    double waitMillis_ = 0;     ///< Estimated wait for a slot if the request can still be in time.
    double lateWaitMillis_ = 0; ///< Estimated wait for a slot if the request is already late.
    bool full_ = false; ///< As many requests wait as there are slots: a late request is refused.
};

/** The endpoint with the fewest other requests. */
struct LeastLoadedChoice
{
    EndpointId endpoint_;
    bool isLastUsable_ = false; ///< Other endpoints of the service are listed, but none is usable.
};

class Placement
{
public:
    explicit Placement(PlacementSettings settings);

    /** Chooses the engines for a prompt; nullopt if no engine may get the request. */
    std::optional<PromptPlan> planPrompt(const EndpointTable &table, const PromptQuery &query,
                                         TimePoint now) const;
    /**
     * Chooses an engine to decode a prefilled prompt. tieBreaker: a random number that decides
     * between engines of equal cost.
     */
    std::optional<DecodeChoice> chooseDecodeEngine(const EndpointTable &table,
                                                   const DecodeQuery &query,
                                                   std::uint64_t tieBreaker, TimePoint now) const;
    /** Whether the last load report of some such engine leaves room for one more request. */
    bool anyDecodeEngineHasRoom(const EndpointTable &table, const DecodeQuery &query,
                                TimePoint now) const;
    /**
     * The load that fetching a prefilled prompt adds to the queue of a decode engine, as an
     * equivalent number of tokens to prefill.
     */
    static std::int64_t handoverTokens(const Prompt &prompt);
    /**
     * Chooses an endpoint for a call to a plain service. tieBreaker: a random number that decides
     * between endpoints of equal cost. version: as in DecodeQuery.
     */
    std::optional<EndpointId>
    chooseService(const EndpointTable &table, const ServiceId &service,
                  const std::vector<EndpointId> &excluded, std::uint64_t tieBreaker, TimePoint now,
                  const std::optional<SoftwareVersion> &version = std::nullopt) const;

    /**
     * Chooses the endpoint with the fewest requests, for a request that may crash its endpoint and
     * would then fail the others there too. Engines that only prefill are left out, as the request
     * is served by one endpoint alone. tieBreaker: a random number that decides between endpoints
     * of equal load. version: as in DecodeQuery.
     */
    std::optional<LeastLoadedChoice>
    chooseLeastLoaded(const EndpointTable &table, const ServiceId &service,
                      const std::vector<EndpointId> &excluded, std::uint64_t tieBreaker,
                      TimePoint now,
                      const std::optional<SoftwareVersion> &version = std::nullopt) const;

    /** Records that the prompt was sent to the engine: its parts count as cached there from now. */
    void onPromptSent(const ListedEndpoint &engine, const Prompt &prompt, TimePoint now);
    /** Shared parts that this instance brought into engine caches since the last call. */
    std::vector<PromptCacheIndex::Key> takeNewCachedParts()
    {
        return std::exchange(newCachedParts_, {});
    }
    /** Records parts that another instance reported as brought into engine caches. */
    void onPeerCachedParts(const std::vector<PromptCacheIndex::Key> &parts, TimePoint now);
    /**
     * Reports how long the prefill of a prompt took whose plan has cacheHitUnknown_ set. The time
     * shows whether its shared parts were cached, and updates the hit rate that is assumed for the
     * next such prompt.
     */
    void onUnknownPartsPrefilled(const RequestCosts &costs, const Endpoint &engine,
                                 const Prompt &prompt, std::int64_t queuedTokens,
                                 double milliseconds, TimePoint now);

private:
    struct Estimate;
    /**
     * An engine and its rendezvous weight for the prompt's leading part; the highest ranks first.
     */
    struct Candidate
    {
        std::uint64_t weight_ = 0;
        const Endpoint *engine_ = nullptr;
    };
    using Ranking = std::vector<Candidate>;
    struct Candidates
    {
        Ranking ranking_;
        VersionRoom room_;
        bool reportWorkTimes_ = false; ///< At least one of the engines does.
    };

    Candidates candidates(const EndpointTable &table, const PromptQuery &query,
                          TimePoint now) const;
    static VersionRoom versionRoom(const std::vector<const Endpoint *> &engines, TimePoint now);
    /** Whether the engine decodes, and at a version that is open to new streams. */
    static bool mayDecode(const Candidates &engines, const Endpoint &engine);
    static std::vector<const Endpoint *> replicaEngines(const Candidates &engines);
    static const Endpoint *firstDecodeEngine(const Candidates &engines);
    Estimate estimateTokens(const Endpoint &engine, const PromptQuery &query,
                            bool mayBeCached) const;
    /** Milliseconds in which an engine prefills one token. */
    double millisPerToken(const RequestCosts &costs, const Endpoint &engine, TimePoint now) const;
    /** An engine to copy shared parts from that prefillEngine lacks; null if there is none. */
    const Endpoint *cacheCopySource(const Candidates &engines, const Endpoint &prefillEngine,
                                    const Prompt &prompt, TimePoint now) const;
    Estimate estimatePrefill(const Endpoint &engine, const PromptQuery &query, bool mayBeCached,
                             int urgency, TimePoint now) const;
    Estimate bestPrefillEngine(const Candidates &engines, const PromptQuery &query,
                               TimePoint now) const;
    Estimate bestInPlaceEngine(const Candidates &engines, const PromptQuery &query,
                               TimePoint now) const;

    PlacementSettings settings_;
    PromptCacheIndex cacheIndex_;
    std::vector<PromptCacheIndex::Key> newCachedParts_;
    double unknownHitRate_ = 0.5; ///< Fraction of prompts with unknown parts that were cached.
};

} // namespace almondridge::gateway
