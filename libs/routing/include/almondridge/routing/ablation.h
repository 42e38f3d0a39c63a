/**
 * Parts of the router's estimate that can be switched off one by one, so that a measurement can
 * show what each is worth. Production code leaves all of them on.
 */
#pragma once

#include "almondridge/base/enumnames.h"

#include <cstdint>

namespace almondridge::routing {

enum class Mechanism : std::uint8_t {
    OwnDispatches, ///< Adds what this entry has sent since the report's stamp.
    Observations,  ///< Corrects by this entry's own first-token times.
    Overdue,       ///< Counts how long the oldest own dispatch has waited for its first token.
    ReportReliability,   ///< Believes reports only as far as they have foretold first tokens.
    Staleness,     ///< A report past its deadline is unknown instead of true.
    Affinity,      ///< Prefers engines that hold the prompt's prefix.
    CacheEvents,   ///< Believes engines' cache events for a while.
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

/** Which mechanisms are on; all, unless switched off. */
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
