#include "enginefleet.h"

#include "almondridge/gateway/peerload.h"
#include "almondridge/gateway/placement.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <set>

using namespace almondridge;
using namespace almondridge::gateway;
using namespace almondridge::gateway::testing;

namespace {

Prompt promptWith(std::uint64_t sharedPart, std::int64_t sharedTokens = 13'000)
{
    Prompt prompt;
    prompt.tokens_ = sharedTokens + 3'000;
    prompt.parts_ = {{sharedPart, sharedTokens}, {sharedPart * 1'000 + 7, 3'000}};
    return prompt;
}

PromptQuery query(const Prompt &prompt, std::int64_t inTimeMillis = 600, int priority = 1)
{
    return {Models, &prompt, priority, at(inTimeMillis), {}};
}

std::optional<PromptPlan> planFor(const Placement &placement, const EndpointTable &table,
                                  const Prompt &prompt)
{
    return placement.planPrompt(table, query(prompt), at(0));
}

} // namespace

BOOST_AUTO_TEST_SUITE(Endpoints)

BOOST_AUTO_TEST_CASE(aDrainingOrUnlistedEndpointGetsNoNewWork)
{
    EndpointTable table = fleet(0, 3);
    ListedEndpoint draining = engine(0, Stage::Decode);
    draining.draining_ = true;
    table.list(draining, at(0));
    table.unlist(EndpointId("engine-1"));
    const auto usable = table.usable(Models, at(0));
    BOOST_REQUIRE(usable.size() == 1U);
    BOOST_TEST(usable.front()->listed_.id_.value() == "engine-2");
}

// With 10,000 endpoints an instance of an eighth of a core spends a third of it on going through
// all of them twenty times a second, though it has requests at two or three.
BOOST_AUTO_TEST_CASE(onlyEndpointsWithSomethingToTellAreActive)
{
    constexpr int Engines = 10'000;
    EndpointTable table = fleet(Engines / 5, Engines - Engines / 5);
    table.forgetIdle(at(0));
    BOOST_TEST(table.active().empty());
    const EndpointId busy("engine-1");
    const EndpointId away("engine-2");
    const EndpointId told("engine-3");
    table.onSent(busy, 0, 100, at(0));
    table.onEvidence(away, Evidence::Unreachable, at(0));
    table.find(told)->foreignSlotUse_.add(false);
    table.forgetIdle(at(1));
    BOOST_TEST(table.active().size() == 3U);
    BOOST_TEST(table.unreached(at(1)).size() == 1U);
    BOOST_TEST(table.takeTests(at(1'000)).size() == 1U);

    table.onRead(busy, 0, 100);
    table.onClosed(busy, 0);
    table.onTested(away, true, at(1'100));
    table.find(told)->foreignSlotUse_.remove(false);
    table.forgetIdle(at(20'000));
    BOOST_TEST(table.active().empty());
}

BOOST_AUTO_TEST_CASE(anUnlistedEndpointIsKnownUntilItsLastRequestEnds)
{
    EndpointTable table = fleet(0, 1);
    const EndpointId id("engine-0");
    table.onSent(id, 0, 0, at(0));
    table.unlist(id);
    BOOST_TEST((table.find(id) != nullptr));
    table.onClosed(id, 0);
    BOOST_TEST((table.find(id) == nullptr));
}

/**
 * An endpoint goes dark: connections to it break or stay silent. It is left alone for a time that
 * grows, then one request tests it, and only its sound answer brings the others back.
 */
/**
 * An engine crashes and starts again under its old id. Requests of before are still counted as its
 * queue, its parts as cached, and an order as on its way: it got no work, or prompts that it had
 * to read whole. The entry of the earlier lifetime comes once more, late.
 */
BOOST_AUTO_TEST_CASE(aRestartUnderTheSameIdForgetsAllThatWasKnown)
{
    EndpointTable table;
    ListedEndpoint listed = engine(1, Stage::Prefill);
    listed.startedAtMillis_ = 1'000;
    table.list(listed, at(0));
    const EndpointId id = listed.id_;
    Placement placement({DomainId("a")});
    const Prompt prompt = promptWith(1);
    placement.onPromptRead(listed, prompt, at(0));
    table.onSent(id, 1, 30'000, at(0));
    table.onEvidence(id, Evidence::Silent, at(0));
    table.onChanging(id, at(3'000));
    BOOST_TEST(table.usable(Models, at(1)).empty());

    ListedEndpoint again = listed;
    again.startedAtMillis_ = 2'000;
    BOOST_TEST((table.list(again, at(1)) == Listing::Restarted));
    BOOST_TEST(table.usable(Models, at(1)).size() == 1U);
    const Endpoint *restarted = table.find(id);
    BOOST_TEST(restarted->outstanding() == 0);
    BOOST_TEST(restarted->queued_.all() == 0);
    BOOST_TEST(PromptMemory::keyOf(again, 1) != PromptMemory::keyOf(listed, 1));

    BOOST_TEST((table.list(listed, at(2)) == Listing::Same));
    BOOST_TEST(table.find(id)->listed_.startedAtMillis_ == 2'000);
    table.unlist(id);
    BOOST_TEST((table.find(id) != nullptr)); // The request of before has not ended.
    table.onClosedOfEarlierLifetime(id);
    BOOST_TEST((table.find(id) == nullptr));
    BOOST_TEST((table.list(listed, at(3)) == Listing::Same));
    BOOST_TEST(table.listed(Models).empty());
    BOOST_TEST((table.list(again, at(4)) == Listing::Changed));
}

/** An engine that begins to tell when it started has not restarted. */
BOOST_AUTO_TEST_CASE(aStartThatIsToldForTheFirstTimeIsNoRestart)
{
    EndpointTable table;
    ListedEndpoint listed = engine(1, Stage::Prefill);
    table.list(listed, at(0));
    table.onSent(listed.id_, 1, 30'000, at(0));
    listed.startedAtMillis_ = 1'000;
    BOOST_TEST((table.list(listed, at(1)) == Listing::Changed));
    BOOST_TEST(table.find(listed.id_)->outstanding() == 1);
    listed.startedAtMillis_ = 0;
    table.list(listed, at(2));
    BOOST_TEST(table.find(listed.id_)->listed_.startedAtMillis_ == 1'000);
}

BOOST_AUTO_TEST_CASE(aDistrustedEndpointIsTestedByOneRequest)
{
    EndpointTable table = fleet(0, 1);
    const EndpointId id("engine-0");
    BOOST_TEST(!table.onEvidence(id, Evidence::Broken, at(0)));
    BOOST_TEST(table.onEvidence(id, Evidence::Broken, at(0)));
    BOOST_TEST(table.usable(Models, at(100)).empty());
    BOOST_TEST(table.usable(Models, at(1'000)).size() == 1U);
    table.onSent(id, 0, 0, at(0));
    BOOST_TEST(table.usable(Models, at(1'000)).empty());
    BOOST_TEST(table.onEvidence(id, Evidence::Sound, at(1'100)));
    BOOST_TEST(table.usable(Models, at(1'100)).size() == 1U);
}

/**
 * A failure domain is cut off with a third of the engines. Requests as tests would lose one at
 * each of them, at each instance, every two seconds: a connection tests them instead, less and
 * less often.
 */
BOOST_AUTO_TEST_CASE(anEndpointThatWasNotReachedIsTestedByConnectionsOnly)
{
    EndpointTable table = fleet(0, 2);
    const EndpointId id("engine-0");
    BOOST_TEST(table.onEvidence(id, Evidence::Unreachable, at(0)));
    BOOST_TEST(table.takeTests(at(100)).empty());
    std::vector<int> triedAt;
    for (int now = 0; now < 6'000; now += 50) {
        BOOST_TEST(table.usable(Models, at(now)).size() == 1U);
        for (const EndpointId &due : table.takeTests(at(now))) {
            BOOST_TEST((due == id));
            triedAt.push_back(now);
            table.onTested(id, false, at(now));
        }
    }
    BOOST_TEST(triedAt.size() >= 5U);
    BOOST_TEST(triedAt.size() <= 8U);
    table.takeTests(at(9'000));
    table.onTested(id, true, at(9'000));
    BOOST_TEST(table.usable(Models, at(9'000)).size() == 2U);
}

/**
 * A crash takes engines away that each instance would have to find out about by itself, with one
 * request each. What a peer says is checked, not believed: it may be the one that is cut off.
 */
BOOST_AUTO_TEST_CASE(whatAPeerDidNotReachIsTestedBeforeTheNextRequest)
{
    EndpointTable table = fleet(0, 3);
    PeerLoads loads;
    LoadNote note {InstanceId("peer"), 1, 1};
    note.unreached_ = {EndpointId("engine-0"), EndpointId("engine-1"), EndpointId("unknown")};
    table.onEvidence(EndpointId("engine-1"), Evidence::Sound, at(900));
    loads.onNote(*decodeNote(encodeNote(note)), table, at(1'000));
    BOOST_TEST(table.usable(Models, at(1'000)).size() == 2U);
    BOOST_TEST((table.takeTests(at(1'000)) == std::vector {EndpointId("engine-0")}));
    table.onTested(EndpointId("engine-0"), true, at(1'004));
    BOOST_TEST(table.usable(Models, at(1'004)).size() == 3U);
    BOOST_TEST(table.unreached(at(1'004)).empty()); // Hearsay is not passed on.
    note.number_ = 2;
    loads.onNote(note, table, at(1'400)); // The same news again: it was tested.
    BOOST_TEST(!table.find(EndpointId("engine-0"))->awaitsTest_);
    table.onEvidence(EndpointId("engine-2"), Evidence::Silent, at(2'000));
    BOOST_TEST((table.unreached(at(2'500)) == std::vector {EndpointId("engine-2")}));
    BOOST_TEST(table.unreached(at(4'000)).empty());
}

/**
 * A sixth of the engines resets four requests in ten and answers the others, and each of eighty
 * instances meets one of them every three seconds. No instance sees failures in a row, and a
 * hundred streams a second were lost for six seconds. Together the instances see them at once.
 */
BOOST_AUTO_TEST_CASE(anEngineThatFailsFarMoreThanTheOthersIsLeftOutByAllInstances)
{
    EndpointTable table = fleet(0, 12);
    table.setInstances(8);
    PeerLoads loads;
    for (int number = 0; number < 12; ++number) {
        const EndpointId id("engine-" + std::to_string(number));
        for (int request = 0; request < 2; ++request) {
            table.onSent(id, 0, 0, at(0));
            table.onEvidence(id, Evidence::Sound, at(0));
            table.onClosed(id, 0);
        }
    }
    for (int peer = 0; peer < 7; ++peer) {
        LoadNote note {InstanceId("peer-" + std::to_string(peer)), 1, 1};
        note.failures_[EndpointId("engine-1")] = 0.9; // 6 of some 16 requests.
        note.failures_[EndpointId("engine-2")] = 0.5; // 3.5: as any endpoint may have.
        loads.onNote(*decodeNote(encodeNote(note)), table, at(10));
    }
    const auto usable = table.usable(Models, at(20));
    BOOST_TEST(usable.size() == 11U);
    BOOST_TEST(table.leftOut(at(20)).size() == 1U);
    BOOST_TEST(std::none_of(usable.begin(), usable.end(), [](const Endpoint *one) {
        return one->listed_.id_.value() == "engine-1";
    }));
    for (int peer = 0; peer < 7; ++peer) {
        loads.onNote({InstanceId("peer-" + std::to_string(peer)), 1, 2}, table, at(3'000));
    }
    BOOST_TEST(table.usable(Models, at(3'000)).size() == 12U);
    BOOST_TEST(table.leftOut(at(3'000)).empty());
}

/** Errors that all endpoints of a service have alike are its own: nobody is left out for them. */
BOOST_AUTO_TEST_CASE(failuresThatAllHaveAlikeTakeNobodyOut)
{
    BOOST_TEST(failingFarMore({9, 8, 10, 9, 11, 9}, 20).empty());
    BOOST_TEST((failingFarMore({9, 0, 1, 0, 1, 0}, 20) == std::vector<std::size_t> {0}));
    BOOST_TEST(failingFarMore({9, 0, 1, 0, 1, 0}, 60).empty()); // A seventh of its requests.
    BOOST_TEST(failingFarMore({9, 0}, 20).empty());
    BOOST_TEST(failingFarMore({}, 20).empty());
    // At most three in ten: the others have to carry the load.
    BOOST_TEST(failingFarMore({9, 8, 7, 6, 0, 0, 0, 0, 0, 0}, 20).size() == 3U);
}

BOOST_AUTO_TEST_CASE(errorsOfItsOwnTakeAnEndpointOutOnlyInARow)
{
    EndpointTable table = fleet(0, 1);
    const EndpointId id("engine-0");
    for (int round = 0; round < 20; ++round) {
        table.onEvidence(id, Evidence::ServerError, at(round));
        table.onEvidence(id, Evidence::ServerError, at(round));
        table.onEvidence(id, Evidence::Sound, at(round));
    }
    BOOST_TEST(table.usable(Models, at(20)).size() == 1U);
    for (int error = 0; error < 8; ++error) {
        table.onEvidence(id, Evidence::ServerError, at(20));
    }
    BOOST_TEST(table.usable(Models, at(20)).empty());
}

/** Two instances that never talked send prompts with the same shared part to the same engine. */
BOOST_AUTO_TEST_CASE(instancesAgreeOnWhereAPartIsRead)
{
    const EndpointTable table = fleet(12, 6);
    const Placement one({DomainId("a")});
    const Placement other({DomainId("b")});
    std::map<EndpointId, int> parts;
    for (std::uint64_t part = 1; part <= 400; ++part) {
        const auto first = planFor(one, table, promptWith(part));
        const auto second = planFor(other, table, promptWith(part));
        BOOST_REQUIRE((first && second && first->prefill_));
        BOOST_TEST((first->prefill_ == second->prefill_));
        ++parts[*first->prefill_];
    }
    BOOST_TEST(parts.size() == 12U);
    for (const auto &[id, count] : parts) {
        BOOST_TEST(count < 2 * 400 / 12);
    }
}

/**
 * All prompts of a service begin with one of a few common texts, longer than what follows. Placed
 * by that text they would all meet on a few engines while the others idle.
 */
BOOST_AUTO_TEST_CASE(aCommonBeginningDoesNotGatherAllPrompts)
{
    const EndpointTable table = fleet(12, 6);
    const Placement placement({DomainId("a")});
    std::map<EndpointId, int> prompts;
    for (std::uint64_t subject = 1; subject <= 400; ++subject) {
        Prompt prompt;
        prompt.tokens_ = 5'500;
        prompt.parts_ = {{subject % 4, 4'000}, {subject * 31, 500}, {subject * 1'000, 1'000}};
        ++prompts[*planFor(placement, table, prompt)->prefill_];
    }
    BOOST_TEST(prompts.size() == 12U);
}

/** One part is asked for far more than the others: its engine's queue sends prompts elsewhere. */
BOOST_AUTO_TEST_CASE(aLongQueueIsWorthReadingAPartAgain)
{
    EndpointTable table = fleet(12, 6);
    Placement placement({DomainId("a")});
    const auto home = *planFor(placement, table, promptWith(1))->prefill_;
    placement.onPromptRead(table.find(home)->listed_, promptWith(1), at(0));
    table.onSent(home, 1, 20'000, at(0));
    BOOST_TEST((planFor(placement, table, promptWith(1))->prefill_ == home));
    table.onSent(home, 1, 30'000, at(0));
    BOOST_TEST((planFor(placement, table, promptWith(1))->prefill_ != home));
}

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
    BOOST_TEST(first.newTokens_ > prompt.ownTokens());
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
    BOOST_TEST(second.newTokens_ == prompt.ownTokens());
}

/**
 * A home of many parts has crashed, and another engine is their home now. Each part was read whole
 * again, a quarter of all that a loaded fleet read, while an engine beside it had it in memory.
 */
BOOST_AUTO_TEST_CASE(aNewHomeCopiesPartsFromAnEngineThatHasThem)
{
    EndpointTable table = fleet(12, 6);
    Placement placement({DomainId("a")});
    const Prompt prompt = promptWith(1);
    const EndpointId home = *planFor(placement, table, prompt)->prefill_;
    placement.onPromptRead(table.find(home)->listed_, prompt, at(-5'000));
    BOOST_TEST(!planFor(placement, table, prompt)->copyFrom_.has_value()); // It has them itself.
    table.onSent(home, 1, 60'000, at(0));
    const PromptPlan elsewhere = *planFor(placement, table, prompt);
    BOOST_TEST((*elsewhere.prefill_ != home));
    BOOST_TEST((elsewhere.copyFrom_ == home));
    // What was sent to be read a moment ago is not there to be copied yet.
    Placement recent({DomainId("a")});
    recent.onPromptRead(table.find(home)->listed_, prompt, at(-200));
    BOOST_TEST(!planFor(recent, table, prompt)->copyFrom_.has_value());
    // Short parts are read as fast as a copy is set up.
    const Prompt shorter = promptWith(2, 500);
    placement.onPromptRead(table.find(home)->listed_, shorter, at(-5'000));
    BOOST_TEST(!planFor(placement, table, shorter)->copyFrom_.has_value());
}

/** An instance that was started anew knows no parts, and learns that the others have read them. */
BOOST_AUTO_TEST_CASE(howOftenUnknownPartsAreCachedIsLearned)
{
    const EndpointTable table = fleet(12, 6);
    Placement placement({DomainId("a")});
    const Prompt prompt = promptWith(1); // 13,000 shared tokens and 3,000 of its own.
    const Endpoint &engine = *table.find(EndpointId("engine-0"));
    const auto readIn = [&](double milliseconds) {
        for (int sample = 0; sample < 40; ++sample) {
            placement.onUnknownRead(RequestCosts::assumed(), engine, prompt, 0, milliseconds);
        }
        return planFor(placement, table, prompt)->newTokens_;
    };
    BOOST_TEST(readIn(60) < 3'500);
    BOOST_TEST(readIn(320) > 15'000);
}

/**
 * A burst of long prompts: more arrive than can be read in time. Read in the order of arrival all
 * of them would be late; those that cannot be in time any more give way to those that can.
 */
BOOST_AUTO_TEST_CASE(aPromptThatCannotBeInTimeGoesBehindThoseThatCan)
{
    EndpointTable table = fleet(1, 1);
    const Placement placement({DomainId("a")});
    const Prompt prompt = promptWith(1);
    const EndpointId reader("engine-0");
    const auto inTime = placement.planPrompt(table, query(prompt, 600, 2), at(0));
    BOOST_TEST(inTime->urgency_ == 2);
    table.onSent(reader, 2, 60'000, at(0));
    const auto late = placement.planPrompt(table, query(prompt, 600, 2), at(0));
    BOOST_TEST(late->urgency_ == 7);
    table.onRead(reader, 2, 60'000);
    table.onSent(reader, late->urgency_, 60'000, at(0));
    const auto next = placement.planPrompt(table, query(prompt, 600, 2), at(0));
    BOOST_TEST(next->urgency_ == 2);
    BOOST_TEST(next->aheadTokens_ == 0);
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

/** Speeds of sound engines differ by chance: only a really slow one loses its cached parts. */
BOOST_AUTO_TEST_CASE(onlyASlowEngineLosesItsPrompts)
{
    EndpointTable table = fleet(12, 6);
    const Placement placement({DomainId("a")});
    const auto home = *planFor(placement, table, promptWith(1))->prefill_;
    for (int sample = 0; sample < 30; ++sample) {
        for (int number = 0; number < 12; ++number) {
            const EndpointId id("engine-" + std::to_string(number));
            table.onReadTime(id, 200, id == home ? 220 : 180);
        }
    }
    table.onSent(home, 1, 10'000, at(0));
    BOOST_TEST((planFor(placement, table, promptWith(1))->prefill_ == home));
    for (int sample = 0; sample < 30; ++sample) {
        table.onReadTime(home, 200, 2'000);
    }
    BOOST_TEST((planFor(placement, table, promptWith(1))->prefill_ != home));
}

BOOST_AUTO_TEST_CASE(aHandedOverPromptStaysInItsFailureDomainWhileThereIsRoom)
{
    EndpointTable table = fleet(0, 6);
    const Placement placement({DomainId("a")});
    const auto choose = [&] {
        return placement.chooseGenerator(table, {Models, DomainId("b")}, 0, at(0))->engine_;
    };
    BOOST_TEST(table.find(choose())->listed_.domain_.value() == "b");
    for (int request = 0; request < 40; ++request) {
        table.onSent(EndpointId("engine-1"), 0, 0, at(0));
        table.onSent(EndpointId("engine-4"), 0, 0, at(0));
    }
    BOOST_TEST(table.find(choose())->listed_.domain_.value() != "b");
}

/**
 * A fifth of the generating engines moves memory eight times as slowly. They run few requests, so
 * they look empty, and each instance meets one of them only every few seconds: their callers
 * waited a second for the first event. What the others have waiting there tells it at once.
 */
BOOST_AUTO_TEST_CASE(anEngineWherePromptsWaitForTheirFirstEventGetsNoMore)
{
    EndpointTable table = fleet(0, 3);
    Placement placement({DomainId("a")});
    PeerLoads loads;
    const Prompt prompt = promptWith(1);
    for (int peer = 0; peer < 8; ++peer) {
        LoadNote note;
        note.sender_ = InstanceId("peer-" + std::to_string(peer));
        note.number_ = 1;
        note.queued_[EndpointId("engine-0")].add(1, Placement::handoverTokens(prompt));
        loads.onNote(note, table, at(0));
    }
    for (std::uint64_t ticket = 0; ticket < 30; ++ticket) {
        const auto chosen =
            placement.chooseGenerator(table, {Models, DomainId("a")}, ticket, at(0));
        BOOST_REQUIRE(chosen.has_value());
        BOOST_TEST(chosen->engine_.value() != "engine-0");
    }
}

/** All engines are idle: instances that each take the first one would all take the same one. */
BOOST_AUTO_TEST_CASE(idleEnginesAreTakenInAnyOrder)
{
    const EndpointTable table = fleet(0, 9);
    const Placement placement({DomainId("a")});
    std::set<EndpointId> taken;
    for (std::uint64_t ticket = 0; ticket < 9; ++ticket) {
        taken.insert(
            placement.chooseGenerator(table, {Models, DomainId("b")}, ticket, at(0))->engine_);
    }
    BOOST_TEST(taken.size() == 3U); // Those of the failure domain that the prompt lies in.
}

/**
 * A burst of short prompts with long answers: more come than the generating engines have slots
 * for. Served in the order of arrival, each waits until it is just too late, and all are: one
 * second of a day had 161 of 1,364 in time. Those that cannot be in time have to be told apart.
 */
BOOST_AUTO_TEST_CASE(aRequestIsToldHowLongItWaitsForASlot)
{
    EndpointTable table = fleet(0, 1);
    const EndpointId id("engine-0");
    const Placement placement({DomainId("a")});
    RequestCosts costs;
    costs.onGenerated("route", 640);
    const auto choose = [&] {
        return *placement.chooseGenerator(table, {Models, DomainId("a"), {}, &costs}, 0, at(0));
    };
    BOOST_TEST(choose().waitMillis_ == 0);
    for (int request = 0; request < 64; ++request) {
        table.onSent(id, 0, 0, at(0));
    }
    BOOST_TEST(choose().waitMillis_ == 10); // One of 64 slots gets free each 10 ms.
    PeerLoads loads;
    LoadNote note;
    note.sender_ = InstanceId("peer");
    note.number_ = 1;
    note.slotUse_[id] = {20, 44};
    loads.onNote(*decodeNote(encodeNote(note)), table, at(0));
    BOOST_TEST(choose().waitMillis_ == 210); // The late ones of the peer wait behind.
    BOOST_TEST(choose().lateWaitMillis_ == 650);
    BOOST_TEST(choose().full_);
    table.onClosed(id, 0);
    BOOST_TEST(choose().waitMillis_ == 200);
    BOOST_TEST(!choose().full_);
}

BOOST_AUTO_TEST_SUITE_END()
