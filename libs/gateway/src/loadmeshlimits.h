/**
 * Limits that both parts of LoadMesh use: an instance's sending and receiving, and the relay.
 */
#pragma once

#include "almondridge/base/time.h"

#include <algorithm>
#include <cstddef>
#include <vector>

namespace almondridge::gateway {

/**
 * Minimum interval between the digests of a relay. It is shorter than that of reports, since load
 * passes one relay within a failure domain and two between domains.
 */
inline constexpr Duration RelayInterval = millis(45);
/**
 * Maximum interval between reports. Without changes, a report shows that its sender is alive and
 * has no other load.
 */
inline constexpr Duration KeepaliveInterval = millis(1'000);
/** Keys of prompt parts that wait to be sent; a fleet reads fewer new parts between two digests. */
inline constexpr std::size_t MaxPendingParts = 1'024;
/** Unreached endpoints in a digest; limits its size however many are unreachable. */
inline constexpr std::size_t MaxUnreachedPerDigest = 32;

/** Appends the values that the list does not contain yet, until it has maxSize elements. */
template <typename Value>
void appendMissing(const std::vector<Value> &values, std::vector<Value> &to, std::size_t maxSize)
{
    for (const Value &value : values) {
        if (to.size() < maxSize && std::find(to.begin(), to.end(), value) == to.end()) {
            to.push_back(value);
        }
    }
}

} // namespace almondridge::gateway
