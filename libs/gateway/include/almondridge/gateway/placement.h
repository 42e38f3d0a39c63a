/**
 * Which endpoint gets a request. Pure: the endpoints, what is known of cached prompts and the
 * time go in.
 *
 * Prompts go where their shared parts were read before: each part has an order of engines by
 * rendezvous hash that all instances work out alike without talking, and the first trusted engine
 * of that order reads it, unless its queue makes reading the part again elsewhere quicker.
 */
#pragma once

#include "almondridge/gateway/dialect.h"
#include "almondridge/gateway/endpoints.h"
#include "almondridge/gateway/promptcacheindex.h"
#include "almondridge/gateway/requestcosts.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace almondridge::gateway {

struct PlacementSettings
{
    DomainId domain_; ///< This instance's own.
    /** What generating engines read, against engines that only read. */
    double decodePrefillSpeed_ = 0.5;
    /** From a read prompt to its first event at the caller: the hand-over and the first step. */
    std::int64_t handoverMillis_ = 30;
};

/** How a prompt is to be served. */
struct PromptPlan
{
    std::optional<EndpointId> prefill_; ///< Empty: read where it is generated.
    EndpointId decode_;
    int urgency_ = 0;
    std::int64_t uncachedTokens_ = 0;         ///< To be read where it is read first.
    std::int64_t queuedTokens_ = 0;       ///< What is read there before it.
    bool cacheHitUnknown_ = false;          ///< Whether its shared parts are cached there is a guess.
    std::optional<EndpointId> copyFrom_; ///< Has shared parts cached that the reader lacks.
    double prefillMillis_ = 0;              ///< Estimate until it is read, queue included.
};

/** What is asked of a placement. */
struct PromptQuery
{
    ServiceId service_;
    const Prompt *prompt_ = nullptr;
    int priority_ = 0;    ///< Of its route; 0 is the most urgent.
    TimePoint firstEventDeadline_ {}; ///< The first event is in time until then.
    std::vector<EndpointId> excluded_ {};
    const RequestCosts *costs_ = &RequestCosts::assumed(); ///< Of the service's requests.
    double slotWaitMillis_ = 0; ///< Once it is read, as far as is known now.
    bool prefillInPlace_ = false;      ///< It is read where it is generated, whoever else could read it.
};

/** What is asked of an engine that generates. */
struct DecodeQuery
{
    ServiceId service_;
    DomainId source_; ///< Where the prompt was read.
    std::vector<EndpointId> excluded_ {};
    const RequestCosts *costs_ = &RequestCosts::assumed(); ///< Of the service's requests.
};

struct DecodeChoice
{
    EndpointId engine_;
    double waitMillis_ = 0;     ///< For a slot, of a request that can be in time still.
    double lateWaitMillis_ = 0; ///< The same of one that cannot.
    bool full_ = false; ///< As many wait there as it generates for: late ones would be refused.
};

/** An endpoint on which few other requests are. */
struct LeastLoadedChoice
{
    EndpointId endpoint_;
    bool isLastUsable_ = false; ///< All others that do the same work are out of service.
};

class Placement
{
public:
    explicit Placement(PlacementSettings settings);

    /** nullopt: no endpoint may get the request. */
    std::optional<PromptPlan> planPrompt(const EndpointTable &table, const PromptQuery &query,
                                         TimePoint now) const;
    /** An engine to generate for a prompt that was read. ticket: any number. */
    std::optional<DecodeChoice> chooseDecodeEngine(const EndpointTable &table,
                                                   const DecodeQuery &query,
                                                   std::uint64_t tieBreaker, TimePoint now) const;
    /** Whether an engine that generates could take one more request, by its last word. */
    bool anyDecodeEngineHasRoom(const EndpointTable &table, const ServiceId &service,
                              const std::vector<EndpointId> &excluded, TimePoint now) const;
    /** What a read prompt adds to the queue of the engine that fetches it, in tokens to read. */
    static std::int64_t handoverTokens(const Prompt &prompt);
    /** A plain service's endpoint. ticket: any number. */
    std::optional<EndpointId> chooseService(const EndpointTable &table, const ServiceId &service,
                                            const std::vector<EndpointId> &excluded,
                                            std::uint64_t tieBreaker, TimePoint now) const;

    /** Where a request that may end its endpoint takes the fewest others along; it needs no other
     * endpoint there. ticket: any number. */
    std::optional<LeastLoadedChoice> chooseLeastLoaded(const EndpointTable &table, const ServiceId &service,
                                              const std::vector<EndpointId> &excluded,
                                              std::uint64_t tieBreaker, TimePoint now) const;

    /** A prompt is read there: its parts are in the engine's cache from now on. */
    void onPromptSent(const ListedEndpoint &engine, const Prompt &prompt, TimePoint now);
    /** Shared parts that came to engines by this instance since the last call. */
    std::vector<PromptCacheIndex::Key> takeNewCachedParts() { return std::exchange(newCachedParts_, {}); }
    /** The same as another instance told. */
    void onPeerCachedParts(const std::vector<PromptCacheIndex::Key> &parts, TimePoint now);
    /**
     * How long it took to read a prompt whose shared parts nobody had told of: tells whether they
     * were cached all the same, and so how the next such prompt is estimated.
     */
    void onUnknownPartsPrefilled(const RequestCosts &costs, const Endpoint &engine, const Prompt &prompt,
                       std::int64_t aheadTokens, double milliseconds);

private:
    struct Estimate;
    /** An engine and its place in the order of a prompt's leading part: the highest goes first. */
    struct Candidate
    {
        std::uint64_t weight_ = 0;
        const Endpoint *engine_ = nullptr;
    };
    using Candidates = std::vector<Candidate>;

    Candidates candidates(const EndpointTable &table, const PromptQuery &query,
                          TimePoint now) const;
    static std::vector<const Endpoint *> replicaEngines(const Candidates &engines);
    static const Endpoint *firstDecodeEngine(const Candidates &engines);
    Estimate estimateTokens(const Endpoint &engine, const PromptQuery &query, bool mayBeCached) const;
    /** The time in which an engine reads a token. */
    double millisPerToken(const RequestCosts &costs, const Endpoint &engine) const;
    /** An engine to copy shared parts from that the reader lacks; null when there is none. */
    const Endpoint *cacheCopySource(const Candidates &engines, const Endpoint &reader,
                                const Prompt &prompt, TimePoint now) const;
    Estimate estimatePrefill(const Endpoint &engine, const PromptQuery &query, bool mayBeCached, int urgency) const;
    Estimate bestPrefillEngine(const Candidates &engines, const PromptQuery &query, TimePoint now) const;
    Estimate bestInPlaceEngine(const Candidates &engines, const PromptQuery &query) const;

    PlacementSettings settings_;
    PromptCacheIndex cacheIndex_;
    std::vector<PromptCacheIndex::Key> newCachedParts_;
    double unknownHitRate_ = 0.5; ///< Share of unknown parts that proved to be cached.
};

} // namespace almondridge::gateway
