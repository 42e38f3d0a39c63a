#include "earlyanswers.h"
#include "exchangefixture.h"

using namespace almondridge;
using namespace almondridge::async;
using namespace almondridge::async::testing;

namespace {

constexpr std::string_view HalfAnswer = "half of it";
/** More than the sockets of both ends hold. */
constexpr std::size_t LargeBodyBytes = 32'000'000;

} // namespace

BOOST_FIXTURE_TEST_SUITE(EarlyAnswers, ExchangeFixture)

/**
 * Guards against a part of an answer that is taken for all of it. A socket reports a reset once: if
 * the upload that is being written meets it, the next read sees an orderly end.
 */
BOOST_AUTO_TEST_CASE(anEarlyAnswerIsCompleteOnlyIfItsServerTookTheRequest)
{
    for (const std::size_t bodyBytes :
         {std::size_t {100'000}, std::size_t {4'000'000}, LargeBodyBytes}) {
        for (const EnumName<EarlyEnding> &ending : EarlyEndingNames) {
            const bool tookAll = ending.value_ == EarlyEnding::ReadThenEnd;
            // A smaller request may have been taken whole by the kernel of the server.
            const bool isCertain = tookAll || bodyBytes == LargeBodyBytes
                                   || ending.value_ == EarlyEnding::Reset
                                   || ending.value_ == EarlyEnding::CloseUnread;
            if (!isCertain) {
                continue;
            }
            EarlyAnswerServer server(loop_, "HTTP/1.1 200 OK\r\n\r\n" + std::string(HalfAnswer));
            const auto reported = start(server.address(), bodyBytes);
            runUntil(loop_, [&] { return reported->body_ == HalfAnswer; });
            server.end(ending.value_, requestBytes_);
            runUntil(loop_, [&] { return reported->over(); });
            BOOST_TEST(reported->ended_ == tookAll,
                       ending.name_ << " with " << bodyBytes << " bytes");
        }
    }
}

/** Guards against holding an answer that its framing shows to be complete for a broken one. */
BOOST_AUTO_TEST_CASE(anEarlyAnswerWithALengthIsComplete)
{
    EarlyAnswerServer server(loop_, responseText(413, "", "too large"));
    const auto reported = start(server.address(), LargeBodyBytes);
    runUntil(loop_, [&] { return reported->over(); });
    BOOST_TEST(reported->ended_);
    BOOST_TEST(reported->status_ == 413);
    BOOST_TEST(client_.connections(net::toString(server.address())) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
