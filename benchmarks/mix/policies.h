/**
 * The ways of serving a day that are compared, each a dispatcher and a role control.
 */
#pragma once

#include "best.h"
#include "run.h"
#include "tunables.h"

namespace almondridge::mix {

/** What is worked out in advance for a day. */
struct DayPlan
{
    Day day_;
    std::vector<Split> bestSplits_;
    Split start_;           ///< Roles of the fleet file: the best that never change.
    Split roundRobinStart_; ///< The best that never change when engines take turns.
};

DayPlan planDay(const Day &day);

/** Everything that a policy may build its parts from. */
struct PolicyTerms
{
    const DayPlan *plan_ = nullptr;
    const World *world_ = nullptr;
    Tunables tunables_;
};

struct Policy
{
    std::string name_;
    std::unique_ptr<Dispatcher> (*dispatcher_)(const PolicyTerms &);
    std::unique_ptr<RoleControl> (*control_)(const PolicyTerms &);
    const Split &(*start_)(const DayPlan &);
    void (*ablate_)(Tunables &) = nullptr; ///< Takes a mechanism out.
};

/** The policies that every scenario is run under. The last one is the best known in advance. */
const std::vector<Policy> &comparedPolicies();

/** What shows how much is due to the dispatch and how much to the roles. */
const std::vector<Policy> &referencePolicies();

/** Ours with one mechanism taken out. */
const std::vector<Policy> &ablatedPolicies();

/** One run of a policy. */
Measures runPolicy(const Policy &policy, const DayPlan &plan, Fault fault, const Trace &trace,
                   const Tunables &tunables);

} // namespace almondridge::mix
