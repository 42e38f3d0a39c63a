/**
 * Gossip protocol that spreads the limits that endpoints name between instances, so that instances
 * which haven't asked an endpoint keep its limit too. No I/O and no clock: datagrams and the
 * current time are inputs, datagrams are outputs.
 */
#pragma once

#include "almondridge/gateway/gossippeers.h"
#include "almondridge/gateway/requestlimits.h"

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace almondridge::gateway {

/** First character of these datagrams. Load reports begin with a CBOR array, which never has it. */
inline constexpr char LimitDatagramMark = 'L';

struct LimitMessage
{
    InstanceId sender_;
    std::vector<LimitReport> reports_;
};

std::string encodeLimitMessage(const LimitMessage &message);
/** nullopt if the datagram is malformed or has values out of range. */
std::optional<LimitMessage> decodeLimitMessage(std::string_view datagram);

class LimitGossip
{
public:
    /** seed: for the selection of random peers; must differ between instances. */
    LimitGossip(RequestLimits &limits, InstanceId self, std::uint64_t seed);

    /** Sets the instances of the fleet; this instance itself may be among them. */
    void setPeers(std::vector<InstanceId> peers) { peers_.set(std::move(peers)); }
    /** Returns the datagrams that are due; the calling interval bounds the latency. */
    std::vector<MeshDatagram> tick(TimePoint now);
    ReceiveResult onDatagram(std::string_view datagram, TimePoint now);
    /** Limits that have begun, ended or changed considerably by datagrams since the last call. */
    std::vector<LimitReport> takeLearned() { return std::exchange(learned_, {}); }

private:
    RequestLimits &limits_;
    InstanceId self_;
    GossipPeers peers_;
    TimePoint sendAt_ {};
    std::vector<LimitReport> learned_;
};

} // namespace almondridge::gateway
