#include "fakes.h"

#include <algorithm>
#include <poll.h>
#include <sstream>

namespace almondridge::relay::test {
namespace {

std::vector<std::string> split(const std::string &text)
{
    std::istringstream stream(text);
    std::vector<std::string> found;
    for (std::string word; stream >> word;) {
        found.push_back(word);
    }
    return found;
}

std::string promptOf(const json &body)
{
    std::string text = body.value("prompt", "");
    for (const json &message : body.value("messages", json::array())) {
        text += " " + message.value("content", "");
    }
    return text;
}

} // namespace

FakeEngine::FakeEngine()
    : server_(net::HttpServer::Builder()
                  .workers(32)
                  .handler([this](net::ServerExchange &exchange) { handle(exchange); })
                  .start()
                  .value())
{ }

void FakeEngine::setFault(Fault fault)
{
    const std::lock_guard lock(mutex_);
    fault_ = std::move(fault);
}

std::vector<json> FakeEngine::bodies()
{
    const std::lock_guard lock(mutex_);
    return bodies_;
}

std::vector<std::string> FakeEngine::cancels(std::size_t atLeast)
{
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, std::chrono::seconds(30), [&] { return cancels_.size() >= atLeast; });
    return cancels_;
}

void FakeEngine::handle(net::ServerExchange &exchange)
{
    if (exchange.method() == "POST") {
        generate(exchange);
    } else if (exchange.method() == "DELETE") {
        {
            const std::lock_guard lock(mutex_);
            cancels_.emplace_back(exchange.path().substr(std::string("/v1/streams/").size()));
        }
        changed_.notify_all();
        exchange.respond(200, "application/json", "{}");
    } else if (exchange.path() == "/engine/load") {
        exchange.respond(200, "application/json", "{}");
    } else {
        resume(exchange);
    }
}

void FakeEngine::generate(net::ServerExchange &exchange)
{
    const json body = json::parse(exchange.readBody(1 << 20, soon()).value());
    Stream stream {promptOf(body), body.value("max_tokens", 16), body.contains("messages"),
                   body.value("stream_options", json::object()).value("include_usage", false)};
    Fault fault;
    {
        const std::lock_guard lock(mutex_);
        bodies_.push_back(body);
        fault = fault_;
        if (fault.status_ == 200) {
            streams_[std::string(exchange.header("X-Request-Id"))] = stream;
        }
    }
    if (fault.status_ != 200) {
        exchange.respond(fault.status_, "application/json", fault.errorBody_);
    } else if (body.contains("kv_transfer_params") && !body.value("stream", false)) {
        exchange.respond(200, "application/json", R"({"kv_transfer_params":{"ticket":"t1"}})");
    } else {
        sendTokens(exchange, stream, 0, fault);
    }
}

void FakeEngine::resume(net::ServerExchange &exchange)
{
    std::optional<Stream> stream;
    Fault fault;
    {
        const std::lock_guard lock(mutex_);
        const auto found =
            streams_.find(std::string(exchange.path().substr(std::string("/v1/streams/").size())));
        if (found != streams_.end() && !fault_.streamsLost_) {
            stream = found->second;
        }
        fault.stallAfter_ = fault_.stallResumed_ ? fault_.stallAfter_ : -1;
    }
    if (!stream) {
        exchange.respond(404, "application/json", R"({"error":{"code":"not_found"}})");
        return;
    }
    sendTokens(exchange, *stream, std::stoi(exchange.queryValue("offset")), fault);
}

void FakeEngine::sendTokens(net::ServerExchange &exchange, const Stream &stream, int from,
                            const Fault &fault)
{
    const std::vector<std::string> prompt = split(stream.prompt_);
    exchange.closeAfterAnswer();
    exchange.beginStream(200, "text/event-stream");
    for (int offset = from; offset < stream.tokens_; ++offset) {
        if (offset == fault.disconnectAfter_) {
            return;
        }
        if (offset == fault.stallAfter_) {
            waitForHangUp(exchange);
            return;
        }
        const int number = static_cast<int>(prompt.size()) + offset;
        const std::string word = words(prompt.front(), number, 1);
        json choice = {{"index", 0}, {"finish_reason", nullptr}};
        (stream.chat_ ? choice["delta"]["content"] : choice["text"]) = word;
        json event = {{"id", "engine"}, {"offset", offset}};
        if (offset + 1 == stream.tokens_) {
            choice["finish_reason"] = "length";
            event["usage"] = {{"prompt_tokens", prompt.size()},
                              {"completion_tokens", stream.tokens_}};
        }
        event["choices"] = json::array({choice});
        exchange.writeChunk("data: " + event.dump() + "\n\n");
    }
    exchange.writeChunk("data: [DONE]\n\n");
    exchange.endStream();
}

void FakeEngine::waitForHangUp(net::ServerExchange &exchange)
{
    constexpr int LongestMillis = 30'000;
    pollfd entry {exchange.callerSocket(), POLLRDHUP, 0};
    ::poll(&entry, 1, LongestMillis);
}

