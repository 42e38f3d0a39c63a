#include "almondridge/control/ordergate.h"
#include "almondridge/net/httpserver.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <thread>

using namespace almondridge;
using namespace almondridge::control;

namespace {

const std::string State = R"({"target":{"model":"m","version":"2","adapters":["b@1","a@1"],)"
                          R"("role":"decode","admit":false},"phase":"changing","running":3,)"
                          R"("fence":7,"sequence":9})";
const EngineOrder Order {
    7, 9, InstanceId("one"), {ModelId("m"), "2", {"a@1"}, fleet::EngineRole::Decode, false}};

TimePoint later()
{
    return BootClock::now() + millis(20'000);
}

/** An engine that sends the same response to every request. */
struct OneAnswer
{
    OneAnswer()
        : server_(net::HttpServer::Builder()
                      .workers(2)
                      .handler([this](net::ServerExchange &exchange) {
                          ++requests_;
                          body_ = exchange.readBody(10'000, later()).value();
                          path_ = exchange.path();
                          exchange.closeAfterAnswer();
                          exchange.respond(status_, "application/json", answer_);
                      })
                      .start()
                      .value())
    {
        engine_.id_ = EndpointId("e1");
        engine_.address_ = "127.0.0.1:" + std::to_string(server_.port());
    }
    auto send(TimePoint sendUntil)
    {
        return capture([&] { return orders_->send(engine_, Order, sendUntil, later()); });
    }

    /** Only set between two calls. */
    std::atomic<int> status_ = 200;
    std::string answer_ = State;
    std::atomic<int> requests_ = 0;
    std::string body_;
    std::string path_;
    fleet::Endpoint engine_;
    std::unique_ptr<EngineOrders> orders_ = makeHttpEngineOrders();
    net::HttpServer server_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(Orders)

BOOST_AUTO_TEST_CASE(ordersAndStatesFollowTheWireProtocol)
{
    OneAnswer engine;
    const auto answer = engine.send(later());
    const EngineState &state = std::get<EngineState>(answer);
    const EngineTarget expected {
        ModelId("m"), "2", {"a@1", "b@1"}, fleet::EngineRole::Decode, false};
    BOOST_TEST((state.target_ == expected));
    BOOST_TEST((state.phase_ == EnginePhase::Changing));
    BOOST_TEST((state.running_ == 3 && state.fence_ == 7U && state.sequence_ == 9U));
    BOOST_TEST(engine.path_ == "/engine/orders");
    const auto sent = nlohmann::json::parse(engine.body_);
    BOOST_TEST((sent
                == nlohmann::json::parse(R"({"fence":7,"sequence":9,"holder":"one","target":)"
                                         R"({"model":"m","version":"2","adapters":["a@1"],)"
                                         R"("role":"decode","admit":false}})")));
    BOOST_TEST(engine.orders_->readState(engine.engine_, later()).value().running_ == 3);
    BOOST_TEST(engine.path_ == "/engine/state");
}

BOOST_AUTO_TEST_CASE(theResponseShowsWhetherTheOrderWasAccepted)
{
    struct Case
    {
        int status_;
        const char *body_;
        ErrorKind kind_;
    };
    OneAnswer engine;
    for (const Case &expected :
         {Case {409, R"({"error":{"code":"stale_fence"}})", ErrorKind::StaleFence},
          Case {423, R"({"error":{"code":"busy"}})", ErrorKind::Overloaded},
          Case {400, "", ErrorKind::Protocol}, Case {500, "", ErrorKind::Interrupted},
          Case {200, "no state", ErrorKind::Interrupted}}) {
        engine.status_ = expected.status_;
        engine.answer_ = expected.body_;
        const auto answer = engine.send(later());
        BOOST_REQUIRE(std::holds_alternative<Error>(answer));
        BOOST_TEST((std::get<Error>(answer).kind_ == expected.kind_));
    }
}

// An engine would accept an order of an expired lease if the lease were checked when the order is
// prepared, not when it is sent.
BOOST_AUTO_TEST_CASE(nothingReachesTheEngineOnceTheLeaseHasExpired)
{
    OneAnswer engine;
    const auto answer = engine.send(BootClock::now() - millis(1));
    BOOST_TEST((std::get<Error>(answer).kind_ == ErrorKind::TimedOut));
    engine.server_.stop();
    BOOST_TEST(engine.requests_ == 0);
}

// The holder would wait for a response under a lease that it no longer holds, when the engine does
// not answer and the connection outlives the lease.
BOOST_AUTO_TEST_CASE(anUnansweredOrderIsShutDownWhenTheLeaseExpires)
{
    net::HttpServer silent = net::HttpServer::Builder()
                                 .workers(2)
                                 .handler([](net::ServerExchange &exchange) {
                                     while (!exchange.callerGone()) {
                                         std::this_thread::yield();
                                     }
                                 })
                                 .start()
                                 .value();
    fleet::Endpoint engine;
    engine.address_ = "127.0.0.1:" + std::to_string(silent.port());
    const auto orders = makeHttpEngineOrders();
    const auto answer = capture(
        [&] { return orders->send(engine, Order, BootClock::now() + millis(300), later()); });
    BOOST_TEST((std::get<Error>(answer).kind_ == ErrorKind::Interrupted));
}

BOOST_AUTO_TEST_SUITE_END()
