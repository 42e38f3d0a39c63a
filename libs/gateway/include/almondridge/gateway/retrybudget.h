/**
 * Retry budget of one service at this instance. All instances keep to a common budget without
 * coordination: each one may retry a fraction of its own requests, plus its share of a constant.
 * No I/O and no clock.
 *
 * In its first window a process may spend only a small reserve, which no other instance uses: the
 * process before it, or instances that don't know of it yet, may have just spent its part.
 */
#pragma once

#include "almondridge/base/time.h"
#include "almondridge/gateway/recentmaximum.h"

#include <deque>
#include <utility>

namespace almondridge::gateway {

struct RetryBudgetLimits
{
    double ratio_ = 0.2; ///< Retries per request.
    double slack_ = 10;  ///< Additional retries per window, of all instances together.
    std::int64_t windowMillis_ = 10'000; ///< Length of the sliding window.
};

/** What was sent since the last report. */
struct RetryCounts
{
    int requests_ = 0;
    int retries_ = 0;   ///< Taken from the budget.
    int denied_ = 0;    ///< The budget had none left.
    int notSent_ = 0;   ///< Further sends of requests that had not reached an endpoint.
    int forwarded_ = 0; ///< Further sends through a peer.

    bool hasFurtherSends() const noexcept { return retries_ + denied_ + notSent_ + forwarded_ > 0; }
};

class RetryBudget
{
public:
    /** startedAt: when the process of this instance started. */
    RetryBudget(const RetryBudgetLimits &limits, TimePoint startedAt);

    /**
     * The number of instances, by which the constant is divided; until it is known, this instance
     * has no part of it. A lower number takes effect late: instances that have left may be back
     * soon.
     */
    void setInstances(int count, TimePoint now);
    void onRequest(TimePoint now);
    /** Spends one retry; false if none is left in the window that ends now. */
    bool take(TimePoint now);
    /** Retries that are left in the window that ends now. */
    double left(TimePoint now);
    /** The number that the constant is divided by; 0: unknown. */
    int instances(TimePoint now) const { return instances_.at(now).value_or(0); }

    void onNotSent() { ++counts_.notSent_; }
    void onForwarded() { ++counts_.forwarded_; }
    RetryCounts takeCounts() { return std::exchange(counts_, {}); }

private:
    struct Slice
    {
        TimePoint end_;
        double earned_ = 0; ///< Retries that its requests allow.
        double retries_ = 0;
    };

    Duration window() const { return millis(limits_.windowMillis_); }
    bool isNew(TimePoint now) const { return now < startedAt_ + window(); }
    Slice &current(TimePoint now);
    double partOfConstant(TimePoint now) const;

    RetryBudgetLimits limits_;
    TimePoint startedAt_;
    RecentMaximum instances_;
    std::deque<Slice> slices_;
    RetryCounts counts_;
};

} // namespace almondridge::gateway
