/**
 * A TCP connection that carries an HTTP/2 session. Non-blocking; used by the I/O thread only.
 */
#pragma once

#include "almondridge/base/time.h"
#include "almondridge/peers/peerexchange.h"
#include "h2session.h"

#include <string>
#include <utility>

namespace almondridge::peers {

/** A file descriptor that is closed with its owner. */
class OwnedDescriptor
{
public:
    OwnedDescriptor() = default;
    explicit OwnedDescriptor(int value) noexcept
        : value_(value)
    { }
    OwnedDescriptor(OwnedDescriptor &&other) noexcept
        : value_(std::exchange(other.value_, -1))
    { }
    OwnedDescriptor &operator=(OwnedDescriptor &&other) noexcept
    {
        std::swap(value_, other.value_);
        return *this;
    }
    ~OwnedDescriptor();

    int value() const noexcept { return value_; }
    bool valid() const noexcept { return value_ >= 0; }

private:
    int value_ = -1;
};

/** Opens a listening socket and sets port to its port. Invalid with errno set on failure. */
OwnedDescriptor listenOn(const PeerAddress &address, std::uint16_t &port);
/** Starts to connect. Invalid with errno set if that fails immediately. */
OwnedDescriptor connectTo(const PeerAddress &address, Duration userTimeout);
/** Accepts the next pending connection. Invalid with errno set if there is none. */
OwnedDescriptor acceptFrom(int listener, Duration userTimeout, PeerAddress &remote);

class Connection
{
public:
    Connection(OwnedDescriptor socket, H2Role role, std::size_t bodyLimit, TimePoint now);

    /** Reads and parses available bytes. False: closed, broken, or not HTTP/2. */
    bool receive(TimePoint now);
    /** Sends the session's output as far as the socket accepts it. False: broken or done. */
    bool flush(TimePoint now);

    H2Session &session() noexcept { return session_; }
    const H2Session &session() const noexcept { return session_; }
    int socket() const noexcept { return socket_.value(); }
    bool hasOutput() const noexcept { return !output_.empty(); }
    /** Result of a pending connect(): 0 or an errno value. */
    int socketError() const noexcept;

    TimePoint lastReceived() const noexcept { return lastReceived_; }
    /** Time since which the socket has accepted no output; valid only if hasOutput(). */
    TimePoint stalledSince() const noexcept { return stalledSince_; }
    std::uint64_t bytesIn() const noexcept { return bytesIn_; }
    std::uint64_t bytesOut() const noexcept { return bytesOut_; }

private:
    OwnedDescriptor socket_;
    H2Session session_;
    std::string output_;
    TimePoint lastReceived_;
    TimePoint stalledSince_;
    std::uint64_t bytesIn_ = 0;
    std::uint64_t bytesOut_ = 0;
};

} // namespace almondridge::peers
