#include "almondridge/gateway/requestcosts.h"
#include "almondridge/gateway/demandmeter.h"

#include <boost/test/unit_test.hpp>

using namespace almondridge;
using namespace almondridge::gateway;

namespace {

TimePoint at(std::int64_t milliseconds)
{
    return TimePoint {} + millis(1'000'000 + milliseconds);
}

/**
 * Adds samples of short and long prompts of an engine with these costs. During one in four, the
 * engine prefilled a prompt of another instance too.
 */
void addSamples(RequestCosts &costs, double fixedMillis, double millisPerToken)
{
    for (int read = 0; read < 300; ++read) {
        const std::int64_t tokens = read % 3 == 0 ? 4'000 + 40 * read : 100 + 5 * read;
        const double shared = read % 4 == 1 ? 1.8 : 1;
        costs.onUncontendedPrefill(tokens,
                                   shared * (fixedMillis + millisPerToken * double(tokens)));
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(Costs)

/**
 * Guards against one assumed prefill rate for engines of 15, 40 or 150 tokens per millisecond: it
 * made prompts at slow engines seconds late and left half of the fast ones' capacity unused.
 */
BOOST_AUTO_TEST_CASE(prefillRateIsLearned)
{
    for (const double tokensPerMilli : {15.0, 40.0, 150.0}) {
        RequestCosts costs;
        BOOST_TEST(costs.prefillMillis(10'000) > 0); // Plausible before the first sample.
        addSamples(costs, 25, 1 / tokensPerMilli);
        BOOST_TEST(costs.prefillComputeMillis(10'000) == 10'000 / tokensPerMilli,
                   boost::test_tools::tolerance(0.15));
        BOOST_TEST(costs.prefillMillis(300) < 25 + 300 / tokensPerMilli + 20);
    }
}

/** A sample of an engine that stalled for seconds must not change the estimate. */
BOOST_AUTO_TEST_CASE(stalledPrefillIsIgnored)
{
    RequestCosts costs;
    addSamples(costs, 25, 0.025);
    const double before = costs.prefillMillis(5'000);
    costs.onUncontendedPrefill(300, 8'000);
    costs.onUncontendedPrefill(0, 20);
    BOOST_TEST(costs.prefillMillis(5'000) == before);
}

BOOST_AUTO_TEST_CASE(generationTimeIsLearnedPerRoute)
{
    RequestCosts costs;
    for (int answer = 0; answer < 200; ++answer) {
        costs.onGenerated("long", 2'000);
        costs.onGenerated("short", 200);
    }
    BOOST_TEST(costs.generateMillis("long") == 2'000);
    BOOST_TEST(costs.generateMillis("short") == 200);
    BOOST_TEST(costs.meanGenerateMillis() == 1'100, boost::test_tools::tolerance(0.1));
    BOOST_TEST(costs.generateMillis("new") > 0);
}

/**
 * Demand rises within two seconds of the first request, stays steady, and decays after the last.
 */
BOOST_AUTO_TEST_CASE(demandIsTheRateOfTheLastSeconds)
{
    DemandMeter meter;
    BOOST_TEST(meter.at(at(0)).all() == 0);
    for (int now = 0; now < 30'000; now += 10) {
        meter.onRequest(0.03, 0.01, at(now));
        if (now == 2'000 || now == 29'990) {
            BOOST_TEST(meter.at(at(now)).prefill_ == 3, boost::test_tools::tolerance(0.1));
            BOOST_TEST(meter.at(at(now)).decode_ == 1, boost::test_tools::tolerance(0.1));
        }
    }
    BOOST_TEST(meter.at(at(60'000)).all() < 0.02);
}

/** The meter must show nearly the peak of a burst of three seconds while it lasts. */
BOOST_AUTO_TEST_CASE(burstIsSeenAtNearlyItsPeak)
{
    DemandMeter meter;
    double most = 0;
    for (int now = 0; now < 12'000; now += 10) {
        const bool burst = now >= 6'000 && now < 9'000;
        meter.onRequest(burst ? 0.04 : 0.01, 0, at(now));
        most = std::max(most, meter.at(at(now)).prefill_);
    }
    BOOST_TEST(most > 3.2);
    BOOST_TEST(most < 4.1);
}

BOOST_AUTO_TEST_SUITE_END()
