#include "prompts.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace almondridge;
using namespace almondridge::gateway;
using namespace almondridge::gateway::testing;

namespace {

constexpr int Prefilling = 40;
constexpr int Decoding = 10;

void reportWorkTime(EndpointTable &table, const EndpointId &engine, int percent,
                    TimePoint now = at(0))
{
    table.onLoad(engine, {1, 0, 64, percent}, now);
}

EndpointId engineId(int number)
{
    return EndpointId("engine-" + std::to_string(number));
}

/** A third of the engines take 0.6, 1 and 1.6 times the usual time each. */
EndpointTable unevenFleet()
{
    EndpointTable table = fleet(Prefilling, Decoding);
    constexpr std::array<int, 3> Percents {60, 100, 160};
    for (int number = 0; number < Prefilling + Decoding; ++number) {
        reportWorkTime(table, engineId(number),
                       Percents[static_cast<std::size_t>(number / 3) % Percents.size()]);
    }
    return table;
}

/** A prompt with that shared part and a part of its own. */
Prompt newPrompt(std::uint64_t shared, std::int64_t sharedTokens, std::int64_t ownTokens)
{
    static std::uint64_t lastOwnPart = 1'000'000;
    Prompt prompt;
    prompt.tokens_ = sharedTokens + ownTokens;
    prompt.parts_ = {{shared, sharedTokens}, {++lastOwnPart, ownTokens}};
    return prompt;
}

Prompt shortPrompt(std::uint64_t shared)
{
    return newPrompt(shared, 350, 1'110);
}

Prompt longPrompt(std::uint64_t shared)
{
    return newPrompt(shared, 13'300, 3'720);
}

/** Places a prompt and adds it to the queue of the engine that was chosen. */
PromptPlan sendPrompt(Placement &placement, EndpointTable &table, const Prompt &prompt)
{
    PromptPlan plan = *planFor(placement, table, prompt);
    const Endpoint *engine = table.find(*plan.prefill_);
    placement.onPromptSent(engine->listed_, prompt, at(0));
    table.onSent(*plan.prefill_, plan.urgency_, plan.uncachedTokens_, at(0));
    return plan;
}

/** Estimated time, in ms, of the slowest short prompt beside as many long ones as engines. */
double slowestShortPrompt(EndpointTable table)
{
    Placement placement({DomainId("a")});
    for (std::uint64_t part = 1; part <= Prefilling; ++part) {
        sendPrompt(placement, table, longPrompt(1 + part % 20)); // 20 parts are asked for twice.
    }
    double slowest = 0;
    for (std::uint64_t part = 1; part <= Prefilling; ++part) {
        slowest = std::max(slowest,
                           sendPrompt(placement, table, shortPrompt(1'000 + part)).prefillMillis_);
    }
    return slowest;
}

} // namespace

BOOST_AUTO_TEST_SUITE(UnevenEngines)

/**
 * Load: long prompts fill some engines of an uneven fleet. Guards against short prompts that wait
 * behind them while other engines are free.
 */
BOOST_AUTO_TEST_CASE(shortPromptsAvoidEnginesWithLongOnes)
{
    constexpr double ObjectiveMillis = 300;
    BOOST_TEST(slowestShortPrompt(unevenFleet()) < ObjectiveMillis);
}

/** Guards against long parts that are cached on every engine and evict each other. */
BOOST_AUTO_TEST_CASE(longPartsStayOnFewEngines)
{
    EndpointTable table = unevenFleet();
    Placement placement({DomainId("a")});
    std::set<EndpointId> engines;
    for (int request = 0; request < 8; ++request) {
        engines.insert(*sendPrompt(placement, table, longPrompt(1)).prefill_);
    }
    BOOST_TEST(engines.size() <= 3U);
}

/** Guards against a prompt that takes 2.5 times as long where a neighbour takes the machine. */
BOOST_AUTO_TEST_CASE(engineThatIsSlowNowIsAvoided)
{
    EndpointTable table = unevenFleet();
    const Placement placement({DomainId("a")});
    const EndpointId usual = *planFor(placement, table, promptWith(1))->prefill_;
    reportWorkTime(table, usual, 400);
    BOOST_TEST((planFor(placement, table, promptWith(1))->prefill_ != usual));
}

/** Guards against changed placement where endpoints report no work times. */
BOOST_AUTO_TEST_CASE(enginesWithoutWorkTimesHaveTwoReplicas)
{
    EndpointTable table = fleet(Prefilling, Decoding);
    Placement placement({DomainId("a")});
    std::set<EndpointId> engines;
    for (int request = 0; request < 50; ++request) {
        engines.insert(*sendPrompt(placement, table, shortPrompt(1)).prefill_);
    }
    BOOST_TEST(engines.size() == 2U);
}

/** Guards against a new connection for each request while engines of equal cost have idle ones. */
BOOST_AUTO_TEST_CASE(prefillEngineWithAnIdleConnectionIsPreferred)
{
    EndpointTable table = fleet(Prefilling, Decoding);
    for (int number = 0; number < Prefilling; ++number) {
        reportWorkTime(table, engineId(number), 100);
    }
    Placement placement({DomainId("a")});
    for (int number = 0; number < Prefilling; ++number) {
        placement.onPromptSent(table.find(engineId(number))->listed_, shortPrompt(1), at(-5'000));
    }
    const Prompt prompt = shortPrompt(1);
    PromptQuery connected = query(prompt);
    std::set<EndpointId> homes;
    for (int number = 0; number < Prefilling; ++number) {
        connected.hasIdleConnection_ = [&](const EndpointId &id) { return id == engineId(number); };
        homes.insert(*placement.planPrompt(table, connected, at(0))->prefill_);
    }
    BOOST_TEST(homes.size() == 12U);
    // Not at any price: a queue of a few hundred tokens is worth a new connection.
    connected.hasIdleConnection_ = [&](const EndpointId &id) { return id == *homes.begin(); };
    table.onSent(*homes.begin(), 1, 1'000, at(0));
    BOOST_TEST((placement.planPrompt(table, connected, at(0))->prefill_ != *homes.begin()));
}

/** Load: as many requests everywhere. Guards against streams that are slow on a busy machine. */
BOOST_AUTO_TEST_CASE(slowEngineDecodesFewerRequests)
{
    EndpointTable table;
    for (int number = 0; number < 2; ++number) {
        table.list(engine(number, Stage::Decode), at(0));
        reportWorkTime(table, engineId(number), number == 0 ? 250 : 100);
    }
    DecodeQuery decode;
    decode.service_ = Models;
    decode.source_ = DomainId("a");
    const Placement placement({DomainId("a")});
    std::map<EndpointId, int> requests;
    for (int request = 0; request < 35; ++request) {
        const EndpointId chosen = placement.chooseDecodeEngine(table, decode, 0, at(0))->engine_;
        table.onSent(chosen, 1, 0, at(0));
        ++requests[chosen];
    }
    BOOST_TEST(requests[engineId(1)] >= 2 * requests[engineId(0)]);
    BOOST_TEST(requests[engineId(0)] >= 5);
}

/**
 * Load: long prompts, of which 26 fill an engine's memory long before its 64 slots. Guards against
 * running requests that are preempted while other engines have memory.
 */
BOOST_AUTO_TEST_CASE(longPromptsAreDecodedWhereThereIsMemory)
{
    EndpointTable table;
    table.list(engine(0, Stage::Decode, "a"), at(0));
    table.list(engine(1, Stage::Decode, "b"), at(0));
    for (int number = 0; number < 2; ++number) {
        reportWorkTime(table, engineId(number), 100);
    }
    DecodeQuery decode;
    decode.service_ = Models;
    decode.source_ = DomainId("a");
    decode.promptTokens_ = 17'020;
    decode.kvTokens_ = 452'780;
    const Placement placement({DomainId("a")});
    for (int request = 0; request < 14; ++request) {
        table.onSent(engineId(0), 1, 0, at(0)); // Half of the memory, a fifth of the slots.
    }
    BOOST_TEST((placement.chooseDecodeEngine(table, decode, 0, at(0))->engine_ == engineId(1)));
    decode.promptTokens_ = 1'460;
    BOOST_TEST((placement.chooseDecodeEngine(table, decode, 0, at(0))->engine_ == engineId(0)));
}

/** Guards against calls that go to an idle endpoint whose machine is busy otherwise. */
BOOST_AUTO_TEST_CASE(slowEndpointOfAPlainServiceGetsFewerCalls)
{
    EndpointTable table;
    for (int number = 0; number < 3; ++number) {
        ListedEndpoint listed = engine(number, Stage::None);
        listed.slots_ = 6;
        table.list(listed, at(0));
        reportWorkTime(table, listed.id_, number == 0 ? 250 : 100);
    }
    const Placement placement({DomainId("a")});
    for (std::uint64_t random = 0; random < 6; ++random) {
        const auto chosen = placement.chooseService(table, Models, {}, random, at(0));
        BOOST_TEST((*chosen != engineId(0)));
    }
}

BOOST_AUTO_TEST_SUITE_END()
