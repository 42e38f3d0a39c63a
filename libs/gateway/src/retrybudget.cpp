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
/** Fraction that new processes spend, beside the ones before them. */
constexpr double NewProcessShare = 0.15;

} // namespace

RetryBudget::RetryBudget(const RetryBudgetLimits &limits, TimePoint startedAt)
    : limits_(limits)
    , startedAt_(startedAt)
{ }

void RetryBudget::setInstances(int count)
{
    instances_ = std::max(1, count);
}

RetryBudget::Slice &RetryBudget::current(TimePoint now)
{
    const Duration length = window() / SlicesPerWindow;
    while (!slices_.empty() && slices_.front().end_ + window() <= now) {
        slices_.pop_front();
    }
    if (slices_.empty() || slices_.back().end_ <= now) {
        slices_.push_back({now + length, 0, 0});
    }
    return slices_.back();
}

void RetryBudget::onRequest(TimePoint now)
{
    current(now).earned_ += (isNew(now) ? NewProcessShare : UsedShare) * limits_.ratio_;
    ++counts_.requests_;
}

/** A new process earns its part with time, so that a series of them earns no more than one. */
double RetryBudget::partOfConstant(TimePoint now) const
{
    const double part = limits_.slack_ / instances_;
    return isNew(now) ? NewProcessShare * part * toSeconds(now - startedAt_) / toSeconds(window())
                      : UsedShare * part;
}

double RetryBudget::left(TimePoint now)
{
    current(now);
    double left = partOfConstant(now);
    for (const Slice &slice : slices_) {
        left += slice.earned_ - slice.retries_;
    }
    return left;
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
