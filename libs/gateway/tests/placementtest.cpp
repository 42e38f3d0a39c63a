#include "prompts.h"

#include "almondridge/gateway/peerload.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace almondridge;
using namespace almondridge::gateway;
using namespace almondridge::gateway::testing;

BOOST_AUTO_TEST_SUITE(Placements)

/** Instances must agree on the engine for a shared part without any communication. */
BOOST_AUTO_TEST_CASE(instancesAgreeOnTheEngineForAPart)
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
 * Guards against placement by a long text with which all prompts of a service begin: they would all
 * go to a few engines while the others idle.
 */
BOOST_AUTO_TEST_CASE(commonPrefixDoesNotConcentratePrompts)
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

/** A popular part overloads its engine: a long queue there must send prompts to another one. */
BOOST_AUTO_TEST_CASE(longQueueIsWorthRecomputingAPart)
{
    EndpointTable table = fleet(12, 6);
    Placement placement({DomainId("a")});
    const auto firstEngine = *planFor(placement, table, promptWith(1))->prefill_;
    placement.onPromptSent(table.find(firstEngine)->listed_, promptWith(1), at(0));
    table.onSent(firstEngine, 1, 20'000, at(0));
    BOOST_TEST((planFor(placement, table, promptWith(1))->prefill_ == firstEngine));
    table.onSent(firstEngine, 1, 30'000, at(0));
    BOOST_TEST((planFor(placement, table, promptWith(1))->prefill_ != firstEngine));
}

/**
 * Guards against recomputing parts on a new engine, after a crash of theirs, while another engine
 * has them cached. That recomputing was a quarter of a loaded fleet's prefill work.
 */
BOOST_AUTO_TEST_CASE(newReplicaCopiesCachedParts)
{
    EndpointTable table = fleet(12, 6);
    Placement placement({DomainId("a")});
    const Prompt prompt = promptWith(1);
    const EndpointId firstEngine = *planFor(placement, table, prompt)->prefill_;
    placement.onPromptSent(table.find(firstEngine)->listed_, prompt, at(-5'000));
    BOOST_TEST(!planFor(placement, table, prompt)
                    ->copyFrom_.has_value()); // The engine has the parts itself.
    table.onSent(firstEngine, 1, 60'000, at(0));
    const PromptPlan elsewhere = *planFor(placement, table, prompt);
    BOOST_TEST((*elsewhere.prefill_ != firstEngine));
    BOOST_TEST((elsewhere.copyFrom_ == firstEngine));
    // A prompt that was sent a moment ago is not prefilled yet and can't be copied.
    Placement recent({DomainId("a")});
    recent.onPromptSent(table.find(firstEngine)->listed_, prompt, at(-200));
    BOOST_TEST(!planFor(recent, table, prompt)->copyFrom_.has_value());
    // Prefilling short parts is as fast as setting up a copy.
    const Prompt shorter = promptWith(2, 500);
    placement.onPromptSent(table.find(firstEngine)->listed_, shorter, at(-5'000));
    BOOST_TEST(!planFor(placement, table, shorter)->copyFrom_.has_value());
}

/** After a restart an instance has an empty index: it must learn how often parts are cached. */
BOOST_AUTO_TEST_CASE(hitRateOfUnknownPartsIsLearned)
{
    const EndpointTable table = fleet(12, 6);
    Placement placement({DomainId("a")});
    const Prompt prompt = promptWith(1); // 13,000 shared tokens and 3,000 unshared ones.
    const Endpoint &engine = *table.find(EndpointId("engine-0"));
    const auto uncachedTokensAfter = [&](double milliseconds) {
        for (int sample = 0; sample < 40; ++sample) {
            placement.onUnknownPartsPrefilled(RequestCosts::assumed(), engine, prompt, 0,
                                              milliseconds, at(0));
        }
        return planFor(placement, table, prompt)->uncachedTokens_;
    };
    BOOST_TEST(uncachedTokensAfter(60) < 3'500);
    BOOST_TEST(uncachedTokensAfter(320) > 15'000);
}

/**
 * In a burst more prompts arrive than can be prefilled in time. Guards against service in order of
 * arrival, which makes all of them late: late ones must yield to those that can be in time.
 */
BOOST_AUTO_TEST_CASE(latePromptsYieldToPromptsInTime)
{
    EndpointTable table = fleet(1, 1);
    const Placement placement({DomainId("a")});
    const Prompt prompt = promptWith(1);
    const EndpointId prefillEngine("engine-0");
    const auto inTime = placement.planPrompt(table, query(prompt, 600, 2), at(0));
    BOOST_TEST(inTime->urgency_ == 2);
    table.onSent(prefillEngine, 2, 60'000, at(0));
    const auto late = placement.planPrompt(table, query(prompt, 600, 2), at(0));
    BOOST_TEST(late->urgency_ == 7);
    table.onPrefilled(prefillEngine, 2, 60'000);
    table.onSent(prefillEngine, late->urgency_, 60'000, at(0));
    const auto next = placement.planPrompt(table, query(prompt, 600, 2), at(0));
    BOOST_TEST(next->urgency_ == 2);
    BOOST_TEST(next->queuedTokens_ == 0);
}

/** Measured speeds of healthy engines vary by chance: only a really slow one loses prompts. */
BOOST_AUTO_TEST_CASE(onlySlowEnginesLosePrompts)
{
    EndpointTable table = fleet(12, 6);
    const Placement placement({DomainId("a")});
    const auto firstEngine = *planFor(placement, table, promptWith(1))->prefill_;
    for (int sample = 0; sample < 30; ++sample) {
        for (int number = 0; number < 12; ++number) {
            const EndpointId id("engine-" + std::to_string(number));
            table.onPrefillTime(id, 200, id == firstEngine ? 220 : 180);
        }
    }
    table.onSent(firstEngine, 1, 10'000, at(0));
    BOOST_TEST((planFor(placement, table, promptWith(1))->prefill_ == firstEngine));
    for (int sample = 0; sample < 30; ++sample) {
        table.onPrefillTime(firstEngine, 200, 2'000);
    }
    BOOST_TEST((planFor(placement, table, promptWith(1))->prefill_ != firstEngine));
}

BOOST_AUTO_TEST_CASE(handoverStaysInTheFailureDomainWhileThereIsRoom)
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
 * Decode engines with slow links run few requests and look idle, and each instance rarely uses one:
 * callers waited a second for the first event. Guards against ignoring the queues that peers report
 * there.
 */
BOOST_AUTO_TEST_CASE(decodeEngineWithQueuedPromptsIsAvoided)
{
    EndpointTable table = fleet(0, 3);
    Placement placement({DomainId("a")});
    PeerLoads loads;
    const Prompt prompt = promptWith(1);
    for (int peer = 0; peer < 8; ++peer) {
        LoadReport note;
        note.sender_ = InstanceId("peer-" + std::to_string(peer));
        note.sequence_ = 1;
        note.queued_[EndpointId("engine-0")].add(1, Placement::handoverTokens(prompt));
        loads.onReport(note, table, at(0));
    }
    for (std::uint64_t tieBreaker = 0; tieBreaker < 30; ++tieBreaker) {
        const auto chosen =
            placement.chooseDecodeEngine(table, {Models, DomainId("a")}, tieBreaker, at(0));
        BOOST_REQUIRE(chosen.has_value());
        BOOST_TEST(chosen->engine_.value() != "engine-0");
    }
}

/** Guards against all instances choosing the same one of several idle engines. */
BOOST_AUTO_TEST_CASE(idleEnginesAreChosenByTieBreaker)
{
    const EndpointTable table = fleet(0, 9);
    const Placement placement({DomainId("a")});
    std::set<EndpointId> taken;
    for (std::uint64_t tieBreaker = 0; tieBreaker < 9; ++tieBreaker) {
        taken.insert(
            placement.chooseDecodeEngine(table, {Models, DomainId("b")}, tieBreaker, at(0))
                ->engine_);
    }
    BOOST_TEST(taken.size() == 3U); // The engines of the prompt's failure domain.
}

/**
 * A burst of short prompts with long answers exceeds the decode slots. Served in order of arrival,
 * nearly all requests are late (161 of 1,364 were in time in one second). The estimated waits must
 * let late requests be told apart.
 */
BOOST_AUTO_TEST_CASE(slotWaitIsEstimated)
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
    BOOST_TEST(choose().waitMillis_ == 10); // One of 64 slots is freed every 10 ms.
    PeerLoads loads;
    LoadReport note;
    note.sender_ = InstanceId("peer");
    note.sequence_ = 1;
    note.slotUse_[id] = {20, 44};
    loads.onReport(*decodeLoadReport(encodeLoadReport(note)), table, at(0));
    BOOST_TEST(choose().waitMillis_ == 210); // Late requests of the peer wait behind.
    BOOST_TEST(choose().lateWaitMillis_ == 650);
    BOOST_TEST(choose().full_);
    table.onClosed(id, 0);
    BOOST_TEST(choose().waitMillis_ == 200);
    BOOST_TEST(!choose().full_);
}

BOOST_AUTO_TEST_SUITE_END()
