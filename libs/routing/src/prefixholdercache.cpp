#include "prefixholdercache.h"

#include <algorithm>

namespace almondridge::routing {
namespace {

/** See sampledBlocks(): steps grow by a quarter of the length. */
constexpr std::size_t StepDivisor = 4;

} // namespace

PrefixHolderCache::PrefixHolderCache(std::size_t capacity)
    : capacity_(std::max<std::size_t>(capacity, 1))
{ }

void PrefixHolderCache::insert(std::uint64_t hash, const PrefixHolder &holder)
{
    Holders &holders = nodes_[findOrAddNode(hash)].holders_;
    const auto same = std::find_if(holders.begin(), holders.end(), [&](const PrefixHolder &known) {
        return known.slot_ == holder.slot_;
    });
    if (same != holders.end()) {
        if (holder.observedAt_ >= same->observedAt_) {
            *same = holder;
        }
        return;
    }
    *std::min_element(holders.begin(), holders.end(),
                      [](const PrefixHolder &left, const PrefixHolder &right) {
                          return left.expiresAt_ < right.expiresAt_;
                      }) = holder;
}

void PrefixHolderCache::invalidate(std::uint64_t hash, SlotRef slot, TimePoint stamp)
{
    const auto found = index_.find(hash);
    if (found == index_.end()) {
        return;
    }
    for (PrefixHolder &holder : nodes_[found->second].holders_) {
        if (holder.slot_ == slot && holder.observedAt_ <= stamp) {
            holder.observedAt_ = stamp;
            holder.expiresAt_ = TimePoint {};
        }
    }
}

const PrefixHolderCache::Holders *PrefixHolderCache::find(std::uint64_t hash) const
{
    const auto found = index_.find(hash);
    return found == index_.end() ? nullptr : &nodes_[found->second].holders_;
}

PrefixHolderCache::NodeIndex PrefixHolderCache::findOrAddNode(std::uint64_t hash)
{
    const auto found = index_.find(hash);
    if (found != index_.end()) {
        unlink(found->second);
        linkNewest(found->second);
        return found->second;
    }
    NodeIndex index = oldest_;
    if (nodes_.size() < capacity_) {
        index = static_cast<NodeIndex>(nodes_.size());
        nodes_.emplace_back();
    } else {
        unlink(index);
        index_.erase(nodes_[index].hash_);
        nodes_[index] = Node {};
    }
    nodes_[index].hash_ = hash;
    index_[hash] = index;
    linkNewest(index);
    return index;
}

void PrefixHolderCache::unlink(NodeIndex index)
{
    const Node &node = nodes_[index];
    (node.newer_ == None ? newest_ : nodes_[node.newer_].older_) = node.older_;
    (node.older_ == None ? oldest_ : nodes_[node.older_].newer_) = node.newer_;
}

void PrefixHolderCache::linkNewest(NodeIndex index)
{
    nodes_[index].newer_ = None;
    nodes_[index].older_ = newest_;
    (newest_ == None ? oldest_ : nodes_[newest_].newer_) = index;
    newest_ = index;
}

std::vector<std::size_t> sampledBlocks(std::size_t blocks)
{
    std::vector<std::size_t> sampled;
    for (std::size_t block = 1; block <= blocks;
         block += std::max<std::size_t>(block / StepDivisor, 1)) {
        sampled.push_back(block);
    }
    return sampled;
}

} // namespace almondridge::routing
