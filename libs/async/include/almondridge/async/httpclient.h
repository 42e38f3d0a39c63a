/**
 * An HTTP/1.1 client on an event loop, with a pool of kept connections for each peer.
 *
 * A failed exchange says whether the request may have reached the peer: after NotSent it was not
 * and never will be sent; after all others it may run.
 */
#pragma once

#include "almondridge/async/connection.h"
#include "almondridge/async/parser.h"

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace almondridge::async {

using ExchangeId = std::uint64_t;

enum class ExchangeFailure {
    NotSent,    ///< No connection: not a byte of the request was sent.
    Unanswered, ///< The connection broke, or was silent for too long, before an answer's head.
    Garbled,    ///< What came is no HTTP answer.
    Truncated,  ///< The connection broke within the answer.
};

inline constexpr std::array<EnumName<ExchangeFailure>, 4> ExchangeFailureNames {{
    {ExchangeFailure::NotSent, "not-sent"},
    {ExchangeFailure::Unanswered, "unanswered"},
    {ExchangeFailure::Garbled, "garbled"},
    {ExchangeFailure::Truncated, "truncated"},
}};

struct ExchangeEvents
{
    /** The answer's head, whole; the body follows. */
    std::function<void(ResponseHead &)> onHead_;
    std::function<void(std::string)> onBody_;
    std::function<void()> onEnd_;
    std::function<void(ExchangeFailure)> onFailed_;
};

/** What came of an exchange whose answer is taken whole. */
struct ExchangeResult
{
    std::optional<ExchangeFailure> failure_; ///< None: the answer is whole.
    int status_ = 0;
    std::string body_;
};

/** Events that gather the answer and call done once, at the end or on failure. */
ExchangeEvents gatherAnswer(std::function<void(const ExchangeResult &)> done);

struct ExchangeRequest
{
    std::string peer_; ///< Connections are only shared between requests with the same name here.
    net::Address address_;
    std::string text_; ///< Head and body.
    /** When set, an answer that names another request is that one's late copy and is skipped. */
    std::string requestId_ {};
    bool fresh_ = false;    ///< Not on a kept connection.
    bool bodyless_ = false; ///< A HEAD request.
    TimePoint connectBy_ {};
};

/** Counts since the start. */
struct ClientCounters
{
    std::uint64_t connects_ = 0;
    std::uint64_t reuses_ = 0;
    std::uint64_t skippedAnswers_ = 0;
    std::uint64_t dirtyConnections_ = 0; ///< Closed for bytes that belong to no request.
};

class HttpClient
{
public:
    explicit HttpClient(EventLoop &loop, SilenceLimits silence = {});
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /** No event comes before this returns. */
    ExchangeId start(ExchangeRequest request, ExchangeEvents events);
    /**
     * Opens a connection that is kept for the next exchange with peer. done tells whether it was
     * established until connectBy.
     */
    void open(const std::string &peer, const net::Address &address, TimePoint connectBy,
              const std::function<void(bool)> &done);
    /** Closes the exchange's connection, which tells the peer to stop. No event follows. */
    void cancel(ExchangeId id);
    /** Stops reading the answer until resume(). */
    void pause(ExchangeId id);
    void resume(ExchangeId id);
    /** Connections to peer, in use or kept. */
    std::size_t connections(const std::string &peer) const;
    /** Closes the kept connections to a peer that is gone or not trusted. */
    void dropKept(const std::string &peer);
    /** Kept connections over all peers; the oldest one is closed beyond it. */
    void setMaxKept(std::size_t count) { maxKept_ = count; }
    const ClientCounters &counters() const noexcept { return counters_; }

private:
    struct Exchange;
    struct Kept;
    using KeptList = std::list<Kept>;

    std::shared_ptr<Connection> takeKept(const std::string &peer);
    void attach(Exchange &exchange);
    void onInput(ExchangeId id);
    void onClosed(ExchangeId id, CloseCause cause);
    bool skipForeign(Exchange &exchange);
    void finish(ExchangeId id);
    void failExchange(ExchangeId id, ExchangeFailure failure);
    void keep(const std::string &peer, std::shared_ptr<Connection> connection, TimePoint until);
    void dropKeptConnection(KeptList::iterator kept);
    void countDown(const std::string &peer);

    EventLoop &loop_;
    SilenceLimits silence_;
    std::unordered_map<ExchangeId, std::shared_ptr<Exchange>> exchanges_;
    KeptList kept_; ///< Oldest first.
    std::unordered_map<ExchangeId, std::shared_ptr<Connection>> opening_;
    std::unordered_map<std::string, std::size_t> connections_;
    std::size_t maxKept_ = 512;
    ExchangeId nextId_ = 1;
    ClientCounters counters_;
};

} // namespace almondridge::async
