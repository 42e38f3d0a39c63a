#include "prompts.h"

#include "almondridge/gateway/peerload.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace almondridge;
using namespace almondridge::gateway;
using namespace almondridge::gateway::testing;

BOOST_AUTO_TEST_SUITE(LoadReports)

/**
 * Guards against estimates that take an unread prompt part for cached. Each of 68 instances
 * occasionally sends the first prompt with a shared part; taken for cached, it was estimated at 23
 * ms and took 509 ms, which made the prompts queued behind it late as well. Instances therefore
 * report which parts were read where.
 */
BOOST_AUTO_TEST_CASE(partsThatEnginesReadAreReportedToPeers)
{
    const EndpointTable table = fleet(12, 6);
    const Prompt prompt = promptWith(1);
    Placement reader({DomainId("a")});
    Placement other({DomainId("a")});
    const PromptPlan first = *planFor(reader, table, prompt);
    BOOST_TEST(first.cacheHitUnknown_);
    BOOST_TEST(first.uncachedTokens_ > prompt.unsharedTokens());
    reader.onPromptSent(table.find(*first.prefill_)->listed_, prompt, at(0));
    LoadReport report {InstanceId("reader"), 1, 1};
    report.readParts_ = reader.takeNewCachedParts();
    BOOST_TEST(report.readParts_.size() == 1U); // No other prompt shares the prompt's own part.
    BOOST_TEST(reader.takeNewCachedParts().empty());
    other.onPeerCachedParts(decodeLoadReport(encodeLoadReport(report))->readParts_, at(0));
    BOOST_TEST(other.takeNewCachedParts().empty()); // Received parts are not forwarded.
    const PromptPlan second = *planFor(other, table, prompt);
    BOOST_TEST((second.prefill_ == first.prefill_));
    BOOST_TEST(!second.cacheHitUnknown_);
    BOOST_TEST(second.uncachedTokens_ == prompt.unsharedTokens());
}

/**
 * Guards against ignoring other instances' load: nine instances would send to the same idle engine.
 */
