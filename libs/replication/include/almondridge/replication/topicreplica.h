/**
 * A local replica of the store's keyed topics: the value of each key, and a sequence number for
 * each change, so that a follower can be sent only what changed. Does no I/O and reads no clock.
 *
 * Changes may come from the store or from any peer, and in any order. Each value carries the offset
 * of its record in the store's log, and a record replaces only records with lower offsets. A store
 * that was restored from an older copy shows older records at higher offsets; so where the writers
 * of a topic number their records, these revisions order them, and offsets only equal revisions.
 */
#pragma once

#include "almondridge/base/ids.h"
#include "almondridge/base/time.h"

#include <array>
#include <compare>
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

/** Orders the records of one key by their writer's own count. */
struct RecordRevision
{
    std::uint64_t incarnation_ = 0; ///< Rises when the writer starts anew under the same key.
    std::uint64_t number_ = 0;      ///< Rises with each record of the incarnation.

    friend auto operator<=>(const RecordRevision &, const RecordRevision &) = default;
};

/** A key's new value, or its removal. */
struct Change
{
    Topic topic_ = Topic::Config;
    std::string key_;
    std::string value_;    ///< Empty: the key was removed.
    LogOffset offset_ = 0; ///< Offset of the record in the topic's log.
    /**
     * Every record between the last known one of this key and this one was read. An equal value
     * thus means that the key had no other value in between.
     */
    bool isContiguous_ = false;
    std::optional<RecordRevision> revision_ {}; ///< nullopt: the writer doesn't number records.
};

/** How much of a topic is known, and how recent that is. */
struct TopicState
{
    std::optional<TimePoint> readAt_; ///< When it last matched the store; nullopt: never.
    LogOffset end_ = 0;               ///< All records below this offset are known.
    /**
     * Every record that the store had accepted by this time is known. This is the time at which a
     * request was sent, not the time of its response: a response may have been delayed on the
     * network or in a suspended process.
     */
    std::optional<TimePoint> asOf_ {};
};

using TopicStates = std::array<TopicState, TopicCount>;

/**
 * Time since the configuration or the endpoints were read, whichever is longer; nullopt if one was
 * never read. Only these two topics have staleness bounds; the instance list changes slowly and is
 * read rarely.
 */
std::optional<Duration> oldestReadAge(const TopicStates &topics, TimePoint now);

/** A follower's position in the change sequence of a replica. */
struct Cursor
{
    std::uint64_t nextSequence_ = 0; ///< First change that it has not received.
    /** The replica's value at the last response; if it differs, the follower gets a snapshot. */
    std::uint64_t historyStart_ = 0;
    bool inSnapshot_ = false; ///< Some parts of a snapshot were received, and more follow.
};

/** For each topic, the offset below which a peer knows all records; 0: it knows none. */
using TopicEnds = std::array<LogOffset, TopicCount>;

/** Changes in sequence order, or one part of a snapshot. */
struct ChangeSet
{
    bool isSnapshot_ = false;  ///< Keys that are in none of the parts were removed.
    bool isFirstPart_ = false; ///< First part of a snapshot.
    bool more_ = false;        ///< More parts follow; topics_ holds only after the last one.
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

    /** Stores a value; a value that is unchanged or superseded is ignored. */
    void put(const Change &change);
    /** Removes all other keys of the topic. keys: all keys that existed at log offset end. */
    void retainOnly(Topic topic, const std::vector<std::string> &keys, LogOffset end);
    /**
     * Records below end were not read. Among them a key may have been added and removed without
     * ever being seen here. A follower that received its addition elsewhere would keep that key
     * forever if it got changes only, so it is sent a snapshot unless it knows all records below
     * end.
     */
    void onRecordsSkipped(Topic topic, LogOffset end);
    /** The topic matched the store at readAt, when its log ended at offset end. */
    void onRead(Topic topic, TimePoint readAt, LogOffset end);
    /** All records of the topic that the store had accepted by asOf are known. */
    void onCompleteAsOf(Topic topic, TimePoint asOf);
    std::optional<TimePoint> readAt(Topic topic) const;
    const TopicStates &topics() const noexcept { return topics_; }

    /** Changes from sequence number `from` on; a snapshot if these are no longer kept. */
    ChangeSet since(std::uint64_t from) const;
    /** The next changes after the cursor, at most `maxChanges`, or the next part of a snapshot. */
    ChangeSet after(const Cursor &cursor, std::size_t maxChanges) const;
    /**
     * For a peer that followed another replica until now: the changes that it lacks if it knows all
     * records below `ends`. nullopt if that cannot be determined or takes more than `maxChanges`
     * changes.
     */
    std::optional<ChangeSet> changesBeyond(const TopicEnds &ends, std::size_t maxChanges) const;
    /** Whether a follower at the cursor has received all changes. */
    bool isAtEnd(const Cursor &cursor) const noexcept
    {
        return cursor.nextSequence_ == nextSequence_ && cursor.historyStart_ == historyStart_
               && !cursor.inSnapshot_;
    }
    TopicEnds ends() const;
    /** Offset below which all records of the topic are known; 0: none are. */
    LogOffset end(Topic topic) const { return topics_[static_cast<std::size_t>(topic)].end_; }
    /** Sequence number that the next change gets. */
    std::uint64_t next() const noexcept { return nextSequence_; }
    /** Applies changes that a peer sent. */
    void apply(const ChangeSet &set);
    bool has(Topic topic, const std::string &key) const;
    /** The key's value; empty: it doesn't exist. */
    const std::string &value(Topic topic, const std::string &key) const;
    /** Offset of the newest record of the key, also of its removal; nullopt: none is known. */
    std::optional<LogOffset> offset(Topic topic, const std::string &key) const;
    std::vector<std::string> keys(Topic topic) const;

private:
    struct Entry
    {
        std::string value_;
        std::uint64_t sequence_ = 0;
        LogOffset offset_ = 0;                      ///< Of the newest record with this value.
        std::optional<RecordRevision> revision_ {}; ///< Of a removal: that of the removed value.
        LogOffset valueSince_ = 0; ///< The key has had this value at least since this record.
        /** Applied after later records, so a peer's end offset doesn't imply that it has this. */
        bool arrivedOutOfOrder_ = false;
    };
    using Key = std::pair<Topic, std::string>;
    using Entries = std::map<Key, Entry>;

    static bool isOlder(const Change &change, const Entry &entry);
    bool isSuperseded(const Change &change) const;
    void keepBeyond(Entries::iterator entry, LogOffset offset);
    static Change changeOf(const Key &key, const Entry &entry);
    void assignSequence(Entries::iterator entry);
    void discardTombstones();
    ChangeSet emptySet() const;
    void addConfigAhead(ChangeSet &set) const;
    void applySnapshotKeys(const ChangeSet &set);

    OnChange onChange_;
    Entries entries_; ///< An empty value is a tombstone, kept for followers.
    std::map<std::uint64_t, Entries::const_iterator> bySequence_;
    /** Keys in the parts of the snapshot that is being received. */
    std::optional<std::array<std::vector<std::string>, TopicCount>> snapshotKeys_;
    TopicEnds removalsUnknownBefore_ {}; ///< Removals below these offsets may be missing.
    TopicStates topics_ {};
    std::uint64_t nextSequence_ = 1;
    std::uint64_t historyStart_ = 1; ///< All changes from this sequence number on are kept.
    std::size_t tombstones_ = 0;
};

} // namespace almondridge::replication
