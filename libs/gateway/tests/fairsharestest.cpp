#include "almondridge/gateway/fairshares.h"

#include <boost/test/unit_test.hpp>
#include <numeric>
#include <random>
#include <vector>

using namespace almondridge::gateway;

namespace {

constexpr double Tolerance = 1e-9;

double sum(const std::vector<double> &values)
{
    return std::accumulate(values.begin(), values.end(), 0.0);
}

} // namespace

BOOST_AUTO_TEST_SUITE(FairShares)

// Load: 60 of a room of 100. Guards against limits without a shortage.
BOOST_AUTO_TEST_CASE(everyoneGetsWhatItAsksForIfThereIsRoom)
{
    BOOST_TEST(maxMinShares(100, {{10, 1}, {20, 1}, {30, 1}}) == std::vector<double>({10, 20, 30}),
               boost::test_tools::per_element());
    BOOST_TEST(maxMinShares(100, {}).empty());
}

// Load: 10 + 20 + 300 of 90. Guards against capacity that nobody uses while somebody asks for it.
BOOST_AUTO_TEST_CASE(unusedShareFlowsToTheOthers)
{
    BOOST_TEST(maxMinShares(90, {{300, 1}, {10, 1}, {20, 1}}) == std::vector<double>({60, 10, 20}),
               boost::test_tools::per_element());
}

// Load: 400 of 90, weights of 1 and 2. Guards against shares that ignore weights.
BOOST_AUTO_TEST_CASE(limitedSharesAreInProportionToWeights)
{
    BOOST_TEST(maxMinShares(90, {{200, 1}, {200, 2}}) == std::vector<double>({30, 60}),
               boost::test_tools::per_element());
}

// Load: none, no room, no weight. Guards against divisions by zero and shares that aren't numbers.
BOOST_AUTO_TEST_CASE(nothingIsSharedWithoutRoomDemandOrWeight)
{
    BOOST_TEST(sum(maxMinShares(0, {{10, 1}, {20, 1}})) == 0);
    BOOST_TEST(sum(maxMinShares(-1, {{10, 1}})) == 0);
    BOOST_TEST(sum(maxMinShares(10, {{0, 1}, {5, 0}})) == 0);
}

// Load: 500 random sets of up to 100 participants. Guards against shares over the room or the
// demand, unused room, and participants that are limited below the level of others.
BOOST_AUTO_TEST_CASE(randomSharesAreMaxMin)
{
    std::mt19937_64 random(11);
    for (int run = 0; run < 500; ++run) {
        std::vector<AskedShare> asked(1 + random() % 100);
        double total = 0;
        for (AskedShare &participant : asked) {
            participant.asked_ = static_cast<double>(random() % 1'000);
            participant.weight_ = static_cast<double>(1 + random() % 5);
            total += participant.asked_;
        }
        const double room = total * static_cast<double>(random() % 150) / 100;
        const std::vector<double> shares = maxMinShares(room, asked);
        BOOST_TEST(std::abs(sum(shares) - std::min(room, total)) <= Tolerance * (1 + total));
        double level = 0;
        for (std::size_t index = 0; index < asked.size(); ++index) {
            BOOST_TEST(shares[index] <= asked[index].asked_);
            level = std::max(level, shares[index] / asked[index].weight_);
        }
        for (std::size_t index = 0; index < asked.size(); ++index) {
            const bool isLimited = shares[index] < asked[index].asked_ * (1 - Tolerance);
            BOOST_TEST(
                (!isLimited || shares[index] / asked[index].weight_ >= level * (1 - Tolerance)));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
