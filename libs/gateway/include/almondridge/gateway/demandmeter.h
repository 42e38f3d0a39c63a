/**
 * Measures how many engines the requests of a service keep busy, over the last seconds. Pure.
 */
#pragma once

#include "almondridge/base/time.h"

namespace almondridge::gateway {

/** Demand of a service's requests on each stage, in busy engines. */
struct StageDemand
{
    double prefill_ = 0;
    double decode_ = 0;

    StageDemand &operator+=(const StageDemand &other);
    double all() const noexcept { return prefill_ + decode_; }
};

/** Demand of the recent requests, with exponential decay. */
class DemandMeter
{
public:
    /** Adds a request that occupies a prefill engine and a decode engine for these times. */
    void onRequest(double prefillSeconds, double decodeSeconds, TimePoint now);
    StageDemand at(TimePoint now) const;

private:
    StageDemand sum_; ///< Decaying sum, in engine seconds.
    TimePoint updatedAt_ {};
    TimePoint startedAt_ {}; ///< First request after an idle period.
};

} // namespace almondridge::gateway
