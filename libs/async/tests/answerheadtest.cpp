#include "exchangefixture.h"

using namespace almondridge;
using namespace almondridge::async;
using namespace almondridge::async::testing;
using net::testing::brokenHeads;
using net::testing::HeadsBody;
using net::testing::RawHead;
using net::testing::ValidHead;
using net::testing::validHeads;

BOOST_FIXTURE_TEST_SUITE(AnswerHeads, ExchangeFixture)

/** Guards against bytes that reach a caller as an answer though their head is none. */
BOOST_AUTO_TEST_CASE(anAnswerWithABrokenHeadIsNone)
{
    for (const RawHead &head : brokenHeads()) {
        for (const std::size_t firstPart : {std::size_t {0}, head.bytes_.size() / 2}) {
            const auto reported = answerWith(head, firstPart);
            BOOST_TEST(reported->status_ == 0, head.name_);
            BOOST_TEST(!reported->ended_, head.name_);
            BOOST_TEST(connectionsLeft_ == 0U, head.name_);
        }
    }
}

/** Guards against refusing what the published syntax allows. */
BOOST_AUTO_TEST_CASE(anUnusualHeadIsValid)
{
    for (const ValidHead &valid : validHeads()) {
        for (const std::size_t firstPart : {std::size_t {0}, valid.head_.bytes_.size() / 2}) {
            const auto reported = answerWith(valid.head_, firstPart);
            BOOST_TEST(reported->status_ == valid.status_, valid.head_.name_);
            BOOST_TEST(reported->body_ == HeadsBody, valid.head_.name_);
            BOOST_TEST(reported->ended_, valid.head_.name_);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
