/**
 * Keeps a fold up to date with the log. Reads the log and folds it on threads of its own, batches
 * appends within the instance's rate limit, and provides the current state. Reads from peers when
 * the log is unavailable or trimmed.
 */
#pragma once

#include "almondridge/base/time.h"
#include "almondridge/control/fold.h"
#include "almondridge/observe/timeline.h"

#include <functional>
#include <memory>
#include <optional>

namespace almondridge::control {

/** A source of records for when the log is unavailable; the app implements it over peers. */
class RecordSource
{
public:
    virtual ~RecordSource() = default;
    /** Records starting at offset from, or a snapshot and the records after it; may be empty. */
    virtual std::vector<store::LogRecord> recordsFrom(LogOffset from) = 0;
};

/** What an append does while the log is unavailable. */
enum class OutagePolicy {
    Retry, ///< Retries until its deadline.
    Fail,  ///< Fails as soon as the log refuses it.
};

/** The verdict on an appended record, known once the record was read back and folded. */
struct AppendVerdict
{
    LogOffset offset_ = 0;
    Verdict verdict_ = Verdict::Rejected;
    std::string reason_;
};

/**
 * Called on the follower's thread after each folded record, without locks held and before the
 * append() that waits for the record returns. A step with skippedRecords_ set stands for any number
 * of records that were not read. Must not call append().
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
    /** Ends the threads. Pending appends fail: Unavailable if never sent, otherwise Interrupted. */
    void stop();

    /**
     * Appends a record with the next batch and waits until it is folded. Errors: Unavailable, the
     * record was not appended, for example because this instance does not know the log's state;
     * Interrupted, it is not known by deadline whether the record was appended.
     */
    Result<AppendVerdict> append(const Record &record, TimePoint deadline,
                                 OutagePolicy outagePolicy = OutagePolicy::Retry);
    /** Like append(), but does not wait; retries until deadline and discards the verdict. */
    void post(const Record &record, TimePoint deadline);
    /** Waits until no appended or posted record is pending. False at deadline. */
    bool flush(TimePoint deadline) const;

    /**
     * Whether the log or a peer was once read to its end. The state of an empty log is known; that
     * of a trimmed log without a snapshot is not.
     */
    bool caughtUp() const noexcept;
    /** Waits until all records now in the log are folded. Unavailable when it cannot be read. */
    Result<void> catchUp(TimePoint deadline);

    /** Runs reader on the fold while holding its lock, so reader has to be short. */
    template <typename Reader>
    auto read(Reader &&reader) const
    {
        std::shared_ptr<const void> guard = lockFold();
        return reader(fold());
    }

    /** The current fleet configuration and its text. */
    AcceptedFleet fleet() const;
    /** The current fleet, or null. Cheap: copies a shared pointer. */
    std::shared_ptr<const fleet::Fleet> fleetInForce() const;
    /** Waits until the current revision is at least revision. False at deadline. */
    bool waitForRevision(Revision revision, TimePoint deadline) const;

    /**
     * Records for peers, starting at offset from. When this instance no longer holds that offset,
     * a snapshot, as a record with offset 0, and the records after it.
     */
    std::vector<store::LogRecord> recordsFrom(LogOffset from, std::size_t limit) const;
    /** Passes on records received from a peer; the follower folds those that come next. */
    void offer(std::vector<store::LogRecord> records);

    /** Whether the last read or append of the log succeeded. */
    bool logReachable() const noexcept;
    /** Number of append calls so far; one call may append several records. */
    std::uint64_t appends() const noexcept;
    /** Adds a listener. Only before start(). */
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
    /** The window, in ms, over which instances spread their snapshots so that few collide. */
    Builder &snapshotWindow(std::int64_t millis);
    /** How long one read waits at the log's end, in ms; also bounds the duration of stop(). */
    Builder &readWait(std::int64_t millis);
    /** Minimum ms between two reads while no append of this instance waits for its verdict. */
    Builder &readPause(std::int64_t millis);
    /** Seeds the jitter; the default seed is from the system's random device. */
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
