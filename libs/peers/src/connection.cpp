#include "connection.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace almondridge::peers {
namespace {

constexpr int Backlog = 256;
constexpr std::size_t ReceiveBytes = 64U << 10;
constexpr std::size_t OutputBytes = 256U << 10;
/** Maximum consecutive reads from one connection, so that a fast sender can't starve others. */
constexpr int MaxReads = 4;

bool wouldBlock() noexcept
{
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

bool toSockaddr(const PeerAddress &address, sockaddr_in &to) noexcept
{
    to.sin_family = AF_INET;
    to.sin_port = htons(address.port_);
    errno = EINVAL;
    return inet_pton(AF_INET, address.ip_.c_str(), &to.sin_addr) == 1;
}

/**
 * Without TCP_NODELAY a heartbeat may wait for the acknowledgement of the previous one. With
 * TCP_USER_TIMEOUT the kernel closes a connection when data stays unacknowledged for that long,
 * instead of retransmitting it for about 15 minutes.
 */
void setSocketOptions(int socket, Duration userTimeout) noexcept
{
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const auto milliseconds = static_cast<unsigned int>(toMillis(userTimeout));
    ::setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, sizeof milliseconds);
}

} // namespace

OwnedDescriptor::~OwnedDescriptor()
{
    if (value_ >= 0) {
        ::close(value_);
    }
}

OwnedDescriptor listenOn(const PeerAddress &address, std::uint16_t &port)
{
    sockaddr_in at {};
    if (!toSockaddr(address, at)) {
        return {};
    }
    OwnedDescriptor socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const int on = 1;
    ::setsockopt(socket.value(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    socklen_t size = sizeof at;
    if (::bind(socket.value(), reinterpret_cast<const sockaddr *>(&at), size) != 0
        || ::listen(socket.value(), Backlog) != 0
        || ::getsockname(socket.value(), reinterpret_cast<sockaddr *>(&at), &size) != 0) {
        return {};
    }
    port = ntohs(at.sin_port);
    return socket;
}

OwnedDescriptor connectTo(const PeerAddress &address, Duration userTimeout)
{
    sockaddr_in to {};
    if (!toSockaddr(address, to)) {
        return {};
    }
    OwnedDescriptor socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!socket.valid()) {
        return {};
    }
    setSocketOptions(socket.value(), userTimeout);
    if (::connect(socket.value(), reinterpret_cast<const sockaddr *>(&to), sizeof to) != 0
        && errno != EINPROGRESS) {
        return {};
    }
    return socket;
}

OwnedDescriptor acceptFrom(int listener, Duration userTimeout, PeerAddress &remote)
{
    sockaddr_in from {};
    socklen_t size = sizeof from;
    OwnedDescriptor socket(::accept4(listener, reinterpret_cast<sockaddr *>(&from), &size,
                                     SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!socket.valid()) {
        return {};
    }
    setSocketOptions(socket.value(), userTimeout);
    std::array<char, INET_ADDRSTRLEN> text {};
    inet_ntop(AF_INET, &from.sin_addr, text.data(), text.size());
    remote = {text.data(), ntohs(from.sin_port)};
    return socket;
}

Connection::Connection(OwnedDescriptor socket, H2Role role, std::size_t bodyLimit, TimePoint now)
    : socket_(std::move(socket))
    , session_(role, bodyLimit)
    , lastReceived_(now)
    , stalledSince_(now)
{ }

bool Connection::receive(TimePoint now)
{
    thread_local std::array<char, ReceiveBytes> bytes;
    for (int reads = 0; reads < MaxReads; ++reads) {
        const ssize_t got = ::recv(socket_.value(), bytes.data(), bytes.size(), 0);
        if (got < 0) {
            return wouldBlock();
        }
        if (got == 0) {
            return false;
        }
        lastReceived_ = now;
        bytesIn_ += static_cast<std::uint64_t>(got);
        if (!session_.receive({bytes.data(), static_cast<std::size_t>(got)})) {
            return false;
        }
        if (static_cast<std::size_t>(got) < bytes.size()) {
            return true;
        }
    }
    return true;
}

bool Connection::flush(TimePoint now)
{
    for (;;) {
        if (output_.empty()) {
            stalledSince_ = now;
        }
        if (!session_.takeOutput(output_, OutputBytes)) {
            return false;
        }
        if (output_.empty()) {
            return !session_.done();
        }
        const ssize_t sent =
            ::send(socket_.value(), output_.data(), output_.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent < 0) {
            return wouldBlock();
        }
        stalledSince_ = now;
        bytesOut_ += static_cast<std::uint64_t>(sent);
        output_.erase(0, static_cast<std::size_t>(sent));
    }
}

int Connection::socketError() const noexcept
{
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(socket_.value(), SOL_SOCKET, SO_ERROR, &error, &size);
    return error;
}

} // namespace almondridge::peers
