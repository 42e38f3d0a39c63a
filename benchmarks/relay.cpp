/**
 * What the path through an entry instance adds to a stream: time to the first token, throughput,
 * processor time and memory, with real processes. The same engines are called directly and through
 * the entry by turns, so that both meet the same state of the machine.
 *
 *   bench_relay [ROUNDS [SECONDS]]   turns for each number of streams (3; 0 leaves the comparison
 *                                    out), length of a turn (4)
 *
 * Exit status 1 when a stream was not whole.
 */
#include "deployment.h"
#include "linefit.h"

#include "almondridge/base/log.h"
#include "almondridge/net/httpexchange.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdlib>
#include <mutex>
#include <random>
#include <thread>

using namespace almondridge;
using almondridge::testing::Deployment;
using almondridge::testing::DeploymentPlan;
using almondridge::testing::Standin;

namespace {

constexpr int Engines = 12;
constexpr int MaxBatch = 32;         ///< The engine stand-in's default.
constexpr double PrefillRate = 10e6; ///< So that reading a prompt takes no time of note.
constexpr std::int64_t StreamDeadlineMillis = 30'000;
constexpr std::int64_t MaxStreams = 300;
constexpr double IdleSeconds = 15; ///< Long against the tick of process times, 10 ms.
constexpr std::string_view LastEvent = "data: [DONE]\n\n";

// Client ---------------------------------------------------------------------------------------

struct StreamResult
{
    bool whole_ = false;
    double firstTokenMillis_ = 0;
    int tokens_ = 0;
};

std::string promptOf(std::uint64_t number)
{
    std::string prompt;
    for (int word = 0; word < 8; ++word) {
        prompt += 'p';
        prompt += std::to_string(number * 8 + static_cast<std::uint64_t>(word));
        prompt += ' ';
    }
    return prompt;
}

net::Request requestOf(std::uint64_t number, int tokens)
{
    const nlohmann::json body = {
        {"model", "m"}, {"prompt", promptOf(number)}, {"max_tokens", tokens}, {"stream", true}};
    return {"POST",
            "/v1/completions",
            {{"Content-Type", "application/json"}, {"Connection", "close"}},
            body.dump()};
}

/** Reads to the end; every event ends in two line feeds and has no other. */
Result<StreamResult> readStream(net::HttpExchange &exchange, TimePoint start, TimePoint deadline)
{
    StreamResult result;
    std::array<char, 16'384> buffer {};
    std::string tail;
    std::ptrdiff_t lineFeeds = 0;
    BOOST_LEAF_AUTO(head, exchange.readHead(deadline));
    for (;;) {
        BOOST_LEAF_AUTO(read, exchange.readSome(buffer, deadline));
        if (read.status_ != net::ReadStatus::Data) {
            break;
        }
        if (result.firstTokenMillis_ == 0) {
            result.firstTokenMillis_ = 1e3 * toSeconds(BootClock::now() - start);
        }
        const std::string_view bytes(buffer.data(), read.size_);
        lineFeeds += std::count(bytes.begin(), bytes.end(), '\n');
        tail += bytes;
        tail.erase(0, tail.size() - std::min(tail.size(), LastEvent.size()));
    }
    result.tokens_ = static_cast<int>(lineFeeds / 2 - 1);
    result.whole_ = head.status_ == 200 && tail == LastEvent;
    return result;
}

StreamResult callStream(const net::Address &address, std::uint64_t number, int tokens)
{
    const TimePoint start = BootClock::now();
    const TimePoint deadline = start + millis(StreamDeadlineMillis);
    const auto outcome = capture([&]() -> Result<StreamResult> {
        BOOST_LEAF_AUTO(exchange, net::HttpExchange::connect(address, deadline));
        BOOST_LEAF_CHECK(exchange.send(requestOf(number, tokens), deadline));
        return readStream(exchange, start, deadline);
    });
    if (outcome.index() == 1) {
        return {};
    }
    StreamResult result = std::get<0>(outcome);
    result.whole_ = result.whole_ && result.tokens_ == tokens;
    return result;
}

// One turn -------------------------------------------------------------------------------------

/** Whether the clients begin over the length of a stream, as callers do, or all at once. */
enum class Start { Spread, Together };

/** How a number of concurrent streams is run. */
struct Load
{
    int streams_ = 1;
    int tokens_ = 64;             ///< In each answer.
    double tokensPerStream_ = 60; ///< Aimed at, in a second.
    Start start_ = Start::Spread;

