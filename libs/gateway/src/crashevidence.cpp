#include "almondridge/gateway/crashevidence.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace almondridge::gateway {
namespace {

constexpr int CrashesToQuarantine = 3;
/** Reached by a third crash also where others coincide with some of the three. */
constexpr double WeightToQuarantine = 2.0;
constexpr int CrashesToSuspect = 2;
constexpr double WeightToSuspect = 1.3;
/** Who was seen at one crash of less weight is neither suspected nor told of. */
constexpr double LeastWeight = 0.5;

/** Crashes in one group within this time of each other may have one cause. */
constexpr Duration SameMoment = millis(250);
/** Crashes of the same moment that other instances saw are told by then. */
constexpr Duration SettledAfter = millis(200);

/** A request that was quarantined is not run for this long; doubles with each further crash. */
constexpr Duration FirstQuarantine = millis(60'000);
constexpr int MostDoublings = 5;
/** Until what is held against a request that is not quarantined is forgotten. */
constexpr Duration EvidenceLifetime = millis(120'000);
constexpr Duration CrashLifetime = millis(3'600'000);
/** A run of which nothing was heard. */
constexpr Duration LeaseLifetime = millis(30'000);
/** Evidence is late by the time that a message takes. */
constexpr Duration MessageDelay = millis(500);
constexpr Duration CompletedRemembered = millis(10'000);

constexpr std::size_t MostSuspects = 4'096;
constexpr std::size_t MostCrashes = 4'096;
constexpr std::size_t MostSightings = 8; ///< Of one request.
constexpr std::size_t MostCompleted = 4'096;
constexpr std::size_t MostLeases = 256;

/** Rounds in which a piece of news is told to some peers. */
constexpr int TellRounds = 4;
/** Numbers in one message: a packet. */
constexpr std::size_t MostItems = 90;

std::size_t itemsOf(const CrashUpdate &news)
{
    constexpr std::size_t ItemsOfACrash = 3;
    std::size_t items = 2 * news.cleared_.size() + 3 * news.leases_.size();
    for (const CrashUpdate::Crash &crash : news.crashes_) {
        items += ItemsOfACrash + crash.inFlight_.size();
    }
    return items;
}

bool hasRoom(const CrashUpdate &news)
{
    return itemsOf(news) < MostItems;
}

} // namespace

bool CrashEvidence::addCrash(const EndpointCrash &crash)
{
    const auto [place, added] = crashes_.try_emplace(crash.key_, KnownCrash {crash, TellRounds});
    EndpointCrash &known = place->second.crash_;
    if (added) {
        crashesByTime_.emplace(crash.at_, crash.key_);
        return true;
    }
    known.groupSize_ = std::max(known.groupSize_, crash.groupSize_);
    if (crash.at_ < known.at_) {
        const auto [first, last] = crashesByTime_.equal_range(known.at_);
        const auto found = std::find_if(
            first, last, [&](const auto &entry) { return entry.second == crash.key_; });
        crashesByTime_.erase(found);
        crashesByTime_.emplace(crash.at_, crash.key_);
        known.at_ = crash.at_;
    }
    return false;
}

void CrashEvidence::addSighting(RequestKey key, CrashKey crash, TimePoint now)
{
    const TimePoint crashedAt = crashes_.at(crash).crash_.at_;
    const auto whole = completed_.find(key);
    if (whole != completed_.end() && crashedAt <= whole->second + MessageDelay) {
        clear(key, whole->second);
        suspects_[key].clearedRoundsLeft_ = TellRounds; // Whoever told this is told of the run.
        return;
    }
    Suspect &suspect = suspects_[key];
    if (suspect.clearedAt_ != TimePoint {} && crashedAt <= suspect.clearedAt_ + MessageDelay) {
        suspect.clearedRoundsLeft_ = TellRounds;
        return;
    }
    const bool known = std::any_of(suspect.sightings_.begin(), suspect.sightings_.end(),
                                   [&](const Sighting &one) { return one.crash_ == crash; });
    if (known) {
        return;
    }
    if (suspect.sightings_.size() >= MostSightings) {
        suspect.sightings_.erase(suspect.sightings_.begin());
    }
    suspect.sightings_.push_back({crash, now, TellRounds});
    const auto lease = leases_.find(key);
    if (lease != leases_.end() && lease->second.lease_.at_ <= crashedAt) {
        leases_.erase(lease); // That run crashed an endpoint.
    }
}

void CrashEvidence::onCrash(const EndpointCrash &crash, const std::vector<RequestKey> &inFlight,
                            TimePoint now)
{
    addCrash(crash);
    for (const RequestKey key : inFlight) {
        addSighting(key, crash.key_, now);
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
    const std::size_t erased = std::erase_if(suspect.sightings_, [&](const Sighting &one) {
        const auto crash = crashes_.find(one.crash_);
        return crash == crashes_.end() || crash->second.crash_.at_ <= at + MessageDelay;
    });
    // What changes nothing here is not passed on: by the time that messages take it comes back
    // a little younger from everybody who was told.
    if (erased > 0 || suspect.clearedAt_ == TimePoint {}) {
        suspect.clearedRoundsLeft_ = TellRounds;
    }
    suspect.clearedAt_ = std::max(suspect.clearedAt_, at);
    if (suspect.sightings_.empty() && std::exchange(suspect.crashesStored_, 0) > 0) {
        clearedKeys_.push_back(key);
    }
    leases_.erase(key);
}

bool CrashEvidence::onCompleted(RequestKey key, TimePoint now)
{
    completed_[key] = now;
    completedInOrder_.emplace_back(now, key);
    while (completedInOrder_.size() > MostCompleted
           || completedInOrder_.front().first + CompletedRemembered < now) {
        const auto [at, oldest] = completedInOrder_.front();
        completedInOrder_.pop_front();
        const auto found = completed_.find(oldest);
        if (found != completed_.end() && found->second == at) {
            completed_.erase(found);
        }
    }
    const auto suspect = suspects_.find(key);
    if (suspect == suspects_.end() || suspect->second.sightings_.empty()) {
        return false;
    }
    clear(key, now);
    return true;
}

void CrashEvidence::onUpdate(const CrashUpdate &news, TimePoint now)
{
    for (const CrashUpdate::Cleared &cleared : news.cleared_) {
        clear(cleared.key_, now - millis(cleared.ageMillis_));
    }
    for (const CrashUpdate::Crash &told : news.crashes_) {
        addCrash({told.key_, told.group_, told.groupSize_, now - millis(told.ageMillis_)});
        for (const RequestKey key : told.inFlight_) {
            addSighting(key, told.key_, now);
        }
    }
    for (const CrashUpdate::LeaseTaken &told : news.leases_) {
        const RunLease lease {told.holder_, now - millis(told.ageMillis_)};
        const auto known = leases_.find(told.key_);
        const bool better = known == leases_.end() || !isLive(known->second.lease_, now)
                            || lease.holder_ < known->second.lease_.holder_
                            || isRenewed(known->second.lease_, lease);
        if (isLive(lease, now) && better && leases_.size() < MostLeases) {
            leases_[told.key_] = {lease, TellRounds};
        }
    }
    keepWithinBounds(now);
}

/** 1: nothing else explains the crash; 0: all endpoints of the group crashed in that moment. */
double CrashEvidence::weightOf(const Suspect &suspect, const EndpointCrash &crash) const
{
    if (crash.groupSize_ <= 1) {
        return 1;
    }
    const auto isSuspects = [&](CrashKey key) {
        return std::any_of(suspect.sightings_.begin(), suspect.sightings_.end(),
                           [&](const Sighting &one) { return one.crash_ == key; });
    };
    int others = 0;
    const auto last = crashesByTime_.upper_bound(crash.at_ + SameMoment);
    for (auto near = crashesByTime_.lower_bound(crash.at_ - SameMoment); near != last; ++near) {
        const EndpointCrash &other = crashes_.at(near->second).crash_;
        others += other.group_ == crash.group_ && !isSuspects(other.key_) ? 1 : 0;
    }
    const double size = crash.groupSize_;
    return std::clamp(std::log(size / (1 + others)) / std::log(size), 0.0, 1.0);
}

Assessment CrashEvidence::assess(const Suspect &suspect, TimePoint now) const
{
    Assessment result;
    for (const Sighting &sighting : suspect.sightings_) {
        const auto known = crashes_.find(sighting.crash_);
        if (known == crashes_.end()) {
            continue;
        }
        const EndpointCrash &crash = known->second.crash_;
        ++result.crashes_;
        result.weight_ += weightOf(suspect, crash);
        result.lastCrashAt_ = std::max(result.lastCrashAt_, crash.at_);
        const bool first = result.firstCrashAt_ == TimePoint {} || crash.at_ < result.firstCrashAt_;
        result.firstCrashAt_ = first ? crash.at_ : result.firstCrashAt_;
    }
    if (result.crashes_ >= CrashesToQuarantine && result.weight_ >= WeightToQuarantine) {
        const int doublings = std::min(result.crashes_ - CrashesToQuarantine, MostDoublings);
        result.quarantinedUntil_ = result.lastCrashAt_ + FirstQuarantine * (1 << doublings);
        result.level_ =
            now < result.quarantinedUntil_ ? Suspicion::Quarantined : Suspicion::HalfOpen;
    } else if (result.crashes_ >= CrashesToSuspect && result.weight_ >= WeightToSuspect) {
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

/** By more than messages differ in their time on the way. */
bool CrashEvidence::isRenewed(const RunLease &known, const RunLease &told) const
{
    return told.holder_ == known.holder_ && told.at_ > known.at_ + LeaseLifetime / 4;
}

bool CrashEvidence::isLive(const RunLease &lease, TimePoint now) const
{
    return now < lease.at_ + LeaseLifetime;
}

bool CrashEvidence::acquireLease(RequestKey key, std::uint64_t holder, TimePoint now)
{
    const auto known = leases_.find(key);
    if (known != leases_.end() && isLive(known->second.lease_, now)) {
        return false;
    }
    leases_[key] = {{holder, now}, TellRounds};
    return true;
}

void CrashEvidence::renewLease(RequestKey key, std::uint64_t holder, TimePoint now)
{
    const auto known = leases_.find(key);
    if (known != leases_.end() && known->second.lease_.holder_ == holder) {
        known->second = {{holder, now}, TellRounds};
    }
}

bool CrashEvidence::holdsLease(RequestKey key, std::uint64_t holder, TimePoint now) const
{
    const auto known = leases_.find(key);
    // Not begun late: others have to hear that it is renewed before they take it for lapsed.
    return known != leases_.end() && known->second.lease_.holder_ == holder
           && now < known->second.lease_.at_ + LeaseLifetime / 2;
}

void CrashEvidence::releaseLease(RequestKey key, std::uint64_t holder)
{
    const auto known = leases_.find(key);
    if (known != leases_.end() && known->second.lease_.holder_ == holder) {
        leases_.erase(known);
    }
}

/** A request that met one of many crashes is told only when it is seen again. */
bool CrashEvidence::worthTelling(const Suspect &suspect, const Sighting &sighting,
                                 TimePoint now) const
{
    if (suspect.sightings_.size() > 1) {
        return true;
    }
    const auto crash = crashes_.find(sighting.crash_);
    return crash != crashes_.end() && sighting.knownAt_ + SettledAfter <= now
           && weightOf(suspect, crash->second.crash_) >= LeastWeight;
}

void CrashEvidence::tellCrash(const EndpointCrash &crash, std::optional<RequestKey> inFlight,
                              TimePoint now, CrashUpdate &news) const
{
    auto place = std::find_if(news.crashes_.begin(), news.crashes_.end(),
                              [&](const CrashUpdate::Crash &one) { return one.key_ == crash.key_; });
    if (place == news.crashes_.end()) {
        const std::int64_t age = std::max<std::int64_t>(0, toMillis(now - crash.at_));
        place = news.crashes_.insert(place, {crash.key_, crash.group_, crash.groupSize_, age, {}});
    }
    if (inFlight) {
        place->inFlight_.push_back(*inFlight);
    }
}

void CrashEvidence::tellSightings(Suspect &suspect, RequestKey key, TimePoint now, CrashUpdate &news)
{
    for (Sighting &sighting : suspect.sightings_) {
        const auto crash = crashes_.find(sighting.crash_);
        if (crash != crashes_.end() && sighting.roundsLeft_ > 0 && hasRoom(news)
            && worthTelling(suspect, sighting, now)) {
            --sighting.roundsLeft_;
            tellCrash(crash->second.crash_, key, now, news);
        }
    }
}

CrashUpdate CrashEvidence::takeUpdate(TimePoint now)
{
    CrashUpdate news;
    for (auto &[key, known] : leases_) {
        if (known.roundsLeft_ > 0 && hasRoom(news)) {
            --known.roundsLeft_;
            news.leases_.push_back({key, known.lease_.holder_, toMillis(now - known.lease_.at_)});
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
    for (auto &[key, known] : crashes_) {
        if (known.roundsLeft_ > 0 && hasRoom(news)) {
            --known.roundsLeft_;
            tellCrash(known.crash_, std::nullopt, now, news);
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
            ranked.emplace_back(known.weight_ + known.crashes_, known.lastCrashAt_, key);
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

CrashUpdate CrashEvidence::mostImportant(TimePoint now) const
{
    CrashUpdate news;
    for (const RequestKey key : mostSuspiciousFirst(now)) {
        for (const Sighting &sighting : suspects_.at(key).sightings_) {
            const auto crash = crashes_.find(sighting.crash_);
            if (crash != crashes_.end() && hasRoom(news)) {
                tellCrash(crash->second.crash_, key, now, news);
            }
        }
        const auto lease = leases_.find(key);
        if (lease != leases_.end() && isLive(lease->second.lease_, now) && hasRoom(news)) {
            const RunLease &taken = lease->second.lease_;
            news.leases_.push_back({key, taken.holder_, toMillis(now - taken.at_)});
        }
    }
    return news;
}

CrashUpdate CrashEvidence::crashesOf(RequestKey key, TimePoint now) const
{
    CrashUpdate news;
    const auto suspect = suspects_.find(key);
    if (suspect == suspects_.end()) {
        return news;
    }
    for (const Sighting &sighting : suspect->second.sightings_) {
        const auto crash = crashes_.find(sighting.crash_);
        if (crash != crashes_.end()) {
            tellCrash(crash->second.crash_, key, now, news);
        }
    }
    return news;
}

std::vector<RequestKey> CrashEvidence::takeChanges(TimePoint now)
{
    std::vector<RequestKey> changed = std::exchange(clearedKeys_, {});
    for (auto &[key, suspect] : suspects_) {
        const std::size_t crashes = suspect.sightings_.size();
        if (suspect.isOwn_ && crashes > suspect.crashesStored_
            && assess(suspect, now).level_ >= Suspicion::Strong) {
            suspect.crashesStored_ = crashes;
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
        ranked.emplace_back(known.weight_ + known.crashes_, key);
    }
    constexpr std::size_t Kept = MostSuspects * 3 / 4;
    std::nth_element(ranked.begin(), ranked.begin() + Kept, ranked.end(),
                     [](const auto &one, const auto &other) { return one.first > other.first; });
    for (std::size_t index = Kept; index < ranked.size(); ++index) {
        suspects_.erase(ranked[index].second);
    }
}

void CrashEvidence::forgetCrashes(TimePoint now)
{
    while (!crashesByTime_.empty()
           && (crashesByTime_.size() > MostCrashes
               || crashesByTime_.begin()->first + CrashLifetime < now)) {
        crashes_.erase(crashesByTime_.begin()->second);
        crashesByTime_.erase(crashesByTime_.begin());
    }
}

void CrashEvidence::keepWithinBounds(TimePoint now)
{
    forgetCrashes(now);
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
        // Once the quarantine is over it is remembered as long again: the next crash counts with
        // these.
        const TimePoint quarantined =
            known.quarantinedUntil_ + (known.quarantinedUntil_ - known.lastCrashAt_);
        const TimePoint until = std::max({known.lastCrashAt_ + EvidenceLifetime, quarantined,
                                          suspect.clearedAt_ + EvidenceLifetime});
        return until < now;
    });
    std::erase_if(leases_, [&](const auto &entry) { return !isLive(entry.second.lease_, now); });
}

} // namespace almondridge::gateway
