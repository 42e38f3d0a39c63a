#include "engine/streamtable.h"

#include <algorithm>

namespace almondridge::standins {

StreamId StreamTable::add(Stream stream)
{
    const StreamId id = nextId_++;
    byAttempt_[stream.attempt_] = id;
    streams_.emplace(id, std::move(stream));
    return id;
}

Stream *StreamTable::find(StreamId id)
{
    const auto found = streams_.find(id);
    return found == streams_.end() ? nullptr : &found->second;
}

std::optional<StreamId> StreamTable::findAttempt(const std::string &attempt) const
{
    const auto found = byAttempt_.find(attempt);
    if (found == byAttempt_.end()) {
        return std::nullopt;
    }
    return found->second;
}

void StreamTable::finish(StreamId id, StreamStatus status, TimePoint keepUntil)
{
    Stream *const stream = find(id);
    if (stream != nullptr) {
        stream->status_ = status;
        kept_.push_back({keepUntil, id});
    }
}

void StreamTable::addReader(StreamId id)
{
    Stream *const stream = find(id);
    if (stream != nullptr) {
        ++stream->readers_;
    }
}

void StreamTable::removeReader(StreamId id, TimePoint orphanedAt)
{
    Stream *const stream = find(id);
    if (stream != nullptr && --stream->readers_ == 0 && !isOver(stream->status_)) {
        stream->orphanedAt_ = orphanedAt;
        orphans_.push_back({orphanedAt, id});
    }
}

std::vector<StreamId> StreamTable::takeOrphans(TimePoint now)
{
    std::vector<StreamId> found;
    while (!orphans_.empty() && orphans_.front().due_ <= now) {
        const StreamId id = orphans_.front().id_;
        orphans_.pop_front();
        const Stream *const stream = find(id);
        // A reader may have come and gone since, which began the time anew.
        const bool orphaned =
            stream != nullptr && stream->readers_ == 0 && stream->orphanedAt_ <= now;
        if (orphaned && !isOver(stream->status_)) {
            found.push_back(id);
        }
    }
    return found;
}

void StreamTable::expire(TimePoint now)
{
    while (!kept_.empty() && kept_.front().due_ <= now) {
        const StreamId id = kept_.front().id_;
        kept_.pop_front();
        const auto found = streams_.find(id);
        if (found == streams_.end()) {
            continue;
        }
        const auto attempt = byAttempt_.find(found->second.attempt_);
        if (attempt != byAttempt_.end() && attempt->second == id) {
            byAttempt_.erase(attempt);
        }
        streams_.erase(found);
    }
}

std::vector<StreamId> StreamTable::unfinished() const
{
    std::vector<StreamId> ids;
    for (const auto &[id, stream] : streams_) {
        if (!isOver(stream.status_)) {
            ids.push_back(id);
        }
    }
    return ids;
}

int StreamTable::beingDelivered() const
{
    return static_cast<int>(std::count_if(streams_.begin(), streams_.end(), [](const auto &entry) {
        return entry.second.status_ == StreamStatus::Done && entry.second.readers_ > 0;
    }));
}

void StreamTable::clear()
{
    streams_.clear();
    byAttempt_.clear();
    kept_.clear();
    orphans_.clear();
}

} // namespace almondridge::standins
