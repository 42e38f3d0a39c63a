#include "almondridge/gateway/endpointreach.h"

#include "enginefleet.h"

#include <boost/test/unit_test.hpp>
#include <string>

using namespace almondridge;
using namespace almondridge::gateway;
using gateway::testing::at;

namespace {

EndpointId endpointId(int number)
{
    return EndpointId("e" + std::to_string(number));
}

} // namespace

BOOST_AUTO_TEST_SUITE(EndpointReaches)

/** Load pattern: steady requests while all paths to endpoints are lost. */
BOOST_AUTO_TEST_CASE(endpointsThatFailOneAfterTheOtherAreACut)
{
    EndpointReach reach;
    reach.setListed(18);
    BOOST_TEST(!reach.onConnectFailed(endpointId(1), at(0)));
    BOOST_TEST(reach.onConnectFailed(endpointId(2), at(10)));
    BOOST_TEST((reach.state() == Reach::Suspected));
    BOOST_TEST(!reach.onConnectFailed(endpointId(2), at(20)));
    BOOST_TEST(!reach.onConnectFailed(endpointId(3), at(30)));
    BOOST_TEST(!reach.onConnectFailed(endpointId(4), at(299)));
    BOOST_TEST(reach.onConnectFailed(endpointId(4), at(300)));
    BOOST_TEST((reach.state() == Reach::Cut));
    BOOST_TEST((reach.since() == at(300)));
    BOOST_TEST(reach.onConnected(at(900)));
    BOOST_TEST((reach.state() == Reach::Connected));
    BOOST_TEST(reach.failed().empty());
}

/** Load pattern: a third of the endpoints crashes at once, the others go on. */
BOOST_AUTO_TEST_CASE(crashesBesideReachedEndpointsAreNoCut)
{
    EndpointReach reach;
    reach.setListed(18);
    std::int64_t now = 0;
    for (int number = 0; number < 6; ++number) {
        reach.onConnectFailed(endpointId(number), at(now += 10));
        BOOST_TEST((reach.state() != Reach::Cut));
        reach.onConnected(at(now + 5));
        BOOST_TEST((reach.state() == Reach::Connected));
    }
}

/** Load pattern: four of five endpoints are out of reach for long, the fifth is reached at times.
 */
BOOST_AUTO_TEST_CASE(aPartOfTheEndpointsWithinReachIsNoCut)
{
    EndpointReach reach;
    reach.setListed(20);
    for (std::int64_t now = 0; now < 5'000; now += 50) {
        reach.onConnectFailed(endpointId(static_cast<int>(now / 50) % 16), at(now));
        BOOST_TEST((reach.state() != Reach::Cut));
        if (now % 250 == 200) {
            reach.onConnected(at(now + 1));
        }
    }
}

/** Load pattern: few requests, all on kept connections that have gone silent. */
BOOST_AUTO_TEST_CASE(silenceOfAllEndpointsIsTestedByNewConnections)
{
    EndpointReach reach;
    reach.setListed(18);
    BOOST_TEST(reach.takeSample(at(0)) == 0U);
    reach.onSent(at(0));
    BOOST_TEST(reach.takeSample(at(400)) == 0U);
    BOOST_TEST(reach.takeSample(at(500)) == 1U);
    BOOST_TEST(reach.takeSample(at(510)) == 0U);
    reach.onConnected(at(511));
    BOOST_TEST(reach.takeSample(at(800)) == 0U);
    reach.onHeard();
    BOOST_TEST(reach.takeSample(at(5'000)) == 0U);
}

/** Guards against staying cut off because only endpoints that are gone are tried again. */
BOOST_AUTO_TEST_CASE(otherEndpointsAreTriedAsLongAsNoneIsReached)
{
    EndpointReach reach;
    reach.setListed(18);
    for (int number = 0; number < 4; ++number) {
        reach.onConnectFailed(endpointId(number), at(0));
    }
    std::size_t tried = 0;
    for (int now = 0; now < 3'000; now += 50) {
        tried += reach.takeSample(at(now));
    }
    BOOST_TEST(tried == 36U);
}

/** Guards against blaming endpoints for failures that this instance's own cut explains as well. */
BOOST_AUTO_TEST_CASE(aFailureIsProvenByALaterConnectionOnly)
{
    EndpointReach reach;
    reach.setListed(18);
    reach.onConnected(at(0));
    reach.onConnectFailed(endpointId(1), at(10));
    BOOST_TEST(!reach.isProvenSince(at(10)));
    reach.onConnected(at(20));
    BOOST_TEST(reach.isProvenSince(at(10)));
}

/** Guards against never holding an instance cut off that has few endpoints. */
BOOST_AUTO_TEST_CASE(allOfFewEndpointsAreEnough)
{
    EndpointReach reach;
    reach.setListed(2);
    reach.onConnectFailed(endpointId(1), at(0));
    BOOST_TEST((reach.state() == Reach::Connected));
    reach.onConnectFailed(endpointId(2), at(0));
    BOOST_TEST((reach.state() == Reach::Suspected));
    reach.onConnectFailed(endpointId(1), at(300));
    BOOST_TEST((reach.state() == Reach::Cut));
}

BOOST_AUTO_TEST_SUITE_END()
