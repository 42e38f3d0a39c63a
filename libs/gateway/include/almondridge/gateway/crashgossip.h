/**
 * Tells other instances which requests were in flight at endpoints that crashed. Pure: datagrams
 * and the time go in, datagrams come out.
 *
 * News is told for a few rounds, in a small fleet to all, in a large one to a few peers that are
 * drawn anew each round and tell it on. Whatever loses all these rounds (a cut, a restart) is made
 * good by what is told of the most suspicious requests from time to time.
 */
#pragma once

#include "almondridge/gateway/crashevidence.h"
#include "almondridge/gateway/loadmesh.h"

#include <random>

namespace almondridge::gateway {

/** Whether a datagram is one of these rather than one of the load's. */
bool isCrashDatagram(std::string_view datagram);

struct CrashMessage
{
    InstanceId sender_;
    bool requestsSnapshot_ = false; ///< The sender has just started and wants all that matters.
    CrashUpdate update_;
};

std::string encodeCrashMessage(const CrashMessage &message);
/** nullopt: it is none, or tells what cannot be. */
std::optional<CrashMessage> decodeCrashMessage(std::string_view datagram);

class CrashGossip
{
public:
    /** seed: of the peers that are drawn; differs from instance to instance. */
    CrashGossip(CrashEvidence &evidence, InstanceId self, std::uint64_t seed);

    /** All instances of the fleet; this one may be among them. */
    void setPeers(std::vector<InstanceId> peers);
    /** What is to be sent now; to be called as often as the caller likes. */
    std::vector<MeshDatagram> tick(TimePoint now);
    /** What is to be sent in answer goes to out. */
    Reception onDatagram(std::string_view datagram, TimePoint now, std::vector<MeshDatagram> &out);

private:
    std::vector<InstanceId> samplePeers(std::size_t max);
    void send(const CrashMessage &message, const std::vector<InstanceId> &peers,
              std::vector<MeshDatagram> &out) const;

    CrashEvidence &evidence_;
    InstanceId self_;
    std::mt19937_64 random_;
    std::vector<InstanceId> peers_;
    TimePoint updateAt_ {};
    TimePoint repeatAt_ {};
    TimePoint requestSnapshotUntil_ {}; ///< Since the first peers were known.
    TimePoint requestSnapshotAt_ {};
    bool receivedUpdate_ = false;
};

} // namespace almondridge::gateway
