#include "prompts.h"

#include "almondridge/gateway/peerload.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace almondridge;
using namespace almondridge::gateway;
using namespace almondridge::gateway::testing;

BOOST_AUTO_TEST_SUITE(NotesOfPeers)

/**
 * Each of 68 instances sends a subject's prompts for the first time now and then. Taken for cached
 * at its first engine, a part that nobody had read yet was estimated at 23 ms and took 509, and
 * the prompts behind it were late too. The instances tell each other which parts were read where.
 */
BOOST_AUTO_TEST_CASE(whichPartsWereReadWhereIsToldToTheOthers)
{
    const EndpointTable table = fleet(12, 6);
    const Prompt prompt = promptWith(1);
    Placement reader({DomainId("a")});
    Placement other({DomainId("a")});
    const PromptPlan first = *planFor(reader, table, prompt);
    BOOST_TEST(first.partsUnknown_);
    BOOST_TEST(first.newTokens_ > prompt.unsharedTokens());
    reader.onPromptRead(table.find(*first.prefill_)->listed_, prompt, at(0));
    LoadNote note {InstanceId("reader"), 1, 1};
    note.readParts_ = reader.takeReadParts();
    BOOST_TEST(note.readParts_.size() == 1U); // Nobody else asks with the prompt's own part.
    BOOST_TEST(reader.takeReadParts().empty());
    other.onPartsTold(decodeNote(encodeNote(note))->readParts_, at(0));
    BOOST_TEST(other.takeReadParts().empty()); // Hearsay is not passed on.
    const PromptPlan second = *planFor(other, table, prompt);
    BOOST_TEST((second.prefill_ == first.prefill_));
    BOOST_TEST(!second.partsUnknown_);
    BOOST_TEST(second.newTokens_ == prompt.unsharedTokens());
}

