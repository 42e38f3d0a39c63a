#include "engine/engineserver.h"

#include "almondridge/net/httpcall.h"
#include "common/jsonhttp.h"
#include "engine/delivery.h"

#include <charconv>

namespace almondridge::standins {
namespace {

/** Workers that answers may not take, so that orders, reports and cancellations get through. */
constexpr int ReservedWorkers = 8;
constexpr Duration KvFetchTime = std::chrono::seconds(2);
constexpr std::int64_t MillisInSecond = 1'000;
constexpr std::string_view StreamsPath = "/v1/streams/";
constexpr std::string_view KvPath = "/engine/kv/";

std::string hex(std::uint64_t number)
{
    constexpr std::size_t Digits = 16;
    std::array<char, Digits> text {};
    const auto [end, error] = std::to_chars(text.data(), text.data() + Digits, number, Digits);
    const std::string digits(text.data(), end);
    return std::string(Digits - digits.size(), '0') + digits;
}

std::string rest(const net::ServerExchange &exchange, std::string_view prefix)
{
    return decodePath(exchange.path().substr(prefix.size()));
}

template <typename Number>
std::optional<Number> headerNumber(const net::ServerExchange &exchange, std::string_view name)
{
    const std::string_view text = exchange.header(name);
    Number number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc()) {
        return std::nullopt;
    }
    return number;
}

Json toJson(const EngineState &state)
{
    return {{"target", toJson(state.target_)},
            {"phase", nameOf(PhaseNames, state.phase_)},
            {"running", state.running_},
            {"fence", state.fence_},
            {"sequence", state.sequence_}};
}

/** Counts an exchange that holds a worker, for as long as it lives. */
class Holder
{
public:
    explicit Holder(std::atomic<int> &count)
        : count_(count)
        , held_(++count)
    { }
    Holder(const Holder &) = delete;
    Holder &operator=(const Holder &) = delete;
    ~Holder() { --count_; }

    int held() const noexcept { return held_; }

private:
    std::atomic<int> &count_;
    int held_;
};

} // namespace

/** A call of the protocol and the member that answers it. */
struct EngineServer::Route
{
    std::string_view method_;
    std::string_view path_; ///< Ends in '/': a prefix.
    void (EngineServer::*answer_)(FaultyExchange &);

    bool matches(std::string_view method, std::string_view path) const
    {
        return method == method_
               && (path_.ends_with('/') ? path.starts_with(path_) : path == path_);
    }
};

EngineServer::EngineServer(Engine &engine, WeightLoader &loader)
    : engine_(engine)
    , loader_(loader)
    , ip_(engine.look([](const EngineCore &core) { return core.settings().listen_.ip_; }))
    , port_(engine.look([](const EngineCore &core) { return core.settings().listen_.port_; }))
{ }

EngineServer::~EngineServer()
{
    stop();
}

void EngineServer::stop()
{
    faults_.stop();
    engine_.change([](EngineCore &) {});
    const std::lock_guard guard(serverLock_);
    server_.reset();
}

Result<void> EngineServer::start()
{
    const EngineSettings settings =
        engine_.look([](const EngineCore &core) { return core.settings(); });
    faults_.setAnswerDelay(settings.answerDelayInMillis_);
    BOOST_LEAF_AUTO(server,
                    net::HttpServer::Builder()
                        .listen({ip_, port_})
                        .workers(settings.workers_ + ReservedWorkers)
                        .handler([this](net::ServerExchange &exchange) { handle(exchange); })
                        .start());
    const std::lock_guard guard(serverLock_);
    port_ = server.port();
    server_.emplace(std::move(server));
    return {};
}

void EngineServer::crash(bool unclear)
{
    // The connections first: no answer may tell of the state after the crash on an old one.
    faults_.closeAll();
    engine_.change([&](EngineCore &core) { core.crash(unclear, Moment::now()); });
}

Result<void> EngineServer::setWithdrawn(bool withdrawn)
{
    if (withdrawn == faults_.withdrawn()) {
        return {};
    }
    faults_.setWithdrawn(withdrawn);
    if (!withdrawn) {
        return start();
    }
    engine_.change([](EngineCore &) {});
    const std::lock_guard guard(serverLock_);
    server_.reset();
    return {};
}

