/**
 * The latest raw records of the log as this instance folded them, for peers that are cut off
 * from it. Bounded. Private to the library.
 */
#pragma once

#include "almondridge/store/store.h"

#include <deque>

namespace almondridge::control {

class RecordTail
{
public:
    RecordTail(std::size_t maxRecords, std::size_t maxBytes);

    /** Adds the record after the last one. */
    void push(const store::LogRecord &record);
    /** Drops all; the next record to come has this offset. */
    void restart(LogOffset next);

    /** The oldest offset held, or the next one when none is. */
    LogOffset first() const noexcept { return next_ - records_.size(); }
    LogOffset next() const noexcept { return next_; }
    /** Appends up to limit records from offset from on, which must not lie before first(). */
    void copyTo(std::vector<store::LogRecord> &records, LogOffset from, std::size_t limit) const;

private:
    const std::size_t maxRecords_;
    const std::size_t maxBytes_;
    std::size_t bytes_ = 0;
    LogOffset next_ = 1;
    std::deque<store::LogRecord> records_;
};

} // namespace almondridge::control
