#include "digest.h"
#include "engineevent.h"
#include "fakes.h"
#include "modelrequest.h"
#include "ssereader.h"

#include "../../../tests/support/mutatebytes.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <random>
#include <sys/socket.h>

using namespace almondridge;
using namespace almondridge::relay;
using namespace almondridge::relay::test;
using almondridge::testing::mutateBytes;

namespace {

constexpr const char *Key = "the key of kaarna";

struct AuthenticatedRelay
{
    fleet::FleetBuilder fleet()
    {
        fleet::FleetBuilder builder = fleetOf({&engine_});
        fleet::Account account;
        account.id_ = AccountId("kaarna");
        account.apiKeySha256_ = sha256Hex(Key);
        return builder.account(account);
    }

    net::Response post(const std::string &path, const std::string &body)
    {
        return relay_.call({"POST", path, {authorization()}, body});
    }
    static net::Header authorization() { return {"Authorization", "Bearer " + std::string(Key)}; }

    FakeEngine engine_;
    FakeClaims claims_;
    RelayServer relay_ {fleet(), claims_};
};

void checkRefusal(const net::Response &response, int status, const std::string &code)
{
    BOOST_TEST(response.status_ == status);
    const json error = json::parse(response.body_, nullptr, false).value("error", json::object());
    BOOST_TEST(error.value("code", "") == code);
    BOOST_TEST(error.value("outcome", "") == "not-run");
    BOOST_TEST(!error.value("remedy", "").empty());
    BOOST_TEST(net::headerValue(response.headers_, "X-Outcome") == "not-run");
}

std::string nested(int depth)
{
    return R"({"model":"m","prompt":"a","x":)" + std::string(depth, '[') + std::string(depth, ']')
           + "}";
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(BadInput, AuthenticatedRelay)

BOOST_AUTO_TEST_CASE(invalidBodiesAreRefusedAndNothingRuns)
{
    struct Row
    {
        const char *path_;
        std::string body_;
        int status_;
        const char *code_;
    };
    constexpr const char *Text = "/v1/completions";
    constexpr const char *Chat = "/v1/chat/completions";
    const std::vector<Row> rows {
        {Text, "", 400, "invalid_request"},
        {Text, "{", 400, "invalid_request"},
        {Text, "[]", 400, "invalid_request"},
        {Text, "{\"model\":\"m\",\"prompt\":\"\xff\"}", 400, "invalid_request"},
        {Text, R"({"prompt":"a"})", 400, "invalid_request"},
        {Text, R"({"model":"m"})", 400, "invalid_request"},
        {Text, R"({"model":7,"prompt":"a"})", 400, "invalid_request"},
        {Text, R"({"model":"m","prompt":["a","b"]})", 400, "invalid_request"},
        {Text, R"({"model":"m","prompt":"a","max_tokens":0})", 400, "invalid_request"},
        {Text, R"({"model":"m","prompt":"a","max_tokens":1.5})", 400, "invalid_request"},
        {Text, R"({"model":"m","prompt":"a","max_tokens":99999999999999999999})", 400,
         "invalid_request"},
        {Text, R"({"model":"m","prompt":"a","n":2})", 400, "invalid_request"},
        {Text, R"({"model":"m","prompt":"a","stream":"yes"})", 400, "invalid_request"},
        {Text, R"({"model":"m","prompt":"a","echo":true})", 400, "invalid_request"},
        {Text, R"({"model":"m","prompt":"a","stream_options":7})", 400, "invalid_request"},
        {Text, R"({"model":"m","prompt":"a","resume_text":"b"})", 400, "invalid_request"},
        {Text, nested(60'000 / 4), 400, "invalid_request"},
        {Text, nested(100), 400, "invalid_request"},
        {Text, R"({"model":"none","prompt":"a"})", 404, "model_not_found"},
        {Text, std::string(100'000, ' '), 413, "body_too_large"},
        {Chat, R"({"model":"m","prompt":"a"})", 400, "invalid_request"},
        {Chat, R"({"model":"m","messages":[]})", 400, "invalid_request"},
        {Chat, R"({"model":"m","messages":["a"]})", 400, "invalid_request"},
        {Chat, R"({"model":"m","messages":[{"role":"user","content":7}]})", 400, "invalid_request"},
        {Chat, R"({"model":"m","messages":[{"content":"a"}]})", 400, "invalid_request"},
        {"/v1/nothing", "{}", 404, "not_found"},
        {"/v1/models", "{}", 405, "method_not_allowed"},
    };
    for (const Row &row : rows) {
        BOOST_TEST_CONTEXT(row.path_ << " " << row.body_.substr(0, 80))
        {
            checkRefusal(post(row.path_, row.body_), row.status_, row.code_);
        }
    }
    BOOST_TEST(engine_.bodies().empty());
}

BOOST_AUTO_TEST_CASE(invalidHeadersAndKeysAreRefused)
{
    const std::string body = R"({"model":"m","prompt":"a"})";
    const auto with = [&](net::Headers headers) {
        return relay_.call({"POST", "/v1/completions", std::move(headers), body});
    };
    const net::Header key = authorization();
    checkRefusal(with({}), 401, "invalid_api_key");
    checkRefusal(with({{"Authorization", "Bearer wrong"}}), 401, "invalid_api_key");
    checkRefusal(with({{"Authorization", Key}}), 401, "invalid_api_key");
    checkRefusal(with({key, {"X-Request-Deadline-Ms", "soon"}}), 400, "invalid_request");
    checkRefusal(with({key, {"X-Request-Deadline-Ms", "1"}}), 504, "deadline_passed");
    checkRefusal(with({key, {"X-Attempt", "1"}}), 400, "invalid_request");
    checkRefusal(with({key, {"Idempotency-Key", "k"}, {"X-Attempt", "0"}}), 400, "invalid_request");
    checkRefusal(with({key, {"Idempotency-Key", std::string(300, 'k')}}), 400, "invalid_request");
    checkRefusal(with({key, {"X-Resume-Token", "x"}, {"X-Resume-Offset", "1"}}), 400,
                 "invalid_request");
    BOOST_TEST(engine_.bodies().empty());
    BOOST_TEST(with({key}).status_ == 200);
    BOOST_TEST(relay_.call({"GET", "/v1/models", {key}, {}}).status_ == 200);
    BOOST_TEST(relay_.call({"GET", "/v1/models", {}, {}}).status_ == 401);
}

// Guards against a slot held for ever, or a truncated request executed, when a caller sends only
// half of the announced body and then stalls or closes.
BOOST_AUTO_TEST_CASE(incompleteOrSlowBodyIsRefused)
{
    fleet::Settings settings = RelayServer::settingsOf("i1");
    settings.callerTimeoutMillis_ = 300;
    RelayServer relay(fleet(), claims_, settings);
    for (const bool close : {true, false}) {
        auto caller = net::HttpExchange::connect(relay.address(), soon()).value();
        const std::string text =
            "POST /v1/completions HTTP/1.1\r\nHost: a\r\nAuthorization: " + authorization().value_
            + "\r\nContent-Length: 100\r\n\r\n{\"model\"";
        BOOST_TEST(::send(caller.socketDescriptor(), text.data(), text.size(), 0) > 0);
        if (close) {
            ::shutdown(caller.socketDescriptor(), SHUT_WR);
        }
        const int status = caller.readHead(soon()).value().status_;
        BOOST_TEST(status == (close ? 400 : 408));
    }
    BOOST_TEST(engine_.bodies().empty());
}

BOOST_AUTO_TEST_CASE(requestsBeyondTheLimitAreRefusedAtOnce)
{
    fleet::Settings settings = RelayServer::settingsOf("i1");
    settings.maxStreams_ = 1;
    RelayServer relay(fleet(), claims_, settings);
    Fault fault;
    fault.stallAfter_ = 0;
    engine_.setFault(fault);
    auto first = net::HttpExchange::connect(relay.address(), soon()).value();
    const std::string body = R"({"model":"m","prompt":"a","stream":true})";
    first.send({"POST", "/v1/completions", {authorization()}, body}, soon()).value();
    while (engine_.bodies().empty()) {
        std::this_thread::yield();
    }
    const net::Response second = relay.call({"POST", "/v1/completions", {authorization()}, body});
    checkRefusal(second, 503, "no_capacity");
    BOOST_TEST(!net::headerValue(second.headers_, "Retry-After").empty());
    first.shutdown();
    BOOST_TEST(relay.relay_->waitIdle(soon()));
}

BOOST_AUTO_TEST_CASE(mutatedBodiesAreParsedOrRefusedAndParsedOnesCanBeSerialized)
{
    std::mt19937 random(11);
    const std::string seed =
        R"({"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"}]}],)"
        R"("max_tokens":5,"stream":true,"stream_options":{"include_usage":true},"n":1})";
    int read = 0;
    for (int round = 0; round < 20'000; ++round) {
        const std::string text = mutateBytes(seed, random);
        const auto request = capture([&] { return parseModelRequest(Api::Chat, text); });
        if (request.index() == 0) {
            ++read;
            BOOST_REQUIRE(json::accept(engineBody(std::get<0>(request), {" b", 1, {}})));
        }
    }
    BOOST_TEST(read > 100);
}

BOOST_AUTO_TEST_CASE(mutatedEngineEventsAreParsedOrRejected)
{
    std::mt19937 random(13);
    const std::string seed =
        "data: {\"offset\":0,\"choices\":[{\"index\":0,\"text\":\" a\",\"finish_reason\":null}]}"
        "\r\n\r\n: note\ndata: {\"offset\":1,\"choices\":[{\"delta\":{\"content\":\"b\"},"
        "\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":3,\"prompt_tokens_details\":"
        "{\"cached_tokens\":1}}}\n\ndata: [DONE]\n\n";
    int events = 0;
    for (int round = 0; round < 20'000; ++round) {
        const std::string text = round == 0 ? seed : mutateBytes(seed, random);
        SseReader reader(512);
        bool understood = true;
        for (std::size_t at = 0; at < text.size() && understood;) {
            const std::size_t size = 1 + random() % 40;
            understood = reader.append(std::string_view(text).substr(at, size));
            at += size;
        }
        while (understood && reader.hasEvent()) {
            const auto event = parseEngineEvent(Api::Completions, reader.takeEvent());
            events += event ? 1 : 0;
        }
        BOOST_REQUIRE((round > 0 || events == 3));
    }
    SseReader bounded(512);
    BOOST_TEST(!bounded.append("data: " + std::string(600, 'x')));
}

BOOST_AUTO_TEST_SUITE_END()
