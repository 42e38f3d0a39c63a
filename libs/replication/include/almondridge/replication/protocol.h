/**
 * Passing the store's news on between instances. In a failure domain with many instances a few of
 * them read the store, and the others ask these: calls to the store then do not grow with the
 * number of instances. Every instance answers for what it knows, and says how old that is.
 */
#pragma once

#include "almondridge/replication/topicreplica.h"

#include "almondridge/async/httpclient.h"
#include "almondridge/async/httpserver.h"
#include "almondridge/replication/valuecompression.h"
#include "almondridge/replication/distributiontree.h"

#include <list>

namespace almondridge::replication {

/** How long a peer that has no news holds the question; its answer tells that it lives. */
inline constexpr Duration LongPollTimeout = millis(800);
/** An answer that is later than this comes from a dead peer or over a silent connection. */
inline constexpr Duration ResponseTimeout = LongPollTimeout + millis(400);
/** An answer that trickles for longer comes over a link that cannot bear it. */
inline constexpr Duration MaxTransferTime = millis(5'000);
/** Older news than this is no news: the peer has lost the store itself. */
inline constexpr Duration MaxUsableAge = millis(1'600);
/** Changes in one answer: a whole list leaves in parts that a narrow link bears. */
inline constexpr std::size_t MaxChangesPerResponse = 1'000;

/**
 * A change set as an answer's body: ages instead of points in time, as clocks differ. Of when a
 * topic was known to be the newest it says how long before the question's arrival that was.
 * packed: forms of large values for a peer that unpacks them; nullptr: it does not.
 */
std::string encodeChanges(const ChangeSet &set, std::uint64_t lifetime, bool storeLost, TimePoint now,
                          TimePoint requestedAt, CompressedValueCache *compressed = nullptr);

struct ReceivedChanges
{
    ChangeSet set_;
    std::uint64_t lifetime_ = 0; ///< Of the sender: its numbers begin anew with each.
    bool storeLost_ = false;          ///< The sender has lost the store and has no other news.
};

/** requestedAt: when the question left. nullopt: it is no such body. */
std::optional<ReceivedChanges> decodeChanges(const std::string &body, TimePoint now,
                                             TimePoint requestedAt);

/** Answers peers that ask for news. */
class ReplicationServer
{
public:
    ReplicationServer(async::EventLoop &loop, const TopicReplica &board, std::uint64_t lifetime);

    /** Whether the path is one that is answered here; the answer may come later. */
    bool takes(const async::ServerCall &call) const;
    void answer(async::HttpServer &server, const async::ServerCall &call);
    void forget(const async::CallId &id);
    /** There is news: whoever waits is answered. */
    void onChanged();
    /** Whether this instance has lost the store: those who would not wait for it are told at once.
     */
    void setStoreLost(bool storeLost);
    /**
     * What is known was confirmed: all who wait are told its age, so that whoever follows over
     * several instances knows no older news than the first of them.
     */
    void onConfirmed();

private:
    struct PollRequest
    {
        async::CallId id_;
        Cursor cursor_;
        TopicEnds ends_ {};
        TimePoint requestedAt_ {};
        bool acceptsCompressed_ = false; ///< Instances of earlier versions do not.
    };
    struct PendingPoll
    {
        PollRequest request_;
        TimePoint until_ {};
        bool waitsForLostStore_ = false; ///< Waits also for one that has lost the store.
    };

    PollRequest readPollRequest(const async::ServerCall &call) const;
    ChangeSet changesFor(const PollRequest &pollRequest) const;
    void respond(const PollRequest &pollRequest);
    void respondToExpired();
    bool isFresh(TimePoint now) const;
    void respondWhere(const std::function<bool(const PendingPoll &)> &chosen);

    const TopicReplica &board_;
    std::uint64_t lifetime_;
    async::HttpServer *server_ = nullptr;
    CompressedValueCache compressedValues_;
    std::list<PendingPoll> pending_;
    async::Timer timer_;
    async::EventLoop &loop_;
    TimePoint lastConfirmedReadAt_ {}; ///< What those who waited were last told of.
    bool notificationPosted_ = false;
    bool storeLost_ = false;
};

/** How far an answer has come. */
struct AnswerProgress
{
    std::size_t bytes_ = 0; ///< Of its body.
    TimePoint began_ {};    ///< Its first part came; in the past while bytes_ is 0.
};

/** Asks one peer for news, again and again. */
class ReplicationClient
{
public:
    struct Events
    {
        /** What the peer knows beyond us; told before onPeerFailed_ when it is old. */
        std::function<void(const ChangeSet &)> onChanges_;
        std::function<void(PeerFailure)> onPeerFailed_;
        /** Up to which records all is known here. */
        std::function<TopicEnds()> ends_ {};
    };

    ReplicationClient(async::EventLoop &loop, Events events);

    /** patient: it is asked until it has news, though it may have lost the store. */
    void follow(const net::Address &peer, bool waitsForLostStore);
    void stop();
    bool asks() const noexcept { return peer_.has_value(); }
    /** How the last answer came, whole or not. */
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
    TimePoint requestedAt_ {}; ///< When the question that waits for its answer left.
    AnswerProgress progress_;
    bool waitsForLostStore_ = false;
};

} // namespace almondridge::replication
