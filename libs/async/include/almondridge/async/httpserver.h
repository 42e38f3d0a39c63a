/**
 * An HTTP/1.1 server on an event loop. Each connection has at most one call in work; further
 * requests on it wait in its buffer. A call is addressed by its id and forgotten once it is
 * answered or its caller is gone: later calls for that id do nothing.
 */
#pragma once

#include "almondridge/async/connection.h"
#include "almondridge/async/parser.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <string_view>
#include <unordered_map>

namespace almondridge::async {

struct CallId
{
    std::uint64_t connection_ = 0;
    std::uint64_t call_ = 0; ///< Unique over all connections.

    friend auto operator<=>(const CallId &, const CallId &) = default;
};

/** A request that was read whole. */
struct ServerCall
{
    CallId id_;
    RequestHead head_;
    std::string body_;
    TimePoint startedAt_ {}; ///< When its first byte was read.
};

struct ServerLimits
{
    ParserLimits message_;
    std::int64_t headerTimeoutMillis_ = 3'000; ///< From a request's first byte to its last.
    std::int64_t idleTimeoutMillis_ = 15'000;  ///< Between two requests of a connection.
};

/** What the owner of the server is told. */
struct ServerEvents
{
    std::function<void(ServerCall)> onCall_;
    std::function<void(const CallId &)> onCallerGone_;
    /** Bytes of a streamed answer left for the caller. */
    std::function<void(const CallId &)> onWritten_;
};

class HttpServer
{
public:
    HttpServer(EventLoop &loop, ServerEvents events);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /** Unavailable: the address is taken or not this machine's. */
    Result<void> listen(const net::Address &address);
    std::uint16_t port() const;
    void stopListening();
    /** Holds for requests that begin later. */
    void setLimits(const ServerLimits &limits) { limits_ = limits; }

    void respond(const CallId &id, const net::Response &response);
    /** Without a length in head, the body follows in chunks. */
    void beginStream(const CallId &id, const ResponseHead &head);
    void streamBytes(const CallId &id, std::string_view bytes);
    void endStream(const CallId &id);
    /** Closes the connection, so that what was sent cannot pass for a whole answer. */
    void abort(const CallId &id);
    std::size_t unwritten(const CallId &id) const;

    /** From now on answers ask callers to go elsewhere, and close their connection. */
    void closeAfterAnswers();
    /** Closes connections without a call. */
    void closeIdle();
    std::size_t openCalls() const noexcept { return openCalls_; }
    std::size_t connections() const noexcept { return connections_.size(); }

private:
    struct Peer;

    void accept();
    void adopt(Connection::Socket socket);
    void onInput(std::uint64_t number);
    void readRequest(Peer &peer);
    void beginCall(Peer &peer);
    void rejectMessage(Peer &peer, ParseStatus status);
    void onDeadline(std::uint64_t number);
    void onPeerClosed(std::uint64_t number);
    void startIdle(Peer &peer);
    void finishCall(Peer &peer);
    void drop(std::uint64_t number);
    Peer *find(const CallId &id);
    const Peer *find(const CallId &id) const;
    std::string headText(Peer &peer, const ResponseHead &head) const;

    EventLoop &loop_;
    ServerEvents events_;
    ServerLimits limits_;
    boost::asio::ip::tcp::acceptor acceptor_;
    Timer acceptAgain_;
    std::unordered_map<std::uint64_t, std::unique_ptr<Peer>> connections_;
    std::uint64_t nextConnection_ = 1;
    std::uint64_t nextCall_ = 1;
    std::size_t openCalls_ = 0;
    bool closing_ = false;
};

/** The usual text for a status code. */
std::string_view reasonOf(int status) noexcept;

} // namespace almondridge::async