    /** When a client begins its first stream. */
    std::chrono::duration<double> startOf(int client) const
    {
        const double share = start_ == Start::Spread ? 1.0 * client / streams_ : 0;
        return std::chrono::duration<double>(share * tokens_ / tokensPerStream_);
    }
};

/** What streams of one way came to, over all turns. */
struct Tally
{
    std::vector<double> firstTokenMillis_;
    std::int64_t tokens_ = 0;
    std::int64_t streams_ = 0;
    std::int64_t broken_ = 0;
    double seconds_ = 0;
    double entryCpuSeconds_ = 0;

    double quantile(double share)
    {
        if (firstTokenMillis_.empty()) {
            return 0;
        }
        const auto at =
            static_cast<std::ptrdiff_t>(share * static_cast<double>(firstTokenMillis_.size() - 1));
        std::nth_element(firstTokenMillis_.begin(), firstTokenMillis_.begin() + at,
                         firstTokenMillis_.end());
        return firstTokenMillis_[static_cast<std::size_t>(at)];
    }
    double tokensPerSecond() const { return static_cast<double>(tokens_) / seconds_; }
};

std::atomic<std::uint64_t> nextPrompt {1};

/**
 * A pause before a stream. An answer ends with a step of its engine; a client that came back at
 * once would always meet the beginning of the next step, and what the entry adds would vanish in
 * the wait for that step's end.
 */
std::chrono::duration<double> pauseOf(std::minstd_rand &random)
{
    constexpr double LongestPause = 0.02;
    return std::chrono::duration<double>(std::uniform_real_distribution(0.0, LongestPause)(random));
}

/** Keeps streams open against addresses, spread evenly, until the turn is over. */
void runTurn(const std::vector<net::Address> &addresses, const Load &load, double seconds,
             Tally &tally)
{
    std::mutex mutex;
    const TimePoint start = BootClock::now();
    const TimePoint end = start + millis(static_cast<std::int64_t>(seconds * 1e3));
    std::vector<std::jthread> clients;
    clients.reserve(static_cast<std::size_t>(load.streams_));
    for (int client = 0; client < load.streams_; ++client) {
        clients.emplace_back([&, client] {
            std::minstd_rand random(static_cast<unsigned>(client) + 1);
            std::this_thread::sleep_for(load.startOf(client));
            for (std::size_t at = static_cast<std::size_t>(client); BootClock::now() < end; ++at) {
                std::this_thread::sleep_for(pauseOf(random));
                const StreamResult result =
                    callStream(addresses[at % addresses.size()], nextPrompt++, load.tokens_);
                const std::lock_guard lock(mutex);
                ++tally.streams_;
                tally.broken_ += result.whole_ ? 0 : 1;
                tally.tokens_ += result.tokens_;
                if (result.whole_) {
                    tally.firstTokenMillis_.push_back(result.firstTokenMillis_);
                }
            }
        });
    }
    clients.clear();
    tally.seconds_ += toSeconds(BootClock::now() - start);
}

// The deployment -------------------------------------------------------------------------------

/** One entry instance before so many engines, with the file in force. */
class Bench
{
public:
    explicit Bench(int engines, int entries = 1)
        : deployment_(planOf(engines, entries))
    {
        deployment_.applyFirst();
        entry_ = {net::parseAddress(deployment_.entryAddress(0)).value()};
        for (const auto &[id, endpoint] : deployment_.fleet().endpoints_) {
            engines_.push_back(net::parseAddress(endpoint.address_).value());
        }
    }

