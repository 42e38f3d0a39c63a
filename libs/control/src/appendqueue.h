/**
 * The queue of records to append: selects the records of the next append and tracks each record
 * until its result is known. Time is passed in. Private to the library.
 */
#pragma once

#include "almondridge/control/controllog.h"

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace almondridge::control {

/** Identifies a record in the queue; its record id and its waiter are derived from it. */
using AppendId = std::uint64_t;

/** A record to be appended. */
struct QueuedAppend
{
    std::string body_;
    TimePoint deadline_ {}; ///< The record is not sent after this.
    OutagePolicy outagePolicy_ = OutagePolicy::Retry;
    bool alone_ = false; ///< Is appended in a batch of its own.
};

using AppendResult = std::variant<AppendVerdict, Error>;

/** A finished append: the id and its verdict or error. */
struct CompletedAppend
{
    AppendId id_ = 0;
    AppendResult answer_;
};

/** The records of one append call, in order. */
struct AppendGroup
{
    std::vector<AppendId> ids_;
    std::vector<std::string> bodies_;
};

class AppendQueue
{
public:
    /** Limits the records and bytes of a group; a group may always hold one record. */
    AppendQueue(std::size_t maxRecords, std::size_t maxBytes);

    void add(AppendId id, QueuedAppend record);

    /** Returns the next records to send, in the order in which they were added. */
    AppendGroup take(TimePoint now);
    /** When take() may return a group next; TimePoint::max() when no record waits. */
    TimePoint nextSend() const noexcept;

    /** The group was appended, starting at offset first. onFolded() then gives the verdicts. */
    void onAppended(const AppendGroup &group, LogOffset first);
    /** The group was not appended. Returns the records that fail instead of being retried. */
    std::vector<CompletedAppend> onRefused(const AppendGroup &group, const Error &error);
    /**
     * The group may have been appended, or may still be. Records that are not folded by resendAt
     * are sent again. That is safe because every record names the state it was written against,
     * so at most one of two copies is accepted.
     */
    void onUncertain(const AppendGroup &group, const Error &error, TimePoint resendAt);

    /** A record of this queue was folded. */
    std::vector<CompletedAppend> onFolded(AppendId id, const FoldStep &step);
    /** A snapshot moved the fold to next: the verdicts on the skipped records are unknown. */
    std::vector<CompletedAppend> onRecordsSkipped(LogOffset next);

    /** Fails the records whose deadline has passed. */
    std::vector<CompletedAppend> expire(TimePoint now);
    /** Fails all records; no more are sent. */
    std::vector<CompletedAppend> close();

    bool empty() const noexcept { return entries_.empty(); }
    /** Whether any record may have been appended and waits for its verdict. */
    bool awaitsFold() const noexcept;

private:
    enum class Stage {
        Waiting,  ///< Waits to be sent.
        InFlight, ///< Part of the current append call.
        Appended, ///< Acknowledged by the log; waits to be folded.
    };

    struct Entry
    {
        QueuedAppend record_;
        Stage stage_ = Stage::Waiting;
        TimePoint sendAt_ {};
        LogOffset offset_ = 0;
        bool mayBeAppended_ = false; ///< An earlier attempt may have taken effect.
        Error lastError_ {ErrorKind::Unavailable, "no append was sent in time", "try again", {}};
    };

    using Entries = std::map<AppendId, Entry>;

    static CompletedAppend failedAppend(AppendId id, const Entry &entry);
    template <typename Condition>
    std::vector<CompletedAppend> failWhere(Condition &&condition);

    const std::size_t maxRecords_;
    const std::size_t maxBytes_;
    Entries entries_; ///< In order of arrival, because ids increase.
};

} // namespace almondridge::control
