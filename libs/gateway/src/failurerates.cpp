#include "almondridge/gateway/failurerates.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace almondridge::gateway {
namespace {

/** Long enough for some failures of an endpoint that gets ten requests a second. */
constexpr double FadeSeconds = 2;
/** A smaller share of an endpoint's requests costs less than its place in the group is worth. */
constexpr double FailingShare = 0.2;
/** What all have alike (errors of the application, an instance's own links) is nobody's fault. */
constexpr double AgainstMedian = 3;
/** The others have to carry the load of those left out: at most this share of them is. */
constexpr double MostLeftOut = 0.3;
/** Of fewer endpoints none can be spared. */
constexpr std::size_t LeastGroup = 3;

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
    countedAt_ = now;
}

double DecayingCount::at(TimePoint now) const
{
    return count_ == 0 ? 0 : count_ * std::exp(-toSeconds(now - countedAt_) / FadeSeconds);
}

std::vector<std::size_t> findFailureOutliers(const std::vector<double> &failures, double expected)
{
    if (failures.size() < LeastGroup) {
        return {};
    }
    const double threshold =
        std::max({MinFailures, FailingShare * expected, AgainstMedian * medianOf(failures)});
    std::vector<std::size_t> order(failures.size());
    std::iota(order.begin(), order.end(), 0U);
    std::erase_if(order, [&](std::size_t index) { return failures[index] < threshold; });
    std::sort(order.begin(), order.end(),
              [&](std::size_t one, std::size_t other) { return failures[one] > failures[other]; });
    const auto most = static_cast<std::size_t>(MostLeftOut * static_cast<double>(failures.size()));
    order.resize(std::min(order.size(), std::max<std::size_t>(1, most)));
    return order;
}

} // namespace almondridge::gateway
