#include "almondridge/observe/requesthistory.h"

#include <boost/test/unit_test.hpp>

using namespace almondridge::observe;

namespace {

std::vector<LogLine> parse(const std::vector<std::string> &texts)
{
    std::vector<LogLine> lines;
    for (const std::string &text : texts) {
        if (auto line = parseLogLine(text)) {
            lines.push_back(std::move(*line));
        }
    }
    return lines;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RequestHistory)

BOOST_AUTO_TEST_CASE(logLineIsParsedAfterAnyPrefix)
{
    const auto line =
        parseLogLine(R"(  -9.2 front-1 time=T1 event=x text="a \"b\" c" empty="" last=3)");
    BOOST_REQUIRE(line.has_value());
    BOOST_TEST(line->value("time") == "T1");
    BOOST_TEST(line->value("text") == "a \"b\" c");
    BOOST_TEST(line->value("empty").empty());
    BOOST_TEST(line->value("last") == "3");
    BOOST_TEST(!parseLogLine("worth 0.5 = whole day").has_value());
}

/**
 * Guards against a history that misses the lines on the request's endpoints or dependencies, or
 * that includes lines of other instances and requests.
 */
BOOST_AUTO_TEST_CASE(historyHasTheRequestItsEndpointsAndDependencies)
{
    const std::string ended = "time=T5 instance=a event=request id=r1 outcome=refused status=503 "
                              "cause=engine-full endpoints=e1,e2";
    const auto history = requestHistory(
        parse({"time=T1 instance=a event=endpoint endpoint=e1 state=ready",
               "time=T1 instance=b event=endpoint endpoint=e1 state=ready",
               "time=T2 instance=a event=store_lost topic=keyed.servers",
               "time=T3 instance=a event=endpoint_trust endpoint=e2 trusted=no request=other",
               ended, "time=T4 instance=a event=not_run id=r1 endpoint=e1 status=503",
               "time=T4 instance=a event=request id=r2 outcome=answered cause=\"\" endpoints=e3",
               "time=T6 instance=a event=endpoint endpoint=e1 state=gone"}),
        "r1");
    BOOST_REQUIRE(history.size() == 6U);
    BOOST_TEST(history[0].starts_with("time=T1 instance=a"));
    BOOST_TEST(history[1].starts_with("time=T2"));
    BOOST_TEST(history[2].starts_with("time=T3"));
    BOOST_TEST(history[3].starts_with("time=T4 instance=a event=not_run"));
    BOOST_TEST(history[4].starts_with("time=T5"));
    BOOST_TEST(history[5].starts_with("cause: engine-full"));
}

/** Guards against a quarantined request, which is never sent, whose history lacks the evidence. */
BOOST_AUTO_TEST_CASE(historyOfAQuarantinedRequestHasTheEvidence)
{
    const auto history = requestHistory(
        parse(
            {"time=T1 instance=a event=request_quarantined id=r1 key=k crashes=3 last_crash_ms=900",
             "time=T1 instance=a event=request id=r1 key=k outcome=refused status=503 "
             "cause=quarantined sends=0 endpoints=\"\""}),
        "r1");
    BOOST_REQUIRE(history.size() == 3U);
    BOOST_TEST(history[0].find("crashes=3") != std::string::npos);
    BOOST_TEST(history[2].starts_with("cause: quarantined: "));
}

BOOST_AUTO_TEST_CASE(unknownRequestHasNoHistory)
{
    BOOST_TEST(requestHistory(parse({"time=T1 event=request id=r1"}), "r2").empty());
}

BOOST_AUTO_TEST_SUITE_END()
