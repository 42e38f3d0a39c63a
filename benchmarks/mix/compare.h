/**
 * Runs every policy on every scenario and seed, on a few threads, and gathers what came out.
 */
#pragma once

#include "policies.h"

#include <cstdint>

namespace almondridge::mix {

/** The runs of one policy on one scenario, one for each seed. */
struct Cell
{
    std::vector<Measures> runs_;

    double meanGoodput() const;
    double leastGoodput() const;
    double mostGoodput() const;
    double meanOf(double (*value)(const Measures &)) const;
    double quantile(Latencies Measures::*latencies, double share) const;
};

struct ScenarioResult
{
    const DayPlan *plan_ = nullptr;
    Fault fault_ = Fault::Calm;
    std::vector<Cell> cells_; ///< By policy.
};

struct Comparison
{
    std::vector<DayPlan> plans_;
    std::vector<Policy> policies_;
    std::vector<std::vector<Trace>> traces_; ///< By day and seed.
    std::vector<ScenarioResult> results_;
};

struct ComparisonTerms
{
    std::vector<Day> days_;
    std::vector<Fault> faults_;
    std::vector<Policy> policies_;
    int seeds_ = 5;
    int threads_ = 3;
    Tunables tunables_;
};

std::unique_ptr<Comparison> compare(const ComparisonTerms &terms);

/** The most changes that one engine had between one shift of the mix and the next. */
int mostChangesPerEngineAndPhase(const Measures &measures, const Trace &trace);

} // namespace almondridge::mix
