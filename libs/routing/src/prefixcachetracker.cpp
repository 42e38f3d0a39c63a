#include "prefixcachetracker.h"

#include <algorithm>

namespace almondridge::routing {
namespace {

/** Per cache; each of the two takes about 4 MB. */
constexpr std::size_t MaxPrefixes = 32'768;
/** An engine that has not seen a prompt for this long has most likely evicted it. */
constexpr Duration DispatchTtl = millis(120'000);
/** Eviction events may get lost, so entries made from events expire. */
constexpr Duration EventTtl = millis(30'000);

/** Decay per prompt of the share of prompts with a known prefix. */
constexpr double SharingDecay = 0.95;
/** A prompt counts as shared if at least this part of it was known. */
constexpr double SharingThreshold = 0.25;

constexpr double PrecisionDecay = 0.9;
constexpr double PrecisionPriorTokens = 500;

} // namespace

std::size_t PrefixHits::blocksAt(SlotRef slot) const
{
    for (const PrefixHit &hit : hits_) {
        if (hit.slot_ == slot) {
            return hit.blocks_;
        }
    }
    return 0;
}

double CacheHitPrecision::ratio() const
{
    return std::min((confirmed_ + PrecisionPriorTokens) / (predicted_ + PrecisionPriorTokens), 1.0);
}

void CacheHitPrecision::observe(std::int64_t predictedTokens, std::int64_t cachedTokens)
{
    predicted_ = predicted_ * PrecisionDecay + static_cast<double>(predictedTokens);
    confirmed_ =
        confirmed_ * PrecisionDecay + static_cast<double>(std::min(cachedTokens, predictedTokens));
}

SampledPrefixes samplePrefixes(const std::vector<std::uint64_t> &prefixHashes)
{
    SampledPrefixes prefixes;
    prefixes.blocks_ = prefixHashes.size();
    for (const std::size_t block : sampledBlocks(prefixHashes.size())) {
        prefixes.hashes_.push_back(prefixHashes[block - 1]);
    }
    return prefixes;
}

PrefixCacheTracker::PrefixCacheTracker(Mechanisms mechanisms)
    : mechanisms_(mechanisms)
    , fromDispatches_(MaxPrefixes)
    , fromEvents_(MaxPrefixes)
{ }

PrefixHits PrefixCacheTracker::hitsFor(const std::vector<std::uint64_t> &prefixHashes,
                                       TimePoint now) const
{
    PrefixHits hits;
    hits.sharedPromptShare_ = sharedPromptShare_;
    if (!mechanisms_.has(Mechanism::Affinity)) {
        return hits;
    }
    const std::vector<std::size_t> sampled = sampledBlocks(prefixHashes.size());
    for (auto block = sampled.rbegin(); block != sampled.rend(); ++block) {
        const std::uint64_t hash = prefixHashes[*block - 1];
        const PrefixHolderCache::Holders *dispatchHolders = fromDispatches_.find(hash);
        const PrefixHolderCache::Holders *eventHolders = fromEvents_.find(hash);
        addHits(hits, dispatchHolders, *block, now);
        addHits(hits, eventHolders, *block, now);
        const bool known = dispatchHolders != nullptr || eventHolders != nullptr;
        const bool half = *block * 2 <= prefixHashes.size();
        if (!hits.rendezvousKey_ && (known || half)) {
            hits.rendezvousKey_ = hash;
        }
    }
    return hits;
}

void PrefixCacheTracker::onDispatched(const SampledPrefixes &prefixes, SlotRef slot, TimePoint now)
{
    for (const std::uint64_t hash : prefixes.hashes_) {
        fromDispatches_.insert(hash, {slot, now, now + DispatchTtl});
    }
}

void PrefixCacheTracker::onPrompt(const PrefixHits &hits, std::size_t blocks)
{
    if (blocks == 0) {
        return;
    }
    const std::size_t known = hits.hits_.empty() ? 0 : hits.hits_.front().blocks_;
    const bool shared =
        static_cast<double>(known) >= static_cast<double>(blocks) * SharingThreshold;
    sharedPromptShare_ = sharedPromptShare_ * SharingDecay + (shared ? 1 - SharingDecay : 0);
}

void PrefixCacheTracker::onCached(const SampledPrefixes &prefixes, SlotRef slot,
                                  std::int64_t cachedTokens, std::int64_t promptTokens,
                                  TimePoint now)
{
    const std::vector<std::size_t> sampled = sampledBlocks(prefixes.blocks_);
    const double tokensPerBlock = static_cast<double>(promptTokens)
                                  / static_cast<double>(std::max<std::size_t>(prefixes.blocks_, 1));
    for (std::size_t index = 0; index < prefixes.hashes_.size(); ++index) {
        const double tokens = static_cast<double>(sampled[index]) * tokensPerBlock;
        if (tokens > static_cast<double>(cachedTokens)) {
            fromEvents_.invalidate(prefixes.hashes_[index], slot, now);
        }
    }
    // The engine has just prefilled the whole prompt, so it holds all of it now.
    onDispatched(prefixes, slot, now);
}

void PrefixCacheTracker::onFailed(const SampledPrefixes &prefixes, SlotRef slot, TimePoint now)
{
    for (const std::uint64_t hash : prefixes.hashes_) {
        fromDispatches_.invalidate(hash, slot, now);
    }
}

void PrefixCacheTracker::onCacheEvent(const CacheEvent &event, SlotRef slot, TimePoint now)
{
    const TimePoint stamp = std::min(event.stamp_, now);
    if (!mechanisms_.has(Mechanism::CacheEvents) || stamp + EventTtl <= now) {
        return;
    }
    if (event.cached_) {
        fromEvents_.insert(event.prefixHash_, {slot, stamp, stamp + EventTtl});
        return;
    }
    fromEvents_.invalidate(event.prefixHash_, slot, stamp);
    fromDispatches_.invalidate(event.prefixHash_, slot, stamp);
}

void PrefixCacheTracker::addHits(PrefixHits &hits, const PrefixHolderCache::Holders *holders,
                                 std::size_t blocks, TimePoint now) const
{
    if (holders == nullptr) {
        return;
    }
    for (const PrefixHolder &holder : *holders) {
        if (holder.expiresAt_ > now && hits.blocksAt(holder.slot_) == 0) {
            hits.hits_.push_back({holder.slot_, blocks});
        }
    }
}

} // namespace almondridge::routing
