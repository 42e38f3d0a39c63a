/**
 * Hashes of instances and members; all instances must compute the same values.
 */
#pragma once

#include "heartbeat.h"

namespace almondridge::peers {

/**
 * Rendezvous hashing weight of other for this instance: the members of a domain with the highest
 * weights are its gateways there. Each instance has its own ranking, which spreads the links over
 * the members; losing a member moves only the links to it.
 */
std::uint64_t gatewayWeight(const InstanceId &self, const InstanceId &other) noexcept;

/** Hash of one member; the hash of a set of members is the exclusive or of theirs. */
std::uint64_t memberHash(const PeerIdentity &member);

} // namespace almondridge::peers
