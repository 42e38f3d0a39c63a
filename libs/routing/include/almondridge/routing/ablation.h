/**
 * Parts of the router's latency estimate that benchmarks switch off one at a time to measure the
 * contribution of each (an ablation study). Production code leaves all of them on.
 */
#pragma once

#include "almondridge/base/enumnames.h"

#include <cstdint>

namespace almondridge::routing {

/** A part of the estimate that can be switched off. */
enum class Mechanism : std::uint8_t {
    OwnDispatches,     ///< Adds requests that this instance sent after the report was taken.
    Observations,      ///< Corrects estimates by the first-token times seen by this instance.
    Overdue,           ///< Raises the estimate while a first token is later than estimated.
    ReportReliability, ///< Weights reports by how well they have predicted first-token times.
    Staleness,         ///< Ignores reports older than the staleness limit.
    Affinity,          ///< Prefers engines that have the prompt's prefix in their KV cache.
    CacheEvents,       ///< Uses cache events published by engines, for a limited time.
};

inline constexpr std::array<EnumName<Mechanism>, 7> MechanismNames {{
    {Mechanism::OwnDispatches, "own-dispatches"},
    {Mechanism::Observations, "observations"},
    {Mechanism::Overdue, "overdue"},
    {Mechanism::ReportReliability, "report-worth"},
    {Mechanism::Staleness, "staleness"},
    {Mechanism::Affinity, "affinity"},
    {Mechanism::CacheEvents, "cache-events"},
}};

/** The set of mechanisms that are on; all of them by default. */
class Mechanisms
{
public:
    constexpr bool has(Mechanism mechanism) const noexcept { return (off_ & bit(mechanism)) == 0; }
    constexpr void switchOff(Mechanism mechanism) noexcept { off_ |= bit(mechanism); }

private:
    static constexpr std::uint32_t bit(Mechanism mechanism) noexcept
    {
        return 1U << static_cast<unsigned>(mechanism);
    }

    std::uint32_t off_ = 0;
};

} // namespace almondridge::routing
