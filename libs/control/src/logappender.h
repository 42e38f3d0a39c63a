/**
 * The appender thread: batches records within the instance's rate limit and completes each append
 * with the verdict once the record was folded. Private to the library.
 */
#pragma once

#include "appendqueue.h"
#include "pacing.h"

#include <atomic>
#include <condition_variable>
#include <future>
#include <mutex>
#include <random>
#include <thread>

namespace almondridge::control {

class LogAppender
{
public:
    struct Options
    {
        std::int64_t appendsPerSecond_ = 0;
        std::uint64_t seed_ = 0;
        std::string idPrefix_; ///< Unique prefix of this process's record ids.
    };
    /** Called after each append call with whether the log was reached. */
    using ReachabilityListener = std::function<void(bool)>;
    /** Called when an append got an offset that was folded before: the log has lost records. */
    using LostRecordsListener = std::function<void()>;

    LogAppender(store::LogService &service, Options options, ReachabilityListener reached,
                LostRecordsListener lostRecords);
    ~LogAppender();
    LogAppender(const LogAppender &) = delete;
    LogAppender &operator=(const LogAppender &) = delete;

    void start();
    void stop();

    /** Queues a record and waits for its verdict or error. */
    AppendResult append(const Record &record, TimePoint deadline, OutagePolicy outagePolicy);
    /** Queues a record without waiting. */
    void post(const Record &record, TimePoint deadline, bool alone);
    bool flush(TimePoint deadline) const;

    /** Call for each folded step, after all other listeners. */
    void onFolded(const FoldStep &step);
    /** Call when a snapshot moved the fold to next. */
    void onRecordsSkipped(LogOffset next);
    /** Waits until a record of this instance is pending in the log. False at until. */
    bool waitForPendingAppend(TimePoint until) const;

    std::uint64_t appends() const noexcept { return appends_; }

private:
    using Waiters = std::map<AppendId, std::promise<AppendResult>>;

    void run();
    void sendGroup(std::unique_lock<std::mutex> &lock);
    void noteFailure(const AppendGroup &group, const Error &error);
    TimePoint nextWake() const;
    AppendId addLocked(const Record &record, QueuedAppend queued);
    void answerLocked(const std::vector<CompletedAppend> &answered);
    double random() { return std::uniform_real_distribution<>()(random_); }

    store::LogService &service_;
    const std::string idPrefix_;
    const ReachabilityListener onReachability_;
    const LostRecordsListener onLostRecords_;
    std::atomic<std::uint64_t> appends_ = 0;

    mutable std::mutex mutex_;
    mutable std::condition_variable changed_;
    AppendQueue queue_;
    Waiters waiters_;
    AppendId lastId_ = 0;
    AppendBudget budget_;
    Backoff backoff_;
    TimePoint retryAt_ {};
    LogOffset folded_ = 0; ///< All offsets before this one are folded.
    std::mt19937_64 random_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace almondridge::control
