#include "almondridge/gateway/placement.h"
#include "enginefleet.h"
#include "prompts.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace almondridge;
using namespace almondridge::gateway;
using namespace almondridge::gateway::testing;

namespace {

const SoftwareVersion Old("v1");
const SoftwareVersion New("v1.1");

ListedEndpoint engineOf(int number, Stage stage, const SoftwareVersion &version)
{
    ListedEndpoint listed = engine(number, stage);
    listed.version_ = version;
    return listed;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Versions)

/** Guards against copying parts of a prompt from an engine of another version. */
BOOST_AUTO_TEST_CASE(partsAreCopiedOnlyWithinAVersion)
{
    const Prompt prompt = promptWith(1);
    for (const SoftwareVersion &version : {Old, New}) {
        EndpointTable table;
        table.list(engineOf(1, Stage::Decode, New), at(0));
        table.list(engineOf(2, Stage::Prefill, New), at(0));
        const ListedEndpoint source = engineOf(3, Stage::Decode, version);
        table.list(source, at(0));
        Placement placement({DomainId("a")});
        placement.onPromptSent(source, prompt, at(-5'000));
        const PromptPlan plan = *planFor(placement, table, prompt);
        BOOST_TEST((plan.prefill_ == engine(2, Stage::Prefill).id_));
        BOOST_TEST(plan.copyFrom_.has_value() == (version == New));
    }
}

/** A release with traffic: the last engines of a version could take no stream of a failed one. */
BOOST_AUTO_TEST_CASE(theLastEnginesOfAVersionKeepRoomForItsStreams)
{
    constexpr int OldEngines = 2;
    constexpr int NewEngines = 8;
    constexpr int Slots = 64;
    constexpr int Streams = 7 * Slots; // Of the 10 engines' slots.
    EndpointTable table;
    for (int number = 0; number < OldEngines + NewEngines; ++number) {
        table.list(engineOf(number, Stage::Decode, number < OldEngines ? Old : New), at(0));
    }
    const Placement placement({DomainId("a")});
    DecodeQuery query;
    query.service_ = Models;
    int old = 0;
    for (std::uint64_t number = 0; number < Streams; ++number) {
        const EndpointId chosen =
            placement.chooseDecodeEngine(table, query, number, at(0))->engine_;
        old += isSameVersion(table.find(chosen)->listed_.version_, Old) ? 1 : 0;
        table.onSent(chosen, 1, 0, at(0));
    }
    BOOST_TEST(old <= Slots); // One of the two engines could take up all of them.
    BOOST_TEST(old > 0);
    query.version_ = Old;
    BOOST_TEST(placement.chooseDecodeEngine(table, query, 0, at(0)).has_value());
}

/** A prompt that is read where it is decoded must keep the same room. */
BOOST_AUTO_TEST_CASE(theLastEngineOfAVersionGetsNoPromptWhileOthersHaveRoom)
{
    EndpointTable table;
    table.list(engineOf(0, Stage::Decode, Old), at(0));
    table.list(engineOf(1, Stage::Decode, New), at(0));
    table.list(engineOf(2, Stage::Decode, New), at(0));
    const Placement placement({DomainId("a")});
    for (std::uint64_t part = 1; part <= 20; ++part) {
        const Prompt prompt = promptWith(part);
        BOOST_TEST((planFor(placement, table, prompt)->decode_ != engine(0, Stage::Decode).id_));
    }
}

/** Guards against refusing requests for the sake of room when every version is full. */
BOOST_AUTO_TEST_CASE(everyEngineIsUsedWhenNoVersionHasRoom)
{
    EndpointTable table;
    table.list(engineOf(0, Stage::Decode, Old), at(0));
    table.list(engineOf(1, Stage::Decode, New), at(0));
    const Placement placement({DomainId("a")});
    DecodeQuery query;
    query.service_ = Models;
    std::set<EndpointId> used;
    for (std::uint64_t number = 0; number < 10; ++number) {
        used.insert(placement.chooseDecodeEngine(table, query, number, at(0))->engine_);
    }
    BOOST_TEST(used.size() == 2U);
}

/** Guards against taking a prompt's reader for its affinity where the version is to keep room. */
BOOST_AUTO_TEST_CASE(promptsAreReadAtVersionsThatAreOpenToNewStreams)
{
    EndpointTable table;
    for (int number = 0; number < 4; ++number) {
        const SoftwareVersion &version = number < 2 ? Old : New;
        table.list(engineOf(number, Stage::Prefill, version), at(0));
    }
    table.list(engineOf(4, Stage::Decode, Old), at(0));
    table.list(engineOf(5, Stage::Decode, New), at(0));
    table.list(engineOf(6, Stage::Decode, New), at(0));
    const Placement placement({DomainId("a")});
    for (std::uint64_t part = 1; part <= 20; ++part) {
        const Prompt prompt = promptWith(part);
        const EndpointId reader = *planFor(placement, table, prompt)->prefill_;
        BOOST_TEST(isSameVersion(table.find(reader)->listed_.version_, New));
    }
}

/** Guards against the version of the process before a restart that a status query has shown. */
BOOST_AUTO_TEST_CASE(theVersionOfARestartedEngineIsUnknownUntilItIsListed)
{
    EndpointTable table;
    ListedEndpoint listed = engineOf(0, Stage::Decode, Old);
    listed.startedAtMillis_ = 1'000;
    table.list(listed, at(0));
    BOOST_TEST(table.hasVersion(Models, Old));
    table.list(restartedEntry(listed, 2'000), at(10));
    table.list(listed, at(20)); // An old entry that arrives late.
    BOOST_TEST(!table.hasVersion(Models, Old));
    DecodeQuery query;
    query.service_ = Models;
    query.version_ = Old;
    const Placement placement({DomainId("a")});
    BOOST_TEST(!placement.chooseDecodeEngine(table, query, 0, at(20)).has_value());
    query.version_ = SoftwareVersion();
    BOOST_TEST(!placement.chooseDecodeEngine(table, query, 0, at(20)).has_value());
    listed = engineOf(0, Stage::Decode, New);
    listed.startedAtMillis_ = 2'000;
    table.list(listed, at(30));
    BOOST_TEST(table.hasVersion(Models, New));
}

/**
 * Guards against the version of an old entry: an engine that ended and started anew under its id
 * is reached before its new entry arrives.
 */
BOOST_AUTO_TEST_CASE(theVersionOfAnEngineThatWasAwayIsUnknownUntilItsEntryCanBeHere)
{
    for (const std::int64_t startedAt : {0, 1'000}) {
        EndpointTable table;
        for (const Stage stage : {Stage::Decode, Stage::Prefill}) {
            ListedEndpoint listed = engineOf(static_cast<int>(stage), stage, Old);
            listed.startedAtMillis_ = startedAt;
            table.list(listed, at(0));
        }
        const bool isIdReused = startedAt != 0;
        const EndpointId id = engine(static_cast<int>(Stage::Decode), Stage::Decode).id_;
        table.onHealthSignal(id, HealthSignal::Unreachable, at(0));
        table.onProbed(id, false, at(150));
        table.onProbed(id, true, at(500));
        DecodeQuery query;
        query.service_ = Models;
        query.version_ = Old;
        const Placement placement({DomainId("a")});
        const auto goesOn = [&](std::int64_t milliseconds) {
            return placement.chooseDecodeEngine(table, query, 0, at(milliseconds)).has_value();
        };
        BOOST_TEST(goesOn(600) == !isIdReused);
        BOOST_TEST(goesOn(4'000));
        // New requests are taken all the while.
        query.version_.reset();
        BOOST_TEST(goesOn(600));
        if (isIdReused) {
            ListedEndpoint restarted =
                engineOf(static_cast<int>(Stage::Decode), Stage::Decode, Old);
            restarted.startedAtMillis_ = startedAt + 1;
            table.list(restarted, at(700));
            query.version_ = Old;
            BOOST_TEST(goesOn(700));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
