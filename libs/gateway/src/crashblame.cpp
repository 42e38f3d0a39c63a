#include "almondridge/gateway/crashevidence.h"
#include "crashthresholds.h"

#include <algorithm>
#include <cmath>
#include <tuple>

/** Against which keys crashes are held; how they become known is in crashevidence.cpp. */
namespace almondridge::gateway {
namespace {

/** Crashes in one group within this time of each other may have a common cause. */
constexpr Duration CoincidenceWindow = millis(250);
constexpr int MaxDoublings = 5;
/** A crash so long after the one before was that of a trial run after a quarantine. */
constexpr Duration PauseBeforeTrial = FirstQuarantine / 2;

} // namespace

/** 1 if nothing else explains the crash; 0 if all endpoints of the group crashed at that time. */
double CrashEvidence::weightOf(const Suspect &suspect, const EndpointCrash &crash) const
{
    if (crash.groupSize_ <= 1) {
        return 1;
    }
    const auto involvesSuspect = [&](CrashKey key) {
        return std::any_of(suspect.occurrences_.begin(), suspect.occurrences_.end(),
                           [&](const Occurrence &one) { return one.crash_ == key; });
    };
    int others = 0;
    const auto last = crashesByTime_.upper_bound(crash.at_ + CoincidenceWindow);
    for (auto near = crashesByTime_.lower_bound(crash.at_ - CoincidenceWindow); near != last;
         ++near) {
        const EndpointCrash &other = crashes_.at(near->second).crash_;
        others += other.group_ == crash.group_ && !involvesSuspect(other.key_) ? 1 : 0;
    }
    const double size = crash.groupSize_;
    return std::clamp(std::log(size / (1 + others)) / std::log(size), 0.0, 1.0);
}

bool CrashEvidence::isBlamedOnOthers(CrashKey crash, RequestKey key) const
{
    const auto blamed = blamed_.find(crash);
    if (blamed == blamed_.end()) {
        return false;
    }
    const std::vector<RequestKey> &keys = blames_.at(blamed->second).keys_;
    return !std::binary_search(keys.begin(), keys.end(), key);
}

CrashEvidence::Tally CrashEvidence::tally(RequestKey key, const Suspect &suspect) const
{
    std::vector<const EndpointCrash *> crashes;
    for (const Occurrence &occurrence : suspect.occurrences_) {
        const auto known = crashes_.find(occurrence.crash_);
        if (known != crashes_.end() && !isBlamedOnOthers(occurrence.crash_, key)) {
            crashes.push_back(&known->second.crash_);
        }
    }
    std::sort(crashes.begin(), crashes.end(), [](const auto *left, const auto *right) {
        return std::tuple(left->at_, left->key_) < std::tuple(right->at_, right->key_);
    });
    Tally result;
    TimePoint momentEnd {};
    double momentWeight = 0;
    for (const EndpointCrash *crash : crashes) {
        const bool isNewMoment = !isPartKey(key) || crash->at_ >= momentEnd;
        if (isNewMoment) {
            const bool afterPause =
                result.count_ > 0 && crash->at_ >= result.lastAt_ + PauseBeforeTrial;
            ++result.count_;
            result.afterPause_ += afterPause ? 1 : 0;
            momentEnd = crash->at_ + CoincidenceWindow;
            momentWeight = 0;
        }
        const double weight = std::max(momentWeight, weightOf(suspect, *crash));
        result.weight_ += weight - momentWeight;
        momentWeight = weight;
        result.crashes_.push_back(crash->key_);
        result.lastAt_ = crash->at_;
    }
    result.firstAt_ = crashes.empty() ? TimePoint {} : crashes.front()->at_;
    return result;
}

bool CrashEvidence::isEnoughToBlame(RequestKey key, const Suspect &suspect,
                                    const Tally &tally) const
{
    const bool wasSound = isPartKey(key) && suspect.clearedAt_ != TimePoint {}
                          && tally.firstAt_ <= suspect.clearedAt_ + SoundPartMemory;
    const int crashes = wasSound ? CrashesToBlameSoundPart : CrashesToQuarantine;
    return tally.count_ >= crashes
           && tally.weight_ >= WeightToQuarantine * crashes / CrashesToQuarantine;
}

/** Blames those with the most crashes first, then others by the crashes that are left. */
void CrashEvidence::updateBlames()
{
    blames_.clear();
    blamed_.clear();
    std::vector<RequestKey> candidates;
    for (const auto &[key, suspect] : suspects_) {
        if (suspect.occurrences_.size() >= CrashesToQuarantine) {
            candidates.push_back(key);
        }
    }
    std::sort(candidates.begin(), candidates.end());
    while (!candidates.empty()) {
        std::vector<std::pair<RequestKey, Tally>> tallies;
        const std::pair<RequestKey, Tally> *most = nullptr;
        tallies.reserve(candidates.size());
        for (const RequestKey key : candidates) {
            const Suspect &suspect = suspects_.at(key);
            tallies.emplace_back(key, tally(key, suspect));
            const Tally &last = tallies.back().second;
            const bool isMore = most == nullptr
                                || std::tuple(last.crashes_.size(), last.count_) > std::tuple(
                                       most->second.crashes_.size(), most->second.count_);
            most = isEnoughToBlame(key, suspect, last) && isMore ? &tallies.back() : most;
        }
        if (most == nullptr) {
            return;
        }
        Blame blame {{}, most->second};
        for (const auto &[key, tally] : tallies) {
            if (tally.crashes_ == blame.tally_.crashes_) {
                blame.keys_.push_back(key);
            }
        }
        std::erase_if(candidates, [&](RequestKey key) {
            return std::binary_search(blame.keys_.begin(), blame.keys_.end(), key);
        });
        for (const CrashKey crash : blame.tally_.crashes_) {
            blamed_[crash] = blames_.size();
        }
        blames_.push_back(std::move(blame));
    }
}

const CrashEvidence::Blame *CrashEvidence::blameOf(RequestKey key) const
{
    const auto found = std::find_if(blames_.begin(), blames_.end(), [&](const Blame &blame) {
        return std::binary_search(blame.keys_.begin(), blame.keys_.end(), key);
    });
    return found != blames_.end() ? &*found : nullptr;
}

Assessment CrashEvidence::assessBlame(const Blame &blame, RequestKey key, TimePoint now)
{
    const Tally &tally = blame.tally_;
    const int doublings = std::min(tally.afterPause_, MaxDoublings);
    const TimePoint until = tally.lastAt_ + FirstQuarantine * (1 << doublings);
    return {now < until ? Suspicion::Quarantined : Suspicion::HalfOpen,
            key,
            tally.count_,
            tally.weight_,
            tally.firstAt_,
            tally.lastAt_,
            until};
}

Assessment CrashEvidence::assessKey(RequestKey key, const Suspect &suspect, TimePoint now) const
{
    if (const Blame *blame = blameOf(key)) {
        return assessBlame(*blame, key, now);
    }
    const Tally known = tally(key, suspect);
    Assessment result {Suspicion::None, key, known.count_, known.weight_, known.firstAt_,
                       known.lastAt_,   {}};
    if (known.count_ >= CrashesToSuspect && known.weight_ >= WeightToSuspect) {
        result.level_ = Suspicion::Strong;
    } else if (known.weight_ >= MinWeight) {
        result.level_ = Suspicion::Weak;
    }
    return result;
}

/** Parts that aren't blamed say nothing against a request: the others with them go on. */
Assessment CrashEvidence::assess(const RequestKeys &request, TimePoint now) const
{
    std::optional<Assessment> blamed;
    for (const Blame &blame : blames_) {
        const bool isOwn = std::binary_search(blame.keys_.begin(), blame.keys_.end(), request.own_);
        const bool hasAll =
            std::all_of(blame.keys_.begin(), blame.keys_.end(), [&](RequestKey key) {
                return std::find(request.parts_.begin(), request.parts_.end(), key)
                       != request.parts_.end();
            });
        if (isOwn || hasAll) {
            const Assessment one =
                assessBlame(blame, isOwn ? request.own_ : blame.keys_.front(), now);
            const bool isWorse = !blamed || one.quarantinedUntil_ > blamed->quarantinedUntil_;
            blamed = isWorse ? one : blamed;
        }
    }
    if (blamed) {
        return *blamed;
    }
    const auto found = suspects_.find(request.own_);
    return found != suspects_.end() ? assessKey(request.own_, found->second, now) : Assessment {};
}

Assessment CrashEvidence::assess(RequestKey key, TimePoint now) const
{
    return assess(RequestKeys {key, {}}, now);
}

} // namespace almondridge::gateway
