/**
 * A day together with what goes wrong on it.
 */
#pragma once

#include "almondridge/base/enumnames.h"
#include "day.h"

namespace almondridge::mix {

enum class Fault { Calm, LateReports, Withdrawn, DomainCut, LogOut };

inline constexpr std::array<EnumName<Fault>, 5> FaultNames {{
    {Fault::Calm, "calm"},
    {Fault::LateReports, "late-reports"},
    {Fault::Withdrawn, "withdrawn"},
    {Fault::DomainCut, "domain-cut"},
    {Fault::LogOut, "log-out"},
}};

/** A stretch of a run, in shares of its length. */
struct Stretch
{
    double from_ = 0;
    double until_ = 0;

    bool holds(double share) const { return share >= from_ && share < until_; }
};

inline constexpr Stretch WithdrawnFor {0.25, 0.60};
inline constexpr Stretch CutFor {0.20, 0.50};
inline constexpr Stretch LogOutFor {0.18, 0.36};

struct Scenario
{
    const Day *day_ = nullptr;
    Fault fault_ = Fault::Calm;
};

/** Engines that are withdrawn when the fault is Withdrawn: one in five. */
constexpr bool isWithdrawn(int engine) noexcept
{
    return engine % 5 == 2;
}

/** The failure domain that is cut off when the fault is DomainCut. */
inline constexpr int CutDomain = 0;

} // namespace almondridge::mix
