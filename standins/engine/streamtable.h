/**
 * The answers an engine produces and those it keeps for resuming. Pure: time is passed in.
 */
#pragma once

#include "almondridge/base/time.h"
#include "text.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace almondridge::standins {

using StreamId = std::uint64_t;

/** How an answer stands. */
enum class StreamStatus {
    Waiting, ///< Not started.
    Running,
    Done,
    NotRun,    ///< Taken out before it started: dropped, cancelled or cut.
    Cancelled, ///< By DELETE, or because nobody has read it for long.
    Cut,       ///< By a change of the engine.
    Dropped,   ///< Its deadline passed.
    Lost,      ///< The engine crashed.
};

constexpr bool isOver(StreamStatus status) noexcept
{
    return status != StreamStatus::Waiting && status != StreamStatus::Running;
}

/** In which shape an answer goes out. */
struct AnswerShape
{
    std::string model_;
    bool chat_ = false;
    bool streamed_ = false;
    bool includeUsage_ = false;
    std::int64_t createdSeconds_ = 0;
};

/** One answer. The words themselves follow from the prompt's hash. */
struct Stream
{
    std::string attempt_;
    AnswerShape shape_;
    TextHash prompt_;
    std::int64_t maxTokens_ = 0;
    std::int64_t produced_ = 0;
    std::int64_t cachedTokens_ = 0;
    StreamStatus status_ = StreamStatus::Waiting;
    bool exportsKv_ = false;
    std::string kvTicket_ {}; ///< Once its KV cache is exported.
    int readers_ = 0;
    TimePoint orphanedAt_ {}; ///< While there are no readers.
};

/** Not thread-safe. */
class StreamTable
{
public:
    StreamId add(Stream stream);
    /** The stream, or null. Valid until the next change of the table. */
    Stream *find(StreamId id);
    /** The latest stream of an attempt. */
    std::optional<StreamId> findAttempt(const std::string &attempt) const;

    /** The stream is over and can be resumed until keepUntil. */
    void finish(StreamId id, StreamStatus status, TimePoint keepUntil);
    void addReader(StreamId id);
    /** A running stream without readers until orphanedAt shows up in takeOrphans(). */
    void removeReader(StreamId id, TimePoint orphanedAt);

    /** Running streams that had no reader for long. */
    std::vector<StreamId> takeOrphans(TimePoint now);
    /** Forgets streams whose time is over. */
    void expire(TimePoint now);
    std::vector<StreamId> unfinished() const;
    /** Streams that are whole but still being read. */
    int beingDelivered() const;
    /** Forgets all streams; their ids stay used. */
    void clear();

private:
    struct Timer
    {
        TimePoint due_;
        StreamId id_;
    };

    std::unordered_map<StreamId, Stream> streams_;
    std::unordered_map<std::string, StreamId> byAttempt_;
    std::deque<Timer> kept_;
    std::deque<Timer> orphans_;
    StreamId nextId_ = 1;
};

} // namespace almondridge::standins
