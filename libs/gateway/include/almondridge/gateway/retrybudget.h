/**
 * Retry budget of one service at this instance. All instances keep to a common budget without
 * coordination: each one may retry a fraction of its own requests, plus its share of a constant.
 * No I/O and no clock.
 */
#pragma once

#include "almondridge/base/time.h"

#include <deque>

namespace almondridge::gateway {

struct RetryBudgetLimits
{
    double ratio_ = 0.2; ///< Retries per request.
    double slack_ = 10;  ///< Additional retries per window, of all instances together.
    std::int64_t windowMillis_ = 10'000; ///< Length of the sliding window.
};

class RetryBudget
{
public:
    explicit RetryBudget(const RetryBudgetLimits &limits);

    /** Upper bound of the number of instances; the constant is divided by it. */
    void setInstances(int count);
    void onRequest(TimePoint now);
    /** Spends one retry; false if none is left in the window that ends now. */
    bool take(TimePoint now);
    /** Retries that are left in the window that ends now. */
    double left(TimePoint now);

private:
    struct Slice
    {
        TimePoint end_;
        double requests_ = 0;
        double retries_ = 0;
    };

    Slice &current(TimePoint now);

    RetryBudgetLimits limits_;
    int instances_ = 1;
    std::deque<Slice> slices_;
};

} // namespace almondridge::gateway
