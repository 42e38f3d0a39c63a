/**
 * The folded state with the latest records, under locks of their own. One thread folds, any
 * thread reads. Private to the library.
 */
#pragma once

#include "almondridge/control/controllog.h"
#include "recordtail.h"

#include <condition_variable>
#include <mutex>
#include <optional>

namespace almondridge::control {

class FoldStore
{
public:
    explicit FoldStore(std::int64_t keyHorizonMillis);

    /**
     * Folds a record that comes next, or a snapshot that leaps ahead; a record of offset 0 is a
     * peer's snapshot. Nothing when it changes nothing here.
     */
    std::optional<FoldStep> fold(const store::LogRecord &record);

    LogOffset next() const;
    bool knowsAnything() const { return next() > 1; }
    /** The record before next(), if it was folded from one. */
    std::optional<store::LogRecord> lastRecord() const;
    /** The whole state as a record. */
    SnapshotRecord snapshot() const;
    std::vector<store::LogRecord> recordsFrom(LogOffset from, std::size_t limit) const;

    AcceptedFleet fleet() const;
    std::shared_ptr<const fleet::Fleet> fleetInForce() const;
    Revision revision() const;
    bool waitForRevision(Revision revision, TimePoint deadline) const;
    /** Waits until everything before next is folded. False at deadline. */
    bool waitForNext(LogOffset next, TimePoint deadline) const;

    /** The fold's lock, and the fold for whoever holds it. */
    std::shared_ptr<const void> lock() const;
    const Fold &unlockedFold() const noexcept { return fold_; }

private:
    std::optional<FoldStep> foldLocked(const store::LogRecord &record);
    std::optional<FoldStep> restoreLocked(const store::LogRecord &record);
    void publish();

    mutable std::mutex foldMutex_;
    Fold fold_;
    RecordTail tail_;
    mutable store::LogRecord snapshot_; ///< The newest snapshot for peers, as of offset 0.
    mutable LogOffset snapshotThrough_ = 0;

    mutable std::mutex fleetMutex_;
    mutable std::condition_variable changed_;
    AcceptedFleet fleet_; ///< Written by the folding thread alone.
    LogOffset published_ = 1;
};

} // namespace almondridge::control
