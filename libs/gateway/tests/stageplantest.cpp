#include "almondridge/gateway/stageplan.h"

#include "enginefleet.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

using namespace almondridge;
using namespace almondridge::gateway;
using namespace almondridge::gateway::testing;

namespace {

/** What the demand, and prompts that wait at each engine, come to. */
StageLoad loadOf(const StageDemand &demand)
{
    constexpr double MillisPerToken = 0.025;
    constexpr double SlotMillis = 800;
    return {demand, MillisPerToken, SlotMillis};
}

/** Carries the plan's orders out at once and says how many there were. */
int obey(EndpointTable &table, StagePlan &plan, const StageDemand &demand, TimePoint now)
{
    plan.watch(table, Models, loadOf(demand), now);
    const auto changes = plan.plan(table, Models, now);
    for (const StageChange &change : changes) {
        ListedEndpoint listed = table.find(change.engine_)->listed_;
        listed.stage_ = change.stage_;
        table.list(listed, now);
    }
    return static_cast<int>(changes.size());
}

/** The same for some time, half a second after half a second. */
int obeyFor(EndpointTable &table, StagePlan &plan, const StageDemand &demand, std::int64_t from,
            std::int64_t until)
{
    int orders = 0;
    for (std::int64_t now = from; now < until; now += 500) {
        orders += obey(table, plan, demand, at(now));
    }
    return orders;
}

/** Requests wait at every engine, so that a change of either kind may be worth it. */
void fill(EndpointTable &table)
{
    constexpr std::int64_t HalfSecondOfReading = 20'000;
    for (const Endpoint *one : table.listed(Models)) {
        for (int request = 0; request < 80; ++request) {
            table.onSent(one->listed_.id_, 0, HalfSecondOfReading / 80, at(0));
        }
    }
}

constexpr StageDemand None {};

} // namespace

BOOST_AUTO_TEST_SUITE(StagePlans)

