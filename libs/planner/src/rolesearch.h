/**
 * Searches for the best assignment of roles to a set of engines.
 */
#pragma once

#include "capacity.h"

#include <algorithm>
#include <vector>

namespace almondridge::planner {

/** A number of engines that change from one role to another. */
struct RoleMove
{
    fleet::EngineRole from_ = fleet::EngineRole::Mixed;
    fleet::EngineRole to_ = fleet::EngineRole::Mixed;
    int engines_ = 0;
};

/** Input of a search. */
struct SearchProblem
{
    RoleCounts counts_ {};  ///< Available engines by role.
    RoleCounts movable_ {}; ///< Those of them that may change now.
    fleet::RoleBounds bounds_;
    TokenRates demand_;
    double horizonSeconds_ = 0; ///< How long the gain of a change lasts.
    double changeCost_ = 0;     ///< Per engine, in seconds of the whole demand.
};

/** An assignment and its value; gain and cost are in seconds of the whole demand. */
struct Assignment
{
    RoleCounts counts_ {};
    int boundViolations_ = 0;  ///< Number of engines below a minimum or above a maximum.
    int movedEngines_ = 0;     ///< Number of engines that have to change.
    double capacityRatio_ = 0; ///< Capacity as a multiple of the demand.
    double gain_ = 0;
    double cost_ = 0;

    /** The share of the demand, 0 to 1, that the capacity covers. */
    double servedShare() const noexcept { return std::min(1.0, capacityRatio_); }
    double net() const noexcept { return gain_ - cost_; }
};

/** The current assignment, with no gain and no cost. */
Assignment currentAssignment(const RoleRateTable &rates, const SearchProblem &problem);

/**
 * The assignment with the fewest bound violations, then the highest net gain, then the highest
 * capacity ratio. The current assignment if no change is worth its cost.
 */
Assignment bestAssignment(const RoleRateTable &rates, const SearchProblem &problem);

/** The moves that lead from one assignment to the other with the fewest engines changed. */
std::vector<RoleMove> movesBetween(const RoleCounts &from, const RoleCounts &to);

} // namespace almondridge::planner