ClaimResult FakeClaims::find(const std::string &key) const
{
    const auto found = claims_.find(key);
    if (found != claims_.end()) {
        return found->second;
    }
    return {logUnavailable_ ? ClaimStatus::LogUnavailable : ClaimStatus::Unknown, 0, {}};
}

ClaimResult FakeClaims::claim(const std::string &key, const RequestId &, TimePoint)
{
    const std::lock_guard lock(mutex_);
    if (logUnavailable_) {
        return {ClaimStatus::LogUnavailable, 0, {}};
    }
    const bool isNew = claims_.try_emplace(key, ClaimResult {ClaimStatus::Unknown, 0, {}}).second;
    return isNew ? ClaimResult {ClaimStatus::Claimed, 0, {}} : claims_[key];
}

ClaimResult FakeClaims::lookUp(const std::string &key, TimePoint)
{
    const std::lock_guard lock(mutex_);
    return find(key);
}

void FakeClaims::finish(const std::string &key, const RequestId &, int status,
                        const std::string &body)
{
    const std::lock_guard lock(mutex_);
    if (!logUnavailable_) {
        claims_[key] = {ClaimStatus::Finished, status, body};
    }
}

void FakeClaims::setLogUnavailable(bool unavailable)
{
    const std::lock_guard lock(mutex_);
    logUnavailable_ = unavailable;
}

fleet::Settings RelayServer::settingsOf(const std::string &instance)
{
    fleet::Settings settings;
    settings.instance_ = InstanceId(instance);
    settings.domain_ = DomainId("d1");
    settings.peerKey_ = "a key that all instances share";
    settings.interTokenTimeoutMillis_ = 200;
    settings.maxBodyBytes_ = 65'536;
    return settings;
}

RelayServer::RelayServer(const fleet::FleetBuilder &fleet, KeyClaims &claims,
                         const fleet::Settings &settings)
    : timeline_(settings.instance_, settings.domain_, 1'000)
    , relay_([&] {
        auto inForce = std::make_shared<const fleet::Fleet>(fleet.build().value());
        return Relay::Builder()
            .settings(settings)
            .claims(claims)
            .metrics(metrics_)
            .timeline(timeline_)
            .fleet([inForce] { return inForce; })
            .build();
    }())
    , server_(net::HttpServer::Builder()
                  .workers(32)
                  .callerTimeout(settings.callerTimeoutMillis_)
                  .handler([this](net::ServerExchange &exchange) {
                      if (!relay_->handle(exchange)) {
                          exchange.respond(404, "text/plain", "");
                      }
                  })
                  .start()
                  .value())
{ }

net::Response RelayServer::call(const net::Request &request) const
{
    return net::httpCall(address(), request, soon()).value();
}

net::Response RelayServer::post(const std::string &path, const json &body,
                                net::Headers headers) const
{
    return call({"POST", path, std::move(headers), body.dump()});
}

fleet::FleetBuilder fleetOf(const std::vector<FakeEngine *> &engines)
{
    fleet::FleetBuilder builder;
    fleet::Model model;
    model.id_ = ModelId("m");
    model.version_ = "1";
    builder.name("test").domain(DomainId("d1")).model(model);
    int number = 0;
    for (const FakeEngine *engine : engines) {
        fleet::Endpoint endpoint;
        endpoint.id_ = EndpointId("e" + std::to_string(++number));
        endpoint.domain_ = DomainId("d1");
        endpoint.address_ = engine->address();
        endpoint.model_ = ModelId("m");
        builder.endpoint(endpoint);
    }
    return builder;
}

std::vector<std::string> eventsOf(const std::string &body)
{
    std::istringstream stream(body);
    std::vector<std::string> events;
    for (std::string line; std::getline(stream, line);) {
        if (line.starts_with("data: ")) {
            events.push_back(line.substr(6));
        }
    }
    return events;
}

std::string textOf(const net::Response &response)
{
    std::string text;
    std::int64_t next = -1;
    const auto add = [&](const json &choice) {
        text += choice.value("text", "");
        text += choice.value("delta", json::object()).value("content", "");
        text += choice.value("message", json::object()).value("content", "");
    };
    if (!response.body_.starts_with("data: ")) {
        add(json::parse(response.body_).at("choices").at(0));
        return text;
    }
    for (const std::string &data : eventsOf(response.body_)) {
        const json event = json::parse(data, nullptr, false);
        const bool gap =
            event.is_object() && event.contains("offset") && next >= 0 && event["offset"] != next;
        next = event.is_object() && event.contains("offset")
                   ? event["offset"].get<std::int64_t>() + 1
                   : next;
        if (event.is_object() && event.contains("choices") && !event["choices"].empty()) {
            add(event["choices"][0]);
        }
        text += gap ? "<gap>" : "";
    }
    return text;
}

std::string words(const std::string &first, int from, int count)
{
    std::string text;
    for (int number = from; number < from + count; ++number) {
        text += " " + first + std::to_string(number);
    }
    return text;
}

} // namespace almondridge::relay::test
