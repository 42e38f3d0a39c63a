/**
 * The dispatchers that are compared.
 */
#pragma once

#include "world.h"

namespace almondridge::mix {

/** Every engine of the domain that fits in turn, whatever it reports. */
std::unique_ptr<Dispatcher> makeRoundRobin(const World &world);

/** The engine with the least load by its last report. */
std::unique_ptr<Dispatcher> makeLeastReported(const World &world);

/** Knows the true load of every engine that can be reached. No real system can. */
std::unique_ptr<Dispatcher> makeTrueLoad(const World &world);

} // namespace almondridge::mix
