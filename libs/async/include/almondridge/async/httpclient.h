/**
 * An HTTP/1.1 client on an event loop, with a pool of persistent connections for each peer.
 *
 * The failure of an exchange says whether the peer may have received the request: after NotSent it
 * was not sent and never will be; after any other failure the peer may execute it.
 */
#pragma once

#include "almondridge/async/connection.h"
#include "almondridge/async/parser.h"
#include "almondridge/async/recentnames.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

namespace almondridge::async {

using ExchangeId = std::uint64_t;

enum class ExchangeFailure {
    NotSent,    ///< No connection was established; no byte of the request was sent.
    Unanswered, ///< The connection broke or timed out before the response head was complete.
    Garbled,    ///< The received bytes are not a valid HTTP response.
    Truncated,  ///< The response was broken off: by its connection or inside an event.
};

inline constexpr std::array<EnumName<ExchangeFailure>, 4> ExchangeFailureNames {{
    {ExchangeFailure::NotSent, "not-sent"},
    {ExchangeFailure::Unanswered, "unanswered"},
    {ExchangeFailure::Garbled, "garbled"},
    {ExchangeFailure::Truncated, "truncated"},
}};

struct ExchangeEvents
{
    /** Called with the complete response head, before any part of the body. */
    std::function<void(ResponseHead &)> onHead_;
    std::function<void(std::string)> onBody_;
    std::function<void()> onEnd_;
    std::function<void(ExchangeFailure)> onFailed_;
};

/** Result of an exchange whose response is buffered completely. */
struct ExchangeResult
{
    std::optional<ExchangeFailure> failure_; ///< Unset if the response is complete.
    int status_ = 0;
    std::string body_;
};

/** Handlers that buffer the response and call done once, at its end or on failure. */
ExchangeEvents gatherAnswer(std::function<void(const ExchangeResult &)> done);

struct ExchangeRequest
{
    std::string peer_; ///< Pool key: only requests with the same value share connections.
    net::Address address_;
    std::string text_; ///< Head and body.
    /** If set, a response with another request id is a late duplicate and is skipped. */
    std::string requestId_ {};
    bool fresh_ = false;    ///< Always use a new connection.
    bool bodyless_ = false; ///< A HEAD request.
    /** Fails with Truncated when the body gets longer; 0: the receiver bounds what it keeps. */
    std::size_t maxBodyBytes_ = 0;
    TimePoint connectBy_ {};
};

/** Why a new connection was started instead of taking an idle one. */
enum class ConnectReason {
    First,   ///< None was established since the client was created or the peer was dropped.
    Busy,    ///< All connections to the peer are in use or still being established.
    Expired, ///< There were some; none is open any more.
    Fresh,   ///< Demanded by the caller: by fresh_ or open().
};

inline constexpr std::array<EnumName<ConnectReason>, 4> ConnectReasonNames {{
    {ConnectReason::First, "first"},
    {ConnectReason::Busy, "busy"},
    {ConnectReason::Expired, "expired"},
    {ConnectReason::Fresh, "fresh"},
}};

/** Totals since the client was created. */
struct ClientCounters
{
    std::uint64_t connects(ConnectReason reason) const
    {
        return connectsByReason_.at(static_cast<std::size_t>(reason));
    }

    std::uint64_t connects_ = 0; ///< Attempts, also failed ones: the sum over all reasons.
    std::array<std::uint64_t, ConnectReasonNames.size()> connectsByReason_ {};
    std::uint64_t reuses_ = 0;
    std::uint64_t skippedAnswers_ = 0;
    std::uint64_t dirtyConnections_ = 0; ///< Closed because of bytes that belong to no request.
};

/** Results of new connections, by the key of their pool. */
struct ConnectEvents
{
    std::function<void(const std::string &peer)> onConnected_;
    std::function<void(const std::string &peer)> onConnectFailed_;
};

class HttpClient
{
public:
    explicit HttpClient(EventLoop &loop, TcpTimeouts tcpTimeouts = {});
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /** Starts an exchange. No event is raised before this function returns. */
    ExchangeId start(ExchangeRequest request, ExchangeEvents events);
    /**
     * Opens a connection and adds it to the pool for the next exchange with peer. Calls done with
     * whether it was established by connectBy.
     */
    void open(const std::string &peer, const net::Address &address, TimePoint connectBy,
              const std::function<void(bool)> &done);
    /** Closes the connection of the exchange, so that the peer stops. No event follows. */
    void cancel(ExchangeId id);
    /** Gives up an exchange whose receiver can keep no more of its response, with that failure. */
    void fail(ExchangeId id, ExchangeFailure failure);
    /** Stops reading the response until resume(). */
    void pause(ExchangeId id);
    void resume(ExchangeId id);
    /** Number of connections to peer, active and pooled. */
    std::size_t connections(const std::string &peer) const;
    /**
     * Whether the pool has an open connection to peer that is not expired. A connection that the
     * peer has closed counts until the event loop has handled the close.
     */
    bool hasIdle(const std::string &peer, TimePoint now = BootClock::now()) const;
    /** Closes the pooled connections to a peer that is gone or not trusted. */
    void dropKept(const std::string &peer);
    /** The same for all peers. */
    void dropAllKept();
    /** Limits the pooled connections over all peers; beyond it, the oldest one is closed. */
    void setMaxKept(std::size_t count) { maxKept_ = count; }
    /** What the kernel receives of an answer before it is read, bytes; 0: the kernel decides. */
    void setReceiveBuffer(std::size_t bytes) { receiveBufferBytes_ = bytes; }
    /** Not called for connections that are cancelled before their result is known. */
    void setConnectEvents(ConnectEvents events) { connectEvents_ = std::move(events); }
    const ClientCounters &counters() const noexcept { return counters_; }

private:
    struct Exchange;
    /** Ascending in the order in which connections were added to the pool. */
    using KeptNumber = std::uint64_t;

