/**
 * Limits retries to a share of the first attempts of the last ten seconds. Prevents retry storms,
 * in which an overload makes requests fail and their retries add to the overload.
 */
#pragma once

#include "almondridge/base/time.h"

#include <array>
#include <cstdint>

namespace almondridge::admission {

/** A sliding-window retry budget. */
class RetryBudget
{
public:
    /** share: allowed retries per first attempt. */
    void setShare(double share) { share_ = share; }
    void onFirstAttempt(TimePoint now);
    /** Counts one more retry and returns true, or returns false if it exceeds the budget. */
    bool tryTake(TimePoint now);

private:
    /** Counts of one second. */
    struct Bucket
    {
        std::int64_t second_ = -1; ///< Since the clock's epoch; -1: unused.
        std::int64_t firstAttempts_ = 0;
        std::int64_t retries_ = 0;
    };

    static constexpr std::size_t Buckets = 10;

    Bucket &bucketAt(TimePoint now);

    double share_ = 0.1;
    std::array<Bucket, Buckets> buckets_ {};
};

} // namespace almondridge::admission
