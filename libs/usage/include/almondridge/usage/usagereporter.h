/**
 * Reports the usage of each window once. Pure: what the store and the billing API answered and the
 * time go in, steps come out.
 *
 * Reporters change, and a call that got no answer may be carried out later. Two reports of a window
 * with different counts are impossible all the same: what is to be sent is appended to a log first,
 * and the first record of a window there is the one that every reporter sends.
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
    std::int64_t reportDeadlineMillis_ = 10'000; ///< After a window's end its report is of no use any more.
};

enum class ReportStep {
    ReadLog, ///< From an offset to the end.
    Append,  ///< The report of a window, if its counts are taken for final.
    Send,
};

struct ReportAction
{
    ReportStep step_ = ReportStep::ReadLog;
    LogOffset from_ = 0; ///< Where to read.
    Window window_ = 0;
    AccountCounts counts_ {}; ///< To send.
};

/** A record of the reports' log. */
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

    /** This instance has the right to report, with that fencing number; nullopt: it has not. */
    void setFence(std::optional<Fence> fence);
    /** Since when counts are known: earlier ones may have been lost with all that had them. */
    void setKnownSince(std::int64_t unixMillis);
    /** What to do now; at most one step is on its way. All times are since the Unix epoch. */
    std::optional<ReportAction> next(std::int64_t nowMillis);
    /** Windows whose counts should be whole by now and have not been reported, oldest first. */
    std::vector<Window> open(std::int64_t nowMillis) const;

    /** isLast: the log ended there. */
    void onLogRead(const std::vector<ReportRecord> &records, LogOffset end, bool isLast,
                   std::int64_t nowMillis);
    /** Appended at that offset. */
    void onAppended(Window window, const AccountCounts &counts, LogOffset offset);
    /** The report was accepted. */
    void onSent(Window window);
    /** The step got no answer, or a refusal that another try may mend. */
    void onFailed(ReportStep step, std::int64_t nowMillis);
    /** The counts of the window are not whole yet: it is looked at again. */
    void onCountsIncomplete() { busy_ = false; }
    int failures() const noexcept { return failures_; }

private:
    Window firstReportable(std::int64_t nowMillis) const;
    void dropExpired(std::int64_t nowMillis);

    ReporterSettings settings_;
    std::optional<Fence> fence_;
    bool logRead_ = false; ///< Read to its end since the right was gained.
    bool busy_ = false;
    LogOffset next_ = 0; ///< All records before it are known.
    std::int64_t knownSince_ = 0;
    std::map<Window, AccountCounts> reports_; ///< As the log has them.
    std::set<Window> sent_;
    int failures_ = 0; ///< In a row.
    std::int64_t retryAt_ = 0;
};

} // namespace almondridge::usage
