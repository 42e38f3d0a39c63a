#include "fakes.h"
#include "idempotencykey.h"

#include <atomic>
#include <boost/test/unit_test.hpp>

using namespace almondridge;
using namespace almondridge::relay;
using namespace almondridge::relay::test;

namespace {

enum class Behaviour { Answer, Cut, NotRun, Large };

/** A service that counts how often it executes a call. */
struct FakeService
{
    std::string address() const { return "127.0.0.1:" + std::to_string(server_.port()); }

    void handle(net::ServerExchange &exchange)
    {
        const std::string body = exchange.readBody(1 << 20, soon()).value();
        if (behaviour_ == Behaviour::NotRun) {
            exchange.respond(503, "text/plain", "", {{"X-Not-Run", "1"}, {"Retry-After", "7"}});
            return;
        }
        const int run = ++runs_;
        exchange.closeAfterAnswer();
        if (behaviour_ == Behaviour::Cut) {
            exchange.beginStream(201, "text/plain");
            exchange.writeChunk("half");
            return;
        }
        std::string text = std::string(exchange.path()) + "?" + std::string(exchange.query()) + " "
                           + std::string(exchange.header("X-Trace")) + " " + body + " run "
                           + std::to_string(run);
        text.resize(behaviour_ == Behaviour::Large ? 1'000'000 : text.size(), 'x');
        exchange.respond(201, "text/plain", text, {{"X-Booked", "yes"}});
    }

    std::atomic<Behaviour> behaviour_ = Behaviour::Answer;
    std::atomic<int> runs_ = 0;
    net::HttpServer server_ =
        net::HttpServer::Builder()
            .handler([this](net::ServerExchange &exchange) { handle(exchange); })
            .start()
            .value();
};

struct BookingFixture
{
    fleet::FleetBuilder fleet()
    {
        fleet::FleetBuilder builder = fleetOf({&engine_});
        fleet::Service service;
        service.id_ = ServiceId("booking");
        service.pathPrefix_ = "/booking";
        service.routes_ = {{"POST", "/search", fleet::Repeatability::Idempotent}};
        builder.service(service);
        int number = 0;
        for (const FakeService *each : {&one_, &two_}) {
            fleet::Endpoint endpoint;
            endpoint.id_ = EndpointId("s" + std::to_string(++number));
            endpoint.domain_ = DomainId("d1");
            endpoint.kind_ = fleet::EndpointKind::Service;
            endpoint.address_ = each->address();
            endpoint.service_ = ServiceId("booking");
            builder.endpoint(endpoint);
        }
        return builder;
    }

    net::Response confirm(net::Headers headers = {})
    {
        return relay_.call({"POST", "/booking/confirm?id=7", std::move(headers), "body"});
    }
    void setBoth(Behaviour behaviour)
    {
        one_.behaviour_ = behaviour;
        two_.behaviour_ = behaviour;
    }
    int runs() const { return one_.runs_ + two_.runs_; }