    testing::Process &entryProcess() { return deployment_.entry(0); }

    /** Sets the engines' rate so that each stream of the load gets tokens as fast as aimed at. */
    void pace(const Load &load)
    {
        const double perEngine = static_cast<double>(load.streams_) / Engines;
        const double rate = load.tokensPerStream_ * MaxBatch * (0.5 + 0.5 * perEngine / MaxBatch);
        deployment_.control(Standin::Engines,
                            {{"engine", "*"}, {"decode_tokens_per_second", rate}});
    }

    void direct(const Load &load, double seconds, Tally &tally)
    {
        runTurn(engines_, load, seconds, tally);
    }

    void via(const Load &load, double seconds, Tally &tally)
    {
        const double before = entryProcess().cpuSeconds();
        runTurn(entry_, load, seconds, tally);
        tally.entryCpuSeconds_ += entryProcess().cpuSeconds() - before;
    }

    /** Connections to the entry on which nothing is sent. */
    std::vector<net::HttpExchange> connections(int count) const
    {
        std::vector<net::HttpExchange> held;
        held.reserve(static_cast<std::size_t>(count));
        for (int index = 0; index < count; ++index) {
            const TimePoint deadline = BootClock::now() + millis(StreamDeadlineMillis);
            held.push_back(net::HttpExchange::connect(entry_.front(), deadline).value());
        }
        return held;
    }

