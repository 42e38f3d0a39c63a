#include "../../net/tests/cutanswers.h"
#include "exchangefixture.h"

using namespace almondridge;
using namespace almondridge::async;
using namespace almondridge::async::testing;
using net::testing::CutBody;
using net::testing::WholeAnswer;
using net::testing::wholeAnswers;

namespace {

/** The gathered answer of a server, on a connection of its own. */
ExchangeResult gatheredFrom(ExchangeFixture &fixture, const RawServer &server)
{
    std::optional<ExchangeResult> result;
    ExchangeRequest request;
    request.peer_ = "server";
    request.address_ = server.address();
    request.text_ = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    request.connectBy_ = BootClock::now() + millis(5'000);
    request.fresh_ = true;
    fixture.client_.start(std::move(request),
                          gatherAnswer([&](const ExchangeResult &one) { result = one; }));
    runUntil(fixture.loop_, [&] { return result.has_value(); });
    return *result;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(CutAnswers, ExchangeFixture)

/**
 * Guards against a part of an answer that endpoints, peers or the store sent and that is taken for
 * all of it, wherever it stops: in a line of the head, of a chunk or of the trailers.
 */
BOOST_AUTO_TEST_CASE(anAnswerThatStopsAtAnyByteIsNotComplete)
{
    for (const WholeAnswer &whole : wholeAnswers("")) {
        for (const bool isReset : {false, true}) {
            for (std::size_t cut = 0; cut <= whole.bytes_.size(); ++cut) {
                RawServer server(loop_, [&](const RawServer::Peer &peer, const std::string &) {
                    peer->write(whole.bytes_.substr(0, cut));
                    isReset ? peer->reset() : peer->closeAfterWriting();
                });
                const auto reported = start(server.address(), 0);
                runUntil(loop_, [&] { return reported->over(); });
                const bool isWhole = cut == whole.bytes_.size() && !isReset;
                BOOST_TEST((isWhole ? reported->ended_ && reported->body_ == CutBody
                                    : isReset || !reported->ended_),
                           whole.name_ << " up to byte " << cut);
                BOOST_TEST((!reported->ended_ || reported->body_ == CutBody));
            }
        }
    }
}

/** Guards against the same in what is gathered: reports, results of orders, the store's values. */
BOOST_AUTO_TEST_CASE(aGatheredAnswerThatStopsIsAFailure)
{
    for (const WholeAnswer &whole : wholeAnswers("")) {
        for (std::size_t cut = 0; cut < whole.bytes_.size(); ++cut) {
            RawServer server(loop_, [&](const RawServer::Peer &peer, const std::string &) {
                peer->write(whole.bytes_.substr(0, cut));
                peer->closeAfterWriting();
            });
            BOOST_TEST(gatheredFrom(*this, server).failure_.has_value(),
                       whole.name_ << " up to byte " << cut);
        }
    }
}

/** Guards against a body that is read as it stands though it is encoded. */
BOOST_AUTO_TEST_CASE(aGatheredAnswerWithAContentCodingIsAFailure)
{
    RawServer server(loop_, [&](const RawServer::Peer &peer, const std::string &) {
        peer->write(responseText(200, "Content-Encoding: gzip\r\n", "{}"));
    });
    BOOST_TEST((gatheredFrom(*this, server).failure_ == ExchangeFailure::Garbled));
}

BOOST_AUTO_TEST_SUITE_END()
