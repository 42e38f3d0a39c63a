#include "almondridge/replication/topicreplica.h"

#include <algorithm>
#include <set>
#include <utility>

namespace almondridge::replication {
namespace {

/** Tombstones that are kept; a follower that missed more removals gets a snapshot. */
constexpr std::size_t MaxTombstones = 1'000;

std::size_t indexOf(Topic topic)
{
    return static_cast<std::size_t>(topic);
}

} // namespace

std::optional<Duration> oldestReadAge(const TopicStates &topics, TimePoint now)
{
    Duration oldest {};
    for (const Topic topic : {Topic::Config, Topic::Endpoints}) {
        const auto &readAt = topics[indexOf(topic)].readAt_;
        if (!readAt) {
            return std::nullopt;
        }
        oldest = std::max(oldest, now - *readAt);
    }
    return oldest;
}

TopicReplica::TopicReplica(OnChange onChange)
    : onChange_(std::move(onChange))
{ }

/** Whether the entry has a newer record of the key than the change. */
bool TopicReplica::isOlder(const Change &change, const Entry &entry)
{
    if (!change.value_.empty() && change.revision_ && entry.revision_) {
        if (*change.revision_ != *entry.revision_) {
            return *change.revision_ < *entry.revision_;
        }
        if (entry.value_.empty()) {
            return true; // The key was removed after this record.
        }
    }
    return change.offset_ < entry.offset_;
}

/**
 * A reader that was disconnected from the store, or that delays removals, has an old list. Without
 * this check a follower of it would take back endpoints that it knew to be removed, and send
 * requests there. Offsets order all records of a topic, whichever peer they come from.
 */
bool TopicReplica::isSuperseded(const Change &change) const
{
    const auto found = entries_.find({change.topic_, change.key_});
    if (found != entries_.end() && isOlder(change, found->second)) {
        return true;
    }
    const bool isNumbered = found != entries_.end() && change.revision_ && found->second.revision_;
    const bool listed = found != entries_.end() && !found->second.value_.empty();
    // All records below the end are known, and the key doesn't exist by these: it was removed,
    // possibly added and removed again since this instance received its removal.
    return !listed && !isNumbered && change.offset_ < topics_[indexOf(change.topic_)].end_;
}

/**
 * Keeps an entry although a record at a higher offset was read, which is older: the store was
 * restored from a copy. Peers may know that record, so they are sent the entry at its offset.
 */
void TopicReplica::keepBeyond(Entries::iterator entry, LogOffset offset)
{
    if (offset > entry->second.offset_) {
        entry->second.offset_ = offset;
        entry->second.arrivedOutOfOrder_ = true;
        assignSequence(entry);
    }
}

void TopicReplica::put(const Change &change)
{
    if (isSuperseded(change)) {
        const auto known = entries_.find({change.topic_, change.key_});
        if (known != entries_.end() && isOlder(change, known->second)) {
            keepBeyond(known, change.offset_);
        }
        return;
    }
    const auto [iterator, added] = entries_.try_emplace({change.topic_, change.key_});
    Entry &entry = iterator->second;
    entry.revision_ =
        change.value_.empty() ? std::max(entry.revision_, change.revision_) : change.revision_;
    const bool isSame = entry.value_ == change.value_;
    const bool isRemoval = change.value_.empty();
    const bool isLater = added || change.offset_ > entry.offset_;
    entry.offset_ = change.offset_;
    // A later removal of a key that doesn't exist here is still passed on: a peer may have seen it
    // added in between, and only this removal deletes it there.
    if (isSame && !(isRemoval && isLater)) {
        // The value may have been different in between, and a peer may still have that value.
        if (isLater && !change.isContiguous_) {
            entry.valueSince_ = change.offset_;
            assignSequence(iterator);
        }
        return;
    }
    const bool wasRemoved = !added && entry.value_.empty();
    entry.value_ = change.value_;
    entry.valueSince_ = change.offset_;
    entry.arrivedOutOfOrder_ = change.offset_ < topics_[indexOf(change.topic_)].end_;
    assignSequence(iterator);
    tombstones_ += isRemoval ? 1 : 0;
    tombstones_ -= wasRemoved ? 1 : 0;
    if (!isSame) {
        onChange_(change);
    }
    discardTombstones();
}

void TopicReplica::assignSequence(Entries::iterator entry)
{
    bySequence_.erase(entry->second.sequence_);
    entry->second.sequence_ = nextSequence_++;
    bySequence_.emplace(entry->second.sequence_, entry);
}

void TopicReplica::discardTombstones()
{
    if (tombstones_ <= MaxTombstones) {
        return;
    }
    historyStart_ = nextSequence_;
    for (auto entry = entries_.begin(); entry != entries_.end();) {
        const bool isRemoved = entry->second.value_.empty();
        if (isRemoved) {
            LogOffset &unknownBefore = removalsUnknownBefore_[indexOf(entry->first.first)];
            unknownBefore = std::max(unknownBefore, entry->second.offset_ + 1);
            bySequence_.erase(entry->second.sequence_);
        }
        entry = isRemoved ? entries_.erase(entry) : std::next(entry);
    }
    tombstones_ = 0;
}

void TopicReplica::retainOnly(Topic topic, const std::vector<std::string> &keys, LogOffset end)
{
    if (end == 0) {
        return; // Nothing was read of the topic, so no key is known to be removed.
    }
    const std::set<std::string> kept(keys.begin(), keys.end());
    for (const std::string &key : this->keys(topic)) {
        if (!kept.contains(key)) {
            put({topic, key, "", end - 1});
        }
    }
    if (end > topics_[indexOf(topic)].end_) {
        onRecordsSkipped(topic, end);
    }
}

void TopicReplica::onRecordsSkipped(Topic topic, LogOffset end)
{
    historyStart_ = ++nextSequence_;
    LogOffset &unknownBefore = removalsUnknownBefore_[indexOf(topic)];
    unknownBefore = std::max(unknownBefore, end);
}

void TopicReplica::onRead(Topic topic, TimePoint readAt, LogOffset end)
{
    TopicState &known = topics_[indexOf(topic)];
    known.readAt_ = std::max(known.readAt_.value_or(readAt), readAt);
    known.end_ = std::max(known.end_, end);
}

void TopicReplica::onCompleteAsOf(Topic topic, TimePoint asOf)
{
    TopicState &known = topics_[indexOf(topic)];
    known.asOf_ = std::max(known.asOf_.value_or(asOf), asOf);
}

std::optional<TimePoint> TopicReplica::readAt(Topic topic) const
{
    return topics_[indexOf(topic)].readAt_;
}

Change TopicReplica::changeOf(const Key &key, const Entry &entry)
{
    return {key.first, key.second, entry.value_, entry.offset_, false, entry.revision_};
}

ChangeSet TopicReplica::emptySet() const
{
    ChangeSet set;
    set.nextSequence_ = nextSequence_;
    set.historyStart_ = historyStart_;
    set.topics_ = topics_;
    return set;
}

ChangeSet TopicReplica::since(std::uint64_t from) const
{
    const bool isKnown = from >= historyStart_ && from <= nextSequence_;
    return after({from, isKnown ? historyStart_ : 0, false}, entries_.size());
}

ChangeSet TopicReplica::after(const Cursor &cursor, std::size_t maxChanges) const
{
    const bool isIncremental =
        cursor.historyStart_ == historyStart_ && cursor.nextSequence_ <= nextSequence_;
    ChangeSet set = emptySet();
    set.isFirstPart_ = !isIncremental;
    set.isSnapshot_ = !isIncremental || cursor.inSnapshot_;
    for (auto change = bySequence_.lower_bound(isIncremental ? cursor.nextSequence_ : 0);
         change != bySequence_.end(); ++change) {
        const auto &[key, entry] = *change->second;
        // Removals below the end are implied: a key that is in no part was removed.
        const bool isImpliedByEnd =
            entry.value_.empty() && entry.offset_ < topics_[indexOf(key.first)].end_;
        if (set.isFirstPart_ && isImpliedByEnd) {
            continue;
        }
        if (set.changes_.size() >= maxChanges) {
            set.more_ = true;
            set.nextSequence_ = change->first;
            break;
        }
        set.changes_.push_back(changeOf(key, entry));
    }
    if (set.isSnapshot_ && set.more_) {
        addConfigAhead(set);
    }
    return set;
}

/**
 * A follower puts a configuration in force with the first part of a snapshot, and one that is newer
 * than the snapshot with the next part: all parts can take longer than the bound of a
 * configuration.
 */
void TopicReplica::addConfigAhead(ChangeSet &set) const
{
    const std::uint64_t from =
        set.isFirstPart_ ? set.nextSequence_ : std::max(set.nextSequence_, historyStart_);
    for (auto entry = entries_.lower_bound({Topic::Config, ""});
         entry != entries_.end() && entry->first.first == Topic::Config; ++entry) {
        if (entry->second.sequence_ >= from) {
            set.changes_.push_back(changeOf(entry->first, entry->second));
        }
    }
}

std::optional<ChangeSet> TopicReplica::changesBeyond(const TopicEnds &ends,
                                                     std::size_t maxChanges) const
{
    for (std::size_t index = 0; index < TopicCount; ++index) {
        if (ends[index] < removalsUnknownBefore_[index]) {
            return std::nullopt;
        }
    }
    ChangeSet set = emptySet();
    for (const auto &[number, iterator] : bySequence_) {
        const auto &[key, entry] = *iterator;
        if (!entry.arrivedOutOfOrder_ && entry.valueSince_ < ends[indexOf(key.first)]) {
            continue;
        }
        if (set.changes_.size() >= maxChanges) {
            return std::nullopt;
        }
        set.changes_.push_back(changeOf(key, entry));
    }
    return set;
}

TopicEnds TopicReplica::ends() const
{
    TopicEnds ends {};
    std::transform(topics_.begin(), topics_.end(), ends.begin(),
                   [](const TopicState &topic) { return topic.end_; });
    return ends;
}

/** Removes the keys that are in no part of a snapshot, once its last part has arrived. */
void TopicReplica::applySnapshotKeys(const ChangeSet &set)
{
    if (!set.isSnapshot_) {
        snapshotKeys_.reset();
        return;
    }
    if (set.isFirstPart_ || !snapshotKeys_) {
        snapshotKeys_.emplace();
    }
    for (const Change &change : set.changes_) {
        (*snapshotKeys_)[indexOf(change.topic_)].push_back(change.key_);
    }
    if (set.more_) {
        return;
    }
    const auto listed = *std::exchange(snapshotKeys_, std::nullopt);
    for (std::size_t index = 0; index < TopicCount; ++index) {
        retainOnly(static_cast<Topic>(index), listed[index], set.topics_[index].end_);
    }
}

void TopicReplica::apply(const ChangeSet &set)
{
    for (const Change &change : set.changes_) {
        put(change);
    }
    applySnapshotKeys(set);
    for (std::size_t index = 0; index < TopicCount && !set.more_; ++index) {
        const auto topic = static_cast<Topic>(index);
        const TopicState &received = set.topics_[index];
        if (received.readAt_) {
            onRead(topic, *received.readAt_, received.end_);
        }
        if (received.asOf_) {
            onCompleteAsOf(topic, *received.asOf_);
        }
    }
}

bool TopicReplica::has(Topic topic, const std::string &key) const
{
    const auto found = entries_.find({topic, key});
    return found != entries_.end() && !found->second.value_.empty();
}

const std::string &TopicReplica::value(Topic topic, const std::string &key) const
{
    static const std::string none;
    const auto found = entries_.find({topic, key});
    return found != entries_.end() ? found->second.value_ : none;
}

std::optional<LogOffset> TopicReplica::offset(Topic topic, const std::string &key) const
{
    const auto found = entries_.find({topic, key});
    return found != entries_.end() ? std::optional(found->second.offset_) : std::nullopt;
}

std::vector<std::string> TopicReplica::keys(Topic topic) const
{
    std::vector<std::string> found;
    for (const auto &[key, entry] : entries_) {
        if (key.first == topic && !entry.value_.empty()) {
            found.push_back(key.second);
        }
    }
    return found;
}

} // namespace almondridge::replication
