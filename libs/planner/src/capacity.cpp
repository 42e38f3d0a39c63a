#include "capacity.h"

#include <algorithm>
#include <limits>

namespace almondridge::planner {
namespace {

using fleet::EngineRole;

/** Tokens per second of a dedicated engine; assumed until a rate has been measured. */
constexpr RoleRates DefaultRates {20'000, 2'400};

/**
 * Rates of each role relative to a dedicated engine. A mixed engine has less of both: each decode
 * step waits for the prefill chunk in its batch, and chunks are kept short to bound that wait.
 */
constexpr std::array<RoleRates, NumRoles> DefaultRatios {{
    {1.0, 0.03}, // Prefill
    {0.1, 1.0},  // Decode
    {0.35, 0.4}, // Mixed
}};

} // namespace

void RoleRateTable::set(fleet::EngineRole role, RoleRates rates)
{
    RoleRates &known = measured_[indexOf(role)];
    known.prefill_ = rates.prefill_ > 0 ? rates.prefill_ : known.prefill_;
    known.decode_ = rates.decode_ > 0 ? rates.decode_ : known.decode_;
}

double RoleRateTable::scale(double RoleRates::*rate) const
{
    double sum = 0;
    int measuredRoles = 0;
    for (std::size_t index = 0; index < NumRoles; ++index) {
        if (measured_[index].*rate > 0) {
            sum += measured_[index].*rate / DefaultRatios[index].*rate;
            ++measuredRoles;
        }
    }
    return measuredRoles > 0 ? sum / measuredRoles : DefaultRates.*rate;
}

RoleRates RoleRateTable::ratesFor(fleet::EngineRole role) const
{
    const RoleRates &known = measured_[indexOf(role)];
    const RoleRates &ratio = DefaultRatios[indexOf(role)];
    return {
        known.prefill_ > 0 ? known.prefill_ : ratio.prefill_ * scale(&RoleRates::prefill_),
        known.decode_ > 0 ? known.decode_ : ratio.decode_ * scale(&RoleRates::decode_),
    };
}

double RoleRateTable::capacityRatio(const RoleCounts &counts, const TokenRates &demand) const
{
    TokenRates capacity;
    for (std::size_t index = 0; index < NumRoles; ++index) {
        const RoleRates rates = ratesFor(static_cast<EngineRole>(index));
        capacity.prefill_ += counts[index] * rates.prefill_ * tuning_.usableShare_;
        capacity.decode_ += counts[index] * rates.decode_ * tuning_.usableShare_;
    }
    double smallestRatio = std::numeric_limits<double>::max();
    if (demand.prefill_ > 0) {
        smallestRatio = std::min(smallestRatio, capacity.prefill_ / demand.prefill_);
    }
    if (demand.decode_ > 0) {
        smallestRatio = std::min(smallestRatio, capacity.decode_ / demand.decode_);
    }
    return smallestRatio;
}

TokenRates RoleRateTable::engineDemand(const TokenRates &demand) const
{
    return {demand.prefill_ / ratesFor(EngineRole::Prefill).prefill_,
            demand.decode_ / ratesFor(EngineRole::Decode).decode_};
}

} // namespace almondridge::planner
