/**
 * Computes how many endpoints a service needs from the fleet's demand. Pure: its inputs are samples
 * of the demand, the number of endpoints found at the start and the time.
 *
 * The need follows the peak of the demand and not its present value: a new endpoint takes seconds
 * to start and then has an empty cache, so sizes cannot follow waves of demand. The need grows at
 * once and shrinks only after it has been clearly lower for some seconds. Samples that do not cover
 * the whole fleet can only raise the need.
 */
#pragma once

#include "almondridge/base/time.h"
#include "almondridge/gateway/demandmeter.h"

#include <deque>
#include <optional>

namespace almondridge::gateway {

/** A sample of the demand on a service. */
struct FleetDemand
{
    StageDemand busy_; ///< In busy engines.
    /** Prefill work that was refused and is not part of busy_, in busy engines. */
    double refused_ = 0;
    /** Whether the sample covers all instances; false: just started, or instances unreachable. */
    bool isComplete_ = false;
};

/** Bounds of the need, in endpoints of the service without the allowance for spot losses. */
struct SizeBounds
{
    int found_ = 0;   ///< Endpoints found at the start.
    int atLeast_ = 0; ///< The need is never lower.
    int atMost_ = 0;  ///< The need is never higher.
};

class SizeDemand
{
public:
    /**
     * Adds a sample; call it several times a second. Returns whether the need has changed. Samples
     * are ignored until endpoints have been found.
     */
    bool observe(const FleetDemand &sample, const SizeBounds &bounds, TimePoint now);
    /** Endpoints that the service needs; nullopt: the demand is not known yet. */
    std::optional<int> need() const noexcept { return need_; }
    /** The decaying peak of each stage, in busy engines; refused work counts as prefill. */
    const StageDemand &peak() const noexcept { return peak_; }

private:
    /** Highest demand of each stage within a short time from from_ on. */
    struct Crest
    {
        TimePoint from_ {};
        StageDemand highest_;
    };

    void addCrest(const StageDemand &demand, TimePoint now);
    void updatePeak(bool isComplete, TimePoint now);
    int wanted(const SizeBounds &bounds) const;
    bool shrinkIfLowerForLong(int wanted, TimePoint now);

    StageDemand peak_;
    std::deque<Crest> crests_; ///< Oldest first.
    std::optional<int> need_;
    TimePoint updatedAt_ {};
    /** Time for which the demand has been known for all instances. */
    Duration observed_ {};
    std::optional<TimePoint> lowerSince_; ///< Since when a clearly lower need has been wanted.
    int highestLower_ = 0;                ///< Highest number wanted since then.
};

} // namespace almondridge::gateway
