/**
 * Finds the endpoints of a group that fail far more often than the others. An endpoint that fails
 * 40 % of its calls still answers the others correctly, so consecutive failures do not reveal it,
 * and each instance of a large fleet calls it too rarely to measure a rate. The recent failures
 * that all instances saw are therefore added up.
 */
#pragma once

#include "almondridge/base/time.h"

#include <cstddef>
#include <vector>

namespace almondridge::gateway {

/** Fewer failures than this are the occasional broken connections that any endpoint has. */
inline constexpr double MinFailures = 4;

/** A count with exponential decay that covers about the last two seconds. */
class DecayingCount
{
public:
    void add(double count, TimePoint now);
    double at(TimePoint now) const;

private:
    double count_ = 0;
    TimePoint updatedAt_ {};
};

/**
 * Returns the indices of the endpoints to exclude, most failures first. failures: recent failures
 * of each endpoint; expected: requests that each of them got in the same time.
 */
std::vector<std::size_t> findFailureOutliers(const std::vector<double> &failures, double expected);

} // namespace almondridge::gateway
