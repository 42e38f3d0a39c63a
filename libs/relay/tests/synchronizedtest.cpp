#include "synchronized.h"
#include "demandcounter.h"
#include "fakes.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <thread>

using namespace almondridge;
using namespace almondridge::relay;
using namespace almondridge::relay::test;

namespace {

routing::RouteQuery queryFor(const char *model)
{
    routing::RouteQuery query;
    query.model_ = ModelId(model);
    query.promptTokens_ = 10;
    query.outputTokens_ = 10;
    query.deadline_ = soon();
    return query;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Synchronized)

// Guards against sending to an endpoint after this instance confirmed its drain: the drain is
// announced between the choice of the endpoint and the send. The confirmation waits for sends in
// progress.
BOOST_AUTO_TEST_CASE(nothingIsSentToAnEndpointThatWasClosedAfterTheChoice)
{
    FakeEngine engine;
    SynchronizedRouter sharedRouter(routing::Router::Builder().domain(DomainId("d1")).build());
    const auto inForce = std::make_shared<const fleet::Fleet>(fleetOf({&engine}).build().value());
    sharedRouter.with([&](routing::Router &router) { router.setFleet(inForce); });
    const auto choice = sharedRouter.dispatch(AttemptId("a"), queryFor("m"));
    BOOST_REQUIRE(choice.has_value());
    BOOST_TEST(sharedRouter.beginSend(choice->endpoint_));
    sharedRouter.with([&](routing::Router &router) {
        router.onReachability(choice->endpoint_, routing::Reachability::Withheld, BootClock::now());
    });
    BOOST_TEST(!sharedRouter.beginSend(choice->endpoint_));
    BOOST_TEST(!sharedRouter.waitForSends(choice->endpoint_, BootClock::now()));
    std::atomic<bool> sendsFinished = false;
    std::thread confirmation(
        [&] { sendsFinished = sharedRouter.waitForSends(choice->endpoint_, soon()); });
    sharedRouter.endSend(choice->endpoint_);
    confirmation.join();
    BOOST_TEST(sendsFinished.load());
    BOOST_TEST(!sharedRouter.dispatch(AttemptId("b"), queryFor("m")).has_value());
}

BOOST_AUTO_TEST_CASE(demandCountsRequestsAndIsCorrectedByResponses)
{
    DemandCounter demand;
    const ModelId model("m");
    BOOST_TEST(demand.expectedOutput(model, 100) == 100);
    demand.onRequest(model, 50, 100);
    demand.onCompleted(model, 100, 20, 100);
    demand.onCacheHit(model, 30);
    const std::vector<ModelDemand> taken = demand.take();
    BOOST_REQUIRE(taken.size() == 1U);
    BOOST_TEST(taken[0].prefillTokens_ == 20);
    BOOST_TEST(taken[0].decodeTokens_ == 20);
    BOOST_TEST(demand.expectedOutput(model, 100) < 100);
    demand.onCompleted(model, 100, 20, 100);
    BOOST_TEST(demand.take()[0].decodeTokens_ == 0);
    demand.onRequest(model, 0, 100);
    BOOST_TEST(demand.take()[0].decodeTokens_ == 20);
}

BOOST_AUTO_TEST_SUITE_END()
