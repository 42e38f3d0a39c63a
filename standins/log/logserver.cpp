#include "log/logserver.h"

#include "common/jsonhttp.h"
#include "common/startserver.h"
#include "log/logstore.h"

#include <condition_variable>
#include <mutex>
#include <optional>
#include <thread>

namespace almondridge::standins {
namespace {

constexpr std::size_t MaxRecordsInPage = 1'000;
constexpr std::int64_t MaxWaitInMillis = 60'000;

} // namespace

struct LogServer::State
{
    ~State()
    {
        {
            const std::lock_guard guard(lock_);
            stopping_ = true;
        }
        changed_.notify_all();
        server_.reset();
    }

    void handle(net::ServerExchange &exchange);
    Result<void> append(net::ServerExchange &exchange);
    void read(net::ServerExchange &exchange);
    Result<void> control(net::ServerExchange &exchange);

    void delay() const;
    void waitForRecord(std::unique_lock<std::mutex> &guard, LogOffset from, TimePoint until);
    static void answerOutage(net::ServerExchange &exchange);

    mutable std::mutex lock_;
    std::condition_variable changed_;
    LogStore store_;
    bool stopping_ = false;
    std::optional<net::HttpServer> server_;
};

void LogServer::State::handle(net::ServerExchange &exchange)
{
    const std::string_view path = exchange.path();
    if (path == "/log/append" && exchange.method() == "POST") {
        answerOrRefuse(exchange, [&] { return append(exchange); });
    } else if (path == "/log/read" && exchange.method() == "GET") {
        read(exchange);
    } else if (path == "/control") {
        answerOrRefuse(exchange, [&] { return control(exchange); });
    } else {
        respondError(exchange, 404, "not_found", "no such call");
    }
}

Result<void> LogServer::State::append(net::ServerExchange &exchange)
{
    BOOST_LEAF_AUTO(body, readJson(exchange));
    const Json records = body.value("records", Json::array());
    std::vector<std::string> bodies;
    for (const Json &record : records) {
        BOOST_LEAF_CHECK(readValue("records", record, bodies.emplace_back()));
    }
    if (bodies.empty()) {
        return wrongField("records", records, "at least one record");
    }
    delay();
    AppendAnswer answer;
    {
        const std::lock_guard guard(lock_);
        answer = store_.append(std::move(bodies), BootClock::now());
    }
    changed_.notify_all();
    switch (answer.status_) {
    case AppendStatus::Done:
        respondJson(exchange, 200, {{"first_offset", answer.firstOffset_}});
        break;
    case AppendStatus::Unanswered:
        closeWithoutAnswer(exchange);
        break;
    case AppendStatus::Outage:
        answerOutage(exchange);
        break;
    case AppendStatus::OverRate:
        respondError(exchange, 429, "rate_limited", "over the append rate", {{"Retry-After", "1"}});
        break;
    }
    return {};
}

void LogServer::State::read(net::ServerExchange &exchange)
{
    const auto from = static_cast<LogOffset>(queryNumber(exchange, "from", 1));
    const std::int64_t wait =
        std::clamp<std::int64_t>(queryNumber(exchange, "wait_in_ms", 0), 0, MaxWaitInMillis);
    delay();
    std::unique_lock guard(lock_);
    waitForRecord(guard, from, BootClock::now() + millis(wait));
    if (store_.settings().outage_) {
        guard.unlock();
        answerOutage(exchange);
        return;
    }
    Json page = {{"first", store_.first()}, {"next", store_.next()}};
    const bool trimmed = from < store_.first();
    const std::vector<StoredRecord> found = store_.read(from, MaxRecordsInPage);
    guard.unlock();
    if (trimmed) {
        respondJson(exchange, 410, page);
        return;
    }
    page["records"] = Json::array();
    for (const StoredRecord &record : found) {
        page["records"].push_back({{"offset", record.offset_}, {"body", record.body_}});
    }
    respondJson(exchange, 200, page);
}

Result<void> LogServer::State::control(net::ServerExchange &exchange)
{
    BOOST_LEAF_AUTO(body, readJson(exchange));
    std::unique_lock guard(lock_);
    LogSettings settings = store_.settings();
    BOOST_LEAF_CHECK(readFields(body, LogFields, settings));
    store_.setSettings(settings);
    store_.applyLate(BootClock::now());
    Json shown = showFields(LogFields, settings);
    shown["appends"] = store_.counters().appends_;
    shown["records"] = store_.counters().records_;
    shown["refused"] = store_.counters().refused_;
    shown["first"] = store_.first();
    shown["next"] = store_.next();
    guard.unlock();
    changed_.notify_all();
    respondJson(exchange, 200, shown);
    return {};
}

void LogServer::State::delay() const
{
    std::unique_lock guard(lock_);
    const Duration wait = millis(store_.settings().delayInMillis_);
    guard.unlock();
    if (wait > Duration::zero()) {
        std::this_thread::sleep_for(wait);
    }
}

void LogServer::State::waitForRecord(std::unique_lock<std::mutex> &guard, LogOffset from,
                                     TimePoint until)
{
    for (;;) {
        const TimePoint now = BootClock::now();
        if (store_.applyLate(now)) {
            changed_.notify_all();
        }
        if (stopping_ || store_.settings().outage_ || from < store_.next() || now >= until) {
            return;
        }
        const TimePoint wake = std::min(until, store_.nextLate().value_or(until));
        changed_.wait_for(guard, wake - now);
    }
}

void LogServer::State::answerOutage(net::ServerExchange &exchange)
{
    respondError(exchange, 503, "outage", "the log is out", {{"Retry-After", "1"}});
}

LogServer::LogServer(std::unique_ptr<State> state) noexcept
    : state_(std::move(state))
{ }
LogServer::LogServer(LogServer &&) noexcept = default;
LogServer &LogServer::operator=(LogServer &&) noexcept = default;
LogServer::~LogServer() = default;

Result<LogServer> LogServer::start(const net::Address &listen, int workers)
{
    auto state = std::make_unique<State>();
    State *const self = state.get();
    BOOST_LEAF_AUTO(server, startServer(listen, workers, self, &State::handle));
    state->server_.emplace(std::move(server));
    return LogServer(std::move(state));
}

std::uint16_t LogServer::port() const noexcept
{
    return state_->server_->port();
}

} // namespace almondridge::standins
