/**
 * Whether what has changed since an instance's last note is worth another one. Pure.
 */
#pragma once

#include "almondridge/gateway/peerload.h"

namespace almondridge::gateway {

/** With few instances each has much of the load, and less of a change matters with many. */
enum class FleetSize {
    Few,
    Many,
};

bool isWorthANote(const LoadReport &note, const LoadReport &last, FleetSize size);

} // namespace almondridge::gateway
