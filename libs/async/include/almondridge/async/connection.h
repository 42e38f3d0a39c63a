/**
 * A TCP connection on an event loop. An idle connection holds no buffer: all connections read into
 * one shared buffer, and a connection stores only the bytes that are not consumed yet.
 */
#pragma once

#include "almondridge/async/eventloop.h"
#include "almondridge/base/enumnames.h"
#include "almondridge/net/http.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace almondridge::async {

enum class CloseCause {
    EndOfStream,   ///< The peer closed the connection in order.
    EarlyEnd,      ///< The same, before it had received everything that was written.
    Reset,         ///< Reset by the peer, or TCP timeout (see TcpTimeouts).
    ConnectFailed, ///< Never established; nothing was sent.
};

inline constexpr std::array<EnumName<CloseCause>, 4> CloseCauseNames {{
    {CloseCause::EndOfStream, "end-of-stream"},
    {CloseCause::EarlyEnd, "early-end"},
    {CloseCause::Reset, "reset"},
    {CloseCause::ConnectFailed, "connect-failed"},
}};

/** TCP timeouts after which the kernel closes the connection to an unresponsive peer. */
struct TcpTimeouts
{
    int unackedMillis_ = 3'000; ///< Time that sent bytes may stay unacknowledged.
    int probeAfterSeconds_ = 2; ///< Idle time before the first probe; then one per second.
    int probes_ = 2;
};

class Connection : public std::enable_shared_from_this<Connection>
{
public:
    using Socket = boost::asio::ip::tcp::socket;

    static std::shared_ptr<Connection> adopt(EventLoop &loop, Socket socket,
                                             const TcpTimeouts &timeouts,
                                             SocketUse use = SocketUse::Callers);
    /** Calls onClosed with ConnectFailed if the connection is not established by the deadline. */
    static std::shared_ptr<Connection> connect(EventLoop &loop, const net::Address &address,
                                               TimePoint deadline, const TcpTimeouts &timeouts);

    Connection(EventLoop &loop, Socket socket, SocketUse use);

    /** Called when bytes were added to input(). */
    void onInput(std::function<void()> handler) { onInput_ = std::move(handler); }
    /** Called once when a connection made by connect() is established. */
    void onEstablished(std::function<void()> handler) { onEstablished_ = std::move(handler); }
    /** Called at most once, and never after close(). */
    void onClosed(std::function<void(CloseCause)> handler) { onClosed_ = std::move(handler); }
    /** Called each time that the kernel has accepted all bytes written so far. */
    void onWritten(std::function<void()> handler) { onWritten_ = std::move(handler); }

    /** Bytes received and not consumed yet; the caller erases what it consumes. */
    std::string &input();
    /** The same, for a caller that consumes parts of it with consume(). */
    std::string_view unread() const noexcept { return std::string_view(input_).substr(consumed_); }
    /** Removes bytes from the front of unread(). Takes time per byte, not per call. */
    void consume(std::size_t bytes);
    /** Number of written bytes that the kernel has not accepted yet. */
    std::size_t unwritten() const noexcept { return output_.size() - written_; }
    /** Bytes that the kernel has accepted so far. */
    std::uint64_t writtenBytes() const noexcept { return writtenBytes_; }
    /** Memory of the buffers and of the connection itself. */
    std::size_t heldBytes() const noexcept { return held_.bytes(); }
    bool isOpen() const noexcept { return open_; }
    /** Bounds what the kernel receives before it is read. */
    void setReceiveBuffer(std::size_t bytes);

    void startReading();
    /** Adds the bytes that have arrived to input(), without calling a handler. */
    void readArrived();
    void pauseReading() { paused_ = true; }
    void resumeReading();

    void write(std::string_view bytes);
    /** The same without a copy of the bytes. */
    void write(std::string &&bytes);
    void write(const char *bytes) { write(std::string_view(bytes)); }
    /**
     * Closes in order once everything is written, then discards input for a short time. Closing
     * with unread bytes would reset the connection, and the peer could lose the answer.
     */
    void closeAfterWriting();
    void close();
    /** Closes with a reset, which the peer can't take for the end of an answer. */
    void reset();
    /** Whether close(), or the end of this process, resets the connection. */
    void setResetOnClose(bool enabled);

private:
    void onConnected();
    void waitReadable();
    void readAvailable();
    void waitWritable();
    void flush();
    void onFlushed();
    CloseCause endCause();
    void fail(CloseCause cause);
    void countHeld();

    EventLoop &loop_;
    Socket socket_;
    OpenSocket openSocket_;
    HeldBytes held_;
    Timer deadline_;
    std::function<void()> onEstablished_;
    std::function<void()> onInput_;
    std::function<void()> onWritten_;
    std::function<void(CloseCause)> onClosed_;
    std::string input_;
    std::size_t consumed_ = 0; ///< Of input_, from its front.
    std::string output_;
    std::size_t written_ = 0; ///< Of output_, from its front.
    std::uint64_t writtenBytes_ = 0;
    bool open_ = true;
    bool established_ = true;
    bool reading_ = false;
    bool paused_ = false;
    bool writing_ = false;
    bool writeFailed_ = false;
    bool closing_ = false;   ///< closeAfterWriting() was called.
    bool lingering_ = false; ///< The send side is shut down; received bytes are discarded.
};

} // namespace almondridge::async
