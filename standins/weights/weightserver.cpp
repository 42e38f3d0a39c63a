#include "weights/weightserver.h"

#include "common/jsonhttp.h"
#include "common/startserver.h"
#include "weights/pacer.h"

#include <condition_variable>
#include <mutex>
#include <optional>

namespace almondridge::standins {
namespace {

/** What /control can set. */
struct WeightSettings
{
    double bytesPerSecond_ = 1e9;
    bool outage_ = false;
};

constexpr std::array<Field<WeightSettings>, 2> WeightFields {{
    {"bytes_per_second", &WeightSettings::bytesPerSecond_},
    {"outage", &WeightSettings::outage_},
}};

/** Wakes a fetch at least this often, to see whether its caller is still there. */
constexpr Duration LongestWait = std::chrono::milliseconds(500);
/** Rounds a wait up, so that a wake is not a moment early and waits again. */
constexpr Duration WaitMargin = std::chrono::microseconds(100);

} // namespace

struct WeightServer::State
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
    void status(net::ServerExchange &exchange);
    void fetch(net::ServerExchange &exchange);
    /** Whether the fetch got all its bytes. */
    bool waitForBytes(net::ServerExchange &exchange, std::int64_t bytes);
    Result<void> control(net::ServerExchange &exchange);
    static void answerOutage(net::ServerExchange &exchange);

    std::mutex lock_;
    std::condition_variable changed_;
    WeightSettings settings_;
    Pacer pacer_;
    std::int64_t fetches_ = 0;
    bool stopping_ = false;
    std::optional<net::HttpServer> server_;
};

void WeightServer::State::handle(net::ServerExchange &exchange)
{
    const std::string_view path = exchange.path();
    if (path == "/weights/status") {
        status(exchange);
    } else if (path.starts_with("/weights/") && exchange.method() == "GET") {
        fetch(exchange);
    } else if (path == "/control") {
        answerOrRefuse(exchange, [&] { return control(exchange); });
    } else {
        respondError(exchange, 404, "not_found", "no such call");
    }
}

void WeightServer::State::status(net::ServerExchange &exchange)
{
    std::unique_lock guard(lock_);
    const WeightSettings settings = settings_;
    const std::size_t running = pacer_.running();
    guard.unlock();
    if (settings.outage_) {
        answerOutage(exchange);
        return;
    }
    respondJson(exchange, 200,
                {{"bytes_per_second", settings.bytesPerSecond_}, {"fetches_running", running}});
}

void WeightServer::State::fetch(net::ServerExchange &exchange)
{
    const std::int64_t bytes = queryNumber(exchange, "bytes", 0);
    if (waitForBytes(exchange, bytes)) {
        respondJson(exchange, 200, {{"bytes", bytes}});
    } else {
        answerOutage(exchange);
    }
}

bool WeightServer::State::waitForBytes(net::ServerExchange &exchange, std::int64_t bytes)
{
    std::unique_lock guard(lock_);
    const Pacer::FetchId id = pacer_.begin(bytes, BootClock::now());
    while (!pacer_.finished(id, BootClock::now())) {
        if (settings_.outage_ || stopping_ || exchange.callerGone()) {
            pacer_.abandon(id, BootClock::now());
            return false;
        }
        const Duration left = pacer_.estimatedEnd(id) - BootClock::now();
        changed_.wait_for(guard, std::min(left + WaitMargin, LongestWait));
    }
    ++fetches_;
    changed_.notify_all();
    return true;
}

Result<void> WeightServer::State::control(net::ServerExchange &exchange)
{
    BOOST_LEAF_AUTO(body, readJson(exchange));
    std::unique_lock guard(lock_);
    WeightSettings settings = settings_;
    BOOST_LEAF_CHECK(readFields(body, WeightFields, settings));
    if (settings.bytesPerSecond_ <= 0) {
        return wrongField("bytes_per_second", body, "a rate above zero");
    }
    settings_ = settings;
    pacer_.setRate(settings.bytesPerSecond_, BootClock::now());
    Json shown = showFields(WeightFields, settings);
    shown["fetches"] = fetches_;
    shown["fetches_running"] = pacer_.running();
    guard.unlock();
    changed_.notify_all();
    respondJson(exchange, 200, shown);
    return {};
}

void WeightServer::State::answerOutage(net::ServerExchange &exchange)
{
    respondError(exchange, 503, "outage", "the weight store is out", {{"Retry-After", "1"}});
}

WeightServer::WeightServer(std::unique_ptr<State> state) noexcept
    : state_(std::move(state))
{ }
WeightServer::WeightServer(WeightServer &&) noexcept = default;
WeightServer &WeightServer::operator=(WeightServer &&) noexcept = default;
WeightServer::~WeightServer() = default;

Result<WeightServer> WeightServer::start(const net::Address &listen, int workers)
{
    auto state = std::make_unique<State>();
    State *const self = state.get();
    BOOST_LEAF_AUTO(server, startServer(listen, workers, self, &State::handle));
    state->server_.emplace(std::move(server));
    return WeightServer(std::move(state));
}

std::uint16_t WeightServer::port() const noexcept
{
    return state_->server_->port();
}

} // namespace almondridge::standins
