#include "almondridge/observe/metrics.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <sstream>
#include <thread>
#include <vector>

using namespace almondridge::observe;

namespace {

bool hasLine(const std::string &text, const std::string &wanted)
{
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        if (line == wanted) {
            return true;
        }
    }
    return false;
}

/** The cumulative count of the last bucket whose upper edge is at most edge. */
std::uint64_t countBelow(const std::string &text, double edge)
{
    std::istringstream lines(text);
    std::uint64_t count = 0;
    for (std::string line; std::getline(lines, line);) {
        const std::size_t at = line.find("le=\"");
        if (at == std::string::npos || std::stod(line.substr(at + 4)) > edge) {
            continue;
        }
        count = std::stoull(line.substr(line.rfind(' ')));
    }
    return count;
}

} // namespace

BOOST_AUTO_TEST_SUITE(MetricsTest)

BOOST_AUTO_TEST_CASE(countersAndGaugesArePrintedWithNameAndLabels)
{
    Metrics metrics;
    metrics.count("requests_total");
    metrics.count("refused_total", metricLabel("outcome", "not-run"), 3);
    metrics.gauge("engines", 20);
    metrics.gauge("engines", 19.5);
    const std::string text = metrics.prometheusText();
    BOOST_TEST(hasLine(text, "requests_total 1"));
    BOOST_TEST(hasLine(text, "refused_total{outcome=\"not-run\"} 3"));
    BOOST_TEST(hasLine(text, "# TYPE engines gauge"));
    BOOST_TEST(hasLine(text, "engines 19.5"));
    BOOST_TEST(metrics.counter("refused_total", "outcome=\"not-run\"") == 3U);
    BOOST_TEST(metrics.counter("refused_total") == 0U);
}

BOOST_AUTO_TEST_CASE(labelValuesAreEscaped)
{
    BOOST_TEST(metricLabel("model", "a\"b\\c\nd") == R"(model="a\"b\\c\nd")");
}

BOOST_AUTO_TEST_CASE(bucketsAreCumulative)
{
    Metrics metrics;
    for (const double seconds : {-1.0, 0.0, 0.000'05, 0.01, 0.5, 60.0, 119.0, 500.0}) {
        metrics.observeSeconds("ttft_seconds", seconds, "model=\"m\"");
    }
    metrics.observeSeconds("ttft_seconds", std::nan(""), "model=\"m\"");
    const std::string text = metrics.prometheusText();
    BOOST_TEST(countBelow(text, 0.000'11) == 3U);
    BOOST_TEST(countBelow(text, 0.1) == 4U);
    BOOST_TEST(countBelow(text, 1.0) == 5U);
    BOOST_TEST(countBelow(text, 121.0) == 7U);
    BOOST_TEST(hasLine(text, "ttft_seconds_bucket{model=\"m\",le=\"+Inf\"} 8"));
    BOOST_TEST(hasLine(text, "ttft_seconds_count{model=\"m\"} 8"));
    BOOST_TEST(hasLine(text, "ttft_seconds_sum{model=\"m\"} 679.51005"));
}

// Guards against unbounded memory use: callers send arbitrary model names, and each one added a
// label set that was never removed.
BOOST_AUTO_TEST_CASE(excessLabelSetsAreCountedAsOverflow)
{
    Metrics metrics;
    for (int index = 0; index < 10'100; ++index) {
        metrics.count("refused_total", metricLabel("model", std::to_string(index)));
    }
    BOOST_TEST(metrics.counter("refused_total", R"(overflow="true")") == 100U);
}

BOOST_AUTO_TEST_CASE(concurrentUpdatesAreNotLost)
{
    Metrics metrics;
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int index = 0; index < 4; ++index) {
        threads.emplace_back([&, index] {
            for (int count = 0; count < 1'000; ++count) {
                metrics.count("shared_total");
                metrics.observeSeconds("own_seconds_" + std::to_string(index), 0.1);
            }
            metrics.prometheusText();
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    BOOST_TEST(metrics.counter("shared_total") == 4'000U);
}

BOOST_AUTO_TEST_SUITE_END()
