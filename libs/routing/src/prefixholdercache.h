/**
 * A bounded map from prompt prefixes to the endpoints assumed to hold them; the least recently
 * inserted prefix is evicted first.
 */
#pragma once

#include "almondridge/base/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace almondridge::routing {

/** A slot of the endpoint table. A reused slot has a new generation, so old refs don't match. */
struct SlotRef
{
    std::uint32_t index_ = 0;
    std::uint32_t generation_ = 0;

    friend bool operator==(const SlotRef &, const SlotRef &) = default;
};

/** An endpoint assumed to hold a prefix. */
struct PrefixHolder
{
    SlotRef slot_;
    TimePoint observedAt_ {};
    TimePoint expiresAt_ {}; ///< In the past for an unused or invalidated place.
};

/** LRU map from the hash of a prefix to its holders. */
class PrefixHolderCache
{
public:
    /** Endpoints stored for one prefix; a further one replaces the one that expires first. */
    static constexpr std::size_t HoldersPerPrefix = 3;
    using Holders = std::array<PrefixHolder, HoldersPerPrefix>;

    explicit PrefixHolderCache(std::size_t capacity);

    /** Adds or updates a holder, unless a newer observation of it is stored. */
    void insert(std::uint64_t hash, const PrefixHolder &holder);
    /** Marks the slot as no longer holding the prefix, unless that was observed after stamp. */
    void invalidate(std::uint64_t hash, SlotRef slot, TimePoint stamp);
    /** Null if the prefix is unknown. The holders may include expired ones. */
    const Holders *find(std::uint64_t hash) const;

    std::size_t size() const noexcept { return index_.size(); }

private:
    using NodeIndex = std::uint32_t;
    static constexpr NodeIndex None = UINT32_MAX;

    /** An entry of the LRU list. */
    struct Node
    {
        std::uint64_t hash_ = 0;
        NodeIndex newer_ = None;
        NodeIndex older_ = None;
        Holders holders_ {};
    };

    NodeIndex findOrAddNode(std::uint64_t hash);
    void unlink(NodeIndex index);
    void linkNewest(NodeIndex index);

    std::size_t capacity_;
    std::vector<Node> nodes_;
    std::unordered_map<std::uint64_t, NodeIndex> index_;
    NodeIndex newest_ = None;
    NodeIndex oldest_ = None;
};

/**
 * Prefix lengths, in blocks and ascending, that are stored for a prompt of this many blocks: each
 * of the first few, then steps of a quarter of the length. This finds the length of a shared
 * prefix to within a fifth and stores few prefixes per prompt. All instances use the same lengths.
 */
std::vector<std::size_t> sampledBlocks(std::size_t blocks);

} // namespace almondridge::routing
