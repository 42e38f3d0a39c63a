#include "../src/answerbuffers.h"

#include <boost/test/unit_test.hpp>

using namespace almondridge::gateway;

BOOST_AUTO_TEST_SUITE(AnswerBuffers)

// Load pattern: a few endpoints send without end beside many ordinary answers. Guards against an
// ordinary answer that is given up for them, and against memory that grows with their number.
BOOST_AUTO_TEST_CASE(endlessAnswersAreGivenUpBeforeOrdinaryOnes)
{
    constexpr std::size_t MaxBytes = 1'000'000;
    constexpr std::uint64_t Endless = 5;
    std::vector<BufferedAnswer> answers;
    for (std::uint64_t call = 0; call < 100; ++call) {
        answers.push_back({call, 5'000});
    }
    std::size_t givenUp = 0;
    for (int round = 0; round < 200; ++round) {
        for (std::uint64_t call = 0; call < Endless; ++call) {
            answers[call].bytes_ += answers[call].bytes_ > 0 ? 16'384 : 0;
            while (const auto largest = answerToGiveUp(answers, MaxBytes)) {
                BOOST_TEST(*largest < Endless);
                answers[*largest].bytes_ = 0;
                ++givenUp;
            }
        }
    }
    BOOST_TEST(givenUp == Endless);
    BOOST_TEST(!answerToGiveUp({}, 0));
}

BOOST_AUTO_TEST_SUITE_END()
