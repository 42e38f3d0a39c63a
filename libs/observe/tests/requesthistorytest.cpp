#include "almondridge/observe/requesthistory.h"

#include <boost/test/unit_test.hpp>

using namespace almondridge::observe;

namespace {

std::vector<LogLine> read(const std::vector<std::string> &texts)
{
    std::vector<LogLine> lines;
    for (const std::string &text : texts) {
        if (auto line = readLogLine(text)) {
            lines.push_back(std::move(*line));
        }
    }
    return lines;
}

} // namespace

BOOST_AUTO_TEST_SUITE(LogStory)

BOOST_AUTO_TEST_CASE(aLineIsTakenApartWhateverStandsBeforeIt)
{
    const auto line =
        readLogLine(R"(  -9.2 front-1 time=T1 event=x text="a \"b\" c" empty="" last=3)");
    BOOST_REQUIRE(line.has_value());
    BOOST_TEST(line->value("time") == "T1");
    BOOST_TEST(line->value("text") == "a \"b\" c");
    BOOST_TEST(line->value("empty").empty());
    BOOST_TEST(line->value("last") == "3");
    BOOST_TEST(!readLogLine("worth 0.5 = whole day").has_value());
}

/**
 * A caller complains of a refused request. Its id leads to its line, to the two engines that it
 * met, and to what its instance believed of them before; other instances and requests stay out.
 */
BOOST_AUTO_TEST_CASE(aStoryHasTheRequestItsEndpointsAndItsDependencies)
{
    const std::string ended = "time=T5 instance=a event=request id=r1 outcome=refused status=503 "
                              "cause=engine-full endpoints=e1,e2";
    const auto story = tellStory(
        read({"time=T1 instance=a event=endpoint endpoint=e1 state=ready",
              "time=T1 instance=b event=endpoint endpoint=e1 state=ready",
              "time=T2 instance=a event=store_lost topic=keyed.servers",
              "time=T3 instance=a event=endpoint_trust endpoint=e2 trusted=no request=other", ended,
              "time=T4 instance=a event=not_run id=r1 endpoint=e1 status=503",
              "time=T4 instance=a event=request id=r2 outcome=answered cause=\"\" endpoints=e3",
              "time=T6 instance=a event=endpoint endpoint=e1 state=gone"}),
        "r1");
    BOOST_REQUIRE(story.size() == 6U);
    BOOST_TEST(story[0].starts_with("time=T1 instance=a"));
    BOOST_TEST(story[1].starts_with("time=T2"));
    BOOST_TEST(story[2].starts_with("time=T3"));
    BOOST_TEST(story[3].starts_with("time=T4 instance=a event=not_run"));
    BOOST_TEST(story[4].starts_with("time=T5"));
    BOOST_TEST(story[5].starts_with("cause: engine-full"));
}

/** Who is refused without having been sent anywhere learns from the story what is held against it.
 */
BOOST_AUTO_TEST_CASE(aQuarantinedRequestsStoryHasTheEvidence)
{
    const auto story = tellStory(
        read(
            {"time=T1 instance=a event=request_quarantined id=r1 key=k crashes=3 last_crash_ms=900",
             "time=T1 instance=a event=request id=r1 key=k outcome=refused status=503 "
             "cause=quarantined sends=0 endpoints=\"\""}),
        "r1");
    BOOST_REQUIRE(story.size() == 3U);
    BOOST_TEST(story[0].find("crashes=3") != std::string::npos);
    BOOST_TEST(story[2].starts_with("cause: quarantined: "));
}

BOOST_AUTO_TEST_CASE(anUnknownRequestHasNoStory)
{
    BOOST_TEST(tellStory(read({"time=T1 event=request id=r1"}), "r2").empty());
}

BOOST_AUTO_TEST_SUITE_END()
