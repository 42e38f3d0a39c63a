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

namespace almondridge::news {

enum class Topic { Config, Endpoints, Instances, Quarantine };

inline constexpr std::size_t TopicCount = 4;

/** A key that has a new value, or none any more. */
struct Change
{
    Topic topic_ = Topic::Config;
    std::string key_;
    std::string value_;    ///< Empty: the key is gone.
    LogOffset offset_ = 0; ///< Of the record that says so.
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
std::optional<Duration> ageOf(const TopicStates &topics, TimePoint now);

/** Changes in their order, or everything there is. */
struct ChangeSet
{
    bool whole_ = false; ///< Keys that are not among the changes are gone.
    std::uint64_t next_ = 0;
    std::vector<Change> changes_;
    TopicStates topics_ {};
};

class Board
{
public:
    using OnChange = std::function<void(const Change &)>;

    explicit Board(OnChange onChange);

    /** Takes a value over; nothing happens when it is the same as before, or an older one. */
    void put(const Change &change);
    /** Removes the keys of a topic that are not in keys, which are all there were at that end. */
    void keepOnly(Topic topic, const std::vector<std::string> &keys, LogOffset end);
    /**
     * Records were skipped, and may have listed and removed a key that was never seen here. A peer
     * that saw it listed would keep it for good with changes alone: it is told everything.
     */
    void onSkipped();
    /** The topic is as the store had it at that time, when its log ended there. */
    void onRead(Topic topic, TimePoint readAt, LogOffset end);
    /** All that the store had accepted by then of the topic is known. */
    void onProven(Topic topic, TimePoint asOf);
    std::optional<TimePoint> readAt(Topic topic) const;
    const TopicStates &topics() const noexcept { return topics_; }

    /** What changed from number `from` on; everything when that is not known any more. */
    ChangeSet since(std::uint64_t from) const;
    std::uint64_t next() const noexcept { return next_; }
    /** Takes a peer's changes over. */
    void apply(const ChangeSet &set);
    bool has(Topic topic, const std::string &key) const;
    std::vector<std::string> keys(Topic topic) const;

private:
    struct Item
    {
        std::string value_;
        std::uint64_t change_ = 0;
        LogOffset offset_ = 0;
    };
    using Key = std::pair<Topic, std::string>;

    bool isOlder(const Change &change) const;
    void forgetOldRemovals();

    OnChange onChange_;
    std::map<Key, Item> items_; ///< With an empty value: removed, kept for since().
    TopicStates topics_ {};
    std::uint64_t next_ = 1;
    std::uint64_t knownFrom_ = 1; ///< since() knows all that changed from here on.
    std::size_t removals_ = 0;
};

} // namespace almondridge::news
