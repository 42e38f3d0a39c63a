/**
 * controlcost ENGINES [SECONDS]: what control costs the holder of a domain's lease.
 *
 * A child process plays the engines over HTTP; the log is in memory. Prints the time from the
 * lease to the last engine announced, the time and appends of a new model version on all engines
 * (which load at once here), and then the processor time and reads a second with nothing to do.
 */
#include "almondridge/control/reconciler.h"
#include "almondridge/fleet/fleetfile.h"
#include "almondridge/net/httpserver.h"

#include <atomic>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

using namespace almondridge;
using namespace almondridge::control;

namespace {

const DomainId Domain("vantaa");
constexpr std::int64_t StepMillis = 2;
constexpr std::int64_t AnswerMillis = 5'000;

std::string engineName(int number)
{
    return "e" + std::to_string(number);
}

/** The log of one instance, in memory. */
class MemoryLog : public store::LogService
{
public:
    Result<LogOffset> append(const std::vector<std::string> &bodies, TimePoint) override
    {
        const std::scoped_lock lock(mutex_);
        const LogOffset first = bodies_.size() + 1;
        bodies_.insert(bodies_.end(), bodies.begin(), bodies.end());
        grown_.notify_all();
        return first;
    }
    Result<store::LogPage> read(LogOffset from, TimePoint waitUntil) override
    {
        std::unique_lock lock(mutex_);
        const auto wait = std::chrono::milliseconds(millisUntil(waitUntil, BootClock::now()));
        grown_.wait_for(lock, wait, [&] { return bodies_.size() >= from; });
        store::LogPage page {1, bodies_.size() + 1, {}};
        for (LogOffset offset = from; offset <= bodies_.size(); ++offset) {
            page.records_.push_back({offset, bodies_[offset - 1]});
        }
        return page;
    }

private:
    std::mutex mutex_;
    std::condition_variable grown_;
    std::vector<std::string> bodies_;
};

/** Engines that do at once what they are ordered, each on a port of its own. */
class Engines
{
public:
    explicit Engines(int count)
    {
        for (int number = 1; number <= count; ++number) {
            servers_.push_back(net::HttpServer::Builder()
                                   .workers(2)
                                   .handler([this, number](net::ServerExchange &exchange) {
                                       answer(number, exchange);
                                   })
                                   .start()
                                   .value());
            states_.push_back(nlohmann::json::parse(
                R"({"target":{"model":"m","version":"1","adapters":[],"role":"mixed",)"
                R"("admit":true},"phase":"ready","running":0,"fence":0,"sequence":0})"));
        }
    }
    std::uint16_t port(int number) const
    {
        return servers_[static_cast<std::size_t>(number - 1)].port();
    }

private:
    void answer(int number, net::ServerExchange &exchange)
    {
        const std::scoped_lock lock(mutex_);
        nlohmann::json &state = states_[static_cast<std::size_t>(number - 1)];
        if (exchange.method() == "POST") {
            const auto order = nlohmann::json::parse(
                exchange.readBody(100'000, BootClock::now() + millis(AnswerMillis)).value());
            for (const char *field : {"target", "fence", "sequence"}) {
                state[field] = order[field];
            }
        }
        exchange.closeAfterAnswer();
        exchange.respond(200, "application/json", state.dump());
    }

    std::mutex mutex_;
    std::vector<nlohmann::json> states_;
    std::vector<net::HttpServer> servers_;
};

/** Bears any number of loads at once. */
class FastStore : public store::WeightStore
{
public:
    Result<store::WeightStoreStatus> status(TimePoint) override
    {
        return store::WeightStoreStatus {1e12, 0};
    }
};

class CountingAnnouncer : public Announcer
{
public:
    void announce(const EndpointId &, Availability availability, Fence, TimePoint) override
    {
        opened_ += availability == Availability::Open ? 1 : 0;
    }
    std::atomic<int> opened_ = 0;
};

class CountingOrders : public EngineOrders
{
public:
    Result<EngineState> readState(const fleet::Endpoint &engine, TimePoint deadline) override
    {
        ++reads_;
        return orders_->readState(engine, deadline);
    }
    Result<EngineState> send(const fleet::Endpoint &engine, const EngineOrder &order,
                             TimePoint sendUntil, TimePoint deadline) override
    {
        return orders_->send(engine, order, sendUntil, deadline);
    }
    std::atomic<int> reads_ = 0;

private:
    std::unique_ptr<EngineOrders> orders_ = makeHttpEngineOrders();
};

double processorSeconds()
{
    rusage used {};
    ::getrusage(RUSAGE_SELF, &used);
    const auto seconds = [](const timeval &time) {
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
    };
    return seconds(used.ru_utime) + seconds(used.ru_stime);
}

/** The child: plays the engines and writes their ports to the pipe. */
[[noreturn]] void playEngines(int count, int ports)
{
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const Engines engines(count);
    for (int number = 1; number <= count; ++number) {
        const std::uint16_t port = engines.port(number);
        ::write(ports, &port, sizeof port);
    }
    for (;;) {
        ::pause();
    }
}

fleet::Fleet fleetOf(int engines, int ports)
{
    fleet::Fleet fleet;
    fleet.name_ = "measured";
    fleet.domains_ = {Domain};
    fleet.models_[ModelId("m")] = {ModelId("m"), "1", {}, 1};
    fleet.policy_.maxAwayPerDomain_ = std::max(1, engines / 10);
    for (int number = 1; number <= engines; ++number) {
        std::uint16_t port = 0;
        ::read(ports, &port, sizeof port);
        fleet::Endpoint endpoint;
        endpoint.id_ = EndpointId(engineName(number));
        endpoint.domain_ = Domain;
        endpoint.address_ = "127.0.0.1:" + std::to_string(port);
        endpoint.fencing_ = fleet::Fencing::Checks;
        endpoint.model_ = ModelId("m");
        fleet.endpoints_[endpoint.id_] = endpoint;
    }
    return fleet;
}

std::int64_t millisSince(TimePoint start)
{
    return toMillis(BootClock::now() - start);
}

template <typename Condition>
void waitFor(Condition &&condition)
{
    while (!condition()) {
        std::this_thread::sleep_for(std::chrono::milliseconds(StepMillis));
    }
}

/** A lease holder over the engines of a fleet. */
class Holder
{
public:
    explicit Holder(fleet::Fleet fleet)
        : fleet_(std::move(fleet))
        , engines_(static_cast<int>(fleet_.endpoints_.size()))
        , log_(ControlLog::Builder().logService(service_).build())
        , reconciler_(Reconciler::Builder()
                          .self(InstanceId("one"), Domain)
                          .controlLog(*log_)
                          .orders(orders_)
                          .announcer(announcer_)
                          .weightStore(store_)
                          .build())
    {
        log_->start();
        waitFor([&] { return log_->caughtUp(); });
        apply("1");
    }
    ~Holder()
    {
        reconciler_->stop();
        log_->stop();
    }
    Holder(const Holder &) = delete;
    Holder &operator=(const Holder &) = delete;

    void measureFirstLook()
    {
        reconciler_->start();
        waitFor([&] { return reconciler_->heldFence().has_value(); });
        const TimePoint held = BootClock::now();
        waitFor([&] { return announcer_.opened_ >= engines_; });
        std::printf("engines %d  all read and announced %lld ms after the lease\n", engines_,
                    static_cast<long long>(millisSince(held)));
    }
    void measureNewVersion()
    {
        const std::uint64_t appends = log_->appends();
        const TimePoint applied = BootClock::now();
        apply("2");
        waitFor([&] { return announcer_.opened_ >= 2 * engines_; });
        std::printf("new version on all, %d at once: %lld ms, %llu appends\n",
                    fleet_.policy_.maxAwayPerDomain_, static_cast<long long>(millisSince(applied)),
                    static_cast<unsigned long long>(log_->appends() - appends));
    }
    void measureIdle(int seconds) const
    {
        const double processor = processorSeconds();
        const int reads = orders_.reads_;
        std::this_thread::sleep_for(std::chrono::seconds(seconds));
        std::printf("idle for %d s: %.2f %% of a core, %.1f reads a second\n", seconds,
                    (processorSeconds() - processor) / seconds * 100,
                    static_cast<double>(orders_.reads_ - reads) / seconds);
    }

private:
    void apply(const std::string &version)
    {
        fleet_.models_[ModelId("m")].version_ = version;
        const ApplyRecord record {revision_, fleet::writeFleet(fleet_), "op", version};
        const TimePoint never = BootClock::now() + millis(600'000);
        revision_ = log_->append(record, never).value().offset_;
    }

    fleet::Fleet fleet_;
    const int engines_;
    Revision revision_ = 0;
    MemoryLog service_;
    CountingOrders orders_;
    CountingAnnouncer announcer_;
    FastStore store_;
    std::unique_ptr<ControlLog> log_;
    std::unique_ptr<Reconciler> reconciler_;
};

} // namespace

int main(int argc, char **argv)
{
    const int engines = argc > 1 ? std::atoi(argv[1]) : 20;
    const int seconds = argc > 2 ? std::atoi(argv[2]) : 20;
    std::array<int, 2> ports {};
    if (::pipe(ports.data()) != 0) {
        return EXIT_FAILURE;
    }
    const pid_t child = ::fork();
    if (child == 0) {
        playEngines(engines, ports[1]);
    }
    {
        Holder holder(fleetOf(engines, ports[0]));
        holder.measureFirstLook();
        holder.measureNewVersion();
        holder.measureIdle(seconds);
    }
    ::kill(child, SIGKILL);
    ::waitpid(child, nullptr, 0);
    return EXIT_SUCCESS;
}
