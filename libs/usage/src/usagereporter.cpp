#include "almondridge/usage/usagereporter.h"

#include <algorithm>

namespace almondridge::usage {
namespace {

/** Time after a window's end by which the counts of almost all instances have arrived. */
constexpr std::int64_t CompletionDelayMillis = 1'200;
constexpr std::int64_t InitialRetryMillis = 250;
constexpr std::int64_t MaxRetryMillis = 1'000;
constexpr int MaxDoublings = 4;

} // namespace

UsageReporter::UsageReporter(ReporterSettings settings)
    : settings_(settings)
{ }

void UsageReporter::setFence(std::optional<Fence> fence)
{
    if (fence == fence_) {
        return;
    }
    fence_ = fence;
    // Other instances may have reported in between.
    logRead_ = false;
    busy_ = false;
    failures_ = 0;
    retryAt_ = 0;
}

void UsageReporter::setKnownSince(std::int64_t unixMillis)
{
    knownSince_ = unixMillis;
}

/** The first window that began after knownSince_ and whose deadline hasn't passed. */
Window UsageReporter::firstReportable(std::int64_t nowMillis) const
{
    return std::max(windowAt(knownSince_, settings_.windowMillis_) + 1,
                    windowAt(nowMillis - settings_.reportDeadlineMillis_, settings_.windowMillis_));
}

std::vector<Window> UsageReporter::open(std::int64_t nowMillis) const
{
    std::vector<Window> windows;
    if (!fence_ || !logRead_) {
        return windows;
    }
    const Window current = windowAt(nowMillis - CompletionDelayMillis, settings_.windowMillis_);
    for (Window window = firstReportable(nowMillis); window < current; ++window) {
        if (!reports_.contains(window)) {
            windows.push_back(window);
        }
    }
    return windows;
}

void UsageReporter::dropExpired(std::int64_t nowMillis)
{
    const Window first = firstReportable(nowMillis);
    reports_.erase(reports_.begin(), reports_.lower_bound(first));
    sent_.erase(sent_.begin(), sent_.lower_bound(first));
    lost_.erase(lost_.begin(), lost_.lower_bound(first));
}

std::optional<ReportAction> UsageReporter::next(std::int64_t nowMillis)
{
    if (!fence_ || busy_ || nowMillis < retryAt_) {
        return std::nullopt;
    }
    dropExpired(nowMillis);
    busy_ = true;
    if (!logRead_) {
        return ReportAction {ReportStep::ReadLog, next_, 0, {}};
    }
    if (!lost_.empty()) {
        // Before it is sent: the next reporter finds it in the log.
        const Window window = *lost_.begin();
        return ReportAction {ReportStep::Restore, 0, window, reports_.at(window)};
    }
    for (const auto &[window, counts] : reports_) {
        if (!sent_.contains(window)) {
            return ReportAction {ReportStep::Send, 0, window, counts};
        }
    }
    const std::vector<Window> windows = open(nowMillis);
    if (!windows.empty()) {
        return ReportAction {ReportStep::Append, 0, windows.front(), {}};
    }
    busy_ = false;
    return std::nullopt;
}

void UsageReporter::onLogRead(const std::vector<ReportRecord> &records, LogOffset end, bool isLast,
                              std::int64_t nowMillis)
{
    busy_ = false;
    failures_ = 0;
    logRead_ = isLast;
    next_ = std::max(next_, end);
    for (const ReportRecord &record : records) {
        reports_.try_emplace(record.window_, record.counts_);
        lost_.erase(record.window_);
    }
    dropExpired(nowMillis);
}

void UsageReporter::onLogGap(LogOffset first)
{
    busy_ = false;
    logRead_ = false;
    next_ = first;
    for (const auto &[window, counts] : reports_) {
        lost_.insert(window);
    }
}

void UsageReporter::onAppended(Window window, const AccountCounts &counts, LogOffset offset)
{
    busy_ = false;
    failures_ = 0;
    if (offset != next_) {
        // Another reporter, or an earlier call of this one, appended before: its record of the same
        // window may come first.
        logRead_ = false;
        return;
    }
    ++next_;
    lost_.erase(window);
    reports_.try_emplace(window, counts);
}

void UsageReporter::onSent(Window window)
{
    busy_ = false;
    failures_ = 0;
    sent_.insert(window);
}

void UsageReporter::onFailed(ReportStep step, std::int64_t nowMillis)
{
    busy_ = false;
    // The record may have been appended nevertheless; reading the log finds it.
    logRead_ = logRead_ && step != ReportStep::Append && step != ReportStep::Restore;
    retryAt_ = nowMillis
               + std::min(InitialRetryMillis << std::min(failures_, MaxDoublings), MaxRetryMillis);
    ++failures_;
}

} // namespace almondridge::usage
