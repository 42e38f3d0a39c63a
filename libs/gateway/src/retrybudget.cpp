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
/**
 * After an outage of the store, entries of instances may all lapse at once, and take minutes to be
 * written again.
 */
constexpr Duration InstanceCountPeriod = millis(600'000);

} // namespace

RetryBudget::RetryBudget(const RetryBudgetLimits &limits, TimePoint startedAt)
    : limits_(limits)
    , startedAt_(startedAt)
    , instances_(InstanceCountPeriod)
{ }

void RetryBudget::setInstances(int count, TimePoint now)
{
    instances_.add(std::max(1, count), now);
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
    const auto instances = instances_.at(now);
    const double part = instances ? limits_.slack_ / *instances : 0;
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
