#include "appendqueue.h"

#include <algorithm>

namespace almondridge::control {

AppendQueue::AppendQueue(std::size_t maxRecords, std::size_t maxBytes)
    : maxRecords_(maxRecords)
    , maxBytes_(maxBytes)
{ }

void AppendQueue::add(AppendId id, QueuedAppend record)
{
    entries_[id].record_ = std::move(record);
}

AppendGroup AppendQueue::take(TimePoint now)
{
    AppendGroup group;
    std::size_t bytes = 0;
    for (auto &[id, entry] : entries_) {
        const QueuedAppend &record = entry.record_;
        if (entry.stage_ != Stage::Waiting || entry.sendAt_ > now || record.deadline_ <= now) {
            continue;
        }
        const bool full = group.ids_.size() >= maxRecords_
                          || bytes + record.body_.size() > maxBytes_ || record.alone_;
        if (full && !group.ids_.empty()) {
            break;
        }
        entry.stage_ = Stage::InFlight;
        group.ids_.push_back(id);
        group.bodies_.push_back(record.body_);
        bytes += record.body_.size();
        if (record.alone_) {
            break;
        }
    }
    return group;
}

TimePoint AppendQueue::nextSend() const noexcept
{
    TimePoint next = TimePoint::max();
    for (const auto &[id, entry] : entries_) {
        if (entry.stage_ == Stage::Waiting) {
            next = std::min(next, entry.sendAt_);
        }
    }
    return next;
}

void AppendQueue::onAppended(const AppendGroup &group, LogOffset first)
{
    LogOffset offset = first;
    for (const AppendId id : group.ids_) {
        // The follower may have folded the record before the acknowledgement arrived.
        if (const auto found = entries_.find(id); found != entries_.end()) {
            found->second.stage_ = Stage::Appended;
            found->second.offset_ = offset;
        }
        ++offset;
    }
}

std::vector<CompletedAppend> AppendQueue::onRefused(const AppendGroup &group, const Error &error)
{
    std::vector<CompletedAppend> answered;
    for (const AppendId id : group.ids_) {
        const auto found = entries_.find(id);
        if (found == entries_.end()) {
            continue;
        }
        Entry &entry = found->second;
        entry.stage_ = Stage::Waiting;
        entry.lastError_ = error;
        if (entry.record_.outagePolicy_ == OutagePolicy::Fail) {
            answered.push_back(failedAppend(id, entry));
            entries_.erase(found);
        }
    }
    return answered;
}

void AppendQueue::onUncertain(const AppendGroup &group, const Error &error, TimePoint resendAt)
{
    for (const AppendId id : group.ids_) {
        const auto found = entries_.find(id);
        if (found == entries_.end()) {
            continue;
        }
        Entry &entry = found->second;
        entry.stage_ = Stage::Waiting;
        entry.sendAt_ = resendAt;
        entry.mayBeAppended_ = true;
        entry.lastError_ = error;
        // Retry alone, so that a record that breaks the append call does not fail others too.
        entry.record_.alone_ = entry.record_.alone_ || error.kind_ == ErrorKind::Protocol;
    }
}

std::vector<CompletedAppend> AppendQueue::onFolded(AppendId id, const FoldStep &step)
{
    if (entries_.erase(id) == 0) {
        return {};
    }
    return {{id, AppendVerdict {step.offset_, step.verdict_, step.reason_}}};
}

std::vector<CompletedAppend> AppendQueue::onRecordsSkipped(LogOffset next)
{
    return failWhere([&](const Entry &entry) {
        return entry.mayBeAppended_ || entry.stage_ == Stage::InFlight
               || (entry.stage_ == Stage::Appended && entry.offset_ < next);
    });
}

std::vector<CompletedAppend> AppendQueue::expire(TimePoint now)
{
    return failWhere([&](const Entry &entry) { return entry.record_.deadline_ <= now; });
}

std::vector<CompletedAppend> AppendQueue::close()
{
    return failWhere([](const Entry &) { return true; });
}

bool AppendQueue::awaitsFold() const noexcept
{
    return std::any_of(entries_.begin(), entries_.end(), [](const auto &item) {
        return item.second.mayBeAppended_ || item.second.stage_ != Stage::Waiting;
    });
}

template <typename Condition>
std::vector<CompletedAppend> AppendQueue::failWhere(Condition &&condition)
{
    std::vector<CompletedAppend> answered;
    for (auto at = entries_.begin(); at != entries_.end();) {
        if (!condition(at->second)) {
            ++at;
            continue;
        }
        answered.push_back(failedAppend(at->first, at->second));
        at = entries_.erase(at);
    }
    return answered;
}

CompletedAppend AppendQueue::failedAppend(AppendId id, const Entry &entry)
{
    if (entry.mayBeAppended_ || entry.stage_ != Stage::Waiting) {
        return {id, Error {ErrorKind::Interrupted,
                           "the record may be in the log; its verdict is not known: "
                               + entry.lastError_.message_,
                           "read the state before writing again",
                           {}}};
    }
    return {id, Error {ErrorKind::Unavailable,
                       "the record is not in the log: " + entry.lastError_.message_,
                       entry.lastError_.remedy_,
                       {}}};
}

} // namespace almondridge::control
