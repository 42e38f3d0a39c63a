/**
 * Decides whether an instance's load has changed enough since its last report to send another one.
 * Pure.
 */
#pragma once

#include "almondridge/gateway/peerload.h"

namespace almondridge::gateway {

/**
 * In a small fleet each instance has a large share of the load. In a large fleet a smaller change
 * has to be reported.
 */
enum class FleetSize {
    Small,
    Large,
};

bool isSignificantChange(const LoadReport &report, const LoadReport &last, FleetSize size);

} // namespace almondridge::gateway
