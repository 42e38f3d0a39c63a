/**
 * Decides when this instance writes a snapshot. Time and random numbers are passed in. Private
 * to the library.
 */
#pragma once

#include "almondridge/base/ids.h"
#include "almondridge/base/time.h"

#include <optional>

namespace almondridge::control {

/**
 * One snapshot is enough for all instances. Each instance draws a random delay; the others cancel
 * theirs when they fold the snapshot that was written first. Short delays are exponentially rare,
 * so few instances write at the same time whether there are 3 or 300.
 */
class SnapshotSchedule
{
public:
    SnapshotSchedule(std::int64_t everyRecords, std::int64_t windowMillis);

    /** Counts a folded record; random is in [0, 1). */
    void onFolded(TimePoint now, double random);
    /** A snapshot was folded or restored; offset is its place in the log, 0 if it is not there. */
    void onSnapshot(LogOffset offset);
    /**
     * The log retains the offsets from first up to next. A snapshot is also scheduled when the
     * newest one lies in the older half of that range, so that a new one is written before the
     * log trims it.
     */
    void onRetainedRange(LogOffset first, LogOffset next, TimePoint now, double random);

    /** When to write; nullopt when no snapshot is due. */
    std::optional<TimePoint> dueAt() const noexcept { return dueAt_; }

private:
    void scheduleWrite(TimePoint now, double random);

    const std::int64_t everyRecords_;
    const Duration window_;
    std::int64_t foldedSince_ = 0;
    LogOffset newestSnapshot_ = 0;
    std::optional<TimePoint> dueAt_;
};

} // namespace almondridge::control
