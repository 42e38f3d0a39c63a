/** What both halves of LoadMesh go by: what an instance takes and tells, and what a relay tells. */
#pragma once

#include "almondridge/base/time.h"

#include <algorithm>
#include <cstddef>
#include <vector>

namespace almondridge::gateway {

/** Relays are quicker: a word passes one of them within a domain, two between domains. */
inline constexpr Duration RelayInterval = millis(45);
/** Without any change, so that whoever listens knows that nothing is there. */
inline constexpr Duration QuietInterval = millis(1'000);
/** Parts that wait to be told: more than a fleet reads anew between two digests. */
inline constexpr std::size_t MostPartsToTell = 1'024;
/** Endpoints that a digest names as not reached: it stays small whatever is cut off. */
inline constexpr std::size_t MostUnreachedTold = 32;

/** Appends the values that are not in the list yet, until it has `most`. */
template <typename Value>
void addAbsent(const std::vector<Value> &values, std::vector<Value> &to, std::size_t most)
{
    for (const Value &value : values) {
        if (to.size() < most && std::find(to.begin(), to.end(), value) == to.end()) {
            to.push_back(value);
        }
    }
}

} // namespace almondridge::gateway
