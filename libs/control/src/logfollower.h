/**
 * The follower thread: folds the records received from the log reader and from peers, and calls
 * the listeners. Private to the library.
 */
#pragma once

#include "foldstore.h"
#include "snapshotschedule.h"

#include <atomic>
#include <random>
#include <thread>

namespace almondridge::control {

/** Consecutive records from one source. */
struct RecordBatch
{
    std::vector<store::LogRecord> records_;
    LogOffset firstRetained_ = 0; ///< The oldest offset retained by the log; 0 from peers.
    LogOffset end_ = 0;           ///< The source's next offset; 0 when unknown.
};

class LogFollower
{
public:
    struct Options
    {
        std::int64_t snapshotRecords_ = 0;
        std::int64_t snapshotWindowMillis_ = 0;
        std::uint64_t seed_ = 0;
    };

    LogFollower(FoldStore &store, const Options &options);
    ~LogFollower();
    LogFollower(const LogFollower &) = delete;
    LogFollower &operator=(const LogFollower &) = delete;

    /** Adds a listener, only before start(). Listeners are called in the order added. */
    void listen(FoldListener listener);
    /** Sets the function that writes a snapshot when one is due. Only before start(). */
    void onSnapshotDue(std::function<void(SnapshotRecord)> write);
    void start();
    void stop();

    /** Queues a batch without waiting. Dropped when the queue is full. */
    void offer(RecordBatch batch);
    /** Queues a batch and waits until it is folded or stop() is called. */
    void foldNow(RecordBatch batch);

    /** Whether the log or a peer was once folded to its end. */
    bool caughtUp() const noexcept { return caughtUp_; }

private:
    void run();
    void foldBatch(const RecordBatch &batch);
    void noteStep(const FoldStep &step);
    void writeSnapshotIfDue();
    double random() { return std::uniform_real_distribution<>()(random_); }

    FoldStore &store_;
    std::vector<FoldListener> listeners_;
    std::function<void(SnapshotRecord)> writeSnapshot_;
    SnapshotSchedule schedule_; ///< Used by the follower's thread only, like random_.
    std::mt19937_64 random_;
    std::atomic<bool> caughtUp_ = false;

    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<RecordBatch> inbox_;
    std::uint64_t batchesQueued_ = 0;
    std::uint64_t batchesFolded_ = 0;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace almondridge::control
