/**
 * A bounded buffer of the latest raw log records that this instance folded, to serve peers that
 * cannot reach the log. Private to the library.
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
    /** Drops all records; next is the offset of the next record to be pushed. */
    void restart(LogOffset next);

    /** The oldest offset held; next() when the buffer is empty. */
    LogOffset first() const noexcept { return next_ - records_.size(); }
    LogOffset next() const noexcept { return next_; }
    /** Copies up to limit records, starting at offset from, which must be at least first(). */
    void copyTo(std::vector<store::LogRecord> &records, LogOffset from, std::size_t limit) const;

private:
    const std::size_t maxRecords_;
    const std::size_t maxBytes_;
    std::size_t bytes_ = 0;
    LogOffset next_ = 1;
    std::deque<store::LogRecord> records_;
};

} // namespace almondridge::control
