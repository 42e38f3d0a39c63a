/**
 * An HTTP/1.1 server on an event loop. Each connection processes at most one call at a time;
 * pipelined requests wait in its buffer. A call is addressed by its id, which becomes invalid once
 * the call is answered or the caller disconnects; functions ignore an invalid id.
 */
#pragma once

#include "almondridge/async/clientlimits.h"
#include "almondridge/async/connection.h"
#include "almondridge/async/parser.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace almondridge::async {

struct CallId
{
    std::uint64_t connection_ = 0;
    std::uint64_t call_ = 0; ///< Unique over all connections.

    friend auto operator<=>(const CallId &, const CallId &) = default;
};

/** Who connects to an address of the server. */
enum class Listener {
    Callers,
    Peers,    ///< Other instances, which forward requests.
    Messages, ///< Other instances, and whoever reads metrics.
    Health,   ///< Whoever asks whether this instance is ready.
};

/** A request that was received completely. */
struct ServerCall
{
    CallId id_;
    RequestHead head_;
    std::string body_;
    TimePoint startedAt_ {}; ///< When the first byte of the request was read.
    Listener listener_ = Listener::Callers;
    HeldBytes held_ {}; ///< Memory of the head and the body.
};

/** A request for which there is no memory; its body may not have been received. */
struct OverloadedRequest
{
    const RequestHead &head_;
    Listener listener_ = Listener::Callers;
    std::int64_t retryAfterMillis_ = 0; ///< Until room is expected.
};

struct ServerLimits
{
    ParserLimits message_;
    std::int64_t headerTimeoutMillis_ = 3'000; ///< From a request's first byte to its last.
    std::int64_t idleTimeoutMillis_ = 15'000;  ///< Between two requests of a connection.
};

/** Callbacks of the server. */
struct ServerEvents
{
    std::function<void(ServerCall)> onCall_;
    std::function<void(const CallId &)> onCallerGone_;
    /** The kernel has accepted all bytes written so far of a streamed answer. */
    std::function<void(const CallId &)> onWritten_;
    /** The answer to a request that came after endIntake(); unset: 503 without a body. */
    std::function<net::Response(const ServerCall &)> refusal_ {};
    /** The answer to a request that there is no memory for; unset: 503 with Retry-After. */
    std::function<net::Response(const OverloadedRequest &)> overloaded_ {};
};

/**
 * Which requests connections may still bring; it only advances. In each state a connection ends
 * in order, and every request that was received completely gets an answer.
 */
enum class Intake {
    Open, ///< Connections are kept for further requests.
    /**
     * An answer whose head is written from now on ends its connection, unless the next request has
     * arrived before. New connections are accepted.
     */
    Draining,
    /**
     * Requests that had not been received completely at the change are refused and not passed on.
     * Connections without a request are closed, now or when their answer ends, and no new ones
     * are accepted.
     */
    Closed,
};

class HttpServer final : public YieldSource
{
public:
    HttpServer(EventLoop &loop, ServerEvents events);
    ~HttpServer() override;
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /** Fails with Unavailable if the address is in use or not local to this machine. */
    Result<void> listen(const net::Address &address, Listener listener = Listener::Callers);
    std::uint16_t port(Listener listener = Listener::Callers) const;
    /** Applies to requests that begin after this call. */
    void setLimits(const ServerLimits &limits) { limits_ = limits; }

    void respond(const CallId &id, const net::Response &response);
    /** Starts a streamed answer. Without a Content-Length in head, its body is sent in chunks. */
    void beginStream(const CallId &id, const ResponseHead &head);
    void streamBytes(const CallId &id, std::string_view bytes);
    void endStream(const CallId &id);
    /** Closes the connection, so that the caller does not take a partial answer for complete. */
    void abort(const CallId &id);
    std::size_t unwritten(const CallId &id) const;

    /** Changes from Intake::Open to Draining. */
    void beginDrain();
    /** Changes to Intake::Closed, after the requests that have arrived were taken. */
    void endIntake();

    std::size_t openCalls() const noexcept { return openCalls_; }
    /** Requests that are being received or answered, and answers whose end the kernel lacks. */
    std::size_t unfinished() const;
    std::size_t connections() const noexcept { return connections_.size(); }
    const ClientLimitCounters &limitsMet() const noexcept { return limitsMet_; }

    void addCandidates(std::vector<YieldCandidate> &candidates) const override;
    void yield(std::uint64_t number) override;

private:
    struct Peer;
    struct Acceptor;

    void accept(Acceptor &acceptor);
    /** Adopts the connections that the kernel has established. */
    void acceptArrived(Acceptor &acceptor);
    /** Takes the bytes that have arrived, and a request that they complete. */
    void takeArrived(std::uint64_t number);
    /** Takes what has arrived, and closes the connection if that is no part of a request. */
    void closeWithoutRequest(std::uint64_t number);
    /** Whether the connection has no request, complete or not, that is still to be answered. */
    static bool isWithoutRequest(const Peer &peer);
    /** 0: there is no socket for another connection. */
    std::uint64_t adopt(Connection::Socket socket, Listener listener);
    /** Closes the connection that can be missed most; false: there is none. */
    bool makeSocketFree(Listener listener);
    std::optional<std::uint64_t> connectionToClose(Listener listener) const;
    void onInput(std::uint64_t number);
    void readRequest(Peer &peer);
    /** Notes how far the client has come with its request or its answer. */
    static void noteProgress(Peer &peer);
    static YieldCandidate candidateOf(const Peer &peer);
    /** Answers a request that is being received, and ends its connection. */
    void refuseOverloaded(Peer &peer);
    net::Response overloaded(const RequestHead &head, Listener listener, std::size_t bytes) const;
    /** Turns the request that was parsed into a call. */
    ServerCall takeCall(Peer &peer);
    void beginCall(Peer &peer);
    /** Refuses a request whose body the client hasn't sent yet. */
    void refuseBeforeBody(Peer &peer);
    net::Response refusalOf(const ServerCall &call) const;
    void rejectMessage(Peer &peer, ParseStatus status);
    /** Answers what is no whole request, without a body, and ends its connection. */
    void endWith(Peer &peer, int code, ClientLimit limit);
    /** Resets a connection whose client doesn't read its answer, and ends its call. */
    void cutUnread(Peer &peer, ClientLimit limit);
    void onDeadline(std::uint64_t number);
    void onPeerClosed(std::uint64_t number);
    void startIdle(Peer &peer);
    void finishCall(Peer &peer);
    void closeInOrder(Peer &peer);
    void drop(std::uint64_t number);
    Peer *find(const CallId &id);
    const Peer *find(const CallId &id) const;
    std::string headText(Peer &peer, const ResponseHead &head) const;

    EventLoop &loop_;
    ServerEvents events_;
    ServerLimits limits_;
    std::map<Listener, std::unique_ptr<Acceptor>> acceptors_;
    std::unordered_map<std::uint64_t, std::unique_ptr<Peer>> connections_;
    std::uint64_t nextConnection_ = 1;
    std::uint64_t nextCall_ = 1;
    std::size_t openCalls_ = 0;
    Intake intake_ = Intake::Open;
    ClientLimitCounters limitsMet_;
};

/** The standard reason phrase of a status code. */
std::string_view reasonOf(int status) noexcept;

} // namespace almondridge::async
