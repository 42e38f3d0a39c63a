/**
 * The running side of the fold: follows the log on a thread of its own, groups appends within
 * the instance's budget, and tells what is in force. Falls back to peers when the log is out or
 * trimmed.
 */
#pragma once

#include "almondridge/base/time.h"
#include "almondridge/control/fold.h"
#include "almondridge/observe/timeline.h"

#include <functional>
#include <memory>
#include <optional>

namespace almondridge::control {

/** Where records come from when the log does not give them. Implemented over peers by the app. */
class RecordSource
{
public:
    virtual ~RecordSource() = default;
    /** Records from offset on, or a snapshot and what follows it; empty when no peer has more. */
    virtual std::vector<store::LogRecord> recordsFrom(LogOffset from) = 0;
};

/** What an append does while the log is out. */
enum class WhenOut {
    Retry, ///< Tries again until its deadline.
    Fail,  ///< Gives up as soon as the log refuses it.
};

/** The verdict on an appended record, once the log could be read past it. */
struct AppendVerdict
{
    LogOffset offset_ = 0;
    Verdict verdict_ = Verdict::Rejected;
    std::string reason_;
};

/**
 * Called on the follower's thread after each folded record, without locks held, and before an
 * append() of this instance that waits for the record returns. A step that jumped stands for
 * any number of records that were never seen one by one. Must not call append().
 */
using FoldListener = std::function<void(const FoldStep &)>;

class ControlLog
{
public:
    class Builder;

    ~ControlLog();
    ControlLog(const ControlLog &) = delete;
    ControlLog &operator=(const ControlLog &) = delete;

    void start();
    /** Ends the threads. Waiting appends fail: Unavailable when never sent, else Interrupted. */
    void stop();

    /**
     * Appends a record in the next group and waits until its verdict is folded, or deadline.
     * Unavailable: not appended, also while this instance does not know the log's state.
     * Interrupted: appended or not, not known by deadline.
     */
    Result<AppendVerdict> append(const Record &record, TimePoint deadline,
                                 WhenOut whenOut = WhenOut::Retry);
    /** As append() without waiting: tries until deadline, and nobody hears of the verdict. */
    void post(const Record &record, TimePoint deadline);
    /** Waits until no appended or posted record is under way. False at deadline. */
    bool flush(TimePoint deadline) const;

    /**
     * Whether the log, or the peers, were once read to their end. An empty log read to its end is
     * a known state; a trimmed log without a snapshot is not.
     */
    bool caughtUp() const noexcept;
    /** Waits until all that the log holds now is folded. Unavailable when it cannot be read. */
    Result<void> catchUp(TimePoint deadline);

    /** Runs reader on the fold under its lock. Keep it short. */
    template <typename Reader>
    auto read(Reader &&reader) const
    {
        std::shared_ptr<const void> guard = lockFold();
        return reader(fold());
    }

    /** The configuration in force with its text. */
    AcceptedFleet fleet() const;
    /** The fleet in force, or null; copies a shared pointer. */
    std::shared_ptr<const fleet::Fleet> fleetInForce() const;
    /** Waits until revision or a later one is in force. False at deadline. */
    bool waitForRevision(Revision revision, TimePoint deadline) const;

    /**
     * Records from offset on that this instance still holds, for peers; a snapshot, as a record
     * of offset 0, and what follows it when from is older than what is held.
     */
    std::vector<store::LogRecord> recordsFrom(LogOffset from, std::size_t limit) const;
    /** Hands in records that a peer announced. The follower folds those that come next. */
    void offer(std::vector<store::LogRecord> records);

    /** Whether the last read or append of the log succeeded. */
    bool logReachable() const noexcept;
    /** Appends made so far (groups, not records). */
    std::uint64_t appends() const noexcept;
    /** Adds a listener; before start() only. */
    void listen(FoldListener listener);

private:
    struct State;
    explicit ControlLog(std::unique_ptr<State> state) noexcept;
    std::shared_ptr<const void> lockFold() const;
    const Fold &fold() const;

    std::unique_ptr<State> state_;
};

class ControlLog::Builder
{
public:
    Builder &logService(store::LogService &service);
    Builder &recordSource(RecordSource &source);
    Builder &timeline(observe::Timeline &timeline);
    Builder &keyHorizon(std::int64_t millis);
    Builder &appendsPerSecond(std::int64_t count);
    Builder &snapshotEvery(std::int64_t records);
    /** Instances spread their snapshots over so many milliseconds, so that few write at once. */
    Builder &snapshotWindow(std::int64_t millis);
    /** How long one read waits at the log's end, and how long stop() may take. */
    Builder &readWait(std::int64_t millis);
    /** Least time between two reads while no append of this instance waits for its verdict. */
    Builder &readPause(std::int64_t millis);
    /** Seeds the jitter; without it, the system's random device does. */
    Builder &seed(std::uint64_t value);
    std::unique_ptr<ControlLog> build();

private:
    store::LogService *service_ = nullptr;
    RecordSource *source_ = nullptr;
    observe::Timeline *timeline_ = nullptr;
    std::int64_t keyHorizonMillis_ = 3'600'000;
    std::int64_t appendsPerSecond_ = 20;
    std::int64_t snapshotRecords_ = 2'000;
    std::int64_t snapshotWindowMillis_ = 20'000;
    std::int64_t readWaitMillis_ = 1'000;
    std::int64_t readPauseMillis_ = 100;
    std::optional<std::uint64_t> seed_;
};

} // namespace almondridge::control
