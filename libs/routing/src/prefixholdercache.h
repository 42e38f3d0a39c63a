/**
 * Which endpoints hold which prompt prefix, as far as this entry knows: a bounded map with the
 * least recently learnt prefix going first.
 */
#pragma once

#include "almondridge/base/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace almondridge::routing {

/** Names a slot of the endpoint table; a slot given to another endpoint has a new generation. */
struct SlotRef
{
    std::uint32_t index_ = 0;
    std::uint32_t generation_ = 0;

    friend bool operator==(const SlotRef &, const SlotRef &) = default;
};

/** An endpoint believed to hold a prefix. */
struct PrefixHolder
{
    SlotRef slot_;
    TimePoint learntAt_ {};
    TimePoint until_ {}; ///< The belief ends here; in the past for an unused place.
};

class PrefixMemory
{
public:
    /** Endpoints remembered for one prefix; the one whose belief ends first gives way. */
    static constexpr std::size_t HoldersPerPrefix = 3;
    using Holders = std::array<PrefixHolder, HoldersPerPrefix>;

    explicit PrefixMemory(std::size_t capacity);

    void learn(std::uint64_t hash, const PrefixHolder &holder);
    /** Ends the belief, unless it was learnt after stamp. */
    void forget(std::uint64_t hash, SlotRef slot, TimePoint stamp);
    /** Null when nothing is known. Beliefs that have ended are among the holders. */
    const Holders *find(std::uint64_t hash) const;

    std::size_t size() const noexcept { return index_.size(); }

private:
    using NodeIndex = std::uint32_t;
    static constexpr NodeIndex None = UINT32_MAX;

    struct Node
    {
        std::uint64_t hash_ = 0;
        NodeIndex newer_ = None;
        NodeIndex older_ = None;
        Holders holders_ {};
    };

    NodeIndex nodeFor(std::uint64_t hash);
    void unlink(NodeIndex index);
    void linkNewest(NodeIndex index);

    std::size_t capacity_;
    std::vector<Node> nodes_;
    std::unordered_map<std::uint64_t, NodeIndex> index_;
    NodeIndex newest_ = None;
    NodeIndex oldest_ = None;
};

/**
 * Positions, in blocks and shortest first, at which a prompt of so many blocks is remembered:
 * each of the first few, then steps of a quarter. A shared prefix is thus found to within a fifth
 * of its length for a handful of entries per prompt, and all entries take the same positions.
 */
std::vector<std::size_t> sampledBlocks(std::size_t blocks);

} // namespace almondridge::routing
