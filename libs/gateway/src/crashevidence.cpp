#include "almondridge/gateway/crashevidence.h"

#include "crashthresholds.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace almondridge::gateway {
namespace {

/** By then, peers have reported the crashes that coincide with this one. */
constexpr Duration SettleDelay = millis(200);

/** Crashes of a request that is not quarantined are forgotten after this time. */
constexpr Duration EvidenceLifetime = millis(120'000);
constexpr Duration CrashLifetime = millis(3'600'000);
/** A lease that isn't renewed expires after this time. */
constexpr Duration LeaseLifetime = millis(30'000);
/** Upper bound of the time that an update takes, by which derived crash times may be late. */
constexpr Duration MessageDelay = millis(500);
constexpr Duration CompletedRetention = SoundPartMemory;

constexpr std::size_t MaxSuspects = 4'096;
constexpr std::size_t MaxCrashes = 4'096;
constexpr std::size_t MaxOccurrences = 32; ///< Per key.
constexpr std::size_t MaxCompleted = 4'096;
constexpr std::size_t MaxLeases = 256;

/** Gossip rounds in which an item is sent to some peers. */
constexpr int GossipRounds = 4;
/** Times that a report on a part is sent, as a datagram may be lost. */
constexpr int PartReportRounds = 2;
/** Numbers in one update, so that it fits into one packet. */
constexpr std::size_t MaxNumbersPerUpdate = 90;

std::size_t numberCount(const CrashUpdate &update)
{
    constexpr std::size_t NumbersPerCrash = 3;
    std::size_t numbers = 2 * update.cleared_.size() + 3 * update.leases_.size();
    for (const CrashUpdate::Crash &crash : update.crashes_) {
        numbers += NumbersPerCrash + crash.inFlight_.size();
    }
    return numbers;
}

bool hasRoom(const CrashUpdate &update)
{
    return numberCount(update) < MaxNumbersPerUpdate;
}

} // namespace

bool CrashEvidence::addCrash(const EndpointCrash &crash)
{
    const auto [place, added] = crashes_.try_emplace(crash.key_, KnownCrash {crash, GossipRounds});
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

/** Whether a run that completed since, or just before, shows that the key isn't to blame. */
bool CrashEvidence::isCleared(RequestKey key, TimePoint crashedAt, Source source)
{
    const auto completed = completed_.find(key);
    const auto known = suspects_.find(key);
    const bool here =
        completed != completed_.end() && crashedAt <= completed->second + MessageDelay;
    const bool anywhere = known != suspects_.end() && known->second.clearedAt_ != TimePoint {}
                          && crashedAt <= known->second.clearedAt_ + MessageDelay;
    if (isPartKey(key) && source != Source::Everybody) {
        return here || anywhere; // Nobody else has this crash of the part.
    }
    if (here) {
        clear(key, completed->second, true);
    }
    if (here || anywhere) {
        suspects_[key].clearedRoundsLeft_ = GossipRounds; // Tells the sender about the run.
    }
    return here || anywhere;
}

void CrashEvidence::addOccurrence(RequestKey key, CrashKey crash, TimePoint now, Source source)
{
    const TimePoint crashedAt = crashes_.at(crash).crash_.at_;
    if (isCleared(key, crashedAt, source)) {
        return;
    }
    Suspect &suspect = suspects_[key];
    const auto completed = completed_.find(key);
    if (isPartKey(key) && completed != completed_.end() && completed->second > suspect.clearedAt_) {
        suspect.clearedAt_ = completed->second;
        if (source == Source::Everybody) {
            suspect.clearedRoundsLeft_ = GossipRounds;
        }
    }
    const bool known = std::any_of(suspect.occurrences_.begin(), suspect.occurrences_.end(),
                                   [&](const Occurrence &one) { return one.crash_ == crash; });
    if (known) {
        return;
    }
    if (suspect.occurrences_.size() >= MaxOccurrences) {
        suspect.occurrences_.erase(suspect.occurrences_.begin());
    }
    const bool isReported = isPartKey(key) && source == Source::Own;
    suspect.occurrences_.push_back({crash, now, GossipRounds, isReported ? PartReportRounds : 0});
    const auto lease = leases_.find(key);
    if (lease != leases_.end() && lease->second.lease_.at_ <= crashedAt) {
        leases_.erase(lease); // The run under this lease crashed an endpoint.
    }
}

void CrashEvidence::onCrash(const EndpointCrash &crash, const std::vector<RequestKey> &inFlight,
                            TimePoint now)
{
    addCrash(crash);
    for (const RequestKey key : inFlight) {
        addOccurrence(key, crash.key_, now, Source::Own);
        const auto suspect = suspects_.find(key);
        if (suspect != suspects_.end()) {
            suspect->second.seenHere_ = true;
        }
    }
    enforceLimits(now);
    updateBlames();
}

void CrashEvidence::clear(RequestKey key, TimePoint at, bool tells)
{
    Suspect &suspect = suspects_[key];
    const std::size_t erased = std::erase_if(suspect.occurrences_, [&](const Occurrence &one) {
        const auto crash = crashes_.find(one.crash_);
        return crash == crashes_.end() || crash->second.crash_.at_ <= at + MessageDelay;
    });
    // An update that changes nothing here is not forwarded: the age it carries leaves out the time
    // on the way, so each copy that comes back looks newer and would circulate forever.
    if (tells && (erased > 0 || suspect.clearedAt_ == TimePoint {})) {
        suspect.clearedRoundsLeft_ = GossipRounds;
    }
    suspect.clearedAt_ = std::max(suspect.clearedAt_, at);
    if (suspect.occurrences_.empty() && std::exchange(suspect.persistedCrashes_, 0) > 0) {
        clearedKeys_.push_back(key);
    }
    leases_.erase(key);
}

bool CrashEvidence::isTold(RequestKey key, const Suspect &suspect) const
{
    // Most parts have one crash: these are told apart without weighing it in each round.
    return !isPartKey(key)
           || (suspect.occurrences_.size() >= CrashesToSuspect
               && tally(key, suspect).count_ >= CrashesToSuspect);
}

bool CrashEvidence::onCompleted(RequestKey key, TimePoint now)
{
    completed_[key] = now;
    completedInOrder_.emplace_back(now, key);
    while (completedInOrder_.size() > MaxCompleted
           || completedInOrder_.front().first + CompletedRetention < now) {
        const auto [at, oldest] = completedInOrder_.front();
        completedInOrder_.pop_front();
        const auto found = completed_.find(oldest);
        if (found != completed_.end() && found->second == at) {
            completed_.erase(found);
        }
    }
    const auto suspect = suspects_.find(key);
    if (suspect == suspects_.end() || suspect->second.occurrences_.empty()) {
        return false;
    }
    clear(key, now, isTold(key, suspect->second));
    updateBlames();
    return true;
}

bool CrashEvidence::onCompleted(const RequestKeys &keys, TimePoint now)
{
    bool cleared = onCompleted(keys.own_, now);
    for (const RequestKey part : keys.parts_) {
        cleared = onCompleted(part, now) || cleared;
    }
    return cleared;
}

void CrashEvidence::onUpdate(const CrashUpdate &update, TimePoint now)
{
    for (const CrashUpdate::Cleared &cleared : update.cleared_) {
        clear(cleared.key_, now - millis(cleared.ageMillis_), true);
    }
    std::map<RequestKey, int> crashesOfParts;
    for (const CrashUpdate::Crash &received : update.crashes_) {
        addCrash({received.key_, received.group_, received.groupSize_,
                  now - millis(received.ageMillis_)});
        for (const RequestKey key : received.inFlight_) {
            crashesOfParts[key] += isPartKey(key) ? 1 : 0;
        }
    }
    for (const CrashUpdate::Crash &received : update.crashes_) {
        for (const RequestKey key : received.inFlight_) {
            const bool isReport = isPartKey(key) && crashesOfParts[key] == 1;
            addOccurrence(key, received.key_, now, isReport ? Source::Report : Source::Everybody);
        }
    }
    for (const CrashUpdate::Lease &received : update.leases_) {
        const RunLease lease {received.holder_, now - millis(received.ageMillis_)};
        const auto known = leases_.find(received.key_);
        const bool better = known == leases_.end() || !isLive(known->second.lease_, now)
                            || lease.holder_ < known->second.lease_.holder_
                            || isRenewed(known->second.lease_, lease);
        if (isLive(lease, now) && better && leases_.size() < MaxLeases) {
            leases_[received.key_] = {lease, GossipRounds};
        }
    }
    enforceLimits(now);
    updateBlames();
}

/** Whether the received lease is newer by more than messages differ in their delay. */
bool CrashEvidence::isRenewed(const RunLease &known, const RunLease &received) const
{
    return received.holder_ == known.holder_ && received.at_ > known.at_ + LeaseLifetime / 4;
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
    leases_[key] = {{holder, now}, GossipRounds};
    return true;
}

void CrashEvidence::renewLease(RequestKey key, std::uint64_t holder, TimePoint now)
{
    const auto known = leases_.find(key);
    if (known != leases_.end() && known->second.lease_.holder_ == holder) {
        known->second = {{holder, now}, GossipRounds};
    }
}

bool CrashEvidence::holdsLease(RequestKey key, std::uint64_t holder, TimePoint now) const
{
    const auto known = leases_.find(key);
    // No run starts in the second half of the lease: peers must receive a renewal before they
    // consider it expired.
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

/** A request at one of many concurrent crashes is reported only after a second crash. */
bool CrashEvidence::isWorthReporting(RequestKey key, const Suspect &suspect,
                                     const Occurrence &occurrence, TimePoint now) const
{
    if (isPartKey(key)) {
        return isTold(key, suspect);
    }
    if (suspect.occurrences_.size() > 1) {
        return true;
    }
    const auto crash = crashes_.find(occurrence.crash_);
    return crash != crashes_.end() && occurrence.learnedAt_ + SettleDelay <= now
           && weightOf(suspect, crash->second.crash_) >= MinWeight;
}

void CrashEvidence::reportCrash(const EndpointCrash &crash, std::optional<RequestKey> inFlight,
                                TimePoint now, CrashUpdate &update) const
{
    auto place =
        std::find_if(update.crashes_.begin(), update.crashes_.end(),
                     [&](const CrashUpdate::Crash &one) { return one.key_ == crash.key_; });
    if (place == update.crashes_.end()) {
        const std::int64_t age = std::max<std::int64_t>(0, toMillis(now - crash.at_));
        place =
            update.crashes_.insert(place, {crash.key_, crash.group_, crash.groupSize_, age, {}});
    }
    if (inFlight) {
        place->inFlight_.push_back(*inFlight);
    }
}

void CrashEvidence::reportOccurrences(Suspect &suspect, RequestKey key, TimePoint now,
                                      CrashUpdate &update)
{
    for (Occurrence &occurrence : suspect.occurrences_) {
        const auto crash = crashes_.find(occurrence.crash_);
        if (crash != crashes_.end() && occurrence.roundsLeft_ > 0 && hasRoom(update)
            && isWorthReporting(key, suspect, occurrence, now)) {
            --occurrence.roundsLeft_;
            reportCrash(crash->second.crash_, key, now, update);
        }
    }
}

CrashUpdate CrashEvidence::takeUpdate(TimePoint now)
{
    CrashUpdate update;
    for (auto &[key, known] : leases_) {
        if (known.roundsLeft_ > 0 && hasRoom(update)) {
            --known.roundsLeft_;
            update.leases_.push_back({key, known.lease_.holder_, toMillis(now - known.lease_.at_)});
        }
    }
    for (auto &[key, suspect] : suspects_) {
        if (suspect.clearedRoundsLeft_ > 0 && hasRoom(update)) {
            --suspect.clearedRoundsLeft_;
            update.cleared_.push_back({key, toMillis(now - suspect.clearedAt_)});
        }
    }
    // Requests with several crashes first: a flood of others must not delay them.
    for (const bool often : {true, false}) {
        for (auto &[key, suspect] : suspects_) {
            if ((suspect.occurrences_.size() > 1) == often) {
                reportOccurrences(suspect, key, now, update);
            }
        }
    }
    for (auto &[key, known] : crashes_) {
        if (known.roundsLeft_ > 0 && hasRoom(update)) {
            --known.roundsLeft_;
            reportCrash(known.crash_, std::nullopt, now, update);
        }
    }
    return update;
}

std::vector<PartReport> CrashEvidence::takePartReports(TimePoint now)
{
    std::vector<PartReport> reports;
    for (auto &[key, suspect] : suspects_) {
        for (Occurrence &occurrence : suspect.occurrences_) {
            const auto crash = crashes_.find(occurrence.crash_);
            if (occurrence.reportsLeft_ > 0 && crash != crashes_.end()) {
                --occurrence.reportsLeft_;
                CrashUpdate update;
                reportCrash(crash->second.crash_, key, now, update);
                reports.push_back({key, std::move(update.crashes_.front())});
            }
        }
    }
    return reports;
}

std::vector<RequestKey> CrashEvidence::rankedSuspects(TimePoint now) const
{
    std::vector<std::tuple<double, TimePoint, RequestKey>> ranked;
    for (const auto &[key, suspect] : suspects_) {
        const Assessment known = assessKey(key, suspect, now);
        if (known.weight_ >= MinWeight && isTold(key, suspect)) {
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

CrashUpdate CrashEvidence::mostSuspicious(TimePoint now) const
{
    CrashUpdate update;
    for (const RequestKey key : rankedSuspects(now)) {
        for (const Occurrence &occurrence : suspects_.at(key).occurrences_) {
            const auto crash = crashes_.find(occurrence.crash_);
            if (crash != crashes_.end() && hasRoom(update)) {
                reportCrash(crash->second.crash_, key, now, update);
            }
        }
        const auto lease = leases_.find(key);
        if (lease != leases_.end() && isLive(lease->second.lease_, now) && hasRoom(update)) {
            const RunLease &taken = lease->second.lease_;
            update.leases_.push_back({key, taken.holder_, toMillis(now - taken.at_)});
        }
    }
    return update;
}

CrashUpdate CrashEvidence::crashesOf(RequestKey key, TimePoint now) const
{
    CrashUpdate update;
    const auto suspect = suspects_.find(key);
    if (suspect == suspects_.end()) {
        return update;
    }
    for (const Occurrence &occurrence : suspect->second.occurrences_) {
        const auto crash = crashes_.find(occurrence.crash_);
        if (crash != crashes_.end()) {
            reportCrash(crash->second.crash_, key, now, update);
        }
    }
    return update;
}

std::vector<RequestKey> CrashEvidence::takeChanges(TimePoint now)
{
    std::vector<RequestKey> changed = std::exchange(clearedKeys_, {});
    for (auto &[key, suspect] : suspects_) {
        const std::size_t crashes = suspect.occurrences_.size();
        const Suspicion least = isPartKey(key) ? Suspicion::Quarantined : Suspicion::Strong;
        if (suspect.seenHere_ && crashes > suspect.persistedCrashes_
            && assessKey(key, suspect, now).level_ >= least) {
            suspect.persistedCrashes_ = crashes;
            changed.push_back(key);
        }
    }
    return changed;
}

void CrashEvidence::evictLeastSuspicious(TimePoint now)
{
    std::vector<std::pair<double, RequestKey>> ranked;
    ranked.reserve(suspects_.size());
    for (const auto &[key, suspect] : suspects_) {
        const Assessment known = assessKey(key, suspect, now);
        ranked.emplace_back(known.weight_ + known.crashes_, key);
    }
    constexpr std::size_t Kept = MaxSuspects * 3 / 4;
    std::nth_element(ranked.begin(), ranked.begin() + Kept, ranked.end(),
                     [](const auto &one, const auto &other) { return one.first > other.first; });
    for (std::size_t index = Kept; index < ranked.size(); ++index) {
        suspects_.erase(ranked[index].second);
    }
}

void CrashEvidence::evictCrashes(TimePoint now)
{
    while (!crashesByTime_.empty()
           && (crashesByTime_.size() > MaxCrashes
               || crashesByTime_.begin()->first + CrashLifetime < now)) {
        crashes_.erase(crashesByTime_.begin()->second);
        crashesByTime_.erase(crashesByTime_.begin());
    }
}

void CrashEvidence::enforceLimits(TimePoint now)
{
    evictCrashes(now);
    if (suspects_.size() > MaxSuspects) {
        evictLeastSuspicious(now);
    }
}

void CrashEvidence::removeExpired(TimePoint now)
{
    enforceLimits(now);
    std::erase_if(suspects_, [&](const auto &entry) {
        const auto &[key, suspect] = entry;
        const Assessment known = assessKey(key, suspect, now);
        // After the quarantine the crashes are kept for the same time again, so that the next crash
        // adds to them.
        const TimePoint quarantined =
            known.quarantinedUntil_ + (known.quarantinedUntil_ - known.lastCrashAt_);
        const TimePoint until = std::max({known.lastCrashAt_ + EvidenceLifetime, quarantined,
                                          suspect.clearedAt_ + EvidenceLifetime});
        return until < now;
    });
    std::erase_if(leases_, [&](const auto &entry) { return !isLive(entry.second.lease_, now); });
    updateBlames();
}

} // namespace almondridge::gateway
