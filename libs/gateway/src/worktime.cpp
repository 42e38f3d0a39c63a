#include "almondridge/gateway/worktime.h"

#include <algorithm>
#include <cmath>

namespace almondridge::gateway {
namespace {

constexpr float Percent = 100;
constexpr double LongestLifetimeSeconds = 16;
/** 500 ms, until figures differ: endpoints with a speed that changes every 600 ms are known. */
constexpr std::size_t DefaultLifetime = 2;
/** Figures that are this far apart count as independent. */
constexpr double IndependentSeconds = 1;
/**
 * The mean covers about twice as many independent figures as this. Its standard error is then
 * 0.04 where the factor is 2.5 for 15 % of the time and else 1.
 */
constexpr float MaxWeight = 100;
/**
 * Independent figures after which an error counts 1/e. With 50 instead of 200, chance alone chose a
 * wrong lifetime more often where figures come 5 s apart.
 */
constexpr float ErrorMemory = 200;

} // namespace

WorkTime::Weights WorkTime::weightsAt(Duration age)
{
    Weights weights {};
    auto weight = static_cast<float>(std::exp(-toSeconds(age) / LongestLifetimeSeconds));
    // Half the lifetime squares the weight.
    for (std::size_t index = Lifetimes; index-- > 0;) {
        weights[index] = weight;
        weight *= weight;
    }
    return weights;
}

std::size_t WorkTime::bestLifetime() const noexcept
{
    std::size_t best = DefaultLifetime;
    for (std::size_t index = 0; index < Lifetimes; ++index) {
        if (errors_[index] < errors_[best]) {
            best = index;
        }
    }
    return best;
}

void WorkTime::add(int percent, TimePoint now)
{
    const float factor = static_cast<float>(percent) / Percent;
    if (!isKnown()) {
        newestAt_ = now;
        newest_ = factor;
        mean_ = factor;
        weight_ = 1;
        return;
    }
    const Duration age = std::max(now - newestAt_, Duration::zero());
    const auto independence =
        static_cast<float>(1 - std::exp(-toSeconds(age) / IndependentSeconds));
    const Weights weights = weightsAt(age);
    for (std::size_t index = 0; index < Lifetimes; ++index) {
        const float error = mean_ + weights[index] * (newest_ - mean_) - factor;
        errors_[index] += error * error - errors_[index] * independence / ErrorMemory;
    }
    weight_ = std::min(weight_ + independence, MaxWeight);
    mean_ += (factor - mean_) * independence / weight_;
    newest_ = factor;
    newestAt_ += age;
}

double WorkTime::factorAt(TimePoint now) const
{
    const Duration age = std::max(now - newestAt_, Duration::zero());
    return mean_ + weightsAt(age)[bestLifetime()] * (newest_ - mean_);
}

} // namespace almondridge::gateway
