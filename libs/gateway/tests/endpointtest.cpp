#include "prompts.h"

#include "almondridge/gateway/peerload.h"

#include <boost/test/unit_test.hpp>

using namespace almondridge;
using namespace almondridge::gateway;
using namespace almondridge::gateway::testing;

BOOST_AUTO_TEST_SUITE(Endpoints)

BOOST_AUTO_TEST_CASE(drainingOrUnlistedEndpointGetsNoNewWork)
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

// Guards against iterating over all endpoints twenty times a second: with 10,000 of them that takes
// a third of an instance's eighth of a core, though only two or three have requests.
BOOST_AUTO_TEST_CASE(onlyEndpointsWithRecentEventsAreActive)
{
    constexpr int Engines = 10'000;
    EndpointTable table = fleet(Engines / 5, Engines - Engines / 5);
    table.deactivateIdle(at(0));
    BOOST_TEST(table.active().empty());
    const EndpointId busy("engine-1");
    const EndpointId unreachable("engine-2");
    const EndpointId reported("engine-3");
    table.onSent(busy, 0, 100, at(0));
    table.onHealthSignal(unreachable, HealthSignal::Unreachable, at(0));
    table.find(reported)->peerSlotUse_.add(false);
    table.deactivateIdle(at(1));
    BOOST_TEST(table.active().size() == 3U);
    BOOST_TEST(table.recentlyUnreachable(at(1)).size() == 1U);
    BOOST_TEST(table.takeDueProbes(at(1'000)).size() == 1U);

    table.onPrefilled(busy, 0, 100);
    table.onClosed(busy, 0);
    table.onProbed(unreachable, true, at(1'100));
    table.find(reported)->peerSlotUse_.remove(false);
    table.deactivateIdle(at(20'000));
    BOOST_TEST(table.active().empty());
}

BOOST_AUTO_TEST_CASE(unlistedEndpointIsKeptUntilItsLastRequestEnds)
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
 * An engine crashes and restarts under the same id. Guards against counting earlier requests,
 * cached parts and orders for the new process, which then got no work or too many uncached prompts,
 * and against a late entry of the earlier lifetime.
 */
BOOST_AUTO_TEST_CASE(restartUnderTheSameIdResetsAllState)
{
    EndpointTable table;
    ListedEndpoint listed = engine(1, Stage::Prefill);
    listed.startedAtMillis_ = 1'000;
    table.list(listed, at(0));
    const EndpointId id = listed.id_;
    Placement placement({DomainId("a")});
    const Prompt prompt = promptWith(1);
    placement.onPromptSent(listed, prompt, at(0));
    table.onSent(id, 1, 30'000, at(0));
    table.onHealthSignal(id, HealthSignal::TimedOut, at(0));
    table.onChanging(id, at(3'000));
    BOOST_TEST(table.usable(Models, at(1)).empty());

    ListedEndpoint again = listed;
    again.startedAtMillis_ = 2'000;
    BOOST_TEST((table.list(again, at(1)) == ListingChange::Restarted));
    BOOST_TEST(table.usable(Models, at(1)).size() == 1U);
    const Endpoint *restarted = table.find(id);
    BOOST_TEST(restarted->outstanding() == 0);
    BOOST_TEST(restarted->queued_.all() == 0);
    BOOST_TEST(PromptCacheIndex::keyOf(again, 1) != PromptCacheIndex::keyOf(listed, 1));

    BOOST_TEST((table.list(listed, at(2)) == ListingChange::Unchanged));
    BOOST_TEST(table.find(id)->listed_.startedAtMillis_ == 2'000);
    table.unlist(id);
    BOOST_TEST((table.find(id) != nullptr)); // The request to the earlier lifetime has not ended.
    table.onClosedOfEarlierLifetime(id);
    BOOST_TEST((table.find(id) == nullptr));
    BOOST_TEST((table.list(listed, at(3)) == ListingChange::Unchanged));
    BOOST_TEST(table.listed(Models).empty());
    BOOST_TEST((table.list(again, at(4)) == ListingChange::Changed));
}

/** The first entry with a start time must not count as a restart. */
BOOST_AUTO_TEST_CASE(firstReportedStartTimeIsNoRestart)
{
    EndpointTable table;
    ListedEndpoint listed = engine(1, Stage::Prefill);
    table.list(listed, at(0));
    table.onSent(listed.id_, 1, 30'000, at(0));
    listed.startedAtMillis_ = 1'000;
    BOOST_TEST((table.list(listed, at(1)) == ListingChange::Changed));
    BOOST_TEST(table.find(listed.id_)->outstanding() == 1);
    listed.startedAtMillis_ = 0;
    table.list(listed, at(2));
    BOOST_TEST(table.find(listed.id_)->listed_.startedAtMillis_ == 1'000);
}

/**
 * Guards against a herd of requests to an endpoint whose connections break: after the circuit was
 * open for a while, only one trial request may go there, until it succeeds.
 */
BOOST_AUTO_TEST_CASE(halfOpenCircuitAdmitsOneRequest)
{
    EndpointTable table = fleet(0, 1);
    const EndpointId id("engine-0");
    BOOST_TEST(!table.onHealthSignal(id, HealthSignal::Broken, at(0)));
    BOOST_TEST(table.onHealthSignal(id, HealthSignal::Broken, at(0)));
    BOOST_TEST(table.usable(Models, at(100)).empty());
    BOOST_TEST(table.usable(Models, at(1'000)).size() == 1U);
    table.onSent(id, 0, 0, at(0));
    BOOST_TEST(table.usable(Models, at(1'000)).empty());
    BOOST_TEST(table.onHealthSignal(id, HealthSignal::Healthy, at(1'100)));
    BOOST_TEST(table.usable(Models, at(1'100)).size() == 1U);
}

/**
 * A network partition takes a third of the engines away. With requests as probes, each instance
 * would lose one at each of them every two seconds; connection probes with backoff must be used.
 */
BOOST_AUTO_TEST_CASE(unreachableEndpointIsProbedByConnectionsOnly)
{
    EndpointTable table = fleet(0, 2);
    const EndpointId id("engine-0");
    BOOST_TEST(table.onHealthSignal(id, HealthSignal::Unreachable, at(0)));
    BOOST_TEST(table.takeDueProbes(at(100)).empty());
    std::vector<int> probedAt;
    for (int now = 0; now < 6'000; now += 50) {
        BOOST_TEST(table.usable(Models, at(now)).size() == 1U);
        for (const EndpointId &due : table.takeDueProbes(at(now))) {
            BOOST_TEST((due == id));
            probedAt.push_back(now);
            table.onProbed(id, false, at(now));
        }
    }
    BOOST_TEST(probedAt.size() >= 5U);
    BOOST_TEST(probedAt.size() <= 8U);
    table.takeDueProbes(at(9'000));
    table.onProbed(id, true, at(9'000));
    BOOST_TEST(table.usable(Models, at(9'000)).size() == 2U);
}

/**
 * Guards against each instance losing a request at a crashed engine that a peer already reported. A
 * report only triggers a probe, as the peer may be the one that is partitioned.
 */
BOOST_AUTO_TEST_CASE(endpointUnreachableForAPeerIsProbedBeforeTheNextRequest)
{
    EndpointTable table = fleet(0, 3);
    PeerLoads loads;
    LoadReport note {InstanceId("peer"), 1, 1};
    note.unreached_ = {EndpointId("engine-0"), EndpointId("engine-1"), EndpointId("unknown")};
    table.onHealthSignal(EndpointId("engine-1"), HealthSignal::Healthy, at(900));
    loads.onReport(*decodeLoadReport(encodeLoadReport(note)), table, at(1'000));
    BOOST_TEST(table.usable(Models, at(1'000)).size() == 2U);
    BOOST_TEST((table.takeDueProbes(at(1'000)) == std::vector {EndpointId("engine-0")}));
    table.onProbed(EndpointId("engine-0"), true, at(1'004));
    BOOST_TEST(table.usable(Models, at(1'004)).size() == 3U);
    BOOST_TEST(table.recentlyUnreachable(at(1'004)).empty()); // Peers' reports are not forwarded.
    note.sequence_ = 2;
    loads.onReport(note, table, at(1'400)); // The same report again: no second probe.
    BOOST_TEST(!table.find(EndpointId("engine-0"))->awaitsProbe_);
    table.onHealthSignal(EndpointId("engine-2"), HealthSignal::TimedOut, at(2'000));
    BOOST_TEST((table.recentlyUnreachable(at(2'500)) == std::vector {EndpointId("engine-2")}));
    BOOST_TEST(table.recentlyUnreachable(at(4'000)).empty());
}

/**
 * A sixth of the engines reset four requests in ten. Each of eighty instances uses one of them
 * every three seconds and sees no failures in a row; a hundred streams a second were lost for six
 * seconds. The failures that all instances report must reveal these engines.
 */
BOOST_AUTO_TEST_CASE(failureOutlierIsExcludedByAllInstances)
{
    EndpointTable table = fleet(0, 12);
    table.setInstances(8);
    PeerLoads loads;
    for (int number = 0; number < 12; ++number) {
        const EndpointId id("engine-" + std::to_string(number));
        for (int request = 0; request < 2; ++request) {
            table.onSent(id, 0, 0, at(0));
            table.onHealthSignal(id, HealthSignal::Healthy, at(0));
            table.onClosed(id, 0);
        }
    }
    for (int peer = 0; peer < 7; ++peer) {
        LoadReport note {InstanceId("peer-" + std::to_string(peer)), 1, 1};
        note.failures_[EndpointId("engine-1")] = 0.9; // 6 of some 16 requests.
        note.failures_[EndpointId("engine-2")] = 0.5; // 3.5: normal for any endpoint.
        loads.onReport(*decodeLoadReport(encodeLoadReport(note)), table, at(10));
    }
    const auto usable = table.usable(Models, at(20));
    BOOST_TEST(usable.size() == 11U);
    BOOST_TEST(table.outliers(at(20)).size() == 1U);
    BOOST_TEST(std::none_of(usable.begin(), usable.end(), [](const Endpoint *one) {
        return one->listed_.id_.value() == "engine-1";
    }));
    for (int peer = 0; peer < 7; ++peer) {
        loads.onReport({InstanceId("peer-" + std::to_string(peer)), 1, 2}, table, at(3'000));
    }
    BOOST_TEST(table.usable(Models, at(3'000)).size() == 12U);
    BOOST_TEST(table.outliers(at(3'000)).empty());
}

/** Errors that all endpoints of a service have alike must not take any of them out. */
BOOST_AUTO_TEST_CASE(commonFailuresExcludeNoEndpoint)
{
    BOOST_TEST(findFailureOutliers({9, 8, 10, 9, 11, 9}, 20).empty());
    BOOST_TEST((findFailureOutliers({9, 0, 1, 0, 1, 0}, 20) == std::vector<std::size_t> {0}));
    BOOST_TEST(findFailureOutliers({9, 0, 1, 0, 1, 0}, 60).empty()); // A seventh of its requests.
    BOOST_TEST(findFailureOutliers({9, 0}, 20).empty());
    BOOST_TEST(findFailureOutliers({}, 20).empty());
    // At most three in ten, as the others have to carry the load.
    BOOST_TEST(findFailureOutliers({9, 8, 7, 6, 0, 0, 0, 0, 0, 0}, 20).size() == 3U);
}

BOOST_AUTO_TEST_CASE(onlyConsecutiveServerErrorsOpenTheCircuit)
{
    EndpointTable table = fleet(0, 1);
    const EndpointId id("engine-0");
    for (int round = 0; round < 20; ++round) {
        table.onHealthSignal(id, HealthSignal::ServerError, at(round));
        table.onHealthSignal(id, HealthSignal::ServerError, at(round));
        table.onHealthSignal(id, HealthSignal::Healthy, at(round));
    }
    BOOST_TEST(table.usable(Models, at(20)).size() == 1U);
    for (int error = 0; error < 8; ++error) {
        table.onHealthSignal(id, HealthSignal::ServerError, at(20));
    }
    BOOST_TEST(table.usable(Models, at(20)).empty());
}

BOOST_AUTO_TEST_SUITE_END()
