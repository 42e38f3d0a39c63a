/**
 * Load reports that lag: readers see the load as it was some time ago. Pure: time is passed in.
 */
#pragma once

#include "almondridge/base/time.h"

#include <algorithm>
#include <deque>

namespace almondridge::standins {

/** Not thread-safe. Report: what is reported. */
template <typename Report>
class LoadHistory
{
public:
    /** The load is report from now on. Changes that follow each other closely become one. */
    void add(const Report &report, TimePoint now)
    {
        if (!entries_.empty() && now - entries_.back().since_ < Resolution) {
            entries_.back().report_ = report;
            return;
        }
        entries_.push_back({now, report});
    }

    /** The load at the given time. Forgets what is older. */
    Report at(TimePoint wanted)
    {
        while (entries_.size() > 1 && entries_[1].since_ <= wanted) {
            entries_.pop_front();
        }
        return entries_.empty() ? Report {} : entries_.front().report_;
    }

    /** Forgets what is older than the given time, so that an unread history stays small. */
    void forgetBefore(TimePoint oldest) { at(oldest); }

    void clear() { entries_.clear(); }

private:
    static constexpr Duration Resolution = std::chrono::milliseconds(2);

    struct Entry
    {
        TimePoint since_;
        Report report_;
    };

    std::deque<Entry> entries_;
};

} // namespace almondridge::standins
