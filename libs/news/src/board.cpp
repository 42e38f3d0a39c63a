#include "almondridge/news/board.h"

#include <algorithm>
#include <set>

namespace almondridge::news {
namespace {

/** Removed keys that are remembered; a peer that missed more of them is sent everything. */
constexpr std::size_t RememberedRemovals = 1'000;

std::size_t indexOf(Topic topic)
{
    return static_cast<std::size_t>(topic);
}

} // namespace

Board::Board(OnChange onChange)
    : onChange_(std::move(onChange))
{ }

void Board::put(const Change &change)
{
    const auto [place, added] = items_.try_emplace({change.topic_, change.key_});
    Item &item = place->second;
    if (added && change.value_.empty()) {
        items_.erase(place);
        return;
    }
    if (!added && item.value_ == change.value_) {
        return;
    }
    const bool wasRemoved = !added && item.value_.empty();
    item = {change.value_, next_++};
    removals_ += change.value_.empty() ? 1 : 0;
    removals_ -= wasRemoved ? 1 : 0;
    onChange_(change);
    forgetOldRemovals();
}

void Board::forgetOldRemovals()
{
    if (removals_ <= RememberedRemovals) {
        return;
    }
    knownFrom_ = next_;
    std::erase_if(items_, [](const auto &entry) { return entry.second.value_.empty(); });
    removals_ = 0;
}

void Board::keepOnly(Topic topic, const std::vector<std::string> &keys)
{
    const std::set<std::string> kept(keys.begin(), keys.end());
    for (const std::string &key : this->keys(topic)) {
        if (!kept.contains(key)) {
            put({topic, key, ""});
        }
    }
}

void Board::onRead(Topic topic, TimePoint readAt)
{
    std::optional<TimePoint> &known = readAt_[indexOf(topic)];
    known = std::max(known.value_or(readAt), readAt);
}

std::optional<TimePoint> Board::readAt(Topic topic) const
{
    return readAt_[indexOf(topic)];
}

std::optional<Duration> Board::age(TimePoint now) const
{
    Duration oldest {};
    for (const auto &readAt : readAt_) {
        if (!readAt) {
            return std::nullopt;
        }
        oldest = std::max(oldest, now - *readAt);
    }
    return oldest;
}

ChangeSet Board::since(std::uint64_t from) const
{
    ChangeSet set;
    set.whole_ = from < knownFrom_ || from > next_;
    set.next_ = next_;
    set.readAt_ = readAt_;
    for (const auto &[key, item] : items_) {
        const bool wanted = set.whole_ ? !item.value_.empty() : item.change_ >= from;
        if (wanted) {
            set.changes_.push_back({key.first, key.second, item.value_});
        }
    }
    return set;
}

void Board::apply(const ChangeSet &set)
{
    for (const Change &change : set.changes_) {
        put(change);
    }
    for (std::size_t index = 0; index < TopicCount; ++index) {
        if (set.readAt_[index]) {
            onRead(static_cast<Topic>(index), *set.readAt_[index]);
        }
    }
    if (!set.whole_) {
        return;
    }
    for (std::size_t index = 0; index < TopicCount; ++index) {
        const auto topic = static_cast<Topic>(index);
        std::vector<std::string> present;
        for (const Change &change : set.changes_) {
            if (change.topic_ == topic) {
                present.push_back(change.key_);
            }
        }
        keepOnly(topic, present);
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

} // namespace almondridge::news
