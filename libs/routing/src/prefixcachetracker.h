/**
 * Beliefs about which endpoint has how much of a prompt in its cache. What engines' answers say
 * goes first, then what this entry has sent where, then cache events, which come late and gapped.
 */
#pragma once

#include "almondridge/routing/ablation.h"
#include "almondridge/routing/router.h"
#include "prefixholdercache.h"

#include <optional>

namespace almondridge::routing {

/** An endpoint that is believed to hold the first blocks of a prompt. */
struct PrefixHit
{
    SlotRef slot_;
    std::size_t blocks_ = 0;
};

/** What is known about one prompt. */
struct PrefixHits
{
    std::vector<PrefixHit> hits_; ///< Longest first, each endpoint once.
    /** For rendezvous hashing: the longest known prefix, or half of an unknown prompt. */
    std::optional<std::uint64_t> key_;
    double sharingShare_ = 0; ///< Of all prompts, that began like an earlier one.

    std::size_t blocksAt(SlotRef slot) const;
};

/** How much of what was believed to be cached an endpoint's answers confirm. */
class HitTrust
{
public:
    /** The part of believed tokens to count on, 0 to 1. */
    double share() const;
    void observe(std::int64_t believedTokens, std::int64_t cachedTokens);

private:
    double believed_ = 0;
    double confirmed_ = 0;
};

/** The sampled prefixes of one prompt, as an attempt keeps them until its first token. */
struct SampledPrefixes
{
    std::vector<std::uint64_t> hashes_; ///< Shortest first, at the positions of sampledBlocks().
    std::size_t blocks_ = 0;            ///< Of the whole prompt.
};

SampledPrefixes samplePrefixes(const std::vector<std::uint64_t> &prefixHashes);

class PrefixBeliefs
{
public:
    explicit PrefixBeliefs(Mechanisms mechanisms);

    PrefixHits hitsFor(const std::vector<std::uint64_t> &prefixHashes, TimePoint now) const;
    /** The endpoint is about to hold the whole prompt. */
    void onDispatched(const SampledPrefixes &prefixes, SlotRef slot, TimePoint now);
    /** To be called for each prompt once, with what hitsFor() said. */
    void onPrompt(const PrefixHits &hits, std::size_t blocks);
    /** The engine found only cachedTokens of promptTokens: older beliefs beyond them were wrong. */
    void onCached(const SampledPrefixes &prefixes, SlotRef slot, std::int64_t cachedTokens,
                  std::int64_t promptTokens, TimePoint now);
    /** The attempt failed before its first token, so nothing says that the prompt was read. */
    void onFailed(const SampledPrefixes &prefixes, SlotRef slot, TimePoint now);
    void onCacheEvent(const CacheEvent &event, SlotRef slot, TimePoint now);

    std::size_t size() const { return learnt_.size() + hints_.size(); }

private:
    void addHits(PrefixHits &hits, const PrefixMemory::Holders *holders, std::size_t blocks,
                 TimePoint now) const;

    Mechanisms mechanisms_;
    double sharingShare_ = 0.5; ///< Undecided until prompts have come.
    PrefixMemory learnt_;       ///< From this entry's own dispatches and their answers.
    PrefixMemory hints_; ///< From cache events; apart, so that a flood of them evicts only hints.
};

} // namespace almondridge::routing
