/**
 * The thread that folds: takes records from the log's reader and from peers, folds those that
 * come next, and tells listeners. Private to the library.
 */
#pragma once

#include "foldstore.h"
#include "snapshotschedule.h"

#include <atomic>
#include <random>
#include <thread>

namespace almondridge::control {

/** Records in a row from one source. */
struct RecordBatch
{
    std::vector<store::LogRecord> records_;
    LogOffset kept_ = 0; ///< The oldest offset that the log keeps; 0 from peers.
    LogOffset end_ = 0;  ///< The source's next offset; 0 when it did not say.
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

    /** Before start() only; called in the order added. */
    void listen(FoldListener listener);
    /** Called when a snapshot shall be written. Before start() only. */
    void onSnapshotDue(std::function<void(SnapshotRecord)> write);
    void start();
    void stop();

    /** Hands a batch in and returns at once. Dropped when too many wait. */
    void offer(RecordBatch batch);
    /** Hands a batch in and waits until it is folded, or stop(). */
    void foldNow(RecordBatch batch);

    /** Whether a source was once folded to its end. */
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
    SnapshotSchedule schedule_; ///< Follower's thread only, as random_.
    std::mt19937_64 random_;
    std::atomic<bool> caughtUp_ = false;

    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<RecordBatch> inbox_;
    std::uint64_t handedIn_ = 0;
    std::uint64_t folded_ = 0;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace almondridge::control
