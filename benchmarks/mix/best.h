/**
 * The best static split of each phase, found by trying every one in advance.
 */
#pragma once

#include "day.h"

#include <vector>

namespace almondridge::mix {

/** Roles of a domain's engines. */
using Split = std::vector<fleet::EngineRole>;

/** For each phase of the day, the split that carries it best under true loads. */
std::vector<Split> bestSplits(const Day &day);

/** The one split that carries the whole day best under true loads. */
Split bestSingleSplit(const Day &day);

/** The one split that carries the whole day best when engines take turns. */
Split bestRoundRobinSplit(const Day &day);

} // namespace almondridge::mix
