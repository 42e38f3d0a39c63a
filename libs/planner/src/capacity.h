/**
 * Capacity of a set of engines for a given assignment of roles.
 */
#pragma once

#include "almondridge/planner/planner.h"

#include <array>

namespace almondridge::planner {

inline constexpr std::size_t NumRoles = 3;

constexpr std::size_t indexOf(fleet::EngineRole role) noexcept
{
    return static_cast<std::size_t>(role);
}

/** The number of engines of each role, by indexOf(). */
using RoleCounts = std::array<int, NumRoles>;

/** Demand in prefill and decode tokens per second. */
struct TokenRates
{
    double prefill_ = 0;
    double decode_ = 0;
};

/** Rates of one model's engines by role: measured, or estimated for roles not measured yet. */
class RoleRateTable
{
public:
    explicit RoleRateTable(const Tuning &tuning)
        : tuning_(tuning)
    { }

    /** Rates of 0 keep the previous value. */
    void set(fleet::EngineRole role, RoleRates rates);
    /** The measured rates, else the default ratios scaled by the measured rates of other roles. */
    RoleRates ratesFor(fleet::EngineRole role) const;
    /** Usable capacity as a multiple of the demand; the maximum double if there is no demand. */
    double capacityRatio(const RoleCounts &counts, const TokenRates &demand) const;
    /** Number of busy dedicated prefill and decode engines that the demand needs. */
    TokenRates engineDemand(const TokenRates &demand) const;

private:
    double scale(double RoleRates::*rate) const;

    Tuning tuning_;
    std::array<RoleRates, NumRoles> measured_ {};
};

} // namespace almondridge::planner