    /** Each client opens one stream; the greatest resident memory meanwhile, in KiB. */
    long residentDuring(const Load &load, Tally &tally)
    {
        std::atomic<bool> over = false;
        std::jthread clients([&] {
            runTurn(entry_, load, load.tokens_ / load.tokensPerStream_, tally);
            over = true;
        });
        long peak = 0;
        while (!over) {
            peak = std::max(peak, entryProcess().residentKilobytes());
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        return peak;
    }

    /** Processor time that each entry takes in a second without callers. */
    std::vector<double> idleCpu(double seconds)
    {
        std::vector<double> busy;
        busy.reserve(static_cast<std::size_t>(deployment_.entryCount()));
        for (int index = 0; index < deployment_.entryCount(); ++index) {
            busy.push_back(-deployment_.entry(index).cpuSeconds());
        }
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
        for (int index = 0; index < deployment_.entryCount(); ++index) {
            double &spent = busy.at(static_cast<std::size_t>(index));
            spent = (spent + deployment_.entry(index).cpuSeconds()) / seconds;
        }
        return busy;
    }

    int leaseHolder()
    {
        const DomainId domain("d0");
        testing::waitUntil("the failure domain has a lease holder",
                           [&] { return deployment_.leaseHolder(domain) >= 0; });
        return deployment_.leaseHolder(domain);
    }

private:
    static DeploymentPlan planOf(int engines, int entries)
    {
        DeploymentPlan plan;
        plan.domains_ = 1;
        plan.entriesPerDomain_ = entries;
        plan.enginesPerDomain_ = engines;
        plan.servicesPerDomain_ = 0;
        plan.prefillTokensPerSecond_ = PrefillRate;
        plan.maxStreams_ = MaxStreams;
        return plan;
    }

    Deployment deployment_;
    std::vector<net::Address> entry_;
    std::vector<net::Address> engines_;
};

struct Turns
{
    int rounds_ = 3;
    double seconds_ = 4;
};

// Reports --------------------------------------------------------------------------------------

void printLine(const char *what, const char *unit, const bench::Line &line)
{
    std::printf("  line: %s = %.2f + %.4f +- %.2g * n %s, worst miss %.1f %%\n", what, line.base_,
                line.slope_, line.slopeError_, unit, 100 * line.worstMiss_);
}

void printWay(const char *way, Tally &tally)
{
    std::printf("    %-6s p50 %7.3f ms  p99 %7.3f ms  %8.0f tokens/s  %6lld streams, %lld broken\n",
                way, tally.quantile(0.5), tally.quantile(0.99), tally.tokensPerSecond(),
                static_cast<long long>(tally.streams_), static_cast<long long>(tally.broken_));
}

void printAdded(Tally &direct, Tally &via)
{
    std::printf("    added  p50 %+7.3f ms (x %.2f)  p99 %+7.3f ms (x %.2f)  tokens x %.3f\n",
                via.quantile(0.5) - direct.quantile(0.5), via.quantile(0.5) / direct.quantile(0.5),
                via.quantile(0.99) - direct.quantile(0.99),
                via.quantile(0.99) / direct.quantile(0.99),
                via.tokensPerSecond() / direct.tokensPerSecond());
    std::printf("    entry  %.2f cores busy, %.0f relayed tokens/s a core\n",
                via.entryCpuSeconds_ / via.seconds_,
                static_cast<double>(via.tokens_) / via.entryCpuSeconds_);
}

/** Direct and through the entry by turns. True when no stream broke. */
bool reportPath(Bench &bench, const Turns &turns)
{
    constexpr std::array<Load, 4> Loads {
        {{1, 64, 400}, {32, 64, 400}, {256, 64, 60}, {256, 64, 60, Start::Together}}};
    std::int64_t broken = 0;
    for (const Load &load : Loads) {
        Tally direct;
        Tally via;
        bench.pace(load);
        for (int round = 0; round < turns.rounds_; ++round) {
            bench.direct(load, turns.seconds_, direct);
            bench.via(load, turns.seconds_, via);
        }
        std::printf("  %d streams of %d tokens%s\n", load.streams_, load.tokens_,
                    load.start_ == Start::Together ? ", begun all at once" : "");
        printWay("direct", direct);
        printWay("via", via);
        printAdded(direct, via);
        std::printf("    entry  %ld KiB resident\n", bench.entryProcess().residentKilobytes());
        broken += direct.broken_ + via.broken_;
        std::fflush(stdout);
    }
    return broken == 0;
}

/** Processor time of a stream by its tokens; the slope is what a relayed token takes. */
bool reportTokens(Bench &bench, const Turns &turns, double idleCpu)
{
    std::vector<bench::Sample> samples;
    std::int64_t broken = 0;
    std::printf("processor time of the entry for one stream, 32 at a time\n");
    for (const int tokens : {8, 64, 256, 512}) {
        const Load load {32, tokens, 400};
        Tally via;
        bench.pace(load);
        bench.via(load, turns.seconds_, via);
        const double cpu = via.entryCpuSeconds_ - idleCpu * via.seconds_;
        samples.push_back(
            {static_cast<double>(tokens), 1e6 * cpu / static_cast<double>(via.streams_)});
        std::printf("  %4d tokens: %8.1f us  (%.0f streams/s)\n", tokens, samples.back().y_,
                    static_cast<double>(via.streams_) / via.seconds_);
        broken += via.broken_;
        std::fflush(stdout);
    }
    printLine("processor time of a stream by tokens", "us", bench::fit(samples));
    return broken == 0;
}

/** Processor time of a short stream by the connections that are open beside it, without traffic. */
bool reportConnections(Bench &bench, const Turns &turns, double idleCpu)
{
    constexpr Load Short {8, 8, 400};
    std::vector<bench::Sample> samples;
    std::int64_t broken = 0;
    std::printf("processor time of the entry for one stream of 8 tokens, 8 at a time\n");
    bench.pace(Short);
    for (const int open : {0, 64, 128, 256}) {
        const std::vector<net::HttpExchange> held = bench.connections(open);
        Tally via;
        bench.via(Short, turns.seconds_, via);
        const double cpu = via.entryCpuSeconds_ - idleCpu * via.seconds_;
        samples.push_back(
            {static_cast<double>(open), 1e6 * cpu / static_cast<double>(via.streams_)});
        std::printf("  %4d idle connections: %8.1f us, first token p50 %.3f ms\n", open,
                    samples.back().y_, via.quantile(0.5));
        broken += via.broken_;
        std::fflush(stdout);
    }
    printLine("processor time of a short stream by connections", "us", bench::fit(samples));
    return broken == 0;
}

/**
 * Resident memory by open streams, each number with a fresh entry: what a stream took stays with
 * its worker after it, so a used entry would show the largest number that it ever had.
 */
bool reportMemory()
{
    std::vector<bench::Sample> samples;
    std::int64_t broken = 0;
    std::printf("resident memory of a fresh entry\n");
    for (const int streams : {1, 32, 128, 256}) {
        Bench bench(Engines);
        const Load load {streams, 64, 40};
        bench.pace(load);
        const long before = bench.entryProcess().residentKilobytes();
        Tally via;
        const long peak = bench.residentDuring(load, via);
        samples.push_back({static_cast<double>(streams), static_cast<double>(peak - before)});
        std::printf("  %4d open streams: %ld KiB before, %ld KiB with them\n", streams, before,
                    peak);
        broken += via.broken_;
        std::fflush(stdout);
    }
    printLine("increase by open streams", "KiB", bench::fit(samples));
    return broken == 0;
}

/** Processor time in a second, in microseconds, of the two entries of a deployment. */
struct IdleCpu
{
    double holder_ = 0;
    double other_ = 0;
};

IdleCpu measureIdle(int engines)
{
    Bench bench(engines, 2);
    std::this_thread::sleep_for(std::chrono::seconds(2));
    const int holder = bench.leaseHolder();
    const std::vector<double> busy = bench.idleCpu(IdleSeconds);
    return {1e6 * busy.at(static_cast<std::size_t>(holder)),
            1e6 * busy.at(static_cast<std::size_t>(1 - holder))};
}

/** What entries without callers take, by the endpoints of their failure domain. */
void reportIdle()
{
    std::vector<bench::Sample> holders;
    std::vector<bench::Sample> others;
    std::printf("processor time without callers, of two entries\n");
    for (const int engines : {2, 12, 24}) {
        const IdleCpu cpu = measureIdle(engines);
        holders.push_back({static_cast<double>(engines), cpu.holder_});
        others.push_back({static_cast<double>(engines), cpu.other_});
        std::printf("  %3d engines: lease holder %8.0f us/s, the other %8.0f us/s\n", engines,
                    cpu.holder_, cpu.other_);
        std::fflush(stdout);
    }
    printLine("lease holder, by engines", "us/s", bench::fit(holders));
    printLine("the other, by engines", "us/s", bench::fit(others));
}

} // namespace

int main(int count, char **arguments)
{
    startLog(LogLevel::Error, "bench", "d0");
    Turns turns;
    turns.rounds_ = count > 1 ? std::atoi(arguments[1]) : turns.rounds_;
    turns.seconds_ = count > 2 ? std::atof(arguments[2]) : turns.seconds_;
    std::printf("one entry, %d engines of one process, %d turns of %.1f s each way\n", Engines,
                turns.rounds_, turns.seconds_);
    bool whole = true;
    {
        Bench bench(Engines);
        const double idleCpu = bench.idleCpu(turns.seconds_).front();
        whole = turns.rounds_ == 0 || reportPath(bench, turns);
        whole = reportTokens(bench, turns, idleCpu) && whole;
        whole = reportConnections(bench, turns, idleCpu) && whole;
    }
    whole = reportMemory() && whole;
    reportIdle();
    std::printf(whole ? "every stream was whole\n" : "FAILED: some streams were not whole\n");
    return whole ? 0 : 1;
}
