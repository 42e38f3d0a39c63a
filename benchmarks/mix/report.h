/**
 * The comparison as a plain text table.
 */
#pragma once

#include "compare.h"

#include <string>

namespace almondridge::mix {

std::string tableOf(const Comparison &comparison);

/** Every role change under the named policy, with its reason. */
std::string changesOf(const Comparison &comparison, const std::string &policy);

} // namespace almondridge::mix
