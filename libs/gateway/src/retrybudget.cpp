#include "almondridge/gateway/retrybudget.h"

#include <algorithm>

namespace almondridge::gateway {
namespace {

/** The window slides by one slice at a time. */
constexpr int SlicesPerWindow = 20;
/**
 * Fraction of the budget that is spent. The rest covers requests that an observer counts in an
 * adjacent window, and retries that arrive later than they were sent.
 */
constexpr double UsedShare = 0.75;

} // namespace

RetryBudget::RetryBudget(const RetryBudgetLimits &limits)
    : limits_(limits)
{ }

void RetryBudget::setInstances(int count)
{
    instances_ = std::max(1, count);
}

RetryBudget::Slice &RetryBudget::current(TimePoint now)
{
    const Duration length = millis(limits_.windowMillis_ / SlicesPerWindow);
    while (!slices_.empty() && slices_.front().end_ + millis(limits_.windowMillis_) <= now) {
        slices_.pop_front();
    }
    if (slices_.empty() || slices_.back().end_ <= now) {
        slices_.push_back({now + length, 0, 0});
    }
    return slices_.back();
}

void RetryBudget::onRequest(TimePoint now)
{
    current(now).requests_ += 1;
    ++counts_.requests_;
}

double RetryBudget::left(TimePoint now)
{
    current(now);
    double requests = 0;
    double retries = 0;
    for (const Slice &slice : slices_) {
        requests += slice.requests_;
        retries += slice.retries_;
    }
    const double allowed = UsedShare * (limits_.ratio_ * requests + limits_.slack_ / instances_);
    return allowed - retries;
}

bool RetryBudget::take(TimePoint now)
{
    if (left(now) < 1) {
        ++counts_.denied_;
        return false;
    }
    current(now).retries_ += 1;
    ++counts_.retries_;
    return true;
}

} // namespace almondridge::gateway
