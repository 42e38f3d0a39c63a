/**
 * Everything about the policies that can be set from the command line, so that each figure of
 * docs/PLANNING.md has its command.
 */
#pragma once

#include "almondridge/base/error.h"

#include <string>
#include <string_view>

namespace almondridge::mix {

/** Defaults are the product's, or for the other policies the best that were found. */
struct Tunables
{
    double lowWeight_ = 0.3; ///< Weights of a role change, as they would stand in the fleet file.
    double highWeight_ = 10;
    double greedyThreshold_ = 0.6;
    double hysteresis_ = 1;
    double shiftThreshold_ = 0.12;
    double noiseFactor_ = 4.5;
    double usable_ = 0.95;
    double fastSeconds_ = 15;
    double slowSeconds_ = 120;
    double dwellSeconds_ = 60;
    double rateError_ = 1;  ///< Role rates told to the planner are the true ones times this.
    double stretch_ = 1;    ///< Phases last this many times as long.
    double candidates_ = 0; ///< Of the router; 0: its own number.
    double spillOver_ = 1;
    double ownDispatches_ = 1;
    double observations_ = 1;
    double overdue_ = 1;
};

/** Sets what "name=number" says; InvalidInput lists the names there are. */
Result<void> setTunable(Tunables &tunables, std::string_view setting);

} // namespace almondridge::mix
