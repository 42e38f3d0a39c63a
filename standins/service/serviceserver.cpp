#include "service/serviceserver.h"

#include "common/jsonhttp.h"

namespace almondridge::standins {
namespace {

CallName nameCall(const net::ServerExchange &exchange)
{
    CallName call;
    call.requestId_ = exchange.header("X-Request-Id");
    call.idempotencyKey_ = exchange.header("Idempotency-Key");
    call.path_ = exchange.path();
    return call;
}

} // namespace

ServiceServer::ServiceServer(ServiceSettings settings, RunCounts &counts)
    : settings_(std::move(settings))
    , counts_(counts)
{
    history_.add({0, !settings_.notRun_}, TimePoint {});
    faults_.setAnswerDelay(settings_.answerDelayInMillis_);
}

ServiceServer::~ServiceServer()
{
    stop();
}

Result<void> ServiceServer::start()
{
    BOOST_LEAF_AUTO(server,
                    net::HttpServer::Builder()
                        .listen(settings_.listen_)
                        .workers(settings_.workers_)
                        .handler([this](net::ServerExchange &exchange) { handle(exchange); })
                        .start());
    server_.emplace(std::move(server));
    return {};
}

void ServiceServer::stop()
{
    faults_.stop();
    server_.reset();
}

ServiceSettings ServiceServer::settings() const
{
    const std::lock_guard guard(lock_);
    return settings_;
}

void ServiceServer::setSettings(const ServiceSettings &settings)
{
    const std::lock_guard guard(lock_);
    settings_ = settings;
    faults_.setAnswerDelay(settings.answerDelayInMillis_);
    noteLoad();
}

void ServiceServer::handle(net::ServerExchange &exchange)
{
    FaultyExchange faulty(exchange, faults_);
    if (exchange.path() == "/service/load") {
        load(faulty);
    } else {
        answerOrRefuse(exchange, [&] { return call(faulty); });
    }
}

void ServiceServer::load(FaultyExchange &exchange)
{
    std::unique_lock guard(lock_);
    const std::int64_t lag = settings_.reportLagInMillis_;
    const LoadReport report = history_.at(BootClock::now() - millis(lag));
    guard.unlock();
    exchange.respond(200, {{"stamp_ms", wallMillis() - lag},
                           {"running", report.running_},
                           {"waiting", 0},
                           {"admits", report.admits_}});
}

Result<void> ServiceServer::call(FaultyExchange &exchange)
{
    constexpr std::size_t MaxBodyBytes = std::size_t {1'024} * 1'024;
    constexpr Duration BodyTime = std::chrono::seconds(30);
    net::ServerExchange &caller = exchange.request();
    BOOST_LEAF_CHECK(caller.readBody(MaxBodyBytes, BootClock::now() + BodyTime));
    if (settings().notRun_) {
        exchange.respondError(503, "not_run", "the service takes no calls", {{"X-Not-Run", "1"}});
        return {};
    }
    const CallName call = nameCall(caller);
    // The effect comes before the answer: a crash or silence from here on hides a call that ran.
    const std::int64_t run = counts_.add(call);
    changeRunning(1);
    exchange.respond(200,
                     {{"request_id", call.requestId_},
                      {"method", std::string(caller.method())},
                      {"path", call.path_},
                      {"query", std::string(caller.query())},
                      {"instance", settings().id_},
                      {"run", run}},
                     {{"X-Request-Id", call.requestId_}});
    changeRunning(-1);
    return {};
}

void ServiceServer::changeRunning(int by)
{
    const std::lock_guard guard(lock_);
    running_ += by;
    noteLoad();
}

void ServiceServer::noteLoad()
{
    constexpr std::int64_t MarginMillis = 100;
    const TimePoint now = BootClock::now();
    history_.add({running_, !settings_.notRun_}, now);
    history_.forgetBefore(now - millis(settings_.reportLagInMillis_ + MarginMillis));
}

} // namespace almondridge::standins
