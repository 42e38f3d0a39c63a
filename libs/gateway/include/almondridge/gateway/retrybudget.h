/**
 * How many second sends this instance may make. All instances share one allowance for each
 * service without talking: each one spends a ratio of its own requests and its part of the
 * constant. Pure: the time is passed in.
 */
#pragma once

#include "almondridge/base/time.h"

#include <deque>

namespace almondridge::gateway {

struct RetryBudgetLimits
{
    double ratio_ = 0.2; ///< Second sends for each request.
    double slack_ = 10;  ///< Of all instances together, in each window.
    std::int64_t windowMillis_ = 10'000;
};

class RetryBudget
{
public:
    explicit RetryBudget(const RetryBudgetLimits &limits);

    /** The most instances that there may be; the constant is divided by it. */
    void setInstances(int count);
    void onRequest(TimePoint now);
    /** Takes one second send, if one is left in the window that ends now. */
    bool take(TimePoint now);
    double left(TimePoint now);

private:
    struct Slice
    {
        TimePoint end_;
        double requests_ = 0;
        double sends_ = 0;
    };

    Slice &current(TimePoint now);

    RetryBudgetLimits limits_;
    int instances_ = 1;
    std::deque<Slice> slices_;
};

} // namespace almondridge::gateway
