#include "fakes.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <sys/socket.h>
#include <thread>

using namespace almondridge;
using namespace almondridge::relay;
using namespace almondridge::relay::test;

namespace {

json completion(const std::string &prompt, int tokens, bool stream)
{
    return {{"model", "m"}, {"prompt", prompt}, {"max_tokens", tokens}, {"stream", stream}};
}

/** Two engines behind one relay. */
struct TwoEngines
{
    /** Sets the fault on both engines, since either may get the next request. */
    void setFaultOnBoth(const Fault &fault)
    {
        one_.setFault(fault);
        two_.setFault(fault);
    }
    std::size_t requests() { return one_.bodies().size() + two_.bodies().size(); }

    FakeEngine one_;
    FakeEngine two_;
    FakeClaims claims_;
    RelayServer relay_ {fleetOf({&one_, &two_}), claims_};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Streams, TwoEngines)

BOOST_AUTO_TEST_CASE(completionsAreStreamedOrBuffered)
{
    const net::Response streamed =
        relay_.post("/v1/completions", completion("a b", 20, true), {{"X-Request-Id", "mine"}});
    BOOST_TEST(streamed.status_ == 200);
    BOOST_TEST(textOf(streamed) == words("a", 2, 20));
    BOOST_TEST(eventsOf(streamed.body_).back() == "[DONE]");
    BOOST_TEST(net::headerValue(streamed.headers_, "X-Request-Id") == "mine");
    BOOST_TEST(!net::headerValue(streamed.headers_, "X-Resume-Token").empty());
    const net::Response whole = relay_.post("/v1/completions", completion("a b", 20, false));
    BOOST_TEST(textOf(whole) == words("a", 2, 20));
    const json body = json::parse(whole.body_);
    BOOST_TEST(body["choices"][0]["finish_reason"] == "length");
    BOOST_TEST(body["usage"]["prompt_tokens"] == 2);
    BOOST_TEST(body["usage"]["completion_tokens"] == 20);
    BOOST_TEST(relay_.relay_->waitIdle(soon()));
    BOOST_TEST(relay_.metrics_.counter("requests_total", "outcome=\"whole\"") == 2U);
}

BOOST_AUTO_TEST_CASE(chatResponsesHaveTheChatFormat)
{
    json chat = {{"model", "m"}, {"messages", {{{"role", "user"}, {"content", "a"}}}}};
    const net::Response whole = relay_.post("/v1/chat/completions", chat);
    BOOST_TEST(textOf(whole) == words("a", 1, 16));
    BOOST_TEST(json::parse(whole.body_)["object"] == "chat.completion");
    chat["stream"] = true;
    chat["stream_options"] = {{"include_usage", true}};
    const net::Response streamed = relay_.post("/v1/chat/completions", chat);
    BOOST_TEST(textOf(streamed) == words("a", 1, 16));
    const std::vector<std::string> events = eventsOf(streamed.body_);
    BOOST_TEST(json::parse(events[events.size() - 2])["usage"]["completion_tokens"] == 16);
}

// Guards against truncated or duplicated text: the engine fails after five tokens and restarts
// without the stream, so another attempt must continue the response.
BOOST_AUTO_TEST_CASE(engineFailureMidStreamYieldsACompleteResponse)
{
    for (const bool stream : {true, false}) {
        Fault fault;
        fault.disconnectAfter_ = 5;
        fault.streamsLost_ = true;
        setFaultOnBoth(fault);
        const net::Response answer = relay_.post("/v1/completions", completion("a", 8, stream));
        BOOST_TEST(textOf(answer) == words("a", 1, 8));
    }
    const std::vector<json> bodies = one_.bodies().size() > 1 ? one_.bodies() : two_.bodies();
    const auto continued = std::find_if(bodies.begin(), bodies.end(), [](const json &body) {
        return body["prompt"] == "a" + words("a", 1, 5);
    });
    BOOST_REQUIRE((continued != bodies.end()));
    BOOST_TEST((*continued)["max_tokens"] == 3);
}

BOOST_AUTO_TEST_CASE(chatIsContinuedAsAPartialAssistantMessage)
{
    Fault fault;
    fault.disconnectAfter_ = 5;
    fault.streamsLost_ = true;
    setFaultOnBoth(fault);
    const json chat = {
        {"model", "m"}, {"max_tokens", 8}, {"messages", {{{"role", "user"}, {"content", "a"}}}}};
    BOOST_TEST(textOf(relay_.post("/v1/chat/completions", chat)) == words("a", 1, 8));
    std::vector<json> bodies = one_.bodies();
    for (const json &body : two_.bodies()) {
        bodies.push_back(body);
    }
    const auto continued = std::find_if(bodies.begin(), bodies.end(), [](const json &body) {
        return body.value("continue_final_message", false);
    });
    BOOST_REQUIRE((continued != bodies.end()));
    BOOST_TEST((*continued)["messages"].back()["content"] == words("a", 1, 5));
    BOOST_TEST((*continued)["add_generation_prompt"] == false);
}

// Guards against a response that stalls for ever: the connection to the engine stops delivering
// after five tokens, while new connections work.
BOOST_AUTO_TEST_CASE(stalledConnectionIsReplacedAndNothingRunsTwice)
{
    Fault fault;
    fault.stallAfter_ = 5;
    setFaultOnBoth(fault);
    BOOST_TEST(textOf(relay_.post("/v1/completions", completion("a", 8, true)))
               == words("a", 1, 8));
    BOOST_TEST(relay_.metrics_.counter("resumed_total") == 1U);
    BOOST_TEST(requests() == 1U);
}

// Guards against a caller that assumes a lost connection and reconnects, which cancels its own
// stream, while the instance is recovering the stream of a stalled engine.
BOOST_AUTO_TEST_CASE(callerOfAStalledStreamGetsKeepAlives)
{
    Fault fault;
    fault.stallAfter_ = 1;
    fault.stallResumed_ = true;
    setFaultOnBoth(fault);
    auto caller = net::HttpExchange::connect(relay_.address(), soon()).value();
    caller.send({"POST", "/v1/completions", {}, completion("a", 8, true).dump()}, soon()).value();
    caller.readHead(soon()).value();
    std::string heard;
    while (heard.find(": waiting") == std::string::npos) {
        std::array<char, 1'024> buffer {};
        const net::ReadResult read = caller.readSome(buffer, soon()).value();
        BOOST_REQUIRE((read.status_ == net::ReadStatus::Data));
        heard.append(buffer.data(), read.size_);
    }
    caller.shutdown();
    BOOST_TEST(relay_.relay_->waitIdle(soon()));
}

// Guards against engines that generate for callers that closed their connection. The engine is
// stalled, so the disconnect must be noticed without a write to the caller.
BOOST_AUTO_TEST_CASE(disconnectedCallerCancelsItsStreamAtOnce)
{
    Fault fault;
    fault.stallAfter_ = 1;
    setFaultOnBoth(fault);
    {
        auto caller = net::HttpExchange::connect(relay_.address(), soon()).value();
        caller.send({"POST", "/v1/completions", {}, completion("a", 8, true).dump()}, soon())
            .value();
        caller.readHead(soon()).value();
        std::array<char, 64> buffer {};
        BOOST_TEST((caller.readSome(buffer, soon()).value().status_ == net::ReadStatus::Data));
    }
    BOOST_TEST(relay_.relay_->waitIdle(soon()));
    FakeEngine &used = one_.bodies().empty() ? two_ : one_;
    BOOST_TEST(used.cancels(1).size() >= 1U);
    BOOST_TEST(relay_.metrics_.counter("requests_total", "outcome=\"abandoned\"") == 1U);
}

BOOST_AUTO_TEST_CASE(pipeliningCallerIsNotTreatedAsDisconnected)
{
    Fault fault;
    fault.stallAfter_ = 2;
    setFaultOnBoth(fault);
    auto caller = net::HttpExchange::connect(relay_.address(), soon()).value();
    caller.send({"POST", "/v1/completions", {}, completion("a", 5, true).dump()}, soon()).value();
    const std::string next = "GET /v1/models HTTP/1.1\r\nHost: a\r\n\r\n";
    BOOST_TEST(::send(caller.socketDescriptor(), next.data(), next.size(), 0) > 0);
    caller.readHead(soon()).value();
    const net::Response answer {200, {}, caller.readRest(soon(), 1 << 20).value()};
    BOOST_TEST(textOf(answer) == words("a", 1, 5));
}

// Guards against a caller that gets another caller's text: many concurrent calls on engines that
// fail or stall midway, with responses resumed and continued in any order.
BOOST_AUTO_TEST_CASE(responsesOfConcurrentCallersAreNotMixedUp)
{
    Fault fault;
    fault.disconnectAfter_ = 3;
    one_.setFault(fault);
    fault.disconnectAfter_ = -1;
    fault.stallAfter_ = 4;
    two_.setFault(fault);
    std::vector<std::thread> callers;
    std::array<std::string, 12> texts;
    for (std::size_t index = 0; index < texts.size(); ++index) {
        callers.emplace_back([&, index] {
            const std::string name(1, static_cast<char>('a' + index));
            texts[index] =
                textOf(relay_.post("/v1/completions", completion(name, 9, index % 2 == 0)));
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    for (std::size_t index = 0; index < texts.size(); ++index) {
        BOOST_TEST(texts[index] == words(std::string(1, static_cast<char>('a' + index)), 1, 9));
    }
}

BOOST_AUTO_TEST_CASE(requestThatAnEngineDidNotStartIsRetriedOnAnother)
{
    Fault fault;
    fault.status_ = 503;
    fault.errorBody_ = R"({"error":{"code":"not_run"}})";
    one_.setFault(fault);
    for (int round = 0; round < 4; ++round) {
        BOOST_TEST(textOf(relay_.post("/v1/completions", completion("a", 3, false)))
                   == words("a", 1, 3));
    }
    two_.setFault(fault);
    const net::Response refused = relay_.post("/v1/completions", completion("a", 3, true));
    BOOST_TEST(refused.status_ == 503);
    BOOST_TEST(net::headerValue(refused.headers_, "X-Outcome") == "not-run");
    BOOST_TEST(!net::headerValue(refused.headers_, "Retry-After").empty());
}

// Guards against losing a stream with its instance: the instance fails midway, and the caller
// presents its resume token to another one.
BOOST_AUTO_TEST_CASE(resumeTokenWorksOnAnyInstance)
{
    RelayServer other(fleetOf({&one_, &two_}), claims_, RelayServer::settingsOf("i2"));
    const net::Response answer = relay_.post("/v1/completions", completion("a", 8, true));
    const std::string token(net::headerValue(answer.headers_, "X-Resume-Token"));
    const net::Response rest = other.call({"GET", "/v1/streams/" + token + "?offset=5", {}, {}});
    BOOST_TEST(rest.status_ == 200);
    BOOST_TEST(textOf(rest) == words("a", 6, 3));
    BOOST_TEST(json::parse(eventsOf(rest.body_)[0])["id"]
               == json::parse(eventsOf(answer.body_)[0])["id"]);

    Fault fault;
    fault.streamsLost_ = true;
    setFaultOnBoth(fault);
    const net::Response gone = other.call({"GET", "/v1/streams/" + token + "?offset=5", {}, {}});
    BOOST_TEST(gone.status_ == 410);
    BOOST_TEST(net::headerValue(gone.headers_, "X-Outcome") == "unknown");

    json body = completion("a", 8, true);
    body["resume_text"] = words("a", 1, 5);
    const net::Headers headers {{"X-Resume-Token", token}, {"X-Resume-Offset", "5"}};
    BOOST_TEST(textOf(other.post("/v1/completions", body, headers)) == words("a", 6, 3));

    std::string forged = token;
    forged[3] = forged[3] == 'A' ? 'B' : 'A';
    BOOST_TEST(other.call({"GET", "/v1/streams/" + forged, {}, {}}).status_ == 400);
    body["prompt"] = "another";
    BOOST_TEST(other.post("/v1/completions", body, headers).status_ == 400);
}

BOOST_AUTO_TEST_CASE(streamThatCannotBeCompletedEndsWithAnErrorEvent)
{
    Fault fault;
    fault.disconnectAfter_ = 2;
    fault.streamsLost_ = true;
    setFaultOnBoth(fault);
    const net::Response answer = relay_.post("/v1/completions", completion("a", 100, true));
    const std::vector<std::string> events = eventsOf(answer.body_);
    const json last = json::parse(events.back(), nullptr, false);
    BOOST_REQUIRE(last.is_object());
    BOOST_TEST(last["error"]["outcome"] == "unknown");
    BOOST_TEST(last["error"]["retry_after_ms"].get<int>() > 0);
}

BOOST_AUTO_TEST_CASE(stoppingInstanceRefusesNewRequestsAndCompletesActiveOnes)
{
    Fault fault;
    fault.stallAfter_ = 1;
    setFaultOnBoth(fault);
    std::string text;
    std::thread caller(
        [&] { text = textOf(relay_.post("/v1/completions", completion("a", 8, true))); });
    while (requests() == 0) {
        std::this_thread::yield();
    }
    relay_.relay_->stopAccepting();
    const net::Response refused = relay_.post("/v1/completions", completion("b", 8, true));
    BOOST_TEST(refused.status_ == 503);
    BOOST_TEST(net::headerValue(refused.headers_, "X-Outcome") == "not-run");
    BOOST_TEST(relay_.relay_->waitIdle(soon()));
    caller.join();
    BOOST_TEST(text == words("a", 1, 8));
}

BOOST_AUTO_TEST_SUITE_END()
