/**
 * Thread-safe access to the fold and the latest raw records. One thread folds, any thread may
 * read. Private to the library.
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
     * Folds the next record, or a snapshot that covers it. A record with offset 0 is a snapshot
     * from a peer. Returns nullopt when the record changes nothing.
     */
    std::optional<FoldStep> fold(const store::LogRecord &record);

    LogOffset next() const;
    bool hasState() const { return next() > 1; }
    /** The raw record before next(); nullopt when it is not held, as after a restored snapshot. */
    std::optional<store::LogRecord> lastRecord() const;
    /** The whole state as a snapshot record. */
    SnapshotRecord snapshot() const;
    std::vector<store::LogRecord> recordsFrom(LogOffset from, std::size_t limit) const;

    AcceptedFleet fleet() const;
    std::shared_ptr<const fleet::Fleet> fleetInForce() const;
    Revision revision() const;
    bool waitForRevision(Revision revision, TimePoint deadline) const;
    /** Waits until all offsets before next are folded. False at deadline. */
    bool waitForNext(LogOffset next, TimePoint deadline) const;

    /** Locks the fold until the returned object is destroyed; needed for unlockedFold(). */
    std::shared_ptr<const void> lock() const;
    const Fold &unlockedFold() const noexcept { return fold_; }

private:
    std::optional<FoldStep> foldLocked(const store::LogRecord &record);
    std::optional<FoldStep> restoreLocked(const store::LogRecord &record);
    void publish();

    mutable std::mutex foldMutex_;
    Fold fold_;
    RecordTail tail_;
    mutable store::LogRecord snapshot_; ///< The newest snapshot made for peers; its offset is 0.
    mutable LogOffset snapshotThrough_ = 0;

    mutable std::mutex fleetMutex_;
    mutable std::condition_variable changed_;
    AcceptedFleet fleet_; ///< Written by the folding thread only.
    LogOffset published_ = 1;
};

} // namespace almondridge::control
