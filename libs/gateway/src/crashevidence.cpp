#include "almondridge/gateway/crashevidence.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace almondridge::gateway {
namespace {

constexpr int EndsToBlame = 3;
/** Three ends, two of which have something else beside them that may explain them. */
constexpr double WeightToBlame = 2.0;
constexpr int EndsToSuspect = 2;
constexpr double WeightToSuspect = 1.3;
/** Half of the group would have had to end for no reason before a sighting counts less. */
constexpr double LeastWeight = 0.5;

/** Ends of one group within this time of each other may have one cause. */
constexpr Duration SameMoment = millis(250);
/** Ends that instances see in the same moment are all told by then. */
constexpr Duration SettledAfter = millis(200);

/** A request that was blamed is not run for this long; doubles with each further end. */
constexpr Duration FirstBlame = millis(60'000);
constexpr int MostBlameDoublings = 5;
/** What is held against a request that is not blamed. */
constexpr Duration EvidenceLifetime = millis(120'000);
constexpr Duration EndLifetime = millis(3'600'000);
/** A run that was begun by a turn and of which nothing was heard. */
constexpr Duration TurnLifetime = millis(30'000);
/** Evidence is late by the time that a message takes. */
constexpr Duration MessageDelay = millis(500);
constexpr Duration WholeRunsRemembered = millis(10'000);

constexpr std::size_t MostSuspects = 4'096;
constexpr std::size_t MostEnds = 4'096;
constexpr std::size_t MostSightings = 8; ///< Of one request.
constexpr std::size_t MostWholeRuns = 4'096;
constexpr std::size_t MostTurns = 256;

/** Rounds in which a piece of news is told to some peers. */
constexpr int TellRounds = 4;
/** Numbers in one message: a packet. */
constexpr std::size_t MostItems = 90;

std::size_t itemsOf(const CrashNews &news)
{
    constexpr std::size_t ItemsOfAnEnd = 3;
    std::size_t items = 2 * news.cleared_.size() + 3 * news.turns_.size();
    for (const CrashNews::End &end : news.ends_) {
        items += ItemsOfAnEnd + end.aboard_.size();
    }
    return items;
}

bool hasRoom(const CrashNews &news)
{
    return itemsOf(news) < MostItems;
}

} // namespace

bool CrashEvidence::addEnd(const EndpointEnd &end)
{
    const auto [place, added] = ends_.try_emplace(end.key_, KnownEnd {end, TellRounds});
    EndpointEnd &known = place->second.end_;
    if (added) {
        endsByTime_.emplace(end.at_, end.key_);
        return true;
    }
    known.groupSize_ = std::max(known.groupSize_, end.groupSize_);
    if (end.at_ < known.at_) {
        const auto [first, last] = endsByTime_.equal_range(known.at_);
        const auto found =
            std::find_if(first, last, [&](const auto &entry) { return entry.second == end.key_; });
        endsByTime_.erase(found);
        endsByTime_.emplace(end.at_, end.key_);
        known.at_ = end.at_;
    }
    return false;
}

void CrashEvidence::addSighting(RequestKey key, EndKey end, TimePoint now)
{
    const TimePoint endedAt = ends_.at(end).end_.at_;
    const auto whole = wholeRuns_.find(key);
    if (whole != wholeRuns_.end() && endedAt <= whole->second + MessageDelay) {
        clear(key, whole->second); // Whoever told this is told of the run.
        return;
    }
    Suspect &suspect = suspects_[key];
    const bool known = std::any_of(suspect.sightings_.begin(), suspect.sightings_.end(),
                                   [&](const Sighting &one) { return one.end_ == end; });
    if (known
        || (suspect.clearedAt_ != TimePoint {} && endedAt <= suspect.clearedAt_ + MessageDelay)) {
        return;
    }
    if (suspect.sightings_.size() >= MostSightings) {
        suspect.sightings_.erase(suspect.sightings_.begin());
    }
    suspect.sightings_.push_back({end, now, TellRounds});
    const auto turn = turns_.find(key);
    if (turn != turns_.end() && turn->second.turn_.at_ <= endedAt) {
        turns_.erase(turn); // That run ended an endpoint.
    }
}

void CrashEvidence::onEnd(const EndpointEnd &end, const std::vector<RequestKey> &aboard,
                          TimePoint now)
{
    addEnd(end);
    for (const RequestKey key : aboard) {
        addSighting(key, end.key_, now);
        const auto suspect = suspects_.find(key);
        if (suspect != suspects_.end()) {
            suspect->second.isOwn_ = true;
        }
    }
    keepWithinBounds(now);
}

void CrashEvidence::clear(RequestKey key, TimePoint at)
{
    Suspect &suspect = suspects_[key];
    std::erase_if(suspect.sightings_, [&](const Sighting &one) {
        const auto end = ends_.find(one.end_);
        return end == ends_.end() || end->second.end_.at_ <= at + MessageDelay;
    });
    if (at > suspect.clearedAt_) {
        suspect.clearedAt_ = at;
        suspect.clearedRoundsLeft_ = TellRounds;
    }
    if (suspect.sightings_.empty() && std::exchange(suspect.endsKept_, 0) > 0) {
        clearedBlame_.push_back(key);
    }
    turns_.erase(key);
}

bool CrashEvidence::onWholeRun(RequestKey key, TimePoint now)
{
    wholeRuns_[key] = now;
    wholeRunsInOrder_.emplace_back(now, key);
    while (wholeRunsInOrder_.size() > MostWholeRuns
           || wholeRunsInOrder_.front().first + WholeRunsRemembered < now) {
        const auto [at, oldest] = wholeRunsInOrder_.front();
        wholeRunsInOrder_.pop_front();
        const auto found = wholeRuns_.find(oldest);
        if (found != wholeRuns_.end() && found->second == at) {
            wholeRuns_.erase(found);
        }
    }
    const auto suspect = suspects_.find(key);
    if (suspect == suspects_.end() || suspect->second.sightings_.empty()) {
        return false;
    }
    clear(key, now);
    return true;
}

void CrashEvidence::onNews(const CrashNews &news, TimePoint now)
{
    for (const CrashNews::Cleared &cleared : news.cleared_) {
        clear(cleared.key_, now - millis(cleared.ageMillis_));
    }
    for (const CrashNews::End &told : news.ends_) {
        addEnd({told.key_, told.group_, told.groupSize_, now - millis(told.ageMillis_)});
        for (const RequestKey key : told.aboard_) {
            addSighting(key, told.key_, now);
        }
    }
    for (const CrashNews::TurnTaken &told : news.turns_) {
        const Turn turn {told.holder_, now - millis(told.ageMillis_)};
        const auto known = turns_.find(told.key_);
        const bool better = known == turns_.end() || !isLive(known->second.turn_, now)
                            || turn.holder_ < known->second.turn_.holder_;
        if (isLive(turn, now) && better && turns_.size() < MostTurns) {
            turns_[told.key_] = {turn, TellRounds};
        }
    }
    keepWithinBounds(now);
}

/** 1: nothing else explains the end; 0: all endpoints of the group ended in that moment. */
double CrashEvidence::weightOf(const Suspect &suspect, const EndpointEnd &end) const
{
    if (end.groupSize_ <= 1) {
        return 1;
    }
    const auto isSuspects = [&](EndKey key) {
        return std::any_of(suspect.sightings_.begin(), suspect.sightings_.end(),
                           [&](const Sighting &one) { return one.end_ == key; });
    };
    int others = 0;
    const auto last = endsByTime_.upper_bound(end.at_ + SameMoment);
    for (auto near = endsByTime_.lower_bound(end.at_ - SameMoment); near != last; ++near) {
        const EndpointEnd &other = ends_.at(near->second).end_;
        others += other.group_ == end.group_ && !isSuspects(other.key_) ? 1 : 0;
    }
    const double size = end.groupSize_;
    return std::clamp(std::log(size / (1 + others)) / std::log(size), 0.0, 1.0);
}

Assessment CrashEvidence::assess(const Suspect &suspect, TimePoint now) const
{
    Assessment result;
    for (const Sighting &sighting : suspect.sightings_) {
        const auto known = ends_.find(sighting.end_);
        if (known == ends_.end()) {
            continue;
        }
        const EndpointEnd &end = known->second.end_;
        ++result.ends_;
        result.weight_ += weightOf(suspect, end);
        result.lastEndAt_ = std::max(result.lastEndAt_, end.at_);
        const bool first = result.firstEndAt_ == TimePoint {} || end.at_ < result.firstEndAt_;
        result.firstEndAt_ = first ? end.at_ : result.firstEndAt_;
    }
    if (result.ends_ >= EndsToBlame && result.weight_ >= WeightToBlame) {
        const int doublings = std::min(result.ends_ - EndsToBlame, MostBlameDoublings);
        result.blamedUntil_ = result.lastEndAt_ + FirstBlame * (1 << doublings);
        result.level_ = now < result.blamedUntil_ ? Suspicion::Blamed : Suspicion::Lapsed;
    } else if (result.ends_ >= EndsToSuspect && result.weight_ >= WeightToSuspect) {
        result.level_ = Suspicion::Strong;
    } else if (result.weight_ >= LeastWeight) {
        result.level_ = Suspicion::Weak;
    }
    return result;
}

Assessment CrashEvidence::assess(RequestKey key, TimePoint now) const
{
    const auto found = suspects_.find(key);
    return found != suspects_.end() ? assess(found->second, now) : Assessment {};
}

bool CrashEvidence::isLive(const Turn &turn, TimePoint now) const
{
    return now < turn.at_ + TurnLifetime;
}

bool CrashEvidence::takeTurn(RequestKey key, std::uint64_t holder, TimePoint now)
{
    const auto known = turns_.find(key);
    if (known != turns_.end() && isLive(known->second.turn_, now)) {
        return false;
    }
    turns_[key] = {{holder, now}, TellRounds};
    return true;
}

bool CrashEvidence::holdsTurn(RequestKey key, std::uint64_t holder, TimePoint now) const
{
    const auto known = turns_.find(key);
    return known != turns_.end() && known->second.turn_.holder_ == holder
           && isLive(known->second.turn_, now);
}

void CrashEvidence::endTurn(RequestKey key, std::uint64_t holder)
{
    const auto known = turns_.find(key);
    if (known != turns_.end() && known->second.turn_.holder_ == holder) {
        turns_.erase(known);
    }
}

/** A request that was on board of one of many ends is told only when it is seen again. */
bool CrashEvidence::worthTelling(const Suspect &suspect, const Sighting &sighting,
                                 TimePoint now) const
{
    if (suspect.sightings_.size() > 1) {
        return true;
    }
    const auto end = ends_.find(sighting.end_);
    return end != ends_.end() && sighting.knownAt_ + SettledAfter <= now
           && weightOf(suspect, end->second.end_) >= LeastWeight;
}

void CrashEvidence::tellEnd(const EndpointEnd &end, std::optional<RequestKey> aboard, TimePoint now,
                            CrashNews &news) const
{
    auto place = std::find_if(news.ends_.begin(), news.ends_.end(),
                              [&](const CrashNews::End &one) { return one.key_ == end.key_; });
    if (place == news.ends_.end()) {
        const std::int64_t age = std::max<std::int64_t>(0, toMillis(now - end.at_));
        place = news.ends_.insert(place, {end.key_, end.group_, end.groupSize_, age, {}});
    }
    if (aboard) {
        place->aboard_.push_back(*aboard);
    }
}

void CrashEvidence::tellSightings(Suspect &suspect, RequestKey key, TimePoint now, CrashNews &news)
{
    for (Sighting &sighting : suspect.sightings_) {
        const auto end = ends_.find(sighting.end_);
        if (end != ends_.end() && sighting.roundsLeft_ > 0 && hasRoom(news)
            && worthTelling(suspect, sighting, now)) {
            --sighting.roundsLeft_;
            tellEnd(end->second.end_, key, now, news);
        }
    }
}

CrashNews CrashEvidence::takeNews(TimePoint now)
{
    CrashNews news;
    for (auto &[key, known] : turns_) {
        if (known.roundsLeft_ > 0 && hasRoom(news)) {
            --known.roundsLeft_;
            news.turns_.push_back({key, known.turn_.holder_, toMillis(now - known.turn_.at_)});
        }
    }
    for (auto &[key, suspect] : suspects_) {
        if (suspect.clearedRoundsLeft_ > 0 && hasRoom(news)) {
            --suspect.clearedRoundsLeft_;
            news.cleared_.push_back({key, toMillis(now - suspect.clearedAt_)});
        }
    }
    // Those that were seen most often first: a flood of others must not delay them.
    for (const bool often : {true, false}) {
        for (auto &[key, suspect] : suspects_) {
            if ((suspect.sightings_.size() > 1) == often) {
                tellSightings(suspect, key, now, news);
            }
        }
    }
    for (auto &[key, known] : ends_) {
        if (known.roundsLeft_ > 0 && hasRoom(news)) {
            --known.roundsLeft_;
            tellEnd(known.end_, std::nullopt, now, news);
        }
    }
    return news;
}

std::vector<RequestKey> CrashEvidence::mostSuspiciousFirst(TimePoint now) const
{
    std::vector<std::tuple<double, TimePoint, RequestKey>> ranked;
    for (const auto &[key, suspect] : suspects_) {
        const Assessment known = assess(suspect, now);
        if (known.weight_ >= LeastWeight) {
            ranked.emplace_back(known.weight_ + known.ends_, known.lastEndAt_, key);
        }
    }
    std::sort(ranked.rbegin(), ranked.rend());
    std::vector<RequestKey> keys;
    keys.reserve(ranked.size());
    for (const auto &[weight, at, key] : ranked) {
        keys.push_back(key);
    }
    return keys;
}

CrashNews CrashEvidence::mostImportant(TimePoint now) const
{
    CrashNews news;
    for (const RequestKey key : mostSuspiciousFirst(now)) {
        for (const Sighting &sighting : suspects_.at(key).sightings_) {
            const auto end = ends_.find(sighting.end_);
            if (end != ends_.end() && hasRoom(news)) {
                tellEnd(end->second.end_, key, now, news);
            }
        }
        const auto turn = turns_.find(key);
        if (turn != turns_.end() && isLive(turn->second.turn_, now) && hasRoom(news)) {
            const Turn &taken = turn->second.turn_;
            news.turns_.push_back({key, taken.holder_, toMillis(now - taken.at_)});
        }
    }
    return news;
}

CrashNews CrashEvidence::newsOf(RequestKey key, TimePoint now) const
{
    CrashNews news;
    const auto suspect = suspects_.find(key);
    if (suspect == suspects_.end()) {
        return news;
    }
    for (const Sighting &sighting : suspect->second.sightings_) {
        const auto end = ends_.find(sighting.end_);
        if (end != ends_.end()) {
            tellEnd(end->second.end_, key, now, news);
        }
    }
    return news;
}

std::vector<RequestKey> CrashEvidence::takeChangedBlame(TimePoint now)
{
    std::vector<RequestKey> changed = std::exchange(clearedBlame_, {});
    for (auto &[key, suspect] : suspects_) {
        const std::size_t ends = suspect.sightings_.size();
        if (suspect.isOwn_ && ends > suspect.endsKept_
            && assess(suspect, now).level_ >= Suspicion::Strong) {
            suspect.endsKept_ = ends;
            changed.push_back(key);
        }
    }
    return changed;
}

void CrashEvidence::dropLeastSuspicious(TimePoint now)
{
    std::vector<std::pair<double, RequestKey>> ranked;
    ranked.reserve(suspects_.size());
    for (const auto &[key, suspect] : suspects_) {
        const Assessment known = assess(suspect, now);
        ranked.emplace_back(known.weight_ + known.ends_, key);
    }
    constexpr std::size_t Kept = MostSuspects * 3 / 4;
    std::nth_element(ranked.begin(), ranked.begin() + Kept, ranked.end(),
                     [](const auto &one, const auto &other) { return one.first > other.first; });
    for (std::size_t index = Kept; index < ranked.size(); ++index) {
        suspects_.erase(ranked[index].second);
    }
}

void CrashEvidence::forgetEnds(TimePoint now)
{
    while (!endsByTime_.empty()
           && (endsByTime_.size() > MostEnds || endsByTime_.begin()->first + EndLifetime < now)) {
        ends_.erase(endsByTime_.begin()->second);
        endsByTime_.erase(endsByTime_.begin());
    }
}

void CrashEvidence::keepWithinBounds(TimePoint now)
{
    forgetEnds(now);
    if (suspects_.size() > MostSuspects) {
        dropLeastSuspicious(now);
    }
}

void CrashEvidence::forgetOld(TimePoint now)
{
    keepWithinBounds(now);
    std::erase_if(suspects_, [&](const auto &entry) {
        const Suspect &suspect = entry.second;
        const Assessment known = assess(suspect, now);
        // A lapsed one is remembered once more as long, so that its next end counts with these.
        const TimePoint blamed = known.blamedUntil_ + (known.blamedUntil_ - known.lastEndAt_);
        const TimePoint until = std::max(
            {known.lastEndAt_ + EvidenceLifetime, blamed, suspect.clearedAt_ + EvidenceLifetime});
        return until < now;
    });
    std::erase_if(turns_, [&](const auto &entry) { return !isLive(entry.second.turn_, now); });
}

} // namespace almondridge::gateway
