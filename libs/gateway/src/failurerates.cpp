#include "almondridge/gateway/failurerates.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace almondridge::gateway {
namespace {

/**
 * Time constant of the decay: long enough to see several failures of an endpoint that gets ten
 * requests a second.
 */
constexpr double DecaySeconds = 2;
/** An endpoint that fails a smaller share of its requests costs less than its capacity is worth. */
constexpr double MinFailureShare = 0.2;
/**
 * Failures that all endpoints share (application errors, the network links of an instance) are not
 * the fault of any one endpoint.
 */
constexpr double MedianFactor = 3;
/** At most this share of a group is excluded, since the others have to carry its load. */
constexpr double MaxExcludedShare = 0.3;
/** No endpoint of a smaller group can be spared. */
constexpr std::size_t MinGroupSize = 3;

double medianOf(std::vector<double> values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

} // namespace

void DecayingCount::add(double count, TimePoint now)
{
    count_ = at(now) + count;
    updatedAt_ = now;
}

double DecayingCount::at(TimePoint now) const
{
    return count_ == 0 ? 0 : count_ * std::exp(-toSeconds(now - updatedAt_) / DecaySeconds);
}

std::vector<std::size_t> findFailureOutliers(const std::vector<double> &failures, double expected)
{
    if (failures.size() < MinGroupSize) {
        return {};
    }
    const double threshold =
        std::max({MinFailures, MinFailureShare * expected, MedianFactor * medianOf(failures)});
    std::vector<std::size_t> indices(failures.size());
    std::iota(indices.begin(), indices.end(), 0U);
    std::erase_if(indices, [&](std::size_t index) { return failures[index] < threshold; });
    std::sort(indices.begin(), indices.end(),
              [&](std::size_t one, std::size_t other) { return failures[one] > failures[other]; });
    const auto maxExcluded =
        static_cast<std::size_t>(MaxExcludedShare * static_cast<double>(failures.size()));
    indices.resize(std::min(indices.size(), std::max<std::size_t>(1, maxExcluded)));
    return indices;
}

} // namespace almondridge::gateway
