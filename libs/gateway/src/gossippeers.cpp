#include "almondridge/gateway/gossippeers.h"

#include <algorithm>
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
