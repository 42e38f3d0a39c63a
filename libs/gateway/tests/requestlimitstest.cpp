#include "almondridge/gateway/requestlimits.h"

#include "almondridge/gateway/sendwindow.h"

#include <boost/test/unit_test.hpp>

using namespace almondridge;
using namespace almondridge::gateway;

namespace {

const EndpointId Engine("e1");

TimePoint at(std::int64_t milliseconds)
{
    return TimePoint {} + millis(1'000'000 + milliseconds);
}

} // namespace

BOOST_AUTO_TEST_SUITE(RequestsInAWindow)

BOOST_AUTO_TEST_CASE(requestsCountForAsLongAsTheWindowIs)
{
    SendWindow window;
    for (int index = 0; index < 100; ++index) {
        window.add(at(index * 10));
    }
    BOOST_TEST(window.count(at(1'000)) == 100);
    BOOST_TEST(window.count(at(4'000)) == 100);
    BOOST_TEST(window.count(at(4'500)) < 75);
    BOOST_TEST(window.count(at(5'300)) == 0);
    window.add(at(60'000));
    BOOST_TEST(window.count(at(60'000)) == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(LimitsOfEndpoints)

BOOST_AUTO_TEST_CASE(aLimitHoldsForAsLongAsItIsNamed)
{
    RequestLimits limits;
    BOOST_TEST(!limits.onAnswer(Engine, std::nullopt, at(0)));
    BOOST_TEST(limits.onAnswer(Engine, 5, at(1)));
    BOOST_TEST(!limits.onAnswer(Engine, 5.1, at(2)));
    BOOST_TEST(limits.onAnswer(Engine, 8, at(3)));
    BOOST_TEST(*limits.limitOf(Engine) == 8);
    BOOST_TEST(limits.onAnswer(Engine, std::nullopt, at(4)));
    BOOST_TEST(!limits.limitOf(Engine).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
