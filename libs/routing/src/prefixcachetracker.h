/**
 * Tracks which endpoints hold which prompt prefixes in their KV caches. Cached-token counts in
 * engines' responses take precedence, then the dispatches of this instance, then cache events,
 * which may arrive late or get lost.
 */
#pragma once

#include "almondridge/routing/ablation.h"
#include "almondridge/routing/router.h"
#include "prefixholdercache.h"

#include <optional>

namespace almondridge::routing {

/** An endpoint that is assumed to hold the first blocks of a prompt. */
struct PrefixHit
{
    SlotRef slot_;
    std::size_t blocks_ = 0;
};

/** Where the prefixes of one prompt are assumed to be cached. */
struct PrefixHits
{
    std::vector<PrefixHit> hits_; ///< Longest prefix first, each endpoint once.
    /** Hash of the longest known prefix, or of half the prompt if none is known. */
    std::optional<std::uint64_t> rendezvousKey_;
    double sharedPromptShare_ = 0; ///< Share of prompts that began like an earlier one.

    /** The number of blocks that the endpoint holds; 0 if it is not among the hits. */
    std::size_t blocksAt(SlotRef slot) const;
};

/** The part of the predicted cached tokens that an endpoint's responses confirm. */
class CacheHitPrecision
{
public:
    /** Confirmed by predicted tokens, 0 to 1; 1 before the first observation. */
    double ratio() const;
    void observe(std::int64_t predictedTokens, std::int64_t cachedTokens);

private:
    double predicted_ = 0;
    double confirmed_ = 0;
};

/** The tracked prefixes of one prompt, kept with an attempt until its first token. */
struct SampledPrefixes
{
    /** Shortest first, at the positions that sampledBlocks() returns. */
    std::vector<std::uint64_t> hashes_;
    std::size_t blocks_ = 0; ///< Number of blocks in the whole prompt.
};

SampledPrefixes samplePrefixes(const std::vector<std::uint64_t> &prefixHashes);

/** Predicts which endpoints have prefixes of a prompt in their KV caches. */
class PrefixCacheTracker
{
public:
    explicit PrefixCacheTracker(Mechanisms mechanisms);

    PrefixHits hitsFor(const std::vector<std::uint64_t> &prefixHashes, TimePoint now) const;
    /** The prompt was sent to the endpoint, which will then hold all of it. */
    void onDispatched(const SampledPrefixes &prefixes, SlotRef slot, TimePoint now);
    /** Call once for each prompt with the result of hitsFor(). */
    void onPrompt(const PrefixHits &hits, std::size_t blocks);
    /** The engine had cachedTokens of promptTokens cached; drops event entries beyond them. */
    void onCached(const SampledPrefixes &prefixes, SlotRef slot, std::int64_t cachedTokens,
                  std::int64_t promptTokens, TimePoint now);
    /** The attempt failed before its first token, so the prompt may not have been prefilled. */
    void onFailed(const SampledPrefixes &prefixes, SlotRef slot, TimePoint now);
    void onCacheEvent(const CacheEvent &event, SlotRef slot, TimePoint now);

    std::size_t size() const { return fromDispatches_.size() + fromEvents_.size(); }

private:
    void addHits(PrefixHits &hits, const PrefixHolderCache::Holders *holders, std::size_t blocks,
                 TimePoint now) const;

    Mechanisms mechanisms_;
    double sharedPromptShare_ = 0.5;   ///< 0.5 is neutral until prompts have been seen.
    PrefixHolderCache fromDispatches_; ///< From dispatches of this instance and their responses.
    /** From cache events. Separate, so that a flood of events evicts no entries of dispatches. */
    PrefixHolderCache fromEvents_;
};

} // namespace almondridge::routing
