/**
 * Passing the store's news on between instances. In a failure domain with many instances a few of
 * them read the store, and the others ask these: calls to the store then do not grow with the
 * number of instances. Every instance answers for what it knows, and says how old that is.
 */
#pragma once

#include "almondridge/news/board.h"

#include "almondridge/async/httpclient.h"
#include "almondridge/async/httpserver.h"
#include "almondridge/base/enumnames.h"

#include <list>

namespace almondridge::news {

/** How long a peer that has no news holds the question; its answer tells that it lives. */
inline constexpr Duration HoldTime = millis(800);
/** An answer that is later than this comes from a dead peer or over a silent connection. */
inline constexpr Duration LongestSilence = HoldTime + millis(400);
/** Older news than this is no news: the peer has lost the store itself. */
inline constexpr Duration UselessAge = millis(1'600);

/** A change set as an answer's body: ages instead of points in time, as clocks differ. */
std::string encodeChanges(const ChangeSet &set, std::uint64_t lifetime, TimePoint now);

struct ReceivedChanges
{
    ChangeSet set_;
    std::uint64_t lifetime_ = 0; ///< Of the sender: its numbers begin anew with each.
};

/** nullopt: it is no such body. */
std::optional<ReceivedChanges> decodeChanges(const std::string &body, TimePoint now);

/** Answers peers that ask for news. */
class RelayServer
{
public:
    RelayServer(async::EventLoop &loop, const Board &board, std::uint64_t lifetime);

    /** Whether the path is one that is answered here; the answer may come later. */
    bool takes(const async::ServerCall &call) const;
    void answer(async::HttpServer &server, const async::ServerCall &call);
    void forget(const async::CallId &id);
    /** There is news: whoever waits is answered. */
    void onNews();

private:
    struct Waiting
    {
        async::CallId id_;
        std::uint64_t from_ = 0;
        TimePoint until_ {};
    };

    void respond(const async::CallId &id, std::uint64_t from);
    void answerLate();

    const Board &board_;
    std::uint64_t lifetime_;
    async::HttpServer *server_ = nullptr;
    std::list<Waiting> waiting_;
    async::Timer timer_;
    async::EventLoop &loop_;
    bool newsPosted_ = false;
};

/** Why a peer was of no use to whoever asked it for news. */
enum class Uselessness {
    Silent,     ///< No answer in the time that a live peer needs.
    Unanswered, ///< No connection, or one that broke.
    Unreadable, ///< An answer that is no news.
    Old,        ///< What it knows is too old: it has lost the store itself.
};

inline constexpr std::array<EnumName<Uselessness>, 4> UselessnessNames {{
    {Uselessness::Silent, "silent"},
    {Uselessness::Unanswered, "unanswered"},
    {Uselessness::Unreadable, "unreadable"},
    {Uselessness::Old, "old"},
}};

/** Asks one peer for news, again and again. */
class RelayClient
{
public:
    struct Events
    {
        std::function<void(const ChangeSet &)> onChanges_;
        std::function<void(Uselessness)> onUseless_;
    };

    RelayClient(async::EventLoop &loop, Events events);

    void follow(const net::Address &peer);
    void stop();

private:
    void ask();
    void onAnswer(int status, const std::string &body);
    void giveUp(Uselessness cause);

    async::HttpClient client_;
    Events events_;
    async::Timer timer_;
    std::optional<net::Address> peer_;
    async::ExchangeId exchange_ = 0;
    std::uint64_t lifetime_ = 0;
    std::uint64_t from_ = 0;
};

} // namespace almondridge::news
