#include "best.h"

#include "dispatch.h"
#include "roles.h"
#include "run.h"

namespace almondridge::mix {
namespace {

using fleet::EngineRole;

constexpr std::uint64_t SearchSeed = 4'711;
constexpr double SearchSeconds = 120;

/** Worth of a second less to the first token, in requests a second: only breaks ties. */
constexpr double FirstTokenWorth = 0.05;

std::vector<Split> allSplits(int engines)
{
    std::vector<Split> splits;
    for (int prefill = 0; prefill <= engines; ++prefill) {
        for (int decode = 0; prefill + decode <= engines; ++decode) {
            const int mixed = engines - prefill - decode;
            if (mixed == 0 && (prefill == 0 || decode == 0)) {
                continue;
            }
            Split split(static_cast<std::size_t>(prefill), EngineRole::Prefill);
            split.insert(split.end(), static_cast<std::size_t>(decode), EngineRole::Decode);
            split.insert(split.end(), static_cast<std::size_t>(mixed), EngineRole::Mixed);
            splits.push_back(std::move(split));
        }
    }
    return splits;
}

using MakeDispatcher = std::unique_ptr<Dispatcher> (*)(const World &);

double scoreOf(const Day &day, const Trace &trace, const Split &split, MakeDispatcher dispatcher)
{
    const auto world = makeWorld(day, split);
    RunParts parts {
        {&day, Fault::Calm}, &trace, dispatcher(*world), makeStaticRoles(), world.get()};
    const Measures measures = Run(std::move(parts)).measure();
    return measures.goodput() - FirstTokenWorth * measures.firstToken_.quantile(0.95);
}

Split bestOf(const Day &day, MakeDispatcher dispatcher)
{
    const Trace trace = makeTrace(day, SearchSeed);
    Split best;
    double bestScore = -1e9;
    for (Split &split : allSplits(day.enginesPerDomain_)) {
        const double score = scoreOf(day, trace, split, dispatcher);
        if (score > bestScore) {
            bestScore = score;
            best = std::move(split);
        }
    }
    return best;
}

Day oneDomain(const Day &day)
{
    Day small = day;
    small.domains_ = 1;
    return small;
}

} // namespace

std::vector<Split> bestSplits(const Day &day)
{
    std::vector<Split> splits;
    for (const Phase &phase : day.phases_) {
        Day small = oneDomain(day);
        small.phases_ = {phase};
        small.phases_[0].seconds_ = SearchSeconds;
        small.phaseJitter_ = 0;
        splits.push_back(bestOf(small, &makeTrueLoad));
    }
    return splits;
}

Split bestSingleSplit(const Day &day)
{
    return bestOf(oneDomain(day), &makeTrueLoad);
}

Split bestRoundRobinSplit(const Day &day)
{
    return bestOf(oneDomain(day), &makeRoundRobin);
}

} // namespace almondridge::mix