void EngineServer::handle(net::ServerExchange &exchange)
{
    static constexpr std::array<Route, 9> Routes {{
        {"POST", "/v1/completions", &EngineServer::complete},
        {"POST", "/v1/chat/completions", &EngineServer::completeChat},
        {"GET", StreamsPath, &EngineServer::resume},
        {"DELETE", StreamsPath, &EngineServer::cancel},
        {"GET", "/engine/load", &EngineServer::load},
        {"GET", "/engine/cache-events", &EngineServer::cacheEvents},
        {"GET", "/engine/state", &EngineServer::state},
        {"POST", "/engine/orders", &EngineServer::order},
        {"GET", KvPath, &EngineServer::giveKv},
    }};
    FaultyExchange faulty(exchange, faults_);
    const auto route = std::find_if(Routes.begin(), Routes.end(), [&](const Route &candidate) {
        return candidate.matches(exchange.method(), exchange.path());
    });
    if (route == Routes.end()) {
        faulty.respondError(404, "not_found", "no such call");
        return;
    }
    (this->*route->answer_)(faulty);
}

void EngineServer::generate(FaultyExchange &exchange, bool chat)
{
    const Holder holder(generating_);
    answerOrRefuse(exchange.request(), [&]() -> Result<void> {
        BOOST_LEAF_AUTO(request, readRequest(exchange, chat));
        if (holder.held() > answersAtOnce()) {
            engine_.look([](EngineCore &core) { core.countRefusal(); });
            respondNotRun(exchange, "all connections are taken");
            return {};
        }
        run(exchange, std::move(request));
        return {};
    });
}

int EngineServer::answersAtOnce()
{
    return engine_.look([](const EngineCore &core) { return core.settings().workers_; });
}

Result<GenerationRequest> EngineServer::readRequest(FaultyExchange &exchange, bool chat)
{
    const net::ServerExchange &caller = exchange.request();
    BOOST_LEAF_AUTO(body, readJson(exchange.request()));
    BOOST_LEAF_AUTO(request, readGeneration(body, chat));
    request.attempt_ = caller.header("X-Request-Id");
    request.deadlineWallMillis_ = headerNumber<std::int64_t>(caller, "X-Request-Deadline-Ms");
    request.priority_ = headerNumber<int>(caller, "X-Priority").value_or(0);
    request.shape_.createdSeconds_ = wallMillis() / MillisInSecond;
    return request;
}

void EngineServer::run(FaultyExchange &exchange, GenerationRequest request)
{
    importKv(request);
    const SubmitAnswer answer =
        engine_.change([&](EngineCore &core) { return core.submit(request, Moment::now()); });
    if (const Refusal *const refusal = std::get_if<Refusal>(&answer)) {
        respondNotRun(exchange, refusal->why_);
        return;
    }
    deliver(exchange, std::get<StreamId>(answer), 0);
}

void EngineServer::importKv(GenerationRequest &request) const
{
    if (!request.kvSource_) {
        return;
    }
    net::Request fetch;
    fetch.path_ = std::string(KvPath) + request.kvSource_->ticket_;
    const auto answer = capture([&] {
        return net::httpCall(request.kvSource_->address_, fetch, BootClock::now() + KvFetchTime);
    });
    const auto *const response = std::get_if<net::Response>(&answer);
    if (response == nullptr || response->status_ != 200) {
        return;
    }
    const Json body = Json::parse(response->body_, nullptr, false);
    request.kvImported_ =
        body.is_object() && body.value("prompt_hash", "") == hex(request.prompt_.hash_.value());
}

void EngineServer::deliver(FaultyExchange &exchange, StreamId id, std::int64_t offset)
{
    Delivery(engine_, exchange, net::toString({ip_, port_})).run(id, offset);
}

