#include "almondridge/replication/topicreplica.h"

#include <algorithm>
#include <set>
#include <utility>

namespace almondridge::replication {
namespace {

/** Removed keys that are remembered; a peer that missed more of them is sent everything. */
constexpr std::size_t RememberedRemovals = 1'000;

std::size_t indexOf(Topic topic)
{
    return static_cast<std::size_t>(topic);
}

} // namespace

std::optional<Duration> ageOf(const TopicStates &topics, TimePoint now)
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

Board::Board(OnChange onChange)
    : onChange_(std::move(onChange))
{ }

/**
 * A reader that was cut off from the store and returned has an old list, and so has one that holds
 * removals back. Whoever asks it next would have endpoints back that it knew to be gone, and send
 * requests there. Offsets tell: they order all records of a topic, whoever passes them on.
 */
bool Board::isOlder(const Change &change) const
{
    const auto found = items_.find({change.topic_, change.key_});
    if (found != items_.end() && change.offset_ < found->second.offset_) {
        return true;
    }
    const bool listed = found != items_.end() && !found->second.value_.empty();
    // All records before the end are known, and by these there is no such key: it was removed,
    // maybe listed and removed again since this instance was told of its removal.
    return !listed && change.offset_ < topics_[indexOf(change.topic_)].end_;
}

void Board::put(const Change &change)
{
    if (isOlder(change)) {
        return;
    }
    const auto [place, added] = items_.try_emplace({change.topic_, change.key_});
    Item &item = place->second;
    const bool isSame = item.value_ == change.value_;
    const bool isRemoval = change.value_.empty();
    const bool isLater = added || change.offset_ > item.offset_;
    item.offset_ = change.offset_;
    // A removal of a key that is not listed here is told on all the same: a peer may have seen it
    // listed in between, and only this removal takes it off there.
    if (isSame && !(isRemoval && isLater)) {
        // It may have been another in between, which whoever was told by others may still have.
        if (isLater && !change.followsKnown_) {
            item.valueOffset_ = change.offset_;
            renumber(place);
        }
        return;
    }
    const bool wasRemoved = !added && item.value_.empty();
    item.value_ = change.value_;
    item.valueOffset_ = change.offset_;
    item.isLate_ = change.offset_ < topics_[indexOf(change.topic_)].end_;
    renumber(place);
    removals_ += isRemoval ? 1 : 0;
    removals_ -= wasRemoved ? 1 : 0;
    if (!isSame) {
        onChange_(change);
    }
    forgetOldRemovals();
}

void Board::renumber(Items::iterator item)
{
    byChange_.erase(item->second.change_);
    item->second.change_ = next_++;
    byChange_.emplace(item->second.change_, item);
}

void Board::forgetOldRemovals()
{
    if (removals_ <= RememberedRemovals) {
        return;
    }
    knownFrom_ = next_;
    for (auto item = items_.begin(); item != items_.end();) {
        const bool isRemoved = item->second.value_.empty();
        if (isRemoved) {
            LogOffset &skipped = skippedUntil_[indexOf(item->first.first)];
            skipped = std::max(skipped, item->second.offset_ + 1);
            byChange_.erase(item->second.change_);
        }
        item = isRemoved ? items_.erase(item) : std::next(item);
    }
    removals_ = 0;
}

void Board::keepOnly(Topic topic, const std::vector<std::string> &keys, LogOffset end)
{
    if (end == 0) {
        return; // Nothing was read of the topic, so nothing is known to be gone.
    }
    const std::set<std::string> kept(keys.begin(), keys.end());
    for (const std::string &key : this->keys(topic)) {
        if (!kept.contains(key)) {
            put({topic, key, "", end - 1});
        }
    }
    if (end > topics_[indexOf(topic)].end_) {
        onSkipped(topic, end);
    }
}

void Board::onSkipped(Topic topic, LogOffset end)
{
    knownFrom_ = ++next_;
    LogOffset &skipped = skippedUntil_[indexOf(topic)];
    skipped = std::max(skipped, end);
}

void Board::onRead(Topic topic, TimePoint readAt, LogOffset end)
{
    TopicState &known = topics_[indexOf(topic)];
    known.readAt_ = std::max(known.readAt_.value_or(readAt), readAt);
    known.end_ = std::max(known.end_, end);
}

void Board::onProven(Topic topic, TimePoint asOf)
{
    TopicState &known = topics_[indexOf(topic)];
    known.asOf_ = std::max(known.asOf_.value_or(asOf), asOf);
}

std::optional<TimePoint> Board::readAt(Topic topic) const
{
    return topics_[indexOf(topic)].readAt_;
}

ChangeSet Board::emptySet() const
{
    ChangeSet set;
    set.next_ = next_;
    set.base_ = knownFrom_;
    set.topics_ = topics_;
    return set;
}

ChangeSet Board::since(std::uint64_t from) const
{
    const bool isKnown = from >= knownFrom_ && from <= next_;
    return after({from, isKnown ? knownFrom_ : 0, false}, items_.size());
}

ChangeSet Board::after(const Position &position, std::size_t most) const
{
    const bool goesOn = position.base_ == knownFrom_ && position.from_ <= next_;
    ChangeSet set = emptySet();
    set.first_ = !goesOn;
    set.whole_ = !goesOn || position.listing_;
    for (auto change = byChange_.lower_bound(goesOn ? position.from_ : 0);
         change != byChange_.end(); ++change) {
        const auto &[key, item] = *change->second;
        // The last part tells of removals before the end: what is in no part is gone.
        const bool isToldByEnd =
            item.value_.empty() && item.offset_ < topics_[indexOf(key.first)].end_;
        if (set.first_ && isToldByEnd) {
            continue;
        }
        if (set.changes_.size() >= most) {
            set.more_ = true;
            set.next_ = change->first;
            break;
        }
        set.changes_.push_back({key.first, key.second, item.value_, item.offset_});
    }
    return set;
}

std::optional<ChangeSet> Board::missingAt(const TopicEnds &ends, std::size_t most) const
{
    for (std::size_t index = 0; index < TopicCount; ++index) {
        if (ends[index] < skippedUntil_[index]) {
            return std::nullopt;
        }
    }
    ChangeSet set = emptySet();
    for (const auto &[number, place] : byChange_) {
        const auto &[key, item] = *place;
        if (!item.isLate_ && item.valueOffset_ < ends[indexOf(key.first)]) {
            continue;
        }
        if (set.changes_.size() >= most) {
            return std::nullopt;
        }
        set.changes_.push_back({key.first, key.second, item.value_, item.offset_});
    }
    return set;
}

TopicEnds Board::ends() const
{
    TopicEnds ends {};
    std::transform(topics_.begin(), topics_.end(), ends.begin(),
                   [](const TopicState &topic) { return topic.end_; });
    return ends;
}

/** Keys that are in no part are gone, which is known with the last part. */
void Board::takeList(const ChangeSet &set)
{
    if (!set.whole_) {
        listed_.reset();
        return;
    }
    if (set.first_ || !listed_) {
        listed_.emplace();
    }
    for (const Change &change : set.changes_) {
        (*listed_)[indexOf(change.topic_)].push_back(change.key_);
    }
    if (set.more_) {
        return;
    }
    const auto listed = *std::exchange(listed_, std::nullopt);
    for (std::size_t index = 0; index < TopicCount; ++index) {
        keepOnly(static_cast<Topic>(index), listed[index], set.topics_[index].end_);
    }
}

void Board::apply(const ChangeSet &set)
{
    for (const Change &change : set.changes_) {
        put(change);
    }
    takeList(set);
    for (std::size_t index = 0; index < TopicCount && !set.more_; ++index) {
        const auto topic = static_cast<Topic>(index);
        const TopicState &told = set.topics_[index];
        if (told.readAt_) {
            onRead(topic, *told.readAt_, told.end_);
        }
        if (told.asOf_) {
            onProven(topic, *told.asOf_);
        }
    }
}

bool Board::has(Topic topic, const std::string &key) const
{
    const auto found = items_.find({topic, key});
    return found != items_.end() && !found->second.value_.empty();
}

std::vector<std::string> Board::keys(Topic topic) const
{
    std::vector<std::string> found;
    for (const auto &[key, item] : items_) {
        if (key.first == topic && !item.value_.empty()) {
            found.push_back(key.second);
        }
    }
    return found;
}

} // namespace almondridge::replication
