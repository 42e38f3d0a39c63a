/**
 * The reader thread: reads the log, or asks peers when the log is unavailable or trimmed. Private
 * to the library.
 */
#pragma once

#include "logappender.h"
#include "logfollower.h"

namespace almondridge::control {

class LogReader
{
public:
    struct Options
    {
        std::int64_t waitMillis_ = 0;
        std::int64_t pauseMillis_ = 0;
        std::uint64_t seed_ = 0;
    };
    using ReachabilityListener = std::function<void(bool)>;

    /** source is optional (null). */
    LogReader(store::LogService &service, RecordSource *source, FoldStore &store,
              LogFollower &follower, LogAppender &appender, const Options &options,
              ReachabilityListener reached);
    ~LogReader();
    LogReader(const LogReader &) = delete;
    LogReader &operator=(const LogReader &) = delete;

    void start();
    void stop();

    /** Whether the log has lost records that are folded here, as of the last check. */
    bool logLostRecords() const noexcept { return logLostRecords_; }
    /** Call when an append finds that the log has lost records. */
    void onLogLostRecords();

private:
    void run();
    void readOnce();
    static bool continues(const store::LogPage &page, LogOffset next,
                          const std::optional<store::LogRecord> &last);
    void onLostRecords(const store::LogPage &page, LogOffset next);
    void onFailure(const Error &error);
    bool readFromPeers();
    void readFromOldest();
    void pause(TimePoint until);
    double random() { return std::uniform_real_distribution<>()(random_); }

    store::LogService &service_;
    RecordSource *const source_;
    FoldStore &store_;
    LogFollower &follower_;
    LogAppender &appender_;
    const Duration wait_;
    const Duration pause_;
    const ReachabilityListener onReachability_;
    Backoff backoff_;
    std::mt19937_64 random_;
    std::atomic<bool> logLostRecords_ = false;
    std::atomic<bool> mustCompare_ =
        false;                      ///< Whether the next read has to check for lost records.
    LogOffset trimmedLoggedAt_ = 0; ///< Offset for which control.log-trimmed was last logged.

    std::mutex mutex_;
    std::condition_variable changed_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace almondridge::control