    struct Kept
    {
        std::string peer_;
        std::shared_ptr<Connection> connection_;
        TimePoint until_;
    };

    std::shared_ptr<Connection> takeKept(const std::string &peer);
    ConnectReason connectReason(const ExchangeRequest &request) const;
    void countConnect(const std::string &peer, ConnectReason reason);
    std::shared_ptr<Connection> connect(const ExchangeRequest &request);
    void reportConnect(const std::string &peer, bool connected);
    void attach(Exchange &exchange);
    void onInput(ExchangeId id);
    void onClosed(ExchangeId id, CloseCause cause);
    bool mustSkipResponse(Exchange &exchange);
    void finish(ExchangeId id);
    void failExchange(ExchangeId id, ExchangeFailure failure);
    void keep(const std::string &peer, std::shared_ptr<Connection> connection, TimePoint until);
    Kept removeKept(KeptNumber number);
    void dropKeptConnection(KeptNumber number);
    void makeSocketFree();
    void dropExpired(TimePoint now);
    void decrementConnections(const std::string &peer);

    EventLoop &loop_;
    TcpTimeouts tcpTimeouts_;
    std::unordered_map<ExchangeId, std::shared_ptr<Exchange>> exchanges_;
    std::map<KeptNumber, Kept> kept_; ///< Oldest first.
    std::unordered_map<std::string, std::set<KeptNumber>> keptByPeer_;
    std::set<std::pair<TimePoint, KeptNumber>> keptByExpiry_;
    KeptNumber nextKept_ = 1;
    std::unordered_map<ExchangeId, std::shared_ptr<Connection>> opening_;
    std::unordered_map<std::string, std::size_t> connections_;
    std::size_t maxKept_ = 512;
    std::size_t receiveBufferBytes_ = 0;
    ExchangeId nextId_ = 1;
    RecentNames connectedPeers_; ///< Peers to which a connection was established.
    ClientCounters counters_;
    ConnectEvents connectEvents_;
};

/** Owns an exchange at the client that started it, which must outlive it: its end cancels it. */
class OwnedExchange
{
public:
    OwnedExchange() = default;
    OwnedExchange(HttpClient &client, ExchangeId id)
        : client_(&client)
        , id_(id)
    { }
    OwnedExchange(OwnedExchange &&other) noexcept
        : client_(std::exchange(other.client_, nullptr))
        , id_(other.id_)
    { }
    OwnedExchange &operator=(OwnedExchange &&other) noexcept
    {
        std::swap(client_, other.client_);
        std::swap(id_, other.id_);
        other.cancel();
        return *this;
    }
    ~OwnedExchange() { cancel(); }

    /** Whether there is one that wasn't cancelled here. It may have ended. */
    bool isOwned() const noexcept { return client_ != nullptr; }
    /** No event follows. */
    void cancel()
    {
        if (HttpClient *client = std::exchange(client_, nullptr)) {
            client->cancel(id_);
        }
    }
    void fail(ExchangeFailure failure) const
    {
        if (client_ != nullptr) {
            client_->fail(id_, failure);
        }
    }
    void pause() const
    {
        if (client_ != nullptr) {
            client_->pause(id_);
        }
    }
    void resume() const
    {
        if (client_ != nullptr) {
            client_->resume(id_);
        }
    }

private:
    HttpClient *client_ = nullptr;
    ExchangeId id_ = 0;
};

} // namespace almondridge::async
