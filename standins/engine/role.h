/**
 * What a role does to an engine's speed.
 */
#pragma once

#include "almondridge/base/enumnames.h"

#include <cstdint>

namespace almondridge::standins {

enum class Role { Prefill, Decode, Mixed };

inline constexpr std::array<EnumName<Role>, 3> RoleNames {{
    {Role::Prefill, "prefill"},
    {Role::Decode, "decode"},
    {Role::Mixed, "mixed"},
}};

/** How a role scales the rates that stand in the settings, which are those of a mixed engine. */
struct RoleProfile
{
    double prefillFactor_ = 1.0;
    double decodeFactor_ = 1.0;
    std::int64_t chunkTokens_ = 0; ///< Most prompt tokens of one step.
};

/** What the role is made for runs this much faster than on a mixed engine. */
inline constexpr double FavouredFactor = 1.5;
/** What the role is not made for runs at this share of a mixed engine's rate. */
inline constexpr double NeglectedFactor = 0.25;

/** Large chunks keep a prefill engine at its rate; small ones keep decode steps short. */
inline constexpr RoleProfile PrefillProfile {FavouredFactor, NeglectedFactor, 2'048};
inline constexpr RoleProfile DecodeProfile {NeglectedFactor, FavouredFactor, 64};
inline constexpr RoleProfile MixedProfile {1.0, 1.0, 256};

constexpr const RoleProfile &profileOf(Role role) noexcept
{
    constexpr std::array<const RoleProfile *, 3> Profiles {&PrefillProfile, &DecodeProfile,
                                                           &MixedProfile};
    return *Profiles[static_cast<std::size_t>(role)];
}

} // namespace almondridge::standins
