#include "compare.h"

#include <algorithm>
#include <atomic>
#include <functional>
#include <map>
#include <thread>

namespace almondridge::mix {
namespace {

/** Runs job(0) to job(count - 1), each once, on some threads. */
void inParallel(std::size_t count, int threads, const std::function<void(std::size_t)> &job)
{
    std::atomic<std::size_t> next {0};
    std::vector<std::jthread> workers;
    workers.reserve(static_cast<std::size_t>(threads));
    for (int index = 0; index < threads; ++index) {
        workers.emplace_back([&] {
            for (std::size_t mine = next++; mine < count; mine = next++) {
                job(mine);
            }
        });
    }
}

} // namespace

double Cell::meanGoodput() const
{
    return meanOf([](const Measures &run) { return run.goodput(); });
}

double Cell::leastGoodput() const
{
    double least = runs_.front().goodput();
    for (const Measures &run : runs_) {
        least = std::min(least, run.goodput());
    }
    return least;
}

double Cell::mostGoodput() const
{
    double most = runs_.front().goodput();
    for (const Measures &run : runs_) {
        most = std::max(most, run.goodput());
    }
    return most;
}

double Cell::meanOf(double (*value)(const Measures &)) const
{
    double sum = 0;
    for (const Measures &run : runs_) {
        sum += value(run);
    }
    return sum / static_cast<double>(runs_.size());
}

double Cell::quantile(Latencies Measures::*latencies, double share) const
{
    Latencies all;
    for (const Measures &run : runs_) {
        all.add(run.*latencies);
    }
    return all.quantile(share);
}

std::unique_ptr<Comparison> compare(const ComparisonTerms &terms)
{
    auto comparison = std::make_unique<Comparison>();
    comparison->policies_ = terms.policies_;
    comparison->plans_.resize(terms.days_.size());
    comparison->traces_.resize(terms.days_.size());
    inParallel(terms.days_.size(), terms.threads_, [&](std::size_t day) {
        comparison->plans_[day] = planDay(terms.days_[day]);
        for (int seed = 1; seed <= terms.seeds_; ++seed) {
            comparison->traces_[day].push_back(makeTrace(terms.days_[day], seed));
        }
    });
    const auto seeds = static_cast<std::size_t>(terms.seeds_);
    const std::size_t runsPerScenario = terms.policies_.size() * seeds;
    for (const DayPlan &plan : comparison->plans_) {
        for (const Fault fault : terms.faults_) {
            Cell empty {std::vector<Measures>(seeds)};
            comparison->results_.push_back(
                {&plan, fault, std::vector<Cell>(terms.policies_.size(), empty)});
        }
    }
    const std::size_t count = comparison->results_.size() * runsPerScenario;
    inParallel(count, terms.threads_, [&](std::size_t job) {
        const std::size_t scenario = job / runsPerScenario;
        const std::size_t policy = job % runsPerScenario / seeds;
        const std::size_t seed = job % seeds;
        ScenarioResult &result = comparison->results_[scenario];
        const Trace &trace = comparison->traces_[scenario / terms.faults_.size()][seed];
        result.cells_[policy].runs_[seed] = runPolicy(terms.policies_[policy], *result.plan_,
                                                      result.fault_, trace, terms.tunables_);
    });
    return comparison;
}

int mostChangesPerEngineAndPhase(const Measures &measures, const Trace &trace)
{
    std::map<std::pair<int, std::size_t>, int> changes;
    int most = 0;
    for (const RoleChangeMark &mark : measures.changes_) {
        const auto next =
            std::upper_bound(trace.phaseStarts_.begin(), trace.phaseStarts_.end(), mark.seconds_);
        const auto phase = static_cast<std::size_t>(next - trace.phaseStarts_.begin());
        most = std::max(most, ++changes[{mark.engine_, phase}]);
    }
    return most;
}

} // namespace almondridge::mix
