#include "report.h"

#include <algorithm>
#include <fmt/format.h>

namespace almondridge::mix {
namespace {

std::string showSplit(const Split &split)
{
    std::array<int, 3> counts {};
    for (const fleet::EngineRole role : split) {
        ++counts[static_cast<std::size_t>(role)];
    }
    return fmt::format("{}P {}D {}M", counts[0], counts[1], counts[2]);
}

std::string header()
{
    return fmt::format("  {:<24} {:>8} {:>15} {:>6} {:>6} {:>6} {:>7} {:>7} {:>8} {:>6} {:>8} "
                       "{:>8} {:>9}\n",
                       "policy", "goodput", "(least-most)", "/best", "/rr", "share", "ttft95",
                       "itl95", "changes", "/eng", "refused", "late", "wasted");
}

double changeCount(const Measures &run)
{
    return static_cast<double>(run.changes_.size());
}

std::string row(const Comparison &comparison, std::size_t scenario, std::size_t policy)
{
    const ScenarioResult &result = comparison.results_[scenario];
    const Cell &cell = result.cells_[policy];
    const std::size_t faults = comparison.results_.size() / comparison.plans_.size();
    const std::vector<Trace> &traces = comparison.traces_[scenario / faults];
    int perEngine = 0;
    for (std::size_t seed = 0; seed < traces.size(); ++seed) {
        perEngine =
            std::max(perEngine, mostChangesPerEngineAndPhase(cell.runs_[seed], traces[seed]));
    }
    const double goodput = cell.meanGoodput();
    return fmt::format(
        "  {:<24} {:>8.2f} {:>15} {:>6.3f} {:>6.2f} {:>6.3f} {:>6.2f}s {:>5.0f}ms {:>8.1f} {:>6} "
        "{:>8.0f} {:>8.0f} {:>8.0f}k\n",
        comparison.policies_[policy].name_, goodput,
        fmt::format("({:.2f}-{:.2f})", cell.leastGoodput(), cell.mostGoodput()),
        goodput / result.cells_.back().meanGoodput(), goodput / result.cells_.front().meanGoodput(),
        cell.meanOf([](const Measures &run) {
            return static_cast<double>(run.useful_) / static_cast<double>(run.requests_);
        }),
        cell.quantile(&Measures::firstToken_, 0.95),
        1'000 * cell.quantile(&Measures::interToken_, 0.95), cell.meanOf(&changeCount), perEngine,
        cell.meanOf([](const Measures &run) { return static_cast<double>(run.refused_); }),
        cell.meanOf([](const Measures &run) { return static_cast<double>(run.late_); }),
        cell.meanOf([](const Measures &run) { return run.wastedTokens_ / 1'000; }));
}

std::string changeLines(const ScenarioResult &result, std::size_t policy)
{
    std::string text;
    const std::vector<Measures> &runs = result.cells_[policy].runs_;
    for (std::size_t seed = 0; seed < runs.size(); ++seed) {
        for (const RoleChangeMark &mark : runs[seed].changes_) {
            text += fmt::format("  seed {} {:6.1f}s d{} e{:<2} {:>7} -> {:<7} {}\n", seed + 1,
                                mark.seconds_, mark.engine_ / result.plan_->day_.enginesPerDomain_,
                                mark.engine_, nameOf(fleet::EngineRoleNames, mark.from_),
                                nameOf(fleet::EngineRoleNames, mark.to_), mark.reason_);
        }
    }
    return text;
}

} // namespace

std::string tableOf(const Comparison &comparison)
{
    std::string text;
    for (std::size_t scenario = 0; scenario < comparison.results_.size(); ++scenario) {
        const ScenarioResult &result = comparison.results_[scenario];
        if (result.fault_ == comparison.results_.front().fault_) {
            text += fmt::format("\n{}\n  start {}; start of round robin {}; best by phase",
                                result.plan_->day_.title_, showSplit(result.plan_->start_),
                                showSplit(result.plan_->roundRobinStart_));
            for (const Split &split : result.plan_->bestSplits_) {
                text += " | " + showSplit(split);
            }
            text += '\n';
        }
        text += fmt::format("\n{} {}, {} seeds\n", result.plan_->day_.name_,
                            nameOf(FaultNames, result.fault_), result.cells_.front().runs_.size());
        text += header();
        for (std::size_t policy = 0; policy < comparison.policies_.size(); ++policy) {
            text += row(comparison, scenario, policy);
        }
    }
    return text;
}

std::string changesOf(const Comparison &comparison, const std::string &policy)
{
    std::string text;
    for (const ScenarioResult &result : comparison.results_) {
        for (std::size_t index = 0; index < comparison.policies_.size(); ++index) {
            if (comparison.policies_[index].name_ == policy) {
                text += fmt::format("\n{} {}: role changes of {}\n", result.plan_->day_.name_,
                                    nameOf(FaultNames, result.fault_), policy);
                text += changeLines(result, index);
            }
        }
    }
    return text;
}

} // namespace almondridge::mix
