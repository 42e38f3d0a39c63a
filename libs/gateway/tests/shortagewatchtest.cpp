#include "enginefleet.h"

#include "almondridge/gateway/shortagewatch.h"

#include <boost/test/unit_test.hpp>

using namespace almondridge;
using namespace almondridge::gateway;
using namespace almondridge::gateway::testing;

BOOST_AUTO_TEST_SUITE(ShortageWatches)

/** Load: a fifth of the engines is asked for. Guards against reports that nobody needs. */
BOOST_AUTO_TEST_CASE(usualDemandIsNoShortage)
{
    ShortageWatch watch;
    for (int tick = 0; tick < 100; ++tick) {
        watch.observe(20, 100, true, at(std::int64_t {250} * tick));
        BOOST_TEST(!watch.isNear());
    }
}

/** Guards against refusals by shares that were computed before any peer has told its demand. */
BOOST_AUTO_TEST_CASE(sharesAreKnownAfterTheFirstReports)
{
    ShortageWatch watch;
    watch.observe(90, 100, true, at(0));
    BOOST_TEST(watch.isNear());
    BOOST_TEST(!watch.areSharesKnown(at(500)));
    BOOST_TEST(watch.areSharesKnown(at(1'500)));
}

/** Load: bursts a second apart. Guards against counts that begin anew with each burst. */
BOOST_AUTO_TEST_CASE(shortageLastsThroughATrough)
{
    ShortageWatch watch;
    watch.observe(90, 100, true, at(0));
    watch.observe(30, 100, true, at(1'000));
    BOOST_TEST(watch.isNear());
    watch.observe(30, 100, true, at(3'000));
    BOOST_TEST(!watch.isNear());
}

/** Guards against an instance that admits without limit because it hears of its own demand only. */
BOOST_AUTO_TEST_CASE(instanceThatIsCutOffDoesNotEndAShortage)
{
    ShortageWatch watch;
    watch.observe(90, 100, true, at(0));
    watch.observe(1, 100, false, at(20'000));
    BOOST_TEST(watch.isNear());
    watch.observe(1, 100, true, at(21'000));
    BOOST_TEST(!watch.isNear());
}

/** Guards against a shortage of a service that nobody asks for and that has no engine. */
BOOST_AUTO_TEST_CASE(noDemandIsNoShortage)
{
    ShortageWatch watch;
    watch.observe(0, 0, true, at(0));
    BOOST_TEST(!watch.isNear());
}

BOOST_AUTO_TEST_SUITE_END()