/** Before any traffic the engines take the split of a typical load, all at once. */
BOOST_AUTO_TEST_CASE(theTypicalSplitIsTakenBeforeTheFirstRequest)
{
    EndpointTable table = fleet(6, 12);
    StagePlan plan({});
    BOOST_TEST(obey(table, plan, None, at(-2'000)) == 0); // More engines may be on their way.
    BOOST_TEST(obey(table, plan, None, at(0)) == 8);
    BOOST_TEST(countPrefill(table) == 14);
    BOOST_TEST(obey(table, plan, None, at(1'000)) == 0);
}

/**
 * Sixty engines that generate for 16 requests each. By a share that suited engines with 64 slots
 * 47 of them were made to read, and the other 13 were full before the first second was over.
 */
BOOST_AUTO_TEST_CASE(enginesWithFewSlotsAreLeftToGenerate)
{
    BOOST_TEST(typicalPrefillShare(64) > 0.7);
    BOOST_TEST(typicalPrefillShare(16) < 0.6);
    BOOST_TEST(typicalPrefillShare(0) > 0);
    EndpointTable table;
    for (int number = 0; number < 60; ++number) {
        ListedEndpoint listed = engine(number, number < 20 ? Stage::Prefill : Stage::Decode);
        listed.slots_ = 16;
        table.list(listed, at(0));
    }
    StagePlan plan({});
    obey(table, plan, None, at(-2'000));
    obey(table, plan, None, at(0));
    BOOST_TEST(countPrefill(table) == 30);
}

/**
 * Three fleets of different size, and loads from almost all reading to almost all generating: the
 * plan has to come within a tenth of the best fixed split of each, from either side, and then to
 * rest.
 */
BOOST_AUTO_TEST_CASE(theSplitFollowsTheDemandOnAnyFleet)
{
    const auto use = [](int readers, int generators, const StageDemand &demand) {
        return std::max(demand.prefill_ / readers, demand.decode_ / generators);
    };
    constexpr double FarOff = 1 / (1 - 0.4);
    for (const int count : {9, 18, 60}) {
        for (const double share : {0.2, 0.45, 0.7, 0.85}) {
            for (const int begin : {count / 4, count / 2, 3 * count / 4}) {
                const StageDemand demand {0.7 * count * share, 0.7 * count * (1 - share)};
                EndpointTable table = fleet(begin, count - begin);
                fill(table);
                StagePlan plan({});
                obeyFor(table, plan, demand, -2'000, 80'000);
                double best = 1e9;
                for (int readers = 3; readers <= count - 3; ++readers) {
                    best = std::min(best, use(readers, count - readers, demand));
                }
                // Readers are added only where the split is far off at the beginning.
                const bool mended = demand.decode_ / (count - begin) > demand.prefill_ / begin
                                    || use(begin, count - begin, demand) > FarOff * best;
                const int readers = countPrefill(table);
                BOOST_TEST(use(readers, count - readers, demand) <= (mended ? 1.14 : FarOff) * best,
                           count << " engines, share " << share << ", from " << begin);
                BOOST_TEST(obeyFor(table, plan, demand, 80'000, 100'000) == 0);
            }
        }
    }
}

/**
 * In the first seconds each shared part is read for the first time, and bursts of long answers may
 * not have come yet. Orders for more readers left one engine of nine, or two of 18, to generate:
 * the first burst filled their memory, and most callers were late for the rest of the day.
 */
BOOST_AUTO_TEST_CASE(theFirstSecondsOfTrafficTakeNoEngineThatGenerates)
{
    EndpointTable table = fleet(3, 6);
    fill(table);
    StagePlan plan({});
    BOOST_TEST(obeyFor(table, plan, {9, 0.1}, -2'000, 13'500) == 0);
    obeyFor(table, plan, {9, 0.1}, 13'500, 60'000);
    BOOST_TEST(countPrefill(table) == 6); // One of each stage stays in each failure domain.
}

/**
 * The mix swings: for some seconds prompts with long answers come, then long prompts. Planned for
 * the mean, both stages are too small in turns, and each change comes after the swing. The split
 * has to bear the peaks of both.
 */
BOOST_AUTO_TEST_CASE(theSplitBearsThePeaksOfBothStages)
{
    EndpointTable table = fleet(7, 2);
    fill(table);
    StagePlan plan({});
    for (int swing = 0; swing < 10; ++swing) {
        const std::int64_t from = 3'000LL * swing;
        const StageDemand demand = swing % 2 == 0 ? StageDemand {3.4, 3.6} : StageDemand {6, 1};
        obeyFor(table, plan, demand, from, from + 3'000);
    }
    const int readers = countPrefill(table);
    BOOST_TEST(readers >= 5);
    BOOST_TEST(readers <= 6);
    BOOST_TEST(obeyFor(table, plan, {6, 1}, 30'000, 36'000) == 0);
}

/**
 * Half of the engines are replaced during the day, and most come back as engines that generate.
 * Nobody waits at half of the load: changing them would take each away for seconds and have their
 * prompts read again. Once prompts wait, engines change, some at a time.
 */
BOOST_AUTO_TEST_CASE(enginesChangeUnderTrafficOnlyForAStageWhereRequestsWait)
{
    EndpointTable table = fleet(24, 36);
    StagePlan plan({});
    BOOST_TEST(obeyFor(table, plan, {20, 4}, -2'000, 20'000) == 0);
    fill(table);
    std::size_t changes = 0;
    for (int now = 20'000; now < 24'000; now += 500) {
        plan.watch(table, Models, loadOf({20, 4}), at(now));
        changes += plan.plan(table, Models, at(now)).size();
    }
    BOOST_TEST(changes == 7U); // As many as may be away at once.
}

/**
 * A split that was a quarter off: two dozen orders brought readers with empty caches, and prompts
 * read all their parts again. While the split is not far off, no engine is made to read.
 */
BOOST_AUTO_TEST_CASE(aSplitThatIsNotFarOffIsKept)
{
    EndpointTable table = fleet(27, 33);
    fill(table);
    StagePlan plan({});
    BOOST_TEST(obeyFor(table, plan, {27, 14}, -2'000, 60'000) == 0);
    BOOST_TEST(obeyFor(table, plan, {48, 8}, 60'000, 120'000) > 15);
}

/** A pause says nothing of the mix that comes after it: the split that was found is kept. */
BOOST_AUTO_TEST_CASE(aPauseChangesNothing)
{
    EndpointTable table = fleet(30, 30);
    fill(table);
    StagePlan plan({});
    obeyFor(table, plan, {40, 2}, -2'000, 60'000);
    const int found = countPrefill(table);
    BOOST_TEST(found > 50);
    BOOST_TEST(obeyFor(table, plan, None, 60'000, 90'000) == 0);
    BOOST_TEST(countPrefill(table) == found);
}

/**
 * Nine engines in three failure domains, two of which generate. Both crash at the same time, or a
 * domain without one is cut off, and every request there is refused.
 */
BOOST_AUTO_TEST_CASE(eachFailureDomainKeepsAnEngineOfEachStage)
{
    for (const int readers : {0, 3, 9}) {
        EndpointTable table = fleet(readers, 9 - readers);
        StagePlan plan({});
        obey(table, plan, None, at(-2'000));
        obey(table, plan, None, at(0));
        std::map<DomainId, std::set<Stage>> stages;
        for (const Endpoint *one : table.listed(Models)) {
            stages[one->listed_.domain_].insert(one->listed_.stage_);
        }
        for (const auto &[domain, found] : stages) {
            BOOST_TEST(found.size() == 2U);
        }
    }
}

/** Engines to change come from all failure domains alike, so that a cut leaves both stages. */
BOOST_AUTO_TEST_CASE(changesAreSpreadOverFailureDomains)
{
    EndpointTable table = fleet(0, 18);
    StagePlan plan({});
    obey(table, plan, None, at(-2'000));
    obey(table, plan, None, at(0));
    std::map<DomainId, int> perDomain;
    for (const Endpoint *one : table.listed(Models)) {
        perDomain[one->listed_.domain_] += one->listed_.stage_ == Stage::Prefill ? 1 : 0;
    }
    for (const auto &[domain, count] : perDomain) {
        BOOST_TEST(count >= 4);
        BOOST_TEST(count <= 5);
    }
}

/** An engine without an answer to its order is not ordered again until it had the time to act. */
BOOST_AUTO_TEST_CASE(anEngineHasOneOrderOnItsWay)
{
    const EndpointTable table = fleet(6, 12);
    StagePlan plan({});
    plan.plan(table, Models, at(-2'000));
    BOOST_TEST(plan.plan(table, Models, at(0)).size() == 8U);
    BOOST_TEST(plan.plan(table, Models, at(1'000)).empty());
    BOOST_TEST(plan.plan(table, Models, at(5'000)).size() == 8U);
}

BOOST_AUTO_TEST_SUITE_END()
