#include "../src/boundedsink.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <spdlog/spdlog.h>
#include <unistd.h>

using namespace almondridge;

BOOST_AUTO_TEST_SUITE(BoundedLog)

/**
 * Guards against blocking writes to a full pipe, which would stall every request of the instance
 * when the log collector stops reading. Lines are dropped, and a log line reports their number once
 * the pipe has room again.
 */
BOOST_AUTO_TEST_CASE(stalledReaderNeverBlocksTheWriter)
{
    std::array<int, 2> pipe {};
    BOOST_REQUIRE(::pipe(pipe.data()) == 0);
    auto sink = std::make_shared<BoundedSink>(pipe[1]);
    spdlog::logger logger("test", sink);
    logger.set_pattern("%v");
    const std::string line(100, 'x');
    for (int count = 0; count < 10'000; ++count) {
        logger.info(line);
    }
    logger.flush();
    BOOST_TEST(sink->dropped() > 0U);
    BOOST_TEST(sink->dropped() < 10'000U);

    std::string text;
    std::array<char, 65'536> buffer {};
    while (text.find("event=log_dropped lines=") == std::string::npos) {
        const ssize_t got = ::read(pipe[0], buffer.data(), buffer.size());
        BOOST_REQUIRE(got > 0);
        text.append(buffer.data(), static_cast<std::size_t>(got));
        logger.flush();
    }
    ::close(pipe[0]);
    ::close(pipe[1]);
}

BOOST_AUTO_TEST_SUITE_END()
