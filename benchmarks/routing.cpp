/**
 * What the router costs as the fleet grows: time of each call and memory for each endpoint, at
 * several numbers of endpoints in each of nine failure domains, all of one model (the largest
 * group there can be). Each time is the least of several rounds' means.
 */
#include "almondridge/routing/router.h"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <malloc.h>

using namespace almondridge;
using namespace almondridge::routing;

namespace {

constexpr int Domains = 9;
constexpr int Rounds = 7;
constexpr int CallsPerRound = 2'000;
constexpr std::size_t PromptBlocks = 250;
constexpr std::size_t SharedBlocks = 200;
constexpr std::size_t Packs = 500;
constexpr std::int64_t PromptTokens = 4'000;
/** Outstanding at once, as in one entry at 33 requests a second of two seconds each. */
constexpr std::uint64_t Outstanding = 64;

std::size_t heapBytes()
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

EndpointId endpointId(int domain, int number)
{
    return EndpointId("d" + std::to_string(domain) + "-engine-" + std::to_string(number));
}

std::shared_ptr<const fleet::Fleet> fleetOf(int perDomain)
{
    auto fleet = std::make_shared<fleet::Fleet>();
    for (int domain = 0; domain < Domains; ++domain) {
        for (int number = 0; number < perDomain; ++number) {
            fleet::Endpoint endpoint;
            endpoint.id_ = endpointId(domain, number);
            endpoint.domain_ = DomainId("d" + std::to_string(domain));
            endpoint.model_ = ModelId("model");
            fleet->endpoints_[endpoint.id_] = endpoint;
        }
    }
    return fleet;
}

LoadReport reportOf(int number, TimePoint stamp)
{
    LoadReport report;
    report.endpoint_ = endpointId(0, number);
    report.stamp_ = stamp;
    report.prefillTokensWaiting_ = number * 37 % 3'000;
    report.prefillTokensPerSecond_ = 20'000;
    report.decodeTokensPerSecond_ = 30;
    report.kvCapacityTokens_ = 1'000'000;
    return report;
}

RouteQuery queryOf(std::uint64_t number)
{
    RouteQuery query;
    query.model_ = ModelId("model");
    query.promptTokens_ = PromptTokens;
    query.outputTokens_ = 100;
    query.random_ = number * 0x9e3779b97f4a7c15ULL;
    for (std::size_t block = 0; block < PromptBlocks; ++block) {
        const std::uint64_t owner = block < SharedBlocks ? number % Packs : Packs + number;
        query.prefixHashes_.push_back((owner + 1) * 0x9e3779b97f4a7c15ULL + block);
    }
    return query;
}

/** Nanoseconds of one call: the least of the rounds' means. */
double nanoseconds(int calls, const std::function<void(int)> &call)
{
    double least = 1e12;
    for (int round = 0; round < Rounds; ++round) {
        const auto start = std::chrono::steady_clock::now();
        for (int index = 0; index < calls; ++index) {
            call(round * calls + index);
        }
        const std::chrono::duration<double, std::nano> span =
            std::chrono::steady_clock::now() - start;
        least = std::min(least, span.count() / calls);
    }
    return least;
}

/** The life of one attempt, with Outstanding others under way. */
void liveOneAttempt(Router &router, const RouteQuery &query, std::uint64_t number, TimePoint now)
{
    const EndpointId endpoint = endpointId(0, static_cast<int>(number % 20));
    router.onDispatched(AttemptId("attempt-" + std::to_string(number)), endpoint, query, now);
    if (number >= Outstanding) {
        const AttemptId oldest("attempt-" + std::to_string(number - Outstanding));
        router.onFirstToken(oldest, 3'000, now);
        router.onFinished(oldest, true, now);
    }
}

void measure(int perDomain)
{
    const std::shared_ptr<const fleet::Fleet> fleet = fleetOf(perDomain);
    const std::size_t before = heapBytes();
    Router router = Router::Builder().domain(DomainId("d0")).build();
    router.setFleet(fleet);
    TimePoint now = TimePoint {} + millis(1'000'000);
    for (int number = 0; number < perDomain; ++number) {
        router.onReport(reportOf(number, now), now);
    }
    router.choose(queryOf(1), now);
    const std::size_t endpointBytes = heapBytes() - before;

    std::vector<RouteQuery> queries;
    for (std::uint64_t number = 0; number < CallsPerRound; ++number) {
        queries.push_back(queryOf(number));
    }
    std::uint64_t attempts = 0;
    const double attempt = nanoseconds(CallsPerRound, [&](int index) {
        now += millis(1);
        liveOneAttempt(router, queries[index % CallsPerRound], attempts++, now);
    });
    const double choose = nanoseconds(CallsPerRound, [&](int index) {
        now += millis(1);
        router.choose(queries[index % CallsPerRound], now);
    });
    const double report = nanoseconds(CallsPerRound, [&](int index) {
        now += millis(1);
        router.onReport(reportOf(index % perDomain, now), now);
    });
    const double spare = nanoseconds(20, [&](int) { router.spareShare(ModelId("model"), now); });
    const double apply = nanoseconds(3, [&](int) { router.setFleet(fleet); });
    std::printf("%10d %10d %12.0f %12.0f %12.0f %12.1f %12.2f %14.0f\n", perDomain,
                perDomain * Domains, choose, attempt, report, spare / 1e3, apply / 1e6,
                static_cast<double>(endpointBytes) / (perDomain * Domains));
}

/** What the two prefix memories hold at most, and what an attempt under way holds. */
void measureMemory()
{
    Router router = Router::Builder().domain(DomainId("d0")).build();
    router.setFleet(fleetOf(20));
    const TimePoint now = TimePoint {} + millis(1'000'000);
    const std::size_t empty = heapBytes();
    for (std::uint64_t number = 0; number < 1'000; ++number) {
        router.onDispatched(AttemptId("attempt-" + std::to_string(number)),
                            endpointId(0, static_cast<int>(number % 20)), queryOf(number), now);
    }
    const std::size_t underWay = heapBytes();
    for (std::uint64_t number = 0; number < 1'000; ++number) {
        const AttemptId attempt("attempt-" + std::to_string(number));
        router.onFirstToken(attempt, 0, now);
        router.onFinished(attempt, true, now);
    }
    const std::size_t ended = heapBytes();
    std::printf("\nbytes of an attempt under way: %.0f; left in the prefix memory by 1,000: %.0f\n",
                static_cast<double>(underWay - ended) / 1'000, static_cast<double>(ended - empty));
    for (std::uint64_t hash = 1; hash <= 200'000; ++hash) {
        router.onCacheEvent({endpointId(0, 0), hash, true, now}, now);
    }
    for (std::uint64_t number = 1'000; number < 21'000; ++number) {
        const AttemptId attempt("attempt-" + std::to_string(number));
        router.onDispatched(attempt, endpointId(0, 0), queryOf(number * Packs + 1), now);
        router.onFinished(attempt, true, now);
    }
    std::printf("both prefix memories after far more prefixes than they keep: %.1f MB\n",
                static_cast<double>(heapBytes() - empty) / 1e6);
}

} // namespace

int main()
{
    std::printf("%10s %10s %12s %12s %12s %12s %12s %14s\n", "per domain", "endpoints", "choose ns",
                "attempt ns", "report ns", "spare us", "setFleet ms", "bytes/endpoint");
    for (const int perDomain : {20, 200, 600}) {
        measure(perDomain);
    }
    measureMemory();
    return 0;
}
