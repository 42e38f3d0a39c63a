/**
 * The heartbeat message, and safe decoding of CBOR from other processes.
 */
#pragma once

#include "almondridge/base/error.h"
#include "almondridge/base/ids.h"
#include "almondridge/peers/peerexchange.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace almondridge::peers {

/** Identity and address of an instance. */
struct PeerIdentity
{
    InstanceId instance_;
    DomainId domain_;
    PeerAddress address_;
    std::uint64_t incarnation_ = 0; ///< Start time, ns since the Unix epoch.
    bool leaving_ = false;
};

/** State sent in a heartbeat request and in its answer. */
struct Heartbeat
{
    PeerIdentity sender_;                  ///< Its instance and domain are sent as HTTP fields.
    std::uint64_t sequence_ = 0;           ///< Increases with every heartbeat of an incarnation.
    std::int64_t nextWithinMillis_ = 0;    ///< Announced maximum time to the next heartbeat.
    std::uint64_t ownDomainHash_ = 0;      ///< Hash of the alive members of the sender's domain.
    std::uint64_t receiverDomainHash_ = 0; ///< Hash of the alive members of the receiver's domain.
    std::uint64_t fleetHash_ = 0;          ///< Hash of all alive members.
    std::vector<PeerIdentity> members_ {}; ///< Alive members that the receiver may not know.
    nlohmann::json digest_ {};
};

/** Encodes a CBOR array. Readers ignore additional elements, which later versions may append. */
std::string encodeHeartbeat(const Heartbeat &heartbeat);
/** Errors: InvalidInput if bytes are not a heartbeat. */
Result<Heartbeat> decodeHeartbeat(std::string_view bytes, const InstanceId &sender,
                                  const DomainId &domain);

std::string encodeCbor(const nlohmann::json &value);
/** Empty if bytes are not exactly one CBOR value, or are nested more than 64 levels deep. */
std::optional<nlohmann::json> decodeCbor(std::string_view bytes);

/** "ip:port". */
std::string toString(const PeerAddress &address);
/** Parses "ip:port". Empty if ip is not an IPv4 address or port is 0. */
std::optional<PeerAddress> addressFrom(std::string_view text);

inline bool operator==(const PeerAddress &left, const PeerAddress &right) noexcept
{
    return left.port_ == right.port_ && left.ip_ == right.ip_;
}

} // namespace almondridge::peers