/** What the other instances have sent counts like our own, or nine of them would herd. */
BOOST_AUTO_TEST_CASE(theQueuesOfOtherInstancesCount)
{
    EndpointTable table = fleet(12, 6);
    const Placement placement({DomainId("a")});
    const auto home = *planFor(placement, table, promptWith(1))->prefill_;
    PeerLoads loads;
    LoadNote note {InstanceId("other"), 1, 1};
    note.queued_[home].add(1, 50'000);
    loads.onNote(*decodeNote(encodeNote(note)), table, at(0));
    BOOST_TEST((planFor(placement, table, promptWith(1))->prefill_ != home));
    loads.forgetSilent(table, at(5'000));
    BOOST_TEST((planFor(placement, table, promptWith(1))->prefill_ == home));
}

/** Datagrams overtake each other, and a restarted peer counts anew. */
BOOST_AUTO_TEST_CASE(anOlderNoteDoesNotReplaceANewerOne)
{
    EndpointTable table = fleet(1, 1);
    const EndpointId id("engine-0");
    PeerLoads loads;
    const auto hear = [&](std::uint64_t lifetime, std::uint64_t number, std::int64_t tokens) {
        LoadNote note {InstanceId("other"), lifetime, number};
        note.queued_[id].add(0, tokens);
        loads.onNote(note, table, at(0));
        return table.find(id)->foreignQueued_.all();
    };
    BOOST_TEST(hear(1, 2, 500) == 500);
    BOOST_TEST(hear(1, 1, 900) == 500);
    BOOST_TEST(hear(2, 1, 70) == 70);
    BOOST_TEST(hear(1, 3, 900) == 70);
}

/**
 * Of all instances one asks for the right to give orders. When it falls silent or loses the store
 * the next one does, without a vote.
 */
BOOST_AUTO_TEST_CASE(oneInstanceLeadsUntilItIsSilentOrCutOff)
{
    EndpointTable table;
    constexpr int Count = 9;
    std::array<PeerLoads, Count> views;
    const auto name = [](int number) { return InstanceId("instance-" + std::to_string(number)); };
    const auto hear = [&](int sender, bool mayLead, std::uint64_t number, TimePoint now) {
        for (int self = 0; self < Count; ++self) {
            if (self != sender) {
                views[self].onNote({name(sender), 1, number, {}, mayLead}, table, now);
            }
        }
    };
    const auto leader = [&] {
        int found = -1;
        for (int self = 0; self < Count; ++self) {
            if (views[self].leads(name(self))) {
                BOOST_TEST(found == -1);
                found = self;
            }
        }
        return found;
    };
    for (int sender = 0; sender < Count; ++sender) {
        hear(sender, true, 1, at(0));
    }
    const int first = leader();
    BOOST_REQUIRE(first >= 0);
    hear(first, false, 2, at(100));
    int others = 0;
    for (int self = 0; self < Count; ++self) {
        others += self != first && views[self].leads(name(self)) ? 1 : 0;
    }
    BOOST_TEST(others == 1);
    hear(first, true, 3, at(200));
    BOOST_TEST(leader() == first);
}

/**
 * The lease has a holder, and an instance starts that comes before it in the order. If it asked,
 * the store could hand the lease on, and for seconds nobody could give orders.
 */
BOOST_AUTO_TEST_CASE(nobodyAsksWhileAnotherInstanceLeads)
{
    EndpointTable table;
    PeerLoads loads;
    LoadNote note {InstanceId("holder"), 1, 1};
    note.mayLead_ = true;
    note.leads_ = true;
    loads.onNote(note, table, at(0));
    for (int number = 0; number < 20; ++number) {
        BOOST_TEST(!loads.leads(InstanceId("instance-" + std::to_string(number))));
    }
    loads.forgetSilent(table, at(4'000));
    BOOST_TEST(loads.leads(InstanceId("instance-1")));
}

/**
 * An engine that changes its stage answers 503 with nothing running, so it looks idle and draws
 * every request of the instances that do not know of its order.
 */
BOOST_AUTO_TEST_CASE(anEngineThatChangesGetsNoWorkFromAnyInstance)
{
    EndpointTable table = fleet(0, 2);
    PeerLoads loads;
    LoadNote note {InstanceId("leader"), 1, 1};
    note.changingMillis_[EndpointId("engine-0")] = 3'000;
    loads.onNote(note, table, at(0));
    BOOST_TEST(table.usable(Models, at(2'900)).size() == 1U);
    BOOST_TEST(table.usable(Models, at(3'100)).size() == 2U);
    loads.onNote({InstanceId("leader"), 1, 2, note.changingMillis_}, table, at(4'000));
    table.list(engine(0, Stage::Prefill), at(5'000));
    BOOST_TEST(table.usable(Models, at(5'000)).size() == 2U);
}

/**
 * A datagram of somebody else's has the form of a note and counts beyond any int. Read as negative
 * ones they would make a full engine look idle to this instance until the next note.
 */
BOOST_AUTO_TEST_CASE(countsThatNoInstanceCanHaveAreCutToTheMost)
{
    LoadNote note;
    note.sender_ = InstanceId("peer");
    note.number_ = 1;
    note.slotUse_[EndpointId("engine-0")] = {1, 1};
    nlohmann::json json = nlohmann::json::from_cbor(encodeNote(note));
    constexpr std::size_t SlotUseField = 11;
    json[SlotUseField]["engine-0"] = {3'000'000'000U, 18'446'744'073'709'551'615ULL};
    std::string bytes;
    nlohmann::json::to_cbor(json, bytes);
    const auto read = decodeNote(bytes);
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read->slotUse_.at(EndpointId("engine-0")).inTime_ == 100'000);
    BOOST_TEST(read->slotUse_.at(EndpointId("engine-0")).late_ == 100'000);
}

BOOST_AUTO_TEST_CASE(whatIsNoNoteIsIgnored)
{
    LoadNote note {InstanceId("other"), 1, 1};
    note.queued_[EndpointId("e")].add(9, 3);
    note.changingMillis_[EndpointId("f")] = 2'900;
    const std::string bytes = encodeNote(note);
    BOOST_TEST((decodeNote(bytes)->queued_ == note.queued_));
    BOOST_TEST((decodeNote(bytes)->changingMillis_ == note.changingMillis_));
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        BOOST_TEST(!decodeNote(bytes.substr(0, length)).has_value());
    }
    BOOST_TEST(!decodeNote("\xff").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
