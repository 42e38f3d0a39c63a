#include "policies.h"

#include "dispatch.h"
#include "roles.h"
#include "routed.h"

namespace almondridge::mix {
namespace {

/** A shift of the mix by more than all work is never seen, so there is one phase only. */
constexpr double NeverReached = 10;

using DispatcherPtr = std::unique_ptr<Dispatcher>;
using ControlPtr = std::unique_ptr<RoleControl>;

DispatcherPtr roundRobin(const PolicyTerms &terms)
{
    return makeRoundRobin(*terms.world_);
}

DispatcherPtr leastReported(const PolicyTerms &terms)
{
    return makeLeastReported(*terms.world_);
}

DispatcherPtr ours(const PolicyTerms &terms)
{
    const Tunables &tunables = terms.tunables_;
    RoutedSetup setup;
    setup.randomCandidates_ = static_cast<int>(tunables.candidates_);
    setup.spillOver_ = tunables.spillOver_ > 0;
    const std::array<std::pair<double, routing::Mechanism>, 3> mechanisms {{
        {tunables.ownDispatches_, routing::Mechanism::OwnDispatches},
        {tunables.observations_, routing::Mechanism::Observations},
        {tunables.overdue_, routing::Mechanism::Overdue},
    }};
    for (const auto &[on, mechanism] : mechanisms) {
        if (on <= 0) {
            setup.without_.push_back(mechanism);
        }
    }
    return makeRouted(*terms.world_, setup);
}

DispatcherPtr trueLoad(const PolicyTerms &terms)
{
    return makeTrueLoad(*terms.world_);
}

ControlPtr staticRoles(const PolicyTerms &)
{
    return makeStaticRoles();
}

ControlPtr greedy(const PolicyTerms &terms)
{
    return makeGreedyThreshold(terms.plan_->day_, terms.tunables_.greedyThreshold_);
}

ControlPtr phaseRoles(const PolicyTerms &terms)
{
    return makePhaseRoles(terms.plan_->bestSplits_);
}

ControlPtr planned(const PolicyTerms &terms, double weight)
{
    const Tunables &tunables = terms.tunables_;
    PlannerSetup setup;
    setup.weight_ = weight;
    setup.tuning_ = {tunables.hysteresis_, tunables.shiftThreshold_, tunables.noiseFactor_,
                     tunables.usable_};
    setup.fastWindow_ = spanOf(tunables.fastSeconds_);
    setup.slowWindow_ = spanOf(tunables.slowSeconds_);
    setup.dwell_ = spanOf(tunables.dwellSeconds_);
    setup.rateError_ = tunables.rateError_;
    return makePlannedRoles(terms.plan_->day_, setup);
}

ControlPtr lowWeight(const PolicyTerms &terms)
{
    return planned(terms, terms.tunables_.lowWeight_);
}

ControlPtr highWeight(const PolicyTerms &terms)
{
    return planned(terms, terms.tunables_.highWeight_);
}

const Split &start(const DayPlan &plan)
{
    return plan.start_;
}

const Split &roundRobinStart(const DayPlan &plan)
{
    return plan.roundRobinStart_;
}

} // namespace

DayPlan planDay(const Day &day)
{
    // Operators who know the day's mean mix could do no better with roles that never change.
    return {day, bestSplits(day), bestSingleSplit(day), bestRoundRobinSplit(day)};
}

const std::vector<Policy> &comparedPolicies()
{
    static const std::vector<Policy> policies {
        {"round-robin+static", &roundRobin, &staticRoles, &start},
        {"round-robin+hindsight", &roundRobin, &staticRoles, &roundRobinStart},
        {"least-load+greedy", &leastReported, &greedy, &start},
        {"ours-low-weight", &ours, &lowWeight, &start},
        {"ours-high-weight", &ours, &highWeight, &start},
        {"best-known", &trueLoad, &phaseRoles, &start},
    };
    return policies;
}

const std::vector<Policy> &referencePolicies()
{
    static const std::vector<Policy> policies {
        {"least-load+static", &leastReported, &staticRoles, &start},
        {"ours+static", &ours, &staticRoles, &start},
        {"true-load+static", &trueLoad, &staticRoles, &start},
        {"true-load+low-weight", &trueLoad, &lowWeight, &start},
        {"true-load+high-weight", &trueLoad, &highWeight, &start},
    };
    return policies;
}

const std::vector<Policy> &ablatedPolicies()
{
    using Ablate = void (*)(Tunables &);
    static const std::vector<std::pair<std::string, Ablate>> ablations {
        {"phases", [](Tunables &tunables) { tunables.shiftThreshold_ = NeverReached; }},
        {"noise-factor", [](Tunables &tunables) { tunables.noiseFactor_ = 0; }},
        {"hysteresis", [](Tunables &tunables) { tunables.hysteresis_ = 0; }},
        {"dwell", [](Tunables &tunables) { tunables.dwellSeconds_ = 0; }},
        {"spill-over", [](Tunables &tunables) { tunables.spillOver_ = 0; }},
        {"own-dispatches", [](Tunables &tunables) { tunables.ownDispatches_ = 0; }},
        {"observations", [](Tunables &tunables) { tunables.observations_ = 0; }},
        {"overdue", [](Tunables &tunables) { tunables.overdue_ = 0; }},
    };
    static const std::vector<Policy> policies = [] {
        std::vector<Policy> made;
        for (const auto &[name, ablate] : ablations) {
            made.push_back({"low - " + name, &ours, &lowWeight, &start, ablate});
            made.push_back({"high - " + name, &ours, &highWeight, &start, ablate});
        }
        return made;
    }();
    return policies;
}

Measures runPolicy(const Policy &policy, const DayPlan &plan, Fault fault, const Trace &trace,
                   const Tunables &tunables)
{
    const Split &roles = policy.start_(plan);
    const auto world = makeWorld(plan.day_, roles);
    PolicyTerms terms {&plan, world.get(), tunables};
    if (policy.ablate_ != nullptr) {
        policy.ablate_(terms.tunables_);
    }
    RunParts parts {{&plan.day_, fault},
                    &trace,
                    policy.dispatcher_(terms),
                    policy.control_(terms),
                    world.get()};
    return Run(std::move(parts)).measure();
}

} // namespace almondridge::mix