void EngineServer::resume(FaultyExchange &exchange)
{
    const Holder holder(generating_);
    if (holder.held() > answersAtOnce()) {
        respondNotRun(exchange, "all connections are taken");
        return;
    }
    const std::string attempt = rest(exchange.request(), StreamsPath);
    const std::int64_t offset =
        std::max<std::int64_t>(queryNumber(exchange.request(), "offset", 0), 0);
    const std::optional<StreamId> id =
        engine_.look([&](EngineCore &core) { return core.resume(attempt); });
    if (!id) {
        exchange.respondError(404, "not_found", "the stream is not here");
        return;
    }
    deliver(exchange, *id, offset);
}

void EngineServer::cancel(FaultyExchange &exchange)
{
    const std::string attempt = rest(exchange.request(), StreamsPath);
    engine_.change([&](EngineCore &core) { core.cancel(attempt, Moment::now()); });
    exchange.respond(200, Json::object());
}

void EngineServer::load(FaultyExchange &exchange)
{
    const Moment now = Moment::now();
    const auto [report, settings] =
        engine_.look([&](EngineCore &core) { return std::pair(core.load(now), core.settings()); });
    const std::int64_t lag = toMillis(settings.scaled(settings.reportLagInMillis_));
    exchange.respond(200, {{"stamp_ms", now.wallMillis_ - lag},
                           {"running", report.load_.running_},
                           {"waiting", report.load_.waiting_},
                           {"prefill_tokens_waiting", report.load_.prefillTokensWaiting_},
                           {"kv_used_tokens", report.load_.kvUsedTokens_},
                           {"kv_capacity_tokens", settings.kvCapacityTokens_},
                           {"prefill_tokens_per_second", report.prefillTokensPerSecond_},
                           {"decode_tokens_per_second", report.decodeTokensPerSecond_},
                           {"role", nameOf(RoleNames, report.role_)},
                           {"admits", report.admits_}});
}

void EngineServer::cacheEvents(FaultyExchange &exchange)
{
    const auto since = static_cast<std::uint64_t>(
        std::max<std::int64_t>(queryNumber(exchange.request(), "since", 0), 0));
    const CacheEventPage page = engine_.look(
        [&](const EngineCore &core) { return core.cacheEvents(since, Moment::now()); });
    Json events = Json::array();
    for (const CacheEvent &event : page.events_) {
        events.push_back({{"sequence", event.sequence_},
                          {"prefix_hash", hex(event.change_.prefixHash_)},
                          {"cached", event.change_.cached_},
                          {"stamp_ms", event.stampMillis_}});
    }
    exchange.respond(200, {{"next", page.next_}, {"events", std::move(events)}});
}

void EngineServer::state(FaultyExchange &exchange)
{
    exchange.respond(200,
                     toJson(engine_.look([](const EngineCore &core) { return core.state(); })));
}

void EngineServer::order(FaultyExchange &exchange)
{
    answerOrRefuse(exchange.request(), [&]() -> Result<void> {
        BOOST_LEAF_AUTO(body, readJson(exchange.request()));
        BOOST_LEAF_AUTO(order, readOrder(body));
        OrderAnswer answer =
            engine_.change([&](EngineCore &core) { return core.order(order, Moment::now()); });
        const Json state = toJson(answer.state_);
        if (!answer.fetches_.empty()) {
            loader_.load(std::move(answer.fetches_), [&engine = engine_, change = answer.change_] {
                engine.change([&](EngineCore &core) { core.weightsLoaded(change, Moment::now()); });
            });
        }
        if (answer.verdict_ == OrderVerdict::Accepted) {
            exchange.respond(200, state);
        } else if (answer.verdict_ == OrderVerdict::StaleFence) {
            exchange.respond(409, {{"error", {{"code", "stale_fence"}}}, {"state", state}});
        } else {
            exchange.respond(423, {{"error", {{"code", "busy"}}}, {"state", state}});
        }
        return {};
    });
}

void EngineServer::giveKv(FaultyExchange &exchange)
{
    const std::string ticket = rest(exchange.request(), KvPath);
    const std::optional<KvExport> taken =
        engine_.look([&](EngineCore &core) { return core.takeKv(ticket, Moment::now()); });
    if (!taken) {
        exchange.respondError(404, "not_found", "no such ticket");
        return;
    }
    exchange.respond(200, {{"prompt_hash", hex(taken->promptHash_)}, {"tokens", taken->tokens_}});
}

} // namespace almondridge::standins
