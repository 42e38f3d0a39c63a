/**
 * A prefix cache of limited size: blocks of 16 tokens, the least recently used go first.
 * Pure.
 */
#pragma once

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace almondridge::standins {

/** A prefix entered or left the cache. */
struct CacheChange
{
    std::uint64_t prefixHash_ = 0;
    bool cached_ = true;
};

/** Not thread-safe. */
class PrefixCache
{
public:
    explicit PrefixCache(std::int64_t capacityTokens);

    /** Tokens of the longest cached prefix; its blocks count as used now. */
    std::int64_t lookUp(const std::vector<std::uint64_t> &prefixHashes);
    /** Makes all the prefixes cached, as far as they fit. */
    void insert(const std::vector<std::uint64_t> &prefixHashes);
    void clear();

    std::int64_t usedTokens() const noexcept;
    /** The changes since the last call, oldest first. */
    std::vector<CacheChange> takeChanges();

private:
    using Order = std::list<std::uint64_t>; ///< Most recently used first.

    void touch(std::uint64_t prefixHash);
    void evictToFit();

    std::size_t capacityBlocks_;
    Order order_;
    std::unordered_map<std::uint64_t, Order::iterator> blocks_;
    std::vector<CacheChange> changes_;
};

} // namespace almondridge::standins
