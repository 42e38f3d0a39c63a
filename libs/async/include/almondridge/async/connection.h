/**
 * One TCP connection on an event loop. An idle connection holds no buffer: bytes are read into
 * one that all connections share, and only what is not used yet is kept.
 */
#pragma once

#include "almondridge/async/eventloop.h"
#include "almondridge/net/http.h"

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace almondridge::async {

enum class CloseCause {
    EndOfStream,   ///< The other side closed in order.
    Reset,         ///< Reset, or silent for longer than the kernel was told to bear.
    ConnectFailed, ///< Never established: nothing was sent.
};

/** How long the kernel bears a silent peer before it breaks the connection. */
struct SilenceLimits
{
    int unackedMillis_ = 3'000; ///< Bytes sent and not acknowledged.
    int probeAfterSeconds_ = 2; ///< Idle time before a keep-alive probe; then one each second.
    int probes_ = 2;
};

class Connection : public std::enable_shared_from_this<Connection>
{
public:
    using Socket = boost::asio::ip::tcp::socket;

    static std::shared_ptr<Connection> adopt(EventLoop &loop, Socket socket,
                                             const SilenceLimits &limits);
    /** onClosed with ConnectFailed follows when it is not established until the deadline. */
    static std::shared_ptr<Connection> connect(EventLoop &loop, const net::Address &address,
                                               TimePoint deadline, const SilenceLimits &limits);

    Connection(EventLoop &loop, Socket socket);

    /** Called when bytes were added to input(). */
    void onInput(std::function<void()> handler) { onInput_ = std::move(handler); }
    /** Called once a connection made by connect() stands. */
    void onEstablished(std::function<void()> handler) { onEstablished_ = std::move(handler); }
    /** Called once, and not after close(). */
    void onClosed(std::function<void(CloseCause)> handler) { onClosed_ = std::move(handler); }
    /** Called whenever all bytes written so far were handed to the kernel. */
    void onWritten(std::function<void()> handler) { onWritten_ = std::move(handler); }

    /** Received and not used yet. */
    std::string &input() noexcept { return input_; }
    /** Bytes that the kernel did not take yet. */
    std::size_t unwritten() const noexcept { return output_.size(); }
    bool isOpen() const noexcept { return open_; }

    void startReading();
    void pauseReading() { paused_ = true; }
    void resumeReading();

    void write(std::string_view bytes);
    /**
     * Closes in order once everything is written, and goes on reading for a moment: closing with
     * unread bytes resets the connection, and the other side could lose the answer.
     */
    void closeAfterWriting();
    void close();

private:
    void onConnected();
    void waitReadable();
    void readAvailable();
    void waitWritable();
    void flush();
    void onFlushed();
    void fail(CloseCause cause);

    EventLoop &loop_;
    Socket socket_;
    Timer deadline_;
    std::function<void()> onEstablished_;
    std::function<void()> onInput_;
    std::function<void()> onWritten_;
    std::function<void(CloseCause)> onClosed_;
    std::string input_;
    std::string output_;
    bool open_ = true;
    bool established_ = true;
    bool reading_ = false;
    bool paused_ = false;
    bool writing_ = false;
    bool closing_ = false;   ///< closeAfterWriting() was called.
    bool lingering_ = false; ///< Our side is closed; what still arrives is dropped.
};

} // namespace almondridge::async
