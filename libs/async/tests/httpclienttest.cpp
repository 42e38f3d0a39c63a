#include "almondridge/async/httpclient.h"

#include "../../net/tests/brokenanswers.h"
#include "loopsupport.h"

using namespace almondridge;
using namespace almondridge::async;
using namespace almondridge::async::testing;
using almondridge::net::testing::BrokenAnswer;
using almondridge::net::testing::brokenAnswers;

namespace {

/** The recorded events of one exchange. */
struct Outcome
{
    ResponseHead head_;
    std::string body_;
    std::optional<ExchangeFailure> failure_;
    bool ended_ = false;

    bool over() const { return ended_ || failure_.has_value(); }
};

struct ClientFixture
{
    EventLoop loop_;
    HttpClient client_ {loop_};
    std::list<Outcome> results_;

    Outcome &start(const net::Address &address, std::string requestId = "", bool fresh = false,
                   std::string peer = "")
    {
        Outcome &result = results_.emplace_back();
        ExchangeRequest request;
        request.peer_ = peer.empty() ? net::toString(address) : std::move(peer);
        request.address_ = address;
        request.text_ = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
        request.requestId_ = std::move(requestId);
        request.fresh_ = fresh;
        request.connectBy_ = BootClock::now() + millis(5'000);
        ExchangeEvents events;
        events.onHead_ = [&result](ResponseHead &head) { result.head_ = head; };
        events.onBody_ = [&result](const std::string &bytes) { result.body_ += bytes; };
        events.onEnd_ = [&result] { result.ended_ = true; };
        events.onFailed_ = [&result](ExchangeFailure failure) { result.failure_ = failure; };
        client_.start(std::move(request), std::move(events));
        return result;
    }

    Outcome &finish(const net::Address &address, const std::string &requestId = "")
    {
        Outcome &result = start(address, requestId);
        runUntil(loop_, [&result] { return result.over(); });
        return result;
    }

    /** Completes an exchange with a peer of that name, whose connections are pooled apart. */
    Outcome &finishWith(const std::string &peer, const net::Address &address, bool fresh = false)
    {
        Outcome &result = start(address, "", fresh, peer);
        runUntil(loop_, [&result] { return result.over(); });
        return result;
    }

    std::uint64_t connects(ConnectReason reason) const
    {
        return client_.counters().connects(reason);
    }
};

/** Answers so that the client pools the connection for a minute. */
void answerAndKeep(const RawServer::Peer &peer, const std::string &)
{
    peer->write(responseText(200, "Keep-Alive: timeout=60\r\n", "a"));
}

/** Answers so that the client pools the connection for 300 ms, and leaves it open. */
void answerAndExpire(const RawServer::Peer &peer, const std::string &)
{
    peer->write(responseText(200, "Keep-Alive: timeout=1\r\n", "a"));
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(EventClient, ClientFixture)

BOOST_AUTO_TEST_CASE(anIdleConnectionIsReused)
{
    RawServer server(loop_, [](const RawServer::Peer &peer, const std::string &) {
        peer->write(responseText(200, "Keep-Alive: timeout=5\r\n", "a"));
    });
    BOOST_TEST(finish(server.address()).body_ == "a");
    BOOST_TEST(finish(server.address()).body_ == "a");
    BOOST_TEST(server.connections() == 1);
}

/**
 * The server announces that it closes idle connections after one second. A request that crosses
 * this close may have been executed, so the connection must not be reused close to that time.
 */
BOOST_AUTO_TEST_CASE(aConnectionIsNotReusedNearItsKeepAliveTimeout)
{
    RawServer server(loop_, [](const RawServer::Peer &peer, const std::string &) {
        peer->write(responseText(200, "Keep-Alive: timeout=1\r\n", "a"));
    });
    finish(server.address());
    const TimePoint later = BootClock::now() + millis(400);
    runUntil(loop_, [&] { return BootClock::now() > later; });
    finish(server.address());
    BOOST_TEST(server.connections() == 2);
}

/** Bytes after a complete response belong to no request; the next caller must not get them. */
BOOST_AUTO_TEST_CASE(surplusBytesCloseTheConnectionBeforeTheNextRequest)
{
    int answers = 0;
    RawServer server(loop_, [&](const RawServer::Peer &peer, const std::string &) {
        const std::string own = responseText(200, "", "own" + std::to_string(++answers));
        peer->write(answers == 1 ? own + responseText(200, "", "surplus") : own);
    });
    BOOST_TEST(finish(server.address()).body_ == "own1");
    BOOST_TEST(finish(server.address()).body_ == "own2");
    BOOST_TEST(server.connections() == 2);
}

/** Surplus bytes that arrive while the connection is idle must not reach the next caller either. */
BOOST_AUTO_TEST_CASE(lateBytesOnAnIdleConnectionCloseIt)
{
    RawServer::Peer kept;
    RawServer server(loop_, [&](const RawServer::Peer &peer, const std::string &) {
        kept = peer;
        peer->write(responseText(200, "", "own"));
    });
    finish(server.address());
    kept->write(responseText(200, "", "late"));
    runUntil(loop_, [&] { return client_.counters().dirtyConnections_ == 1; });
    BOOST_TEST(finish(server.address()).body_ == "own");
    BOOST_TEST(server.connections() == 2);
}

/**
 * A server sends a duplicate response where the next one is expected. Without the check of the
 * request id in the head, the next caller would get the response to another request.
 */
BOOST_AUTO_TEST_CASE(anAnswerToAnotherRequestIsSkipped)
{
    RawServer server(loop_, [](const RawServer::Peer &peer, const std::string &) {
        peer->write(responseText(200, "X-Request-Id: before\r\n", "foreign")
                    + responseText(200, "X-Request-Id: mine\r\n", "own"));
    });
    BOOST_TEST(finish(server.address(), "mine").body_ == "own");
    BOOST_TEST(client_.counters().skippedAnswers_ == 1U);
}

BOOST_AUTO_TEST_CASE(aRefusedConnectionFailsWithNotSent)
{
    net::Address free;
    {
        RawServer server(loop_, [](const RawServer::Peer &, const std::string &) {});
        free = server.address();
    }
    BOOST_TEST((finish(free).failure_ == ExchangeFailure::NotSent));
}

/** Guards against the end of the process when an exchange is cancelled as its connection fails. */
BOOST_AUTO_TEST_CASE(anExchangeMayBeCancelledWhenItsConnectionFails)
{
    net::Address free;
    {
        RawServer server(loop_, [](const RawServer::Peer &, const std::string &) {});
        free = server.address();
    }
    bool reported = false;
    client_.setConnectEvents({{}, [&](const std::string &) {
                                  reported = true;
                                  client_.cancel(1);
                              }});
    const Outcome &result = start(free);
    runUntil(loop_, [&] { return reported; });
    BOOST_TEST(!result.over());
    BOOST_TEST(client_.connections(net::toString(free)) == 0U);
}

BOOST_AUTO_TEST_CASE(anOpenedConnectionServesTheNextExchange)
{
    RawServer server(loop_, [](const RawServer::Peer &peer, const std::string &) {
        peer->write(responseText(200, "", "x"));
    });
    std::optional<bool> opened;
    const std::string peer = net::toString(server.address());
    client_.open(peer, server.address(), BootClock::now() + millis(5'000),
                 [&](bool stands) { opened = stands; });
    runUntil(loop_, [&] { return opened.has_value(); });
    BOOST_TEST(*opened);
    BOOST_TEST(finish(server.address()).ended_);
    BOOST_TEST(server.connections() == 1);
    BOOST_TEST(client_.connections(peer) == 1U);
}

BOOST_AUTO_TEST_CASE(aRefusedOpenLeavesNoConnectionInThePool)
{
    net::Address free;
    {
        RawServer server(loop_, [](const RawServer::Peer &, const std::string &) {});
        free = server.address();
    }
    std::optional<bool> opened;
    client_.open("gone", free, BootClock::now() + millis(5'000),
                 [&](bool stands) { opened = stands; });
    runUntil(loop_, [&] { return opened.has_value(); });
    BOOST_TEST(!*opened);
    BOOST_TEST(client_.connections("gone") == 0U);
}

BOOST_AUTO_TEST_CASE(brokenResponsesGiveDistinctFailures)
{
    const std::string cut = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab";
    struct Case
    {
        std::string bytes_;
        ExchangeFailure failure_;
    };
    for (const Case &one : {Case {"", ExchangeFailure::Unanswered},
                            Case {"no answer at all\r\n\r\n", ExchangeFailure::Garbled},
                            Case {cut, ExchangeFailure::Truncated}}) {
        RawServer server(loop_, [&](const RawServer::Peer &peer, const std::string &) {
            peer->write(one.bytes_);
            peer->closeAfterWriting();
        });
        BOOST_TEST((finish(server.address()).failure_ == one.failure_), one.bytes_);
    }
}

/** Guards against taking an answer that was broken off for a complete one. */
BOOST_AUTO_TEST_CASE(onlyWholeAnswersAreComplete)
{
    for (const BrokenAnswer &answer : brokenAnswers()) {
        RawServer::Peer peer;
        RawServer server(loop_, [&](const RawServer::Peer &asked, const std::string &) {
            peer = asked;
            peer->write(answer.bytes_);
            if (!answer.reset_) {
                peer->closeAfterWriting();
            }
        });
        const Outcome &result = start(server.address());
        runUntil(loop_, [&] {
            return result.over() || (result.head_.status_ == 200 && result.body_ == answer.body_);
        });
        if (answer.reset_) {
            peer->reset();
        }
        runUntil(loop_, [&] { return result.over(); });
        BOOST_TEST(result.ended_ == answer.complete_, answer.name_);
    }
}

BOOST_AUTO_TEST_CASE(aCancelledExchangeClosesItsConnection)
{
    RawServer server(loop_, [](const RawServer::Peer &, const std::string &) {});
    Outcome &result = start(server.address());
    runUntil(loop_, [&] { return server.requests() == 1; });
    client_.cancel(1);
    runUntil(loop_, [&] { return server.closedByClient() == 1; });
    BOOST_TEST(!result.over());
    BOOST_TEST(client_.connections(net::toString(server.address())) == 0U);
}

BOOST_AUTO_TEST_CASE(interimResponsesAreSkipped)
{
    RawServer server(loop_, [](const RawServer::Peer &peer, const std::string &) {
        peer->write("HTTP/1.1 102 Processing\r\n\r\n" + responseText(200, "", "own"));
    });
    const Outcome &result = finish(server.address());
    BOOST_TEST(result.head_.status_ == 200);
    BOOST_TEST(result.body_ == "own");
}

/** Guards against a reported idle connection that the next request does not use. */
BOOST_AUTO_TEST_CASE(anIdleConnectionIsReportedAndReused)
{
    RawServer server(loop_, answerAndKeep);
    BOOST_TEST(!client_.hasIdle("a"));
    finishWith("a", server.address());
    BOOST_TEST(client_.hasIdle("a"));
    BOOST_TEST(!client_.hasIdle("b"));
    const Outcome &second = start(server.address(), "", false, "a");
    BOOST_TEST(!client_.hasIdle("a"));
    runUntil(loop_, [&] { return second.over(); });
    BOOST_TEST(client_.hasIdle("a"));
    BOOST_TEST(client_.counters().reuses_ == 1U);
    BOOST_TEST(server.connections() == 1);
}

/** Guards against choosing an endpoint for a connection that is too old to be used. */
BOOST_AUTO_TEST_CASE(anExpiredConnectionIsNotReported)
{
    RawServer server(loop_, answerAndKeep);
    finishWith("a", server.address());
    const TimePoint now = BootClock::now();
    BOOST_TEST(client_.hasIdle("a", now));
    BOOST_TEST(!client_.hasIdle("a", now + millis(60'000)));
}

/** Guards against missing an older connection that outlives the newest one to the same peer. */
BOOST_AUTO_TEST_CASE(anOlderConnectionIsReportedWhenTheNewestHasExpired)
{
    RawServer longLived(loop_, answerAndKeep);
    RawServer shortLived(loop_, answerAndExpire);
    finishWith("a", longLived.address());
    finishWith("a", shortLived.address(), true);
    BOOST_TEST(client_.connections("a") == 2U);
    BOOST_TEST(client_.hasIdle("a", BootClock::now() + millis(1'000)));
    const TimePoint later = BootClock::now() + millis(400);
    runUntil(loop_, [&] { return BootClock::now() > later; });
    finishWith("a", shortLived.address());
    BOOST_TEST(longLived.requests() == 2);
    BOOST_TEST(client_.connections("a") == 1U);
}

/** Guards against expired connections to unused peers that stay open until the pool is full. */
BOOST_AUTO_TEST_CASE(expiredConnectionsToOtherPeersAreClosedByARequest)
{
    RawServer server(loop_, answerAndExpire);
    finishWith("a", server.address());
    runUntil(loop_, [&] { return !client_.hasIdle("a"); });
    finishWith("b", server.address());
    BOOST_TEST(client_.connections("a") == 0U);
    runUntil(loop_, [&] { return server.closedByClient() == 1; });
}

/** Guards against sending a request on a connection that the peer has closed while it was idle. */
BOOST_AUTO_TEST_CASE(aConnectionThatThePeerClosedIsNotReported)
{
    RawServer::Peer kept;
    RawServer server(loop_, [&](const RawServer::Peer &peer, const std::string &request) {
        kept = peer;
        answerAndKeep(peer, request);
    });
    finishWith("a", server.address());
    BOOST_TEST(client_.hasIdle("a"));
    kept->close();
    runUntil(loop_, [&] { return !client_.hasIdle("a"); });
    BOOST_TEST(client_.connections("a") == 0U);
    finishWith("a", server.address());
    BOOST_TEST(server.connections() == 2);
    BOOST_TEST(connects(ConnectReason::First) == 1U);
    BOOST_TEST(connects(ConnectReason::Expired) == 1U);
}

/** Guards against a new connection that is counted for a wrong reason, or for none. */
BOOST_AUTO_TEST_CASE(newConnectionsAreCountedByReason)
{
    RawServer server(loop_, answerAndExpire);
    const Outcome &first = start(server.address(), "", false, "a");
    BOOST_TEST(connects(ConnectReason::First) == 1U);
    const Outcome &second = start(server.address(), "", false, "a");
    BOOST_TEST(connects(ConnectReason::Busy) == 1U);
    runUntil(loop_, [&] { return first.over() && second.over(); });
    runUntil(loop_, [&] { return !client_.hasIdle("a"); });
    finishWith("a", server.address());
    BOOST_TEST(connects(ConnectReason::Expired) == 1U);
    finishWith("a", server.address(), true);
    BOOST_TEST(connects(ConnectReason::Fresh) == 1U);
    bool opened = false;
    client_.open("a", server.address(), BootClock::now() + millis(5'000),
                 [&](bool established) { opened = established; });
    runUntil(loop_, [&] { return opened; });
    BOOST_TEST(connects(ConnectReason::Fresh) == 2U);
    BOOST_TEST(connects(ConnectReason::First) == 1U);
    BOOST_TEST(connects(ConnectReason::Busy) == 1U);
    BOOST_TEST(connects(ConnectReason::Expired) == 1U);
    BOOST_TEST(client_.counters().connects_ == 5U);
}

/** Guards against counting a peer as connected before, when every attempt was refused. */
BOOST_AUTO_TEST_CASE(aConnectionAfterRefusedOnesIsTheFirst)
{
    net::Address free;
    {
        RawServer server(loop_, answerAndKeep);
        free = server.address();
    }
    finishWith("a", free);
    finishWith("a", free);
    BOOST_TEST(connects(ConnectReason::First) == 2U);
    BOOST_TEST(connects(ConnectReason::Expired) == 0U);
}

/** Guards against closing the connections to all peers when one of them restarts. */
BOOST_AUTO_TEST_CASE(droppingOnePeerKeepsTheConnectionsToOthers)
{
    RawServer server(loop_, answerAndKeep);
    for (const char *peer : {"a", "b", "a", "c", "a"}) {
        finishWith(peer, server.address(), true);
    }
    client_.dropKept("a");
    BOOST_TEST(!client_.hasIdle("a"));
    BOOST_TEST(client_.connections("a") == 0U);
    BOOST_TEST(client_.hasIdle("b"));
    BOOST_TEST(client_.hasIdle("c"));
    runUntil(loop_, [&] { return server.closedByClient() == 3; });
    finishWith("b", server.address());
    finishWith("c", server.address());
    BOOST_TEST(client_.counters().reuses_ == 2U);
    finishWith("a", server.address());
    BOOST_TEST(connects(ConnectReason::First) == 1U);
    client_.dropAllKept();
    for (const char *peer : {"a", "b", "c"}) {
        BOOST_TEST(!client_.hasIdle(peer));
        BOOST_TEST(client_.connections(peer) == 0U);
    }
}

/** Guards against closing recent connections, or none, when a large pool is full. */
BOOST_AUTO_TEST_CASE(aFullPoolEvictsTheOldestConnectionsFirst)
{
    constexpr std::size_t PoolSize = 2'000;
    constexpr std::size_t Peers = 500;
    constexpr std::size_t Evicted = 7;
    std::vector<RawServer::Peer> byAge;
    RawServer server(loop_, [&](const RawServer::Peer &peer, const std::string &request) {
        byAge.push_back(peer);
        answerAndKeep(peer, request);
    });
    client_.setMaxKept(PoolSize);
    const auto name = [](std::size_t index) { return "peer-" + std::to_string(index % Peers); };
    for (std::size_t index = 0; index < PoolSize; ++index) {
        finishWith(name(index), server.address(), true);
    }
    BOOST_TEST(server.closedByClient() == 0);
    for (std::size_t extra = 0; extra < Evicted; ++extra) {
        finishWith("extra", server.address(), true);
    }
    runUntil(loop_, [&] { return server.closedByClient() == Evicted; });
    BOOST_REQUIRE(byAge.size() == PoolSize + Evicted);
    std::size_t wrong = 0;
    for (std::size_t index = 0; index < byAge.size(); ++index) {
        wrong += byAge[index]->isOpen() == (index < Evicted) ? 1 : 0;
    }
    BOOST_TEST(wrong == 0U);
    for (std::size_t index = 0; index < Peers; ++index) {
        BOOST_TEST(client_.connections(name(index)) == (index < Evicted ? 3U : 4U));
        BOOST_TEST(client_.hasIdle(name(index)));
    }
}

BOOST_AUTO_TEST_SUITE_END()
