/**
 * Gossip protocol that spreads CrashUpdate between instances. No I/O and no clock: datagrams and
 * the current time are inputs, datagrams are outputs.
 *
 * Each item is sent in a few rounds: to all peers in a small fleet, and in a large one to a few
 * random peers per round, which forward it. An instance that misses all these rounds (network
 * partition, restart) catches up from the periodic updates on the most suspicious requests.
 *
 * Prompts have many parts, and most are seen at one crash by chance. So a single crash of a part is
 * reported to two instances only, the same ones for all reports on this part, and everybody is told
 * once these know of crashes at two moments.
 */
#pragma once

#include "almondridge/gateway/crashevidence.h"
#include "almondridge/gateway/gossippeers.h"

namespace almondridge::gateway {

/** Whether a datagram holds a CrashMessage rather than a load report. */
bool isCrashDatagram(std::string_view datagram);

struct CrashMessage
{
    InstanceId sender_;
    bool requestsSnapshot_ = false; ///< The sender has started and requests mostSuspicious().
    CrashUpdate update_;
};

std::string encodeCrashMessage(const CrashMessage &message);
/** nullopt if the datagram is malformed or has values out of range. */
std::optional<CrashMessage> decodeCrashMessage(std::string_view datagram);

class CrashGossip
{
public:
    /** seed: for the selection of random peers; must differ between instances. */
    CrashGossip(CrashEvidence &evidence, InstanceId self, std::uint64_t seed);

    /** Sets the instances of the fleet; this instance itself may be among them. */
    void setPeers(std::vector<InstanceId> peers);
    /** Returns the datagrams that are due; the calling interval bounds the latency. */
    std::vector<MeshDatagram> tick(TimePoint now);
    /** Processes a received datagram; appends responses to out. */
    ReceiveResult onDatagram(std::string_view datagram, TimePoint now,
                             std::vector<MeshDatagram> &out);

private:
    void sendPartReports(TimePoint now, std::vector<MeshDatagram> &out);

    CrashEvidence &evidence_;
    InstanceId self_;
    GossipPeers peers_;
    TimePoint updateAt_ {};
    TimePoint repeatAt_ {};
    TimePoint requestSnapshotUntil_ {}; ///< Set when the first peers are known.
    TimePoint requestSnapshotAt_ {};
    bool receivedUpdate_ = false;
};

} // namespace almondridge::gateway
