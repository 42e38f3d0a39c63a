#include "engine/prefixcache.h"

#include "text.h"

#include <algorithm>
#include <utility>

namespace almondridge::standins {

PrefixCache::PrefixCache(std::int64_t capacityTokens)
    : capacityBlocks_(static_cast<std::size_t>(std::max<std::int64_t>(capacityTokens, 0))
                      / PrefixBlockTokens)
{ }

std::int64_t PrefixCache::lookUp(const std::vector<std::uint64_t> &prefixHashes)
{
    std::size_t found = 0;
    while (found < prefixHashes.size() && blocks_.contains(prefixHashes[found])) {
        ++found;
    }
    // Longest first, so that the shorter prefixes, which more prompts share, stay longest.
    for (std::size_t block = found; block > 0; --block) {
        touch(prefixHashes[block - 1]);
    }
    return static_cast<std::int64_t>(found * PrefixBlockTokens);
}

void PrefixCache::insert(const std::vector<std::uint64_t> &prefixHashes)
{
    const std::size_t count = std::min(prefixHashes.size(), capacityBlocks_);
    for (std::size_t block = count; block > 0; --block) {
        touch(prefixHashes[block - 1]);
    }
    evictToFit();
}

void PrefixCache::clear()
{
    order_.clear();
    blocks_.clear();
    changes_.clear();
}

std::int64_t PrefixCache::usedTokens() const noexcept
{
    return static_cast<std::int64_t>(blocks_.size() * PrefixBlockTokens);
}

std::vector<CacheChange> PrefixCache::takeChanges()
{
    return std::exchange(changes_, {});
}

void PrefixCache::touch(std::uint64_t prefixHash)
{
    const auto found = blocks_.find(prefixHash);
    if (found != blocks_.end()) {
        order_.splice(order_.begin(), order_, found->second);
        return;
    }
    order_.push_front(prefixHash);
    blocks_[prefixHash] = order_.begin();
    changes_.push_back({prefixHash, true});
}

void PrefixCache::evictToFit()
{
    while (blocks_.size() > capacityBlocks_) {
        const std::uint64_t oldest = order_.back();
        order_.pop_back();
        blocks_.erase(oldest);
        changes_.push_back({oldest, false});
    }
}

} // namespace almondridge::standins
