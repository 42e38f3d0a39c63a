/**
 * Which endpoints of a group fail far more often than the others. An endpoint that fails four
 * calls in ten answers the others soundly, so failures in a row say nothing of it, and each
 * instance of a large deployment meets it too rarely to see a rate: the failures that all
 * instances met lately are added up.
 */
#pragma once

#include "almondridge/base/time.h"

#include <cstddef>
#include <vector>

namespace almondridge::gateway {

/** Fewer failures are a broken connection or two, as any endpoint has them. */
inline constexpr double MinFailures = 4;

/** A count that fades: about what happened in the last two seconds. */
class DecayingCount
{
public:
    void add(double count, TimePoint now);
    double at(TimePoint now) const;

private:
    double count_ = 0;
    TimePoint countedAt_ {};
};

/**
 * Positions of the endpoints to leave out, given each one's recent failures, those that fail most
 * first. expected: requests that each of them got in the same time.
 */
std::vector<std::size_t> findFailureOutliers(const std::vector<double> &failures, double expected);

} // namespace almondridge::gateway
