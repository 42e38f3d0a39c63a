/**
 * A day as a picture: goodput of each policy over time, the mix, and the role changes.
 */
#pragma once

#include "compare.h"

#include <string>

namespace almondridge::mix {

/** One self-contained SVG of a scenario, from its first seed. */
std::string pictureOf(const ScenarioResult &result, const std::vector<Policy> &policies);

/** Writes the pictures of all scenarios and a page that shows them into the directory. */
Result<void> writePictures(const Comparison &comparison, const std::string &directory);

} // namespace almondridge::mix
