/**
 * How a peer ended a TCP connection whose socket was read to its end. A read alone doesn't tell: a
 * socket reports a reset once, which a write may have met, and not at all after an orderly end.
 */
#pragma once

namespace almondridge::net {

enum class TcpEnd {
    InOrder,    ///< After the peer had received everything; also if the system doesn't tell.
    Unreceived, ///< In order, but the peer had not received all that was sent.
    Reset,
};

TcpEnd tcpEndOf(int socket) noexcept;

} // namespace almondridge::net
