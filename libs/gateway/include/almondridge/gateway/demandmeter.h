/**
 * How many engines a service's requests keep busy, over the last seconds. Pure.
 */
#pragma once

#include "almondridge/base/time.h"

namespace almondridge::gateway {

/** What a service's requests ask of its engines, counted in engines kept busy. */
struct StageDemand
{
    double prefill_ = 0;
    double decode_ = 0;

    StageDemand &operator+=(const StageDemand &other);
    double all() const noexcept { return prefill_ + decode_; }
};

/** The demand of the requests that came lately; each fades with time. */
class DemandMeter
{
public:
    /** One request came that takes this much of a reader's and a generator's time. */
    void onRequest(double readSeconds, double generateSeconds, TimePoint now);
    StageDemand at(TimePoint now) const;

private:
    StageDemand sum_; ///< In engine seconds.
    TimePoint countedAt_ {};
    TimePoint begunAt_ {}; ///< First request after a quiet time.
};

} // namespace almondridge::gateway
