/**
 * The instances that gossip is sent to: all of them in a small fleet, a few random ones in a large
 * one. No I/O.
 */
#pragma once

#include "almondridge/base/ids.h"
#include "almondridge/gateway/loadmesh.h"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace almondridge::gateway {

class GossipPeers
{
public:
    /** seed: for the selection of random peers; must differ between instances. */
    GossipPeers(InstanceId self, std::uint64_t seed);

    /** Sets the instances of the fleet; this instance itself may be among them. */
    void set(std::vector<InstanceId> peers);
    bool empty() const noexcept { return peers_.empty(); }
    bool contains(const InstanceId &id) const;

    /**
     * At most that many peers, the same ones at all instances but for the instance itself: the
     * first ones for the key by rendezvous hashing.
     */
    std::vector<InstanceId> firstFor(std::uint64_t key, std::size_t count) const;
    /** At most that many random peers. */
    std::vector<InstanceId> sample(std::size_t max);
    /** All peers of a small fleet, otherwise fanout random ones. */
    std::vector<InstanceId> receivers(std::size_t fanout);

private:
    InstanceId self_;
    std::mt19937_64 random_;
    std::vector<InstanceId> peers_;
    std::vector<std::uint64_t> hashes_; ///< Of the names of peers_.
};

/** Appends a datagram to each of the receivers. */
void appendDatagrams(const std::string &bytes, const std::vector<InstanceId> &receivers,
                     std::vector<MeshDatagram> &out);

} // namespace almondridge::gateway