BOOST_AUTO_TEST_CASE(queuesOfOtherInstancesCount)
{
    EndpointTable table = fleet(12, 6);
    const Placement placement({DomainId("a")});
    const auto home = *planFor(placement, table, promptWith(1))->prefill_;
    PeerLoads loads;
    LoadReport report {InstanceId("other"), 1, 1};
    report.queued_[home].add(1, 50'000);
    loads.onReport(*decodeLoadReport(encodeLoadReport(report)), table, at(0));
    BOOST_TEST((planFor(placement, table, promptWith(1))->prefill_ != home));
    loads.removeExpired(table, at(5'000));
    BOOST_TEST((planFor(placement, table, promptWith(1))->prefill_ == home));
}

/** Guards against reordered datagrams. A restarted peer starts its sequence numbers anew. */
BOOST_AUTO_TEST_CASE(olderReportDoesNotReplaceNewerOne)
{
    EndpointTable table = fleet(1, 1);
    const EndpointId id("engine-0");
    PeerLoads loads;
    const auto receive = [&](std::uint64_t lifetime, std::uint64_t number, std::int64_t tokens) {
        LoadReport report {InstanceId("other"), lifetime, number};
        report.queued_[id].add(0, tokens);
        loads.onReport(report, table, at(0));
        return table.find(id)->peerQueued_.all();
    };
    BOOST_TEST(receive(1, 2, 500) == 500);
    BOOST_TEST(receive(1, 1, 900) == 500);
    BOOST_TEST(receive(2, 1, 70) == 70);
    BOOST_TEST(receive(1, 3, 900) == 70);
}

/**
 * Guards against several instances or none asking for the right to give orders. One asks; when it
 * falls silent or loses the store, the next one does, without a vote.
 */
BOOST_AUTO_TEST_CASE(oneInstanceIsPreferredLeaderUntilItIsSilentOrLosesTheStore)
{
    EndpointTable table;
    constexpr int Count = 9;
    std::array<PeerLoads, Count> views;
    const auto name = [](int number) { return InstanceId("instance-" + std::to_string(number)); };
    const auto receive = [&](int sender, bool canLead, std::uint64_t number, TimePoint now) {
        for (int self = 0; self < Count; ++self) {
            if (self != sender) {
                views[self].onReport({name(sender), 1, number, {}, canLead}, table, now);
            }
        }
    };
    const auto leader = [&] {
        int found = -1;
        for (int self = 0; self < Count; ++self) {
            if (views[self].isPreferredLeader(name(self))) {
                BOOST_TEST(found == -1);
                found = self;
            }
        }
        return found;
    };
    for (int sender = 0; sender < Count; ++sender) {
        receive(sender, true, 1, at(0));
    }
    const int first = leader();
    BOOST_REQUIRE(first >= 0);
    receive(first, false, 2, at(100));
    int others = 0;
    for (int self = 0; self < Count; ++self) {
        others += self != first && views[self].isPreferredLeader(name(self)) ? 1 : 0;
    }
    BOOST_TEST(others == 1);
    receive(first, true, 3, at(200));
    BOOST_TEST(leader() == first);
}

/**
 * Guards against an instance that asks for the lease while another one holds it, because it ranks
 * first. The store could then pass the lease on, and no instance could give orders for seconds.
 */
BOOST_AUTO_TEST_CASE(noInstanceAsksWhileAnotherOneIsLeader)
{
    EndpointTable table;
    PeerLoads loads;
    LoadReport report {InstanceId("holder"), 1, 1};
    report.canLead_ = true;
    report.isLeader_ = true;
    loads.onReport(report, table, at(0));
    for (int number = 0; number < 20; ++number) {
        BOOST_TEST(!loads.isPreferredLeader(InstanceId("instance-" + std::to_string(number))));
    }
    loads.removeExpired(table, at(4'000));
    BOOST_TEST(loads.isPreferredLeader(InstanceId("instance-1")));
}

/**
 * Guards against sending work to an engine that is changing its stage. It answers 503 and runs
 * nothing, so it looks idle to instances that do not know of the order.
 */
BOOST_AUTO_TEST_CASE(changingEngineGetsNoWorkFromAnyInstance)
{
    EndpointTable table = fleet(0, 2);
    PeerLoads loads;
    LoadReport report {InstanceId("leader"), 1, 1};
    report.changingMillis_[EndpointId("engine-0")] = 3'000;
    loads.onReport(report, table, at(0));
    BOOST_TEST(table.usable(Models, at(2'900)).size() == 1U);
    BOOST_TEST(table.usable(Models, at(3'100)).size() == 2U);
    loads.onReport({InstanceId("leader"), 1, 2, report.changingMillis_}, table, at(4'000));
    table.list(engine(0, Stage::Prefill), at(5'000));
    BOOST_TEST(table.usable(Models, at(5'000)).size() == 2U);
}

/**
 * Guards against a forged report with counts beyond the range of int. Converted to negative values,
 * they would make a full engine look idle until the next report.
 */
BOOST_AUTO_TEST_CASE(impossibleCountsAreClamped)
{
    LoadReport report;
    report.sender_ = InstanceId("peer");
    report.sequence_ = 1;
    report.slotUse_[EndpointId("engine-0")] = {1, 1};
    nlohmann::json json = nlohmann::json::from_cbor(encodeLoadReport(report));
    constexpr std::size_t SlotUseField = 11;
    json[SlotUseField]["engine-0"] = {3'000'000'000U, 18'446'744'073'709'551'615ULL};
    std::string bytes;
    nlohmann::json::to_cbor(json, bytes);
    const auto read = decodeLoadReport(bytes);
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read->slotUse_.at(EndpointId("engine-0")).inTime_ == 100'000);
    BOOST_TEST(read->slotUse_.at(EndpointId("engine-0")).late_ == 100'000);
}

BOOST_AUTO_TEST_CASE(malformedReportIsIgnored)
{
    LoadReport report {InstanceId("other"), 1, 1};
    report.queued_[EndpointId("e")].add(9, 3);
    report.changingMillis_[EndpointId("f")] = 2'900;
    const std::string bytes = encodeLoadReport(report);
    BOOST_TEST((decodeLoadReport(bytes)->queued_ == report.queued_));
    BOOST_TEST((decodeLoadReport(bytes)->changingMillis_ == report.changingMillis_));
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        BOOST_TEST(!decodeLoadReport(bytes.substr(0, length)).has_value());
    }
    BOOST_TEST(!decodeLoadReport("\xff").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
