#include "almondridge/async/connection.h"

#include "almondridge/net/tcpend.h"

#include <array>
#include <netinet/tcp.h>

namespace almondridge::async {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

/** Size of the read buffer, which all connections share because there is one thread. */
constexpr std::size_t ReadBytes = 65'536;
/** Buffers up to this capacity are kept when they are empty. */
constexpr std::size_t KeptBufferBytes = 1'024;
/** Memory of a connection without buffers, with its timers and what its owner keeps of it. */
constexpr std::size_t ConnectionBytes = 4'096;
/** Time for which input is discarded after the last answer before the connection is closed. */
constexpr Duration LingerTime = millis(1'000);

std::array<char, ReadBytes> &sharedReadBuffer()
{
    static std::array<char, ReadBytes> buffer;
    return buffer;
}

using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
using ProbeAfter = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using ProbeInterval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using ProbeCount = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;

/** Failures are ignored: they only delay the detection of an unresponsive peer. */
void applyTimeouts(Connection::Socket &socket, const TcpTimeouts &timeouts)
{
    error_code ignored;
    socket.non_blocking(true, ignored);
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(UserTimeout(timeouts.unackedMillis_), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(ProbeAfter(timeouts.probeAfterSeconds_), ignored);
    socket.set_option(ProbeInterval(1), ignored);
    socket.set_option(ProbeCount(timeouts.probes_), ignored);
}

} // namespace

Connection::Connection(EventLoop &loop, Socket socket, SocketUse use)
    : loop_(loop)
    , socket_(std::move(socket))
    , openSocket_(loop.sockets(), use)
    , held_(loop.memory())
    , deadline_(loop)
{
    countHeld();
}

std::shared_ptr<Connection> Connection::adopt(EventLoop &loop, Socket socket,
                                              const TcpTimeouts &timeouts, SocketUse use)
{
    auto connection = std::make_shared<Connection>(loop, std::move(socket), use);
    applyTimeouts(connection->socket_, timeouts);
    return connection;
}

std::shared_ptr<Connection> Connection::connect(EventLoop &loop, const net::Address &address,
                                                TimePoint deadline, const TcpTimeouts &timeouts)
{
    auto connection =
        std::make_shared<Connection>(loop, Socket(loop.context()), SocketUse::Outgoing);
    connection->established_ = false;
    error_code failure;
    const auto ip = asio::ip::make_address_v4(address.ip_, failure);
    connection->socket_.open(asio::ip::tcp::v4(), failure);
    if (!failure) {
        applyTimeouts(connection->socket_, timeouts);
    }
    std::weak_ptr<Connection> weak = connection;
    connection->deadline_.startAt(deadline, [weak] {
        if (const auto self = weak.lock()) {
            self->fail(CloseCause::ConnectFailed);
        }
    });
    connection->socket_.async_connect({ip, address.port_}, [weak](const error_code &result) {
        const auto self = weak.lock();
        if (self == nullptr || !self->open_) {
            return;
        }
        if (result) {
            self->fail(CloseCause::ConnectFailed);
            return;
        }
        self->onConnected();
    });
    return connection;
}

void Connection::onConnected()
{
    established_ = true;
    deadline_.stop();
    startReading();
    flush();
    if (const auto handler = std::exchange(onEstablished_, nullptr)) {
        handler();
    }
}

void Connection::startReading()
{
    reading_ = true;
    waitReadable();
}

void Connection::resumeReading()
{
    if (paused_) {
        paused_ = false;
        if (!reading_) {
            startReading();
        }
    }
}

void Connection::waitReadable()
{
    socket_.async_wait(Socket::wait_read, [weak = weak_from_this()](const error_code &failure) {
        const auto self = weak.lock();
        if (self == nullptr || !self->open_) {
            return;
        }
        if (failure) {
            self->fail(CloseCause::Reset);
            return;
        }
        self->readAvailable();
    });
}

void Connection::readAvailable()
{
    error_code failure;
    const std::size_t got = socket_.read_some(asio::buffer(sharedReadBuffer()), failure);
    if (failure == asio::error::would_block) {
        waitReadable();
        return;
    }
    if (failure) {
        fail(failure == asio::error::eof ? endCause() : CloseCause::Reset);
        return;
    }
    if (!lingering_) {
        input_.append(sharedReadBuffer().data(), got);
        countHeld();
        // Copied, because the handler may replace onInput_ and so destroy itself while it runs.
        if (const auto handler = onInput_) {
            handler();
        }
        loop_.memory().relieve(BootClock::now());
    }
    if (!open_) {
        return;
    }
    countHeld();
    reading_ = !paused_;
    if (reading_) {
        waitReadable();
    }
}

/** Why there is nothing more to read. */
CloseCause Connection::endCause()
{
    const net::TcpEnd end = net::tcpEndOf(socket_.native_handle());
    if (writeFailed_ || end == net::TcpEnd::Reset) {
        return CloseCause::Reset;
    }
    const bool isEarly = unwritten() > 0 || end == net::TcpEnd::Unreceived;
    return isEarly ? CloseCause::EarlyEnd : CloseCause::EndOfStream;
}

void Connection::readArrived()
{
    if (!open_ || closing_) {
        return;
    }
    // The end of the stream and failures are left to readAvailable(), which reports them.
    error_code failure;
    const std::size_t got = socket_.read_some(asio::buffer(sharedReadBuffer()), failure);
    input_.append(sharedReadBuffer().data(), got);
    countHeld();
}

std::string &Connection::input()
{
    if (consumed_ > 0) {
        input_.erase(0, std::exchange(consumed_, 0));
    }
    return input_;
}

void Connection::consume(std::size_t bytes)
{
    consumed_ += bytes;
    // Moves the rest only once it is smaller than what has been consumed since the last move.
    if (consumed_ > input_.size() / 2) {
        input_.erase(0, std::exchange(consumed_, 0));
    }
    if (input_.empty() && input_.capacity() > KeptBufferBytes) {
        input_ = {};
    }
    countHeld();
}

void Connection::setReceiveBuffer(std::size_t bytes)
{
    error_code ignored;
    socket_.set_option(asio::socket_base::receive_buffer_size(static_cast<int>(bytes)), ignored);
}

void Connection::write(std::string_view bytes)
{
    if (!open_ || closing_) {
        return;
    }
    if (written_ > unwritten()) {
        output_.erase(0, std::exchange(written_, 0));
    }
    output_.append(bytes);
    if (established_ && !writing_) {
        flush();
    }
    countHeld();
}

void Connection::write(std::string &&bytes)
{
    if (!open_ || closing_ || unwritten() > 0) {
        write(std::string_view(bytes));
        return;
    }
    written_ = 0;
    output_ = std::move(bytes);
    if (established_ && !writing_) {
        flush();
    }
    countHeld();
}

void Connection::flush()
{
    while (unwritten() > 0) {
        error_code failure;
        const std::size_t sent = socket_.write_some(asio::buffer(output_) + written_, failure);
        if (failure == asio::error::would_block) {
            waitWritable();
            return;
        }
        if (failure) {
            writeFailed_ = true;
            // Reported asynchronously, so that no handler runs inside the caller's write().
            loop_.post([weak = weak_from_this()] {
                if (const auto self = weak.lock()) {
                    self->fail(CloseCause::Reset);
                }
            });
            return;
        }
        written_ += sent;
        writtenBytes_ += sent;
    }
    written_ = 0;
    output_ = {};
    countHeld();
    onFlushed();
}

void Connection::waitWritable()
{
    writing_ = true;
    socket_.async_wait(Socket::wait_write, [weak = weak_from_this()](const error_code &failure) {
        const auto self = weak.lock();
        if (self == nullptr || !self->open_) {
            return;
        }
        self->writing_ = false;
        if (failure) {
            self->fail(CloseCause::Reset);
            return;
        }
        self->flush();
    });
}

void Connection::onFlushed()
{
    if (closing_ && !lingering_) {
        lingering_ = true;
        error_code ignored;
        socket_.shutdown(Socket::shutdown_send, ignored);
        deadline_.startAt(BootClock::now() + LingerTime, [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->fail(CloseCause::EndOfStream);
            }
        });
        resumeReading();
        return;
    }
    if (onWritten_) {
        onWritten_();
    }
}

void Connection::closeAfterWriting()
{
    if (!open_ || closing_) {
        return;
    }
    closing_ = true;
    consumed_ = 0;
    input_ = {};
    countHeld();
    if (!writing_) {
        flush();
    }
}

void Connection::close()
{
    if (!open_) {
        return;
    }
    open_ = false;
    deadline_.stop();
    error_code ignored;
    socket_.close(ignored);
    openSocket_.close();
    // The handlers are kept, as close() may have been called from one of them.
}

void Connection::reset()
{
    setResetOnClose(true);
    close();
}

void Connection::setResetOnClose(bool enabled)
{
    error_code ignored;
    socket_.set_option(asio::socket_base::linger(enabled, 0), ignored);
}

void Connection::countHeld()
{
    held_.set(ConnectionBytes + input_.capacity() + output_.capacity());
}

void Connection::fail(CloseCause cause)
{
    if (!open_) {
        return;
    }
    const auto self = shared_from_this();
    const auto handler = std::exchange(onClosed_, {});
    close();
    if (handler) {
        handler(cause);
    }
}

} // namespace almondridge::async
