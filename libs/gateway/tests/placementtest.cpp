#include "prompts.h"

#include "almondridge/gateway/peerload.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace almondridge;
using namespace almondridge::gateway;
using namespace almondridge::gateway::testing;

BOOST_AUTO_TEST_SUITE(Placements)

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
    placement.onPromptSent(table.find(home)->listed_, promptWith(1), at(0));
    table.onSent(home, 1, 20'000, at(0));
    BOOST_TEST((planFor(placement, table, promptWith(1))->prefill_ == home));
    table.onSent(home, 1, 30'000, at(0));
    BOOST_TEST((planFor(placement, table, promptWith(1))->prefill_ != home));
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
    placement.onPromptSent(table.find(home)->listed_, prompt, at(-5'000));
    BOOST_TEST(!planFor(placement, table, prompt)->copyFrom_.has_value()); // It has them itself.
    table.onSent(home, 1, 60'000, at(0));
    const PromptPlan elsewhere = *planFor(placement, table, prompt);
    BOOST_TEST((*elsewhere.prefill_ != home));
    BOOST_TEST((elsewhere.copyFrom_ == home));
    // What was sent to be read a moment ago is not there to be copied yet.
    Placement recent({DomainId("a")});
    recent.onPromptSent(table.find(home)->listed_, prompt, at(-200));
    BOOST_TEST(!planFor(recent, table, prompt)->copyFrom_.has_value());
    // Short parts are read as fast as a copy is set up.
    const Prompt shorter = promptWith(2, 500);
    placement.onPromptSent(table.find(home)->listed_, shorter, at(-5'000));
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
            placement.onUnknownPartsPrefilled(RequestCosts::assumed(), engine, prompt, 0, milliseconds);
        }
        return planFor(placement, table, prompt)->uncachedTokens_;
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
    table.onPrefilled(reader, 2, 60'000);
    table.onSent(reader, late->urgency_, 60'000, at(0));
    const auto next = placement.planPrompt(table, query(prompt, 600, 2), at(0));
    BOOST_TEST(next->urgency_ == 2);
    BOOST_TEST(next->queuedTokens_ == 0);
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
            table.onPrefillTime(id, 200, id == home ? 220 : 180);
        }
    }
    table.onSent(home, 1, 10'000, at(0));
    BOOST_TEST((planFor(placement, table, promptWith(1))->prefill_ == home));
    for (int sample = 0; sample < 30; ++sample) {
        table.onPrefillTime(home, 200, 2'000);
    }
    BOOST_TEST((planFor(placement, table, promptWith(1))->prefill_ != home));
}

BOOST_AUTO_TEST_CASE(aHandedOverPromptStaysInItsFailureDomainWhileThereIsRoom)
{
    EndpointTable table = fleet(0, 6);
    const Placement placement({DomainId("a")});
    const auto choose = [&] {
        return placement.chooseDecodeEngine(table, {Models, DomainId("b")}, 0, at(0))->engine_;
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
            placement.chooseDecodeEngine(table, {Models, DomainId("a")}, ticket, at(0));
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
            placement.chooseDecodeEngine(table, {Models, DomainId("b")}, ticket, at(0))->engine_);
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
        return *placement.chooseDecodeEngine(table, {Models, DomainId("a"), {}, &costs}, 0, at(0));
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
