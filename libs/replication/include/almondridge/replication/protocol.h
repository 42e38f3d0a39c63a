/**
 * Replicates the store's topics between instances by long polling over HTTP. In a failure domain
 * with many instances a few of them read the store and the others poll these, so the calls to the
 * store don't grow with the number of instances. Every response states how old its data is.
 */
#pragma once

#include "almondridge/replication/topicreplica.h"

#include "almondridge/async/httpclient.h"
#include "almondridge/async/httpserver.h"
#include "almondridge/replication/distributiontree.h"
#include "almondridge/replication/valuecompression.h"

#include <list>

namespace almondridge::replication {

/** How long a peer without changes holds a request; its response then shows that it is alive. */
inline constexpr Duration LongPollTimeout = millis(800);
/** Without a response for this long, the peer is down or the connection is silently broken. */
inline constexpr Duration ResponseTimeout = LongPollTimeout + millis(400);
/** A response that takes longer to arrive comes over a link that is too slow for it. */
inline constexpr Duration MaxTransferTime = millis(5'000);
/** A peer whose data is older counts as failed: it has lost the store itself. */
inline constexpr Duration MaxUsableAge = millis(1'600);
/** A snapshot is split into parts of this many changes, which a slow link can carry. */
inline constexpr std::size_t MaxChangesPerResponse = 1'000;

/**
 * Encodes a change set as a response body. Times are sent as ages, since clocks differ: the time of
 * the last read relative to now, and TopicState::asOf_ relative to the arrival of the request.
 * requestedAt: arrival of the request. compressed: the cache of compressed values if the peer
 * accepts these, else nullptr.
 */
std::string encodeChanges(const ChangeSet &set, std::uint64_t lifetime, bool storeLost,
                          TimePoint now, TimePoint requestedAt,
                          CompressedValueCache *compressed = nullptr);

struct ReceivedChanges
{
    ChangeSet set_;
    std::uint64_t lifetime_ = 0; ///< Of the sending process: sequence numbers restart with it.
    bool storeLost_ = false;     ///< The sender has lost the store and has no data from peers.
};

/** Decodes a response body; nullopt if it is malformed. requestedAt: when the request was sent. */
std::optional<ReceivedChanges> decodeChanges(const std::string &body, TimePoint now,
                                             TimePoint requestedAt);

/** Answers the polls of peers. */
class ReplicationServer
{
public:
    ReplicationServer(async::EventLoop &loop, const TopicReplica &replica, std::uint64_t lifetime);

    /** Whether the request's path is served here. */
    bool takes(const async::ServerCall &call) const;
    /** Responds at once, or when there are changes or LongPollTimeout has passed. */
    void answer(async::HttpServer &server, const async::ServerCall &call);
    /** Drops a pending poll whose caller has gone. */
    void forget(const async::CallId &id);
    /** The replica changed: pending polls are answered. */
    void onChanged();
    /** Sets whether this instance has lost the store; polls that don't wait for it are answered. */
    void setStoreLost(bool storeLost);
    /**
     * The replica was confirmed to be current. Pending polls are answered with the new age, so that
     * data doesn't grow older with each tier of followers.
     */
    void onConfirmed();

private:
    struct PollRequest
    {
        async::CallId id_;
        Cursor cursor_;
        TopicEnds ends_ {};
        TimePoint requestedAt_ {};
        bool acceptsCompressed_ = false; ///< False for instances of earlier versions.
        bool knowsEras_ = false;         ///< The same.
    };
    struct PendingPoll
    {
        PollRequest request_;
        TimePoint until_ {};
        bool waitsForLostStore_ = false; ///< Waits even while this instance has lost the store.
    };

    PollRequest readPollRequest(const async::ServerCall &call) const;
    ChangeSet changesFor(const PollRequest &pollRequest) const;
    /** A peer that takes positions for plain offsets can't follow: it is to read the store. */
    bool hasNoDataFor(const PollRequest &pollRequest) const;
    void respond(const PollRequest &pollRequest);
    void respondToExpired();
    bool isFresh(TimePoint now) const;
    void respondWhere(const std::function<bool(const PendingPoll &)> &predicate);

    const TopicReplica &replica_;
    std::uint64_t lifetime_;
    async::HttpServer *server_ = nullptr;
    CompressedValueCache compressedValues_;
    std::list<PendingPoll> pending_;
    async::Timer timer_;
    async::EventLoop &loop_;
    TimePoint lastConfirmedReadAt_ {}; ///< Read time of the data that pending polls last got.
    bool notificationPosted_ = false;
    bool storeLost_ = false;
};

/** How much of a response has arrived. */
struct AnswerProgress
{
    std::size_t bytes_ = 0; ///< Of the body.
    TimePoint began_ {};    ///< Arrival of the first part; not set while bytes_ is 0.
};

/** Polls one peer repeatedly. */
class ReplicationClient
{
public:
    struct Events
    {
        /** The peer's changes; also called, before onPeerFailed_, if its data is stale. */
        std::function<void(const ChangeSet &)> onChanges_;
        /** Polling has stopped. */
        std::function<void(PeerFailure)> onPeerFailed_;
        /** Offsets below which all records are known here. */
        std::function<TopicEnds()> ends_ {};
    };

    ReplicationClient(async::EventLoop &loop, Events events);

    /** Starts polling. waitsForLostStore: also while the peer reports that it lost the store. */
    void follow(const net::Address &peer, bool waitsForLostStore);
    void stop();
    /** Whether a peer is being polled. */
    bool asks() const noexcept { return peer_.has_value(); }
    /** Progress of the last response, complete or not. */
    const AnswerProgress &progress() const noexcept { return progress_; }

private:
    void poll();
    void restartTimeout();
    void onAnswer(int status, const std::string &body);
    void fail(PeerFailure cause);

    async::HttpClient client_;
    Events events_;
    async::Timer timer_;
    std::optional<net::Address> peer_;
    async::ExchangeId exchange_ = 0;
    std::uint64_t lifetime_ = 0;
    Cursor cursor_;
    TimePoint requestedAt_ {}; ///< When the pending request was sent.
    AnswerProgress progress_;
    bool waitsForLostStore_ = false;
};

} // namespace almondridge::replication
