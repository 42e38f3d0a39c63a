#include "almondridge/gateway/gossippeers.h"

#include "almondridge/gateway/promptcacheindex.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

namespace almondridge::gateway {
namespace {

/** With up to this many peers, gossip goes to all of them. */
constexpr std::size_t MaxBroadcastPeers = 12;

} // namespace

GossipPeers::GossipPeers(InstanceId self, std::uint64_t seed)
    : self_(std::move(self))
    , random_(seed)
{ }

void GossipPeers::set(std::vector<InstanceId> peers)
{
    peers_ = std::move(peers);
    std::erase(peers_, self_);
    hashes_.clear();
    std::transform(peers_.begin(), peers_.end(), std::back_inserter(hashes_),
                   [](const InstanceId &peer) { return nameHash(peer.value()); });
}

std::vector<InstanceId> GossipPeers::firstFor(std::uint64_t key, std::size_t count) const
{
    std::vector<std::pair<std::uint64_t, std::size_t>> ranked;
    ranked.reserve(peers_.size());
    for (std::size_t index = 0; index < peers_.size(); ++index) {
        ranked.emplace_back(rendezvousWeight(hashes_[index], key), index);
    }
    const std::size_t size = std::min(count, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(size),
                      ranked.end(), std::greater<> {});
    std::vector<InstanceId> first;
    first.reserve(size);
    for (std::size_t index = 0; index < size; ++index) {
        first.push_back(peers_[ranked[index].second]);
    }
    return first;
}

bool GossipPeers::contains(const InstanceId &id) const
{
    return std::find(peers_.begin(), peers_.end(), id) != peers_.end();
}

std::vector<InstanceId> GossipPeers::sample(std::size_t max)
{
    std::vector<InstanceId> sampled;
    std::sample(peers_.begin(), peers_.end(), std::back_inserter(sampled), max, random_);
    return sampled;
}

std::vector<InstanceId> GossipPeers::receivers(std::size_t fanout)
{
    return peers_.size() <= MaxBroadcastPeers ? peers_ : sample(fanout);
}

void appendDatagrams(const std::string &bytes, const std::vector<InstanceId> &receivers,
                     std::vector<MeshDatagram> &out)
{
    std::transform(receivers.begin(), receivers.end(), std::back_inserter(out),
                   [&](const InstanceId &receiver) {
                       return MeshDatagram {receiver, bytes};
                   });
}

} // namespace almondridge::gateway
