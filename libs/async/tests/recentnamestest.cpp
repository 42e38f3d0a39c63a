#include "almondridge/async/recentnames.h"

#include <boost/test/unit_test.hpp>

using almondridge::async::RecentNames;

BOOST_AUTO_TEST_SUITE(RecentNameSet)

/** Guards against memory that grows with the number of peers ever connected to. */
BOOST_AUTO_TEST_CASE(theNameAddedLongestAgoIsRemovedWhenFull)
{
    RecentNames names(2);
    names.add("a");
    names.add("b");
    names.add("a");
    names.add("c");
    BOOST_TEST(names.contains("a"));
    BOOST_TEST(!names.contains("b"));
    BOOST_TEST(names.contains("c"));
    BOOST_TEST(names.size() == 2U);
}

/** Guards against a removed name that still takes room, or that is removed a second time. */
BOOST_AUTO_TEST_CASE(aRemovedNameTakesNoRoom)
{
    RecentNames names(2);
    names.add("a");
    names.add("b");
    names.remove("a");
    names.remove("a");
    names.add("c");
    BOOST_TEST(!names.contains("a"));
    BOOST_TEST(names.contains("b"));
    BOOST_TEST(names.contains("c"));
    names.clear();
    BOOST_TEST(names.size() == 0U);
    BOOST_TEST(!names.contains("b"));
}

BOOST_AUTO_TEST_SUITE_END()
