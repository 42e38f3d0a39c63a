#include "almondridge/observe/timeline.h"
#include "almondridge/base/time.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <thread>

using namespace almondridge;
using namespace almondridge::observe;

namespace {

constexpr const char *HostileName = "</script><script>alert(1)</script>&\"'\n\x1b[2J\xff<!--";

Event eventAt(std::int64_t wall, std::uint32_t counter, const std::string &instance)
{
    Event event;
    event.time_ = {wall, counter};
    event.instance_ = InstanceId(instance);
    event.domain_ = DomainId("ebene");
    event.kind_ = EventKind::Lease;
    event.name_ = "lease.claimed";
    event.subject_ = "ebene";
    event.detail_ = "fence=7";
    event.durationMillis_ = 20;
    return event;
}

Event hostileEvent()
{
    Event event = eventAt(1'000, 0, HostileName);
    event.domain_ = DomainId(HostileName);
    event.name_ = event.subject_ = event.detail_ = HostileName;
    return event;
}

std::size_t countOf(const std::string &text, const std::string &piece)
{
    std::size_t count = 0;
    for (std::size_t at = text.find(piece); at != std::string::npos;
         at = text.find(piece, at + 1)) {
        ++count;
    }
    return count;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TimelineTest)

BOOST_AUTO_TEST_CASE(oldestEventsAreDroppedAndCounted)
{
    Timeline timeline(InstanceId("i1"), DomainId("ebene"), 3);
    for (int index = 0; index < 5; ++index) {
        timeline.add(EventKind::Plan, "plan.declined", std::to_string(index));
    }
    const std::vector<Event> events = timeline.events();
    BOOST_REQUIRE(events.size() == 3U);
    BOOST_TEST(events.front().subject_ == "2");
    BOOST_TEST(timeline.dropped() == 2U);
    BOOST_TEST((events[0].time_ < events[1].time_ && events[1].time_ < events[2].time_));
}

// Guards against a timeline where an engine accepts an order before the leader sends it, because
// the leader's wall clock is ahead and timestamps of two clocks are compared.
BOOST_AUTO_TEST_CASE(eventsAfterAMessageHaveLaterTimestampsDespiteClockSkew)
{
    Timeline timeline(InstanceId("i1"), DomainId("ebene"), 10);
    const HybridTime ahead {wallMillis() + 20'000, 4};
    timeline.advanceClock(ahead);
    timeline.add(EventKind::Order, "order.taken", "e1");
    BOOST_TEST((timeline.events().front().time_ > ahead));
}

// Guards against an instance whose clock is a year ahead: when the others adopted the timestamps of
// its messages, all later events had nearly the same time and lost their order.
BOOST_AUTO_TEST_CASE(timestampFarAheadDoesNotAdvanceTheClock)
{
    Timeline timeline(InstanceId("i1"), DomainId("ebene"), 10);
    timeline.advanceClock({wallMillis() + 365LL * 24 * 3'600'000, 0});
    BOOST_TEST(timeline.now().wallMillis_ < wallMillis() + 60'000);
}

BOOST_AUTO_TEST_CASE(mergedEventsAreOrderedByHybridTime)
{
    const std::vector<Event> merged = mergeEvents({{eventAt(5, 0, "b"), eventAt(7, 1, "b")},
                                                   {eventAt(5, 0, "a")},
                                                   {eventAt(7, 0, "c"), eventAt(9, 0, "c")}});
    std::string order;
    for (const Event &event : merged) {
        order += event.instance_.value();
    }
    BOOST_TEST(order == "abcbc");
}

BOOST_AUTO_TEST_CASE(eventsAreEqualAfterJsonRoundTrip)
{
    const std::vector<Event> back = eventsFromJson(eventsToJson({eventAt(1'234, 5, "i1")}));
    BOOST_REQUIRE(back.size() == 1U);
    BOOST_TEST(timelineText(back)
               == "1970-01-01T00:00:01.234Z instance=i1 domain=ebene event=lease.claimed "
                  "subject=ebene duration_ms=20 fence=7\n");
    BOOST_TEST(back[0].time_.counter_ == 5U);
}

BOOST_AUTO_TEST_CASE(invalidEventsAreSkipped)
{
    BOOST_TEST(eventsFromJson("").empty());
    BOOST_TEST(eventsFromJson("{\"kind\":\"lease\"}").empty());
    BOOST_TEST(eventsFromJson("[1,null,{},{\"kind\":\"no\"},{\"kind\":7}]").empty());
    BOOST_TEST(eventsFromJson(std::string(100'000, '[') + std::string(100'000, ']')).empty());
    const std::vector<Event> odd = eventsFromJson(
        R"([{"kind":"plan","wall_ms":9223372036854775807,"duration_ms":-9223372036854775808}])");
    BOOST_REQUIRE(odd.size() == 1U);
    BOOST_TEST(!timelineText(odd).empty());
    BOOST_TEST(!timelineChromeTrace(odd).empty());
}

BOOST_AUTO_TEST_CASE(chromeTraceHasAProcessPerInstanceAndARowPerKind)
{
    const auto trace = nlohmann::json::parse(
        timelineChromeTrace({eventAt(1'000, 2, "i1"), eventAt(1'000, 0, "i2")}));
    const auto &entries = trace.at("traceEvents");
    BOOST_TEST(entries.size() == 2 * (2 + EventKindNames.size()));
    const auto &last = entries.at(EventKindNames.size() + 1);
    BOOST_TEST(last.at("ph") == "X");
    BOOST_TEST(last.at("ts") == 980'002);
    BOOST_TEST(last.at("dur") == 20'000);
}

// Guards against script injection: a caller's text with "</script>" in a subject or name would run
// in the operator's browser when the timeline is opened.
BOOST_AUTO_TEST_CASE(hostileNamesAreEscapedInEveryFormat)
{
    const std::vector<Event> events {hostileEvent()};
    const std::string empty = timelineHtml({});
    const std::string page = timelineHtml(events);
    for (const char *piece : {"<script", "</script", "<!--", "http://", "https://", "src="}) {
        BOOST_TEST(countOf(page, piece) == countOf(empty, piece));
    }
    BOOST_TEST(countOf(timelineText(events), "\n") == 1U);
    BOOST_TEST(countOf(timelineText(events), "\x1b") == 0U);
    const std::vector<Event> back = eventsFromJson(eventsToJson(events));
    BOOST_TEST(back.at(0).subject_.find("</script><script>alert(1)") == 0U);
    BOOST_TEST(nlohmann::json::accept(timelineChromeTrace(events)));
}

BOOST_AUTO_TEST_CASE(concurrentAddsAreNotLost)
{
    Timeline timeline(InstanceId("i1"), DomainId("ebene"), 100);
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int index = 0; index < 4; ++index) {
        threads.emplace_back([&] {
            for (int count = 0; count < 500; ++count) {
                timeline.add(EventKind::Request, "request.accepted", "r");
                timeline.advanceClock(timeline.now());
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    BOOST_TEST(timeline.dropped() + timeline.events().size() == 2'000U);
}

BOOST_AUTO_TEST_SUITE_END()
