#include "snapshotschedule.h"

#include <cmath>

namespace almondridge::control {
namespace {

/** Steepness of the delay distribution: with up to e^10 (about 20,000) instances few collide. */
constexpr double Steepness = 10.0;

/** A random fraction of the window: truncated exponential, densest at the window's end. */
double delayShare(double random)
{
    return std::log1p(random * std::expm1(Steepness)) / Steepness;
}

} // namespace

SnapshotSchedule::SnapshotSchedule(std::int64_t everyRecords, std::int64_t windowMillis)
    : everyRecords_(everyRecords)
    , window_(millis(windowMillis))
{ }

void SnapshotSchedule::onFolded(TimePoint now, double random)
{
    if (++foldedSince_ >= everyRecords_) {
        scheduleWrite(now, random);
    }
}

void SnapshotSchedule::onSnapshot(LogOffset offset)
{
    newestSnapshot_ = std::max(newestSnapshot_, offset);
    foldedSince_ = 0;
    dueAt_.reset();
}

void SnapshotSchedule::onRetainedRange(LogOffset first, LogOffset next, TimePoint now,
                                       double random)
{
    const bool trimmed = first > 1;
    const bool inOlderHalf = newestSnapshot_ < first + (next - first) / 2;
    if (trimmed && inOlderHalf && foldedSince_ > 0) {
        scheduleWrite(now, random);
    }
}

void SnapshotSchedule::scheduleWrite(TimePoint now, double random)
{
    if (!dueAt_) {
        dueAt_ = now + std::chrono::duration_cast<Duration>(window_ * delayShare(random));
    }
}

} // namespace almondridge::control