    FakeEngine engine_;
    FakeService one_;
    FakeService two_;
    FakeClaims claims_;
    RelayServer relay_ {fleet(), claims_};
};

std::string outcomeOf(const net::Response &response)
{
    return std::string(net::headerValue(response.headers_, "X-Outcome"));
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(Services, BookingFixture)

BOOST_AUTO_TEST_CASE(requestAndResponseAreForwarded)
{
    const net::Response answer =
        confirm({{"X-Trace", "t"}, {"X-Request-Id", "mine"}, {"Connection", "X-Gone"}});
    BOOST_TEST(answer.status_ == 201);
    BOOST_TEST(answer.body_ == "/confirm?id=7 t body run 1");
    BOOST_TEST(net::headerValue(answer.headers_, "X-Booked") == "yes");
    BOOST_TEST(net::headerValue(answer.headers_, "X-Request-Id") == "mine");
    setBoth(Behaviour::Large);
    BOOST_TEST(confirm().body_.size() == 1'000'000U);
}

// Guards against executing a non-idempotent call twice: the endpoint executes it and fails in the
// middle of its response.
BOOST_AUTO_TEST_CASE(nonIdempotentCallRunsOnceEvenIfItsResponseBreaksOff)
{
    setBoth(Behaviour::Cut);
    const net::Response answer = confirm();
    BOOST_TEST(answer.status_ == 502);
    BOOST_TEST(outcomeOf(answer) == "unknown");
    BOOST_TEST(net::headerValue(answer.headers_, "Retry-After").empty());
    BOOST_TEST(runs() == 1);
}

BOOST_AUTO_TEST_CASE(idempotentCallIsRetriedOnTheOtherEndpoint)
{
    one_.behaviour_ = Behaviour::Cut;
    for (int round = 0; round < 4; ++round) {
        BOOST_TEST(relay_.call({"POST", "/booking/search", {}, "q"}).status_ == 201);
    }
}

BOOST_AUTO_TEST_CASE(notRunPermitsARetryAndIsReportedWhenAllEndpointsSendIt)
{
    one_.behaviour_ = Behaviour::NotRun;
    for (int round = 0; round < 4; ++round) {
        BOOST_TEST(confirm().status_ == 201);
    }
    two_.behaviour_ = Behaviour::NotRun;
    const net::Response refused = confirm();
    BOOST_TEST(refused.status_ == 503);
    BOOST_TEST(outcomeOf(refused) == "not-run");
    BOOST_TEST(net::headerValue(refused.headers_, "Retry-After") == "7");
    BOOST_TEST(runs() == 4);
}

// Guards against executing a duplicate as a new request: the first response is lost on its way to
// the caller, which retries with the same key.
BOOST_AUTO_TEST_CASE(duplicateWithTheSameKeyGetsTheStoredOutcome)
{
    const net::Headers key {{"Idempotency-Key", "k1"}};
    const net::Response first = confirm(key);
    BOOST_TEST(relay_.relay_->waitIdle(soon()));
    const net::Response repeat = confirm(key);
    BOOST_TEST(repeat.status_ == 201);
    BOOST_TEST(repeat.body_ == first.body_);
    BOOST_TEST(net::headerValue(repeat.headers_, "Idempotent-Replayed") == "true");
    BOOST_TEST(runs() == 1);

    setBoth(Behaviour::Cut);
    BOOST_TEST(outcomeOf(confirm({{"Idempotency-Key", "k2"}})) == "unknown");
    setBoth(Behaviour::NotRun);
    BOOST_TEST(outcomeOf(confirm({{"Idempotency-Key", "k3"}})) == "not-run");
    setBoth(Behaviour::Answer);
    BOOST_TEST(relay_.relay_->waitIdle(soon()));
    BOOST_TEST(outcomeOf(confirm({{"Idempotency-Key", "k2"}})) == "unknown");
    const net::Response notRun = confirm({{"Idempotency-Key", "k3"}});
    BOOST_TEST(notRun.status_ == 409);
    BOOST_TEST(outcomeOf(notRun) == "not-run");
    BOOST_TEST(runs() == 2);
}

// Guards against a double execution around an outage of the control log. The first numbered attempt
// runs without a claim, so a later attempt finds none and must not conclude that it never ran.
BOOST_AUTO_TEST_CASE(withoutTheLogAnUnnumberedKeyIsRefusedAndANumberedOneRunsItsFirstAttemptOnly)
{
    claims_.setLogUnavailable(true);
    const net::Response refused = confirm({{"Idempotency-Key", "k1"}});
    BOOST_TEST(refused.status_ == 503);
    BOOST_TEST(outcomeOf(refused) == "not-run");
    BOOST_TEST(!net::headerValue(refused.headers_, "Retry-After").empty());
    BOOST_TEST(runs() == 0);
    BOOST_TEST(confirm({{"Idempotency-Key", "k1"}, {"X-Attempt", "1"}}).status_ == 201);
    BOOST_TEST(relay_.relay_->waitIdle(
        soon())); // The outcome is stored after the response; here it is lost.
    BOOST_TEST(runs() == 1);
    for (const bool out : {true, false}) {
        claims_.setLogUnavailable(out);
        const net::Response later = confirm({{"Idempotency-Key", "k1"}, {"X-Attempt", "2"}});
        BOOST_TEST(outcomeOf(later) == "unknown");
    }
    BOOST_TEST(runs() == 1);
}

BOOST_AUTO_TEST_CASE(keysOfAccountsServicesAndKindsAreDistinct)
{
    const auto keyOf = [](const char *account, const char *scope, const char *attempt) {
        return parseIdempotencyKey({"k", attempt}, AccountId(account), scope).value()->scopedKey_;
    };
    const std::vector<std::string> keys {keyOf("a", "s", ""), keyOf("b", "s", ""),
                                         keyOf("a", "t", ""), keyOf("a", "s", "1"),
                                         keyOf("a\",\"s", "", "")};
    for (std::size_t left = 0; left < keys.size(); ++left) {
        for (std::size_t right = left + 1; right < keys.size(); ++right) {
            BOOST_TEST(keys[left] != keys[right]);
        }
    }
    BOOST_TEST(keyOf("a", "s", "1") == keyOf("a", "s", "2"));
}

BOOST_AUTO_TEST_CASE(everyRuleAndClaimStatusHasItsDecision)
{
    using enum KeyDecision;
    struct Row
    {
        KeyRule rule_;
        std::array<KeyDecision, 4> decisions_; ///< Claimed, Finished, Unknown, LogUnavailable
    };
    const std::vector<Row> rows {
        {KeyRule::Claim, {Run, ReplayStored, ReplyUnknown, ReplyLogUnavailable}},
        {KeyRule::FirstAttempt, {Run, ReplayStored, ReplyUnknown, Run}},
        {KeyRule::LaterAttempt, {ReplyUnknown, ReplayStored, ReplyUnknown, ReplyUnknown}}};
    for (const Row &row : rows) {
        for (std::size_t status = 0; status < row.decisions_.size(); ++status) {
            const ClaimResult answer {static_cast<ClaimStatus>(status), 200, {}};
            BOOST_TEST((decideByKey(row.rule_, answer) == row.decisions_[status]));
        }
        BOOST_TEST(
            (decideByKey(row.rule_, {ClaimStatus::Finished, StoredNotRun, {}}) == ReplyNotRun));
        BOOST_TEST(
            (decideByKey(row.rule_, {ClaimStatus::Finished, StoredUnknown, {}}) == ReplyUnknown));
    }
}

BOOST_AUTO_TEST_CASE(keyedCompletionRunsOnceAndItsDuplicateGetsTheSameResponse)
{
    json body = {{"model", "m"}, {"prompt", "a"}, {"max_tokens", 3}};
    const net::Headers key {{"Idempotency-Key", "k1"}};
    const net::Response first = relay_.post("/v1/completions", body, key);
    BOOST_TEST(relay_.relay_->waitIdle(soon()));
    BOOST_TEST(relay_.post("/v1/completions", body, key).body_ == first.body_);
    body["stream"] = true;
    BOOST_TEST(textOf(relay_.post("/v1/completions", body, key)) == words("a", 1, 3));
    BOOST_TEST(engine_.bodies().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
