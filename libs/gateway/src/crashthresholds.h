/**
 * Thresholds of the crash evidence.
 */
#pragma once

#include "almondridge/base/time.h"

namespace almondridge::gateway {

inline constexpr int CrashesToQuarantine = 3;
/** Low enough for three crashes even if other crashes coincide with some of them. */
inline constexpr double WeightToQuarantine = 2.0;
/** A part that was sound shortly before has to be seen more often. */
inline constexpr int CrashesToBlameSoundPart = 5;
inline constexpr Duration SoundPartMemory = millis(30'000);
inline constexpr int CrashesToSuspect = 2;
inline constexpr double WeightToSuspect = 1.3;
/** A request with one crash of less weight is neither suspected nor reported to peers. */
inline constexpr double MinWeight = 0.5;

/** Length of the first quarantine; doubles with each failed trial run. */
inline constexpr Duration FirstQuarantine = millis(60'000);

} // namespace almondridge::gateway
