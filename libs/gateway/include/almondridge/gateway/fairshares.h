/** Weighted max-min fair division of a capacity. No state. */
#pragma once

#include <vector>

namespace almondridge::gateway {

/** What one participant asks for, in the unit of the room. */
struct AskedShare
{
    double asked_ = 0;
    double weight_ = 1; ///< Shares that are limited are in proportion to it.
};

/**
 * The weighted max-min share of each participant: nobody gets more than it asks for, and what some
 * don't ask for goes to the others by weight. The shares add up to the room, or to all that is
 * asked if that is less. Participants that ask for nothing or have no weight get nothing. O(n log
 * n).
 */
std::vector<double> maxMinShares(double room, const std::vector<AskedShare> &asked);

} // namespace almondridge::gateway
