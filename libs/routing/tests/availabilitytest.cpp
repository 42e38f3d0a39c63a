#include "testfleet.h"

#include <boost/test/unit_test.hpp>

using namespace almondridge;
using namespace almondridge::routing;
using fleet::EngineRole;

namespace {

/** Records a failed attempt that was dispatched 1 ms before now. */
void failOnce(Router &router, const EndpointId &endpoint, TimePoint now)
{
    const AttemptId attempt = dispatch(router, endpoint, prompt(10), now - millis(1));
    router.onFinished(attempt, false, now);
}

/** Returns a router with a busy local engine and an idle one in another domain. */
Router busyLocalIdleRemote()
{
    Router router = TestFleet().engines(1).engines(1, "d2").router();
    router.onReport(report(engine(0), at(0), 0), at(0));
    router.onReport(report(engine(1, "d2"), at(0), 0), at(0));
    for (int request = 0; request < 10; ++request) {
        dispatch(router, engine(0), prompt(1'000), at(0));
    }
    return router;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Availability)

/** A draining, withheld or removed engine must get no new requests. */
BOOST_AUTO_TEST_CASE(unavailableEndpointsGetNoRequests)
{
    TestFleet fleet = TestFleet().engines(6);
    fleet.at(engine(0)).leaving_ = true;
    fleet.at(engine(4)).model_ = ModelId("other");
    Router router = fleet.router();
    router.onReachability(engine(1), Reachability::Withheld, at(0));
    router.onReachability(engine(2), Reachability::Unreachable, at(0));
    LoadReport draining = report(engine(3), at(0), 0);
    draining.admits_ = false;
    router.onReport(draining, at(0));
    BOOST_TEST(countChoices(router, engine(5), prompt(100), at(10)) == 50);

    RouteQuery excluded = prompt(100);
    excluded.excluded_ = {engine(5)};
    BOOST_TEST(!router.choose(excluded, at(10)).has_value());

    router.onReachability(engine(1), Reachability::Open, at(20));
    BOOST_TEST(router.choose(excluded, at(20)).value().endpoint_ == engine(1));
}

BOOST_AUTO_TEST_CASE(anUnknownModelHasNoChoice)
{
    Router router = TestFleet().engines(1).router();
    RouteQuery query = prompt(10);
    query.model_ = ModelId("unknown");
    BOOST_TEST(!router.choose(query, at(0)).has_value());
    BOOST_TEST((router.estimateFirstToken(EndpointId("x"), query, at(0)) == TimePoint::max()));
}

/**
 * A first token or failure may arrive after its engine was removed. It must not count for a new
 * endpoint in the same slot.
 */
BOOST_AUTO_TEST_CASE(eventsOfARemovedEndpointDoNotAffectItsSuccessor)
{
    Router router = TestFleet().engines(1).router();
    const AttemptId attempt = dispatch(router, engine(0), prompt(50'000), at(0));
    router.setFleet(TestFleet().engines(1, "d1x").get());
    TestFleet successor;
    successor.engines(1, "d1");
    router.setFleet(successor.get());
    router.onFirstToken(attempt, -1, at(9'000));
    router.onFinished(attempt, false, at(9'000));
    const RouteChoice choice = router.choose(prompt(100), at(9'001)).value();
    BOOST_TEST(toMillis(choice.firstToken_ - at(9'001)) < 100);
    BOOST_TEST(choice.reason_.find("last-resort") == std::string::npos);
}

/**
 * An engine that refuses every connection looks idle. Without a back-off, the first attempt of each
 * request would go there.
 */
BOOST_AUTO_TEST_CASE(aFailedEndpointIsAvoidedUntilItsBackoffEnds)
{
    Router router = TestFleet().engines(2).router();
    dispatch(router, engine(1), prompt(1'000), at(0));
    failOnce(router, engine(0), at(10));
    BOOST_TEST(countChoices(router, engine(0), prompt(100), at(500)) == 0);
    BOOST_TEST(countChoices(router, engine(0), prompt(100), at(511)) == 50);
    // Half-open: while one probe is in progress, no other request is sent.
    const AttemptId probe = dispatch(router, engine(0), prompt(10), at(511));
    BOOST_TEST(countChoices(router, engine(0), prompt(100), at(512)) == 0);
    router.onFirstToken(probe, -1, at(520));
    BOOST_TEST(countChoices(router, engine(0), prompt(100), at(521)) == 50);
}

BOOST_AUTO_TEST_CASE(theBackoffDoublesWithEachFailedProbe)
{
    Router router = TestFleet().engines(2).router();
    dispatch(router, engine(1), prompt(1'000), at(0));
    failOnce(router, engine(0), at(10));
    failOnce(router, engine(0), at(600));
    BOOST_TEST(countChoices(router, engine(0), prompt(100), at(1'500)) == 0);
    BOOST_TEST(countChoices(router, engine(0), prompt(100), at(1'601)) == 50);
}

/** An engine that crashes with many streams and restarts must not get the maximum back-off. */
BOOST_AUTO_TEST_CASE(aCrashThatFailsManyAttemptsCountsOnce)
{
    Router router = TestFleet().engines(2).router();
    dispatch(router, engine(1), prompt(1'000), at(0));
    std::vector<AttemptId> attempts;
    attempts.reserve(30);
    for (int stream = 0; stream < 30; ++stream) {
        attempts.push_back(dispatch(router, engine(0), prompt(10), at(0)));
    }
    for (const AttemptId &attempt : attempts) {
        router.onFinished(attempt, false, at(10));
    }
    BOOST_TEST(countChoices(router, engine(0), prompt(100), at(511)) == 50);
}

/**
 * A query of death may put every engine into back-off. Other clients must still be served
 * meanwhile.
 */
BOOST_AUTO_TEST_CASE(whenAllAreInBackoffOneIsStillTried)
{
    Router router = TestFleet().engines(2).router();
    failOnce(router, engine(0), at(0));
    failOnce(router, engine(1), at(0));
    const RouteChoice choice = router.choose(prompt(100), at(10)).value();
    BOOST_TEST(choice.reason_.find("rule=last-resort") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(anotherDomainIsUsedOnlyIfItReportsSpareCapacity)
{
    Router router = busyLocalIdleRemote();
    BOOST_TEST(!router.choose(prompt(100), at(10)).value().otherDomain_);
    router.onDomainCapacity(DomainId("d2"), 0.8, at(1'000));
    const RouteChoice remote = router.choose(prompt(100), at(20)).value();
    BOOST_TEST(remote.otherDomain_);
    BOOST_TEST(remote.endpoint_ == engine(1, "d2"));
    BOOST_TEST(!router.choose(prompt(100), at(1'000)).value().otherDomain_);
    router.onDomainCapacity(DomainId("d2"), 0.01, at(5'000));
    BOOST_TEST(!router.choose(prompt(100), at(1'001)).value().otherDomain_);
}

BOOST_AUTO_TEST_CASE(anotherDomainIsUsedOnlyIfItIsMuchFaster)
{
    Router router = busyLocalIdleRemote();
    router.onDomainCapacity(DomainId("d2"), 0.8, at(1'000));
    for (int request = 0; request < 6; ++request) {
        dispatch(router, engine(1, "d2"), prompt(1'000), at(0));
    }
    BOOST_TEST(!router.choose(prompt(100), at(20)).value().otherDomain_);

    Router lightlyLoaded = TestFleet().engines(1).engines(1, "d2").router();
    lightlyLoaded.onDomainCapacity(DomainId("d2"), 1.0, at(1'000));
    dispatch(lightlyLoaded, engine(0), prompt(1'000), at(0));
    BOOST_TEST(!lightlyLoaded.choose(prompt(100), at(20)).value().otherDomain_);
}

BOOST_AUTO_TEST_CASE(aDomainWithoutAvailableEnginesUsesAnotherDomain)
{
    Router router = TestFleet().engines(1).engines(1, "d2").router();
    router.onReachability(engine(0), Reachability::Withheld, at(0));
    BOOST_TEST(!router.choose(prompt(100), at(0)).has_value());
    router.onDomainCapacity(DomainId("d2"), 0.5, at(1'000));
    BOOST_TEST(router.choose(prompt(100), at(0)).value().otherDomain_);
    BOOST_TEST(router.spareShare(ModelId("m"), at(0)) == 0.0);
}

BOOST_AUTO_TEST_CASE(aLongPromptIsSplitIntoPrefillAndDecode)
{
    Router router = TestFleet()
                        .engines(1, "d1", EngineRole::Prefill)
                        .engines(1, "d1", EngineRole::Decode)
                        .router();
    LoadReport prefill = report(engine(0), at(0), 0);
    prefill.role_ = EngineRole::Prefill;
    prefill.prefillTokensPerSecond_ = 20'000;
    LoadReport decode = report(engine(1), at(0), 0);
    decode.role_ = EngineRole::Decode;
    decode.prefillTokensPerSecond_ = 4'000;
    router.onReport(prefill, at(0));
    router.onReport(decode, at(0));

    const RouteChoice split = router.choose(prompt(4'000), at(10)).value();
    BOOST_TEST(split.prefill_.value() == engine(0));
    BOOST_TEST(split.endpoint_ == engine(1));
    const RouteChoice alone = router.choose(prompt(100), at(10)).value();
    BOOST_TEST(!alone.prefill_.has_value());
    BOOST_TEST(alone.endpoint_ == engine(1));

    for (int request = 0; request < 10; ++request) {
        dispatch(router, engine(0), prompt(4'000), at(10));
    }
    BOOST_TEST(!router.choose(prompt(4'000), at(20)).value().prefill_.has_value());
}

/** If no engine of the right role is available, a slow response is better than a refusal. */
BOOST_AUTO_TEST_CASE(anEngineOfAnotherRoleIsUsedIfThereIsNoOther)
{
    Router prefillOnly = TestFleet().engines(1, "d1", EngineRole::Prefill).router();
    BOOST_TEST(prefillOnly.choose(prompt(4'000), at(0)).value().endpoint_ == engine(0));
    Router decodeOnly = TestFleet().engines(1, "d1", EngineRole::Decode).router();
    BOOST_TEST(decodeOnly.choose(prompt(4'000), at(0)).value().endpoint_ == engine(0));
}

BOOST_AUTO_TEST_CASE(aServiceCallGoesToTheLessLoadedEndpoint)
{
    Router router = TestFleet().services(2).router();
    RouteQuery call;
    call.service_ = ServiceId("booking");
    LoadReport busy;
    busy.endpoint_ = EndpointId("s0");
    busy.stamp_ = at(0);
    busy.running_ = 3;
    LoadReport idle = busy;
    idle.endpoint_ = EndpointId("s1");
    idle.running_ = 1;
    router.onReport(busy, at(0));
    router.onReport(idle, at(0));
    BOOST_TEST(countChoices(router, EndpointId("s1"), call, at(100)) == 50);
    for (int sent = 0; sent < 3; ++sent) {
        dispatch(router, EndpointId("s1"), call, at(100));
    }
    BOOST_TEST(countChoices(router, EndpointId("s0"), call, at(110)) == 50);
}

BOOST_AUTO_TEST_CASE(aRemovedModelHasNoChoiceAndNoSpareShare)
{
    Router router = TestFleet().engines(1).router();
    router.setFleet(std::make_shared<fleet::Fleet>());
    BOOST_TEST(!router.choose(prompt(100), at(0)).has_value());
    BOOST_TEST(router.spareShare(ModelId("m"), at(0)) == 0.0);
}

BOOST_AUTO_TEST_CASE(theSpareShareDecreasesWithLoad)
{
    Router router = TestFleet().engines(2).router();
    router.onReport(report(engine(0), at(0), 0), at(0));
    router.onReport(report(engine(1), at(0), 0), at(0));
    const double idle = router.spareShare(ModelId("m"), at(1));
    dispatch(router, engine(0), prompt(10'000), at(1));
    const double half = router.spareShare(ModelId("m"), at(2));
    BOOST_TEST(idle > 0.95);
    BOOST_TEST(half < idle * 0.6);
    BOOST_TEST(router.spareShare(ModelId("unknown"), at(2)) == 0.0);
}

BOOST_AUTO_TEST_SUITE_END()
