/**
 * Many entries, few engines, late reports: compares ways of choosing an engine. Prints the 50th
 * and 95th percentile of the time to the first token and how many of 1,000 requests had it within
 * the aim: the median over the seeds, and the least and greatest in brackets.
 *
 *   bench_herd [PART OF A POLICY'S NAME] [PART OF A SCENARIO'S NAME]
 */
#include "herdpolicies.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <string>

using namespace almondridge;
using namespace almondridge::herd;
using almondridge::routing::Mechanism;
using almondridge::routing::MechanismNames;
using almondridge::routing::Router;

namespace {

constexpr std::size_t Seeds = 7;

using MakePolicy = std::function<std::unique_ptr<Policy>(const Scenario &)>;

struct NamedPolicy
{
    std::string name_;
    MakePolicy make_;
};

NamedPolicy ours(std::string name, const std::function<void(Router::Builder &)> &change)
{
    return {std::move(name),
            [change](const Scenario &scenario) { return makeRouters(scenario, change); }};
}

std::vector<NamedPolicy> allPolicies()
{
    std::vector<NamedPolicy> policies;
    policies.push_back({"round-robin", makeRoundRobin});
    policies.push_back({"least-reported", [](const Scenario &scenario) {
                            return makeByReport(scenario, scenario.engines_);
                        }});
    policies.push_back({"two-random-reported",
                        [](const Scenario &scenario) { return makeByReport(scenario, 2); }});
    policies.push_back(ours("ours", [](Router::Builder &) {}));
    for (const EnumName<Mechanism> &row : MechanismNames) {
        policies.push_back(ours("ours - " + std::string(row.name_),
                                [row](Router::Builder &builder) { builder.without(row.value_); }));
    }
    for (const int count : {1, 4, 8, 12, 16, 20}) {
        policies.push_back(
            ours("ours random=" + std::to_string(count),
                 [count](Router::Builder &builder) { builder.randomCandidates(count); }));
    }
    return policies;
}

/** "median [least greatest]" of one figure over the seeds. */
std::string spread(const std::vector<Outcome> &outcomes, double Outcome::*figure, double unit)
{
    std::vector<double> values;
    values.reserve(outcomes.size());
    for (const Outcome &outcome : outcomes) {
        values.push_back(outcome.*figure * unit);
    }
    std::sort(values.begin(), values.end());
    std::array<char, 64> text {};
    std::snprintf(text.data(), text.size(), "%7.0f [%.0f %.0f]", values[values.size() / 2],
                  values.front(), values.back());
    return text.data();
}

void compare(const Scenario &scenario, const std::string &only)
{
    std::printf("\n%s: lag %.0f s, %zu entries, %zu engines, %.2f requests/s each, %zu seeds\n",
                scenario.name_, scenario.lagSeconds_, scenario.entries_, scenario.engines_,
                scenario.requestsPerEngine_, Seeds);
    std::printf("%-24s %-22s %-24s %s\n", "policy", "p50 ms", "p95 ms", "within aim, per 1000");
    for (const NamedPolicy &policy : allPolicies()) {
        if (policy.name_.find(only) == std::string::npos) {
            continue;
        }
        std::vector<Outcome> outcomes;
        for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
            const std::unique_ptr<Policy> fresh = policy.make_(scenario);
            outcomes.push_back(simulate(scenario, *fresh, seed));
        }
        std::printf("%-24s %-22s %-24s %s\n", policy.name_.c_str(),
                    spread(outcomes, &Outcome::median_, 1e3).c_str(),
                    spread(outcomes, &Outcome::percentile95_, 1e3).c_str(),
                    spread(outcomes, &Outcome::withinAim_, 1e3).c_str());
        std::fflush(stdout);
    }
}

} // namespace

int main(int argc, char **argv)
{
    const std::string policy = argc > 1 ? argv[1] : "";
    const std::string wanted = argc > 2 ? argv[2] : "";
    for (const double lag : {0.0, 1.0, 5.0}) {
        for (const Scenario &scenario :
             {Scenario {"plain prompts, honest reports", lag, false, false, 7.75},
              Scenario {"plain prompts, wrong reports", lag, false, true, 6.75},
              Scenario {"plain prompts, stalling engines", lag, false, false, 6.75, 20, 9, 160,
                        true},
              Scenario {"plain prompts, large fleet", lag, false, false, 7.75, 100, 40},
              Scenario {"shared packs, honest reports", lag, true, false, 20},
              Scenario {"shared packs, wrong reports", lag, true, true, 17.5},
              Scenario {"two hot packs, honest reports", lag, true, false, 20, 20, 9, 2}}) {
            if (std::string(scenario.name_).find(wanted) != std::string::npos) {
                compare(scenario, policy);
            }
        }
    }
    return 0;
}
