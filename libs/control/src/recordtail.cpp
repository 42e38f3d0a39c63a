#include "recordtail.h"

namespace almondridge::control {

RecordTail::RecordTail(std::size_t maxRecords, std::size_t maxBytes)
    : maxRecords_(maxRecords)
    , maxBytes_(maxBytes)
{ }

void RecordTail::push(const store::LogRecord &record)
{
    records_.push_back(record);
    bytes_ += record.body_.size();
    ++next_;
    while (records_.size() > maxRecords_ || (bytes_ > maxBytes_ && !records_.empty())) {
        bytes_ -= records_.front().body_.size();
        records_.pop_front();
    }
}

void RecordTail::restart(LogOffset next)
{
    records_.clear();
    bytes_ = 0;
    next_ = next;
}

void RecordTail::copyTo(std::vector<store::LogRecord> &records, LogOffset from,
                        std::size_t limit) const
{
    for (LogOffset at = from; at < next_ && limit > 0; ++at, --limit) {
        records.push_back(records_[at - first()]);
    }
}

} // namespace almondridge::control
