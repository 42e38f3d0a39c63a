#include "prefixcachetracker.h"

#include <algorithm>

namespace almondridge::routing {
namespace {

/** About 4 MB for each of the two memories. */
constexpr std::size_t RememberedPrefixes = 32'768;
/** An engine that has not seen a prompt for so long has most likely put others in its place. */
constexpr Duration LearntLife = millis(120'000);
/** Events that take the prefix out again may be lost, so a hint ends by itself. */
constexpr Duration HintLife = millis(30'000);

/** Weight of all earlier prompts in the share of sharing ones when the next one comes. */
constexpr double SharingFade = 0.95;
/** A prompt counts as sharing when this part of it was known. */
constexpr double SharedPart = 0.25;

constexpr double TrustFade = 0.9;
constexpr double TrustPriorTokens = 500;

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

double HitTrust::share() const
{
    return std::min((confirmed_ + TrustPriorTokens) / (believed_ + TrustPriorTokens), 1.0);
}

void HitTrust::observe(std::int64_t believedTokens, std::int64_t cachedTokens)
{
    believed_ = believed_ * TrustFade + static_cast<double>(believedTokens);
    confirmed_ =
        confirmed_ * TrustFade + static_cast<double>(std::min(cachedTokens, believedTokens));
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

PrefixBeliefs::PrefixBeliefs(Mechanisms mechanisms)
    : mechanisms_(mechanisms)
    , learnt_(RememberedPrefixes)
    , hints_(RememberedPrefixes)
{ }

PrefixHits PrefixBeliefs::hitsFor(const std::vector<std::uint64_t> &prefixHashes,
                                  TimePoint now) const
{
    PrefixHits hits;
    hits.sharingShare_ = sharingShare_;
    if (!mechanisms_.has(Mechanism::Affinity)) {
        return hits;
    }
    const std::vector<std::size_t> sampled = sampledBlocks(prefixHashes.size());
    for (auto block = sampled.rbegin(); block != sampled.rend(); ++block) {
        const std::uint64_t hash = prefixHashes[*block - 1];
        const PrefixMemory::Holders *learnt = learnt_.find(hash);
        const PrefixMemory::Holders *hinted = hints_.find(hash);
        addHits(hits, learnt, *block, now);
        addHits(hits, hinted, *block, now);
        const bool known = learnt != nullptr || hinted != nullptr;
        const bool half = *block * 2 <= prefixHashes.size();
        if (!hits.key_ && (known || half)) {
            hits.key_ = hash;
        }
    }
    return hits;
}

void PrefixBeliefs::onDispatched(const SampledPrefixes &prefixes, SlotRef slot, TimePoint now)
{
    for (const std::uint64_t hash : prefixes.hashes_) {
        learnt_.learn(hash, {slot, now, now + LearntLife});
    }
}

void PrefixBeliefs::onPrompt(const PrefixHits &hits, std::size_t blocks)
{
    if (blocks == 0) {
        return;
    }
    const std::size_t known = hits.hits_.empty() ? 0 : hits.hits_.front().blocks_;
    const bool shared = static_cast<double>(known) >= static_cast<double>(blocks) * SharedPart;
    sharingShare_ = sharingShare_ * SharingFade + (shared ? 1 - SharingFade : 0);
}

void PrefixBeliefs::onCached(const SampledPrefixes &prefixes, SlotRef slot,
                             std::int64_t cachedTokens, std::int64_t promptTokens, TimePoint now)
{
    const std::vector<std::size_t> sampled = sampledBlocks(prefixes.blocks_);
    const double tokensPerBlock = static_cast<double>(promptTokens)
                                  / static_cast<double>(std::max<std::size_t>(prefixes.blocks_, 1));
    for (std::size_t index = 0; index < prefixes.hashes_.size(); ++index) {
        const double tokens = static_cast<double>(sampled[index]) * tokensPerBlock;
        if (tokens > static_cast<double>(cachedTokens)) {
            hints_.forget(prefixes.hashes_[index], slot, now);
        }
    }
    // The engine has just read the whole prompt, so from now on it holds all of it.
    onDispatched(prefixes, slot, now);
}

void PrefixBeliefs::onFailed(const SampledPrefixes &prefixes, SlotRef slot, TimePoint now)
{
    for (const std::uint64_t hash : prefixes.hashes_) {
        learnt_.forget(hash, slot, now);
    }
}

void PrefixBeliefs::onCacheEvent(const CacheEvent &event, SlotRef slot, TimePoint now)
{
    const TimePoint stamp = std::min(event.stamp_, now);
    if (!mechanisms_.has(Mechanism::CacheEvents) || stamp + HintLife <= now) {
        return;
    }
    if (event.cached_) {
        hints_.learn(event.prefixHash_, {slot, stamp, stamp + HintLife});
        return;
    }
    hints_.forget(event.prefixHash_, slot, stamp);
    learnt_.forget(event.prefixHash_, slot, stamp);
}

void PrefixBeliefs::addHits(PrefixHits &hits, const PrefixMemory::Holders *holders,
                            std::size_t blocks, TimePoint now) const
{
    if (holders == nullptr) {
        return;
    }
    for (const PrefixHolder &holder : *holders) {
        if (holder.until_ > now && hits.blocksAt(holder.slot_) == 0) {
            hits.hits_.push_back({holder.slot_, blocks});
        }
    }
}

} // namespace almondridge::routing
