/**
 * What this instance knows of the store's keyed topics, whoever told it: the value of each key,
 * and the order in which values changed, so that a peer can be told just the changes. Pure.
 *
 * Peers know different parts of a topic's history. Each value carries the offset of its record in
 * the store's log, and only a later record replaces an earlier one, in whatever order they come.
 */
#pragma once

#include "almondridge/base/ids.h"
#include "almondridge/base/time.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace almondridge::replication {

enum class Topic { Config, Endpoints, Instances, Quarantine };

inline constexpr std::size_t TopicCount = 4;

/** A key that has a new value, or none any more. */
struct Change
{
    Topic topic_ = Topic::Config;
    std::string key_;
    std::string value_;    ///< Empty: the key is gone.
    LogOffset offset_ = 0; ///< Of the record that says so.
    /** Each record since the one known was read: the same value was never another in between. */
    bool isContiguous_ = false;
};

/** How far a topic is known. */
struct TopicState
{
    std::optional<TimePoint> readAt_; ///< When it was known to be as the store has it; none: never.
    LogOffset end_ = 0;               ///< All records before this offset are known.
    /**
     * All that the store had accepted by then is known. Counted from when a question left, never
     * from its answer, which may have been on its way, or in a process that was frozen, for long.
     */
    std::optional<TimePoint> asOf_ {};
};

using TopicStates = std::array<TopicState, TopicCount>;

/**
 * How old the configuration or the endpoints are, whichever is older; nullopt: one was never read.
 * These have bounds to meet; instances come and go slowly and are read rarely.
 */
std::optional<Duration> oldestReadAge(const TopicStates &topics, TimePoint now);

/** Where a peer has got to in what a board tells. */
struct Cursor
{
    std::uint64_t nextSequence_ = 0; ///< The number of the first change that it has not been told.
    std::uint64_t historyStart_ = 0; ///< The board's when it was told; another one: it is told everything.
    bool inSnapshot_ = false;   ///< It is being told everything, in parts.
};

/** Ends of topics up to which a peer knows all records; 0: nothing. */
using TopicEnds = std::array<LogOffset, TopicCount>;

/** Changes in their order, or a part of everything there is. */
struct ChangeSet
{
    bool isSnapshot_ = false; ///< Keys that are in none of the parts are gone.
    bool isFirstPart_ = false; ///< Of the parts of everything.
    bool more_ = false;  ///< Further parts follow; what is said of topics holds after the last one.
    std::uint64_t nextSequence_ = 0;
    std::uint64_t historyStart_ = 0;
    std::vector<Change> changes_;
    TopicStates topics_ {};

    Cursor cursor() const noexcept { return {nextSequence_, historyStart_, isSnapshot_ && more_}; }
};

class TopicReplica
{
public:
    using OnChange = std::function<void(const Change &)>;

    explicit TopicReplica(OnChange onChange);

    /** Takes a value over; nothing happens when it is the same as before, or an older one. */
    void put(const Change &change);
    /** Removes the keys of a topic that are not in keys, which are all there were at that end. */
    void retainOnly(Topic topic, const std::vector<std::string> &keys, LogOffset end);
    /**
     * Records before end were skipped, and may have listed and removed a key that was never seen
     * here. A peer that saw it listed would keep it for good with changes alone: it is told
     * everything, unless it knows all records before that end itself.
     */
    void onRecordsSkipped(Topic topic, LogOffset end);
    /** The topic is as the store had it at that time, when its log ended there. */
    void onRead(Topic topic, TimePoint readAt, LogOffset end);
    /** All that the store had accepted by then of the topic is known. */
    void onCompleteAsOf(Topic topic, TimePoint asOf);
    std::optional<TimePoint> readAt(Topic topic) const;
    const TopicStates &topics() const noexcept { return topics_; }

    /** What changed from number `from` on; everything when that is not known any more. */
    ChangeSet since(std::uint64_t from) const;
    /** What follows a position, `most` changes at most: further changes, or everything in parts. */
    ChangeSet after(const Cursor &cursor, std::size_t most) const;
    /**
     * For a peer that was told by others: what it lacks if it knows all records before those ends.
     * nullopt: that cannot be told, or is more than `most` changes.
     */
    std::optional<ChangeSet> changesBeyond(const TopicEnds &ends, std::size_t most) const;
    /** Whether a peer at that position has been told all. */
    bool isAtEnd(const Cursor &cursor) const noexcept
    {
        return cursor.nextSequence_ == nextSequence_ && cursor.historyStart_ == historyStart_ && !cursor.inSnapshot_;
    }
    TopicEnds ends() const;
    /** All records of the topic before it are known; 0: none are. */
    LogOffset end(Topic topic) const { return topics_[static_cast<std::size_t>(topic)].end_; }
    std::uint64_t next() const noexcept { return nextSequence_; }
    /** Takes a peer's changes over. */
    void apply(const ChangeSet &set);
    bool has(Topic topic, const std::string &key) const;
    std::vector<std::string> keys(Topic topic) const;

private:
    struct Entry
    {
        std::string value_;
        std::uint64_t sequence_ = 0;
        LogOffset offset_ = 0;      ///< Of the newest record with this value.
        LogOffset valueSince_ = 0; ///< It has had the value since this one, or longer.
        bool arrivedOutOfOrder_ = false;       ///< Told after later records: a peer's end says nothing of it.
    };
    using Key = std::pair<Topic, std::string>;
    using Entries = std::map<Key, Entry>;

    bool isSuperseded(const Change &change) const;
    void assignSequence(Entries::iterator entry);
    void discardTombstones();
    ChangeSet emptySet() const;
    void applySnapshotKeys(const ChangeSet &set);

    OnChange onChange_;
    Entries entries_; ///< With an empty value: removed, kept for peers.
    std::map<std::uint64_t, Entries::const_iterator> bySequence_;
    /** Keys of the parts that were taken, while a peer tells everything. */
    std::optional<std::array<std::vector<std::string>, TopicCount>> snapshotKeys_;
    TopicEnds removalsUnknownBefore_ {}; ///< Removals before these offsets may not be known.
    TopicStates topics_ {};
    std::uint64_t nextSequence_ = 1;
    std::uint64_t historyStart_ = 1; ///< All that changed from here on is known.
    std::size_t tombstones_ = 0;
};

} // namespace almondridge::replication
