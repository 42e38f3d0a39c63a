/**
 * How long work takes at one endpoint, relative to the usual time, from the figures in its answers.
 * A figure is exact only when it arrives: endpoints change their speed several times a second, and
 * an instance of a large fleet hears from one of them every few seconds. No clock: the current time
 * is an input.
 */
#pragma once

#include "almondridge/base/time.h"

#include <array>
#include <cstddef>

namespace almondridge::gateway {

class WorkTime
{
public:
    /**
     * Adds a figure in percent of the usual time, at least 1. The time since the previous figure
     * sets its weight in the mean, so that many figures at once count as one; a now before the
     * previous figure counts as the time of that one.
     */
    void add(int percent, TimePoint now);
    /** Whether there is a figure. */
    bool isKnown() const noexcept { return weight_ > 0; }
    /**
     * The expected factor on the usual time: the newest figure when it has just arrived, and closer
     * to the mean the older it is; 1 if none is known.
     */
    double factorAt(TimePoint now) const;
    /** The mean factor on the usual time, for decisions that are to last; 1 if none is known. */
    double meanFactor() const noexcept { return mean_; }

private:
    /** How long a figure may be worth something: 125 ms to 16 s, each twice the one before. */
    static constexpr std::size_t Lifetimes = 8;
    using Weights = std::array<float, Lifetimes>;

    /** Weight of a figure of this age against the mean, by lifetime. */
    static Weights weightsAt(Duration age);
    /** The lifetime that would have predicted the recent figures best. */
    std::size_t bestLifetime() const noexcept;

    TimePoint newestAt_ {};
    float newest_ = 1; ///< Factor.
    float mean_ = 1;
    float weight_ = 0;  ///< Of the mean: the number of independent figures, bounded.
    Weights errors_ {}; ///< Squared errors of predictions from the previous figure, by lifetime.
};

} // namespace almondridge::gateway
