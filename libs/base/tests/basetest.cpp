#include "almondridge/base/error.h"
#include "almondridge/base/ids.h"
#include "almondridge/base/log.h"
#include "almondridge/base/time.h"

#include <boost/test/unit_test.hpp>
#include <stdexcept>

using namespace almondridge;

BOOST_AUTO_TEST_SUITE(Base)

BOOST_AUTO_TEST_CASE(captureKeepsTheKindAndRemedyOfAnError)
{
    const auto captured = capture(
        []() -> Result<int> { return fail(ErrorKind::Conflict, "revision 4 won", "review"); });
    const Error &error = std::get<Error>(captured);
    BOOST_TEST((error.kind_ == ErrorKind::Conflict));
    BOOST_TEST(describe(error) == "conflict: revision 4 won; review");
}

BOOST_AUTO_TEST_CASE(captureTurnsAnExceptionIntoAnInternalError)
{
    const auto captured =
        capture([]() -> Result<void> { throw std::runtime_error("from a library"); });
    BOOST_TEST((std::get<Error>(captured).kind_ == ErrorKind::Internal));
}

BOOST_AUTO_TEST_CASE(everyErrorKindHasAName)
{
    for (int kind = 0; kind <= static_cast<int>(ErrorKind::Internal); ++kind) {
        BOOST_TEST(nameOf(ErrorKindNames, static_cast<ErrorKind>(kind)) != "unknown");
    }
}

BOOST_AUTO_TEST_CASE(logValuesWithSpacesAreQuotedOnOneLine)
{
    BOOST_TEST(quoteLogValue("plain") == "plain");
    BOOST_TEST(quoteLogValue("two words\n\"x\"") == "\"two words \\\"x\\\"\"");
    BOOST_TEST(quoteLogValue("") == "\"\"");
}

/** Guards against bytes of other writers that change a terminal, or a log's encoding. */
BOOST_AUTO_TEST_CASE(logValuesHaveNoControlBytes)
{
    BOOST_TEST(quoteLogValue("a\x01\x7f\x1b") == "\"a\\x01\\x7f\\x1b\"");
    BOOST_TEST(quoteLogValue("\xc3\xa4\xff") == "\"\\xc3\\xa4\\xff\"");
    BOOST_TEST(quoteLogValue(std::string_view("a\0b", 3)) == "\"a\\x00b\"");
}

BOOST_AUTO_TEST_CASE(millisUntilIsZeroAfterTheDeadline)
{
    const TimePoint now = BootClock::now();
    BOOST_TEST(millisUntil(now - millis(5), now) == 0);
    BOOST_TEST(millisUntil(now + millis(5), now) == 5);
}

BOOST_AUTO_TEST_SUITE_END()
