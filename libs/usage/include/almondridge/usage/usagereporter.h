/**
 * Reports the usage of each window once. Does no I/O: the answers of the store and
 * of the billing API and the time are passed in, steps are returned.
 *
 * The reporter may change, and a call that got no answer may still be executed later. Even so a
 * window is never reported with two different sets of counts: a report is appended to a log before
 * it is sent, and every reporter sends the first record of the window in that log.
 */
#pragma once

#include "almondridge/base/enumnames.h"
#include "almondridge/base/time.h"
#include "almondridge/usage/window.h"

#include <array>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace almondridge::usage {

struct ReporterSettings
{
    std::int64_t windowMillis_ = 5'000;
    std::int64_t reportDeadlineMillis_ =
        10'000; ///< After a window's end; later reports aren't sent.
};

enum class ReportStep {
    ReadLog, ///< Read the log from from_ to its end.
    Append,  ///< Append the report of window_ to the log, if its counts are complete.
    Restore, ///< Append counts_ as the report of window_ again, which the log has lost.
    Send,    ///< Send counts_ as the report of window_.
};

struct ReportAction
{
    ReportStep step_ = ReportStep::ReadLog;
    LogOffset from_ = 0; ///< For ReadLog.
    Window window_ = 0;
    AccountCounts counts_ {}; ///< For Send and Restore.
};

/** A record in the log of reports. */
struct ReportRecord
{
    Window window_ = 0;
    AccountCounts counts_;
    LogOffset offset_ = 0;
};

class UsageReporter
{
public:
    explicit UsageReporter(ReporterSettings settings);

    /** Sets the fencing token of this instance's lease for reporting; nullopt: it has no lease. */
    void setFence(std::optional<Fence> fence);
    /** Sets since when counts are known: earlier ones may be lost with their instances. */
    void setKnownSince(std::int64_t unixMillis);
    /** The next step, if any; at most one is in progress. All times are Unix milliseconds. */
    std::optional<ReportAction> next(std::int64_t nowMillis);
    /** Windows whose counts should be complete by now and that aren't in the log, oldest first. */
    std::vector<Window> open(std::int64_t nowMillis) const;

    /** isLast: the log ended at `end`. */
    void onLogRead(const std::vector<ReportRecord> &records, LogOffset end, bool isLast,
                   std::int64_t nowMillis);
    /**
     * The log doesn't have the record to read next: records were deleted, or the log came back from
     * an older copy. It goes on at offset `first`.
     */
    void onLogGap(LogOffset first);
    /** The report of the window was appended at that offset. */
    void onAppended(Window window, const AccountCounts &counts, LogOffset offset);
    /** The report was accepted. */
    void onSent(Window window);
    /** The step got no answer, or an error that a retry may resolve. */
    void onFailed(ReportStep step, std::int64_t nowMillis);
    /** The counts of the window aren't complete yet: it is tried again with the next call. */
    void onCountsIncomplete() { busy_ = false; }
    /** Consecutive failed steps. */
    int failures() const noexcept { return failures_; }

private:
    Window firstReportable(std::int64_t nowMillis) const;
    void dropExpired(std::int64_t nowMillis);

    ReporterSettings settings_;
    std::optional<Fence> fence_;
    bool logRead_ = false; ///< Read to its end since the lease was gained.
    bool busy_ = false;
    LogOffset next_ = 0; ///< All records below this offset are known.
    std::int64_t knownSince_ = 0;
    std::map<Window, AccountCounts> reports_; ///< First record of each window in the log.
    std::set<Window> sent_;
    std::set<Window> lost_; ///< Reports that weren't found in the log since its last gap.
    int failures_ = 0;      ///< Consecutive.
    std::int64_t retryAt_ = 0;
};

} // namespace almondridge::usage
