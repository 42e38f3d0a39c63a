/**
 * The ways of setting roles that are compared.
 */
#pragma once

#include "world.h"

namespace almondridge::mix {

/** Roles stay as the fleet file has them. */
std::unique_ptr<RoleControl> makeStaticRoles();

/**
 * Moves an engine whenever the reported utilisations of prefill and decode differ by threshold,
 * one at a time.
 */
std::unique_ptr<RoleControl> makeGreedyThreshold(const Day &day, double threshold);

/** The roles of each phase, known in advance, taken on at once and for free. */
std::unique_ptr<RoleControl> makePhaseRoles(std::vector<std::vector<fleet::EngineRole>> byPhase);

/** How the product's planners are set up. */
struct PlannerSetup
{
    double weight_ = 1;
    planner::Tuning tuning_ {};
    Duration fastWindow_ = millis(15'000);
    Duration slowWindow_ = millis(120'000);
    Duration dwell_ = millis(60'000);
    double rateError_ = 1; ///< The planner is told the true rates times this.
};

/** The product's planner, one for each failure domain. */
std::unique_ptr<RoleControl> makePlannedRoles(const Day &day, const PlannerSetup &setup);

} // namespace almondridge::mix
