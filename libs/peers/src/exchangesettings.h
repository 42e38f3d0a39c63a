/**
 * Settings and limits of a peer exchange.
 */
#pragma once

#include "almondridge/peers/peerexchange.h"

#include <map>
#include <string>

namespace almondridge::peers {

/** Limit of one body, and of all incomplete incoming bodies of a connection together. */
inline constexpr std::size_t MaxBodyBytes = 4 << 20;
/** The same limit for a connection that is not authenticated yet. */
inline constexpr std::size_t MaxUnauthenticatedBytes = 64 << 10;
/**
 * Limit of a digest in CBOR. Every heartbeat carries it, and the first one on a connection must
 * fit into MaxUnauthenticatedBytes together with the listed members.
 */
inline constexpr std::size_t MaxDigestBytes = 16 << 10;
/** Maximum inbound connections; further ones are closed on accept. */
inline constexpr std::size_t MaxInbound = 1'024;
/** Maximum of these that are not authenticated; the oldest one is closed for a new one. */
inline constexpr std::size_t MaxUnauthenticated = 64;
/** Capacity of the replay window; messages are rejected while it is full. */
inline constexpr std::size_t MaxNonces = 65'536;
/** Maximum peer requests queued for a handler thread. */
inline constexpr std::size_t HandlerQueue = 256;
inline constexpr std::size_t HandlerThreads = 4;
/** Minimum length of the shared key. */
inline constexpr std::size_t MinKeyBytes = 16;

struct ExchangeSettings
{
    InstanceId instance_;
    DomainId domain_;
    PeerAddress listen_ {"127.0.0.1", 0};
    PeerAddress advertised_ {}; ///< Empty: the listening address.
    std::string key_;
    Duration interval_ = millis(500);
    Duration timeout_ = millis(2'000);
    double budgetBytesPerSecond_ = 16'384;
    observe::Timeline *timeline_ = nullptr;
    DigestSource digest_;
    DigestListener onDigest_;
    std::map<std::string, RequestHandler> handlers_;

    /** Time without an answer to a heartbeat after which its connection is considered silent. */
    Duration answerTimeout() const noexcept { return timeout_ / 3; }
};

} // namespace almondridge::peers
