#include "almondridge/gateway/endpoints.h"

#include "almondridge/gateway/promptcacheindex.h"

#include <algorithm>
#include <set>

namespace almondridge::gateway {
namespace {

/** Effect of a health signal on the circuit breaker. */
struct HealthRule
{
    HealthSignal signal_;
    int failureWeight_; ///< Added to the failure score; 0 resets it and closes the circuit.
    int openThreshold_; ///< Failure score from which on the circuit is open.
};

/**
 * One timeout or one failed connection is enough to stop new work. It takes two broken connections,
 * as a planned stop also breaks one, and eight server errors, as a healthy service fails some calls
 * for reasons of its own.
 */
constexpr std::array<HealthRule, 7> HealthRules {{
    {HealthSignal::Healthy, 0, 0},
    {HealthSignal::Overloaded, 0, 0},
    {HealthSignal::Declined, 8, 8},
    {HealthSignal::ServerError, 1, 8},
    {HealthSignal::Broken, 4, 8},
    {HealthSignal::Unreachable, 0, 0}, // Handled by probes.
    {HealthSignal::TimedOut, 8, 8},
}};

/** First time for which the circuit stays open; doubles with further failures. */
constexpr Duration InitialOpenTime = millis(300);
constexpr Duration MaxOpenTime = millis(2'000);

/** Delay of the first probe of an unreachable endpoint; doubles with each failed probe. */
constexpr Duration InitialProbeDelay = millis(150);
constexpr Duration MaxProbeDelay = millis(1'200);
/** An endpoint is reported as unreachable for this long: three reports or more. */
constexpr Duration UnreachableReportWindow = millis(1'000);
/** A response within this time outweighs a peer's report that the endpoint is unreachable. */
constexpr Duration MaxHealthyAge = millis(300);

/** Within this time after an endpoint is reached again, its entry shows whether it has restarted.
 */
constexpr Duration EntryDelay = millis(3'000);
/**
 * A list that was confirmed longer ago may lack restarts that other instances know. In a calm fleet
 * it is confirmed within three seconds.
 */
constexpr Duration MaxListAge = millis(4'000);

/** Smoothing factor of an engine's measured speed. */
constexpr double SpeedSmoothing = 0.1;
/** Shorter prefill times measure fixed costs rather than the speed. */
constexpr double MinSampleMillis = 80;
/** Speeds beyond these limits measure something else: a stalled engine, or a cached prompt. */
constexpr double MinSpeed = 0.1;
constexpr double MaxSpeed = 4;
/** A decayed failure count below this is ignored. */
constexpr double NegligibleFailures = 0.05;
/** Capacity for start times of erased endpoints: far more than leave within minutes. */
constexpr std::size_t MaxRememberedStarts = 2'048;
/** Between the clocks of an endpoint and of this instance. */
constexpr std::int64_t MaxClockSkewMillis = 10'000;

const HealthRule &ruleFor(HealthSignal signal)
{
    return *std::find_if(HealthRules.begin(), HealthRules.end(),
                         [&](const HealthRule &rule) { return rule.signal_ == signal; });
}

Duration openTimeFor(int failures, int openThreshold)
{
    Duration openTime = InitialOpenTime;
    for (int step = openThreshold; step < failures && openTime < MaxOpenTime;
         step += openThreshold / 2) {
        openTime *= 2;
    }
    return std::min(openTime, MaxOpenTime);
}

} // namespace

SlotUse Endpoint::fleetSlotUse() const noexcept
{
    SlotUse use = slotUse_;
    use.add(peerSlotUse_);
    return use;
}

std::int64_t Endpoint::fleetQueuedTokens(int urgency) const noexcept
{
    return queued_.ahead(urgency) + peerQueued_.ahead(urgency);
}

bool Endpoint::isIdle(TimePoint now) const noexcept
{
    const bool hasRequests =
        openRequests_ > 0 || fleetSlotUse().all() > 0 || fleetQueuedTokens() > 0;
    const bool hasFailures = recentFailures_.at(now) >= NegligibleFailures
                             || peerFailures_ >= NegligibleFailures
                             || unreachableAt_ + UnreachableReportWindow > now;
    return !hasRequests && !hasFailures && !awaitsProbe_ && changingUntil_ <= now;
}

std::string_view Endpoint::stateName(TimePoint now) const noexcept
{
    if (!isListed_) {
        return "leaving";
    }
    if (isDraining()) {
        return "draining";
    }
    if (changingUntil_ > now) {
        return "changing";
    }
    if (awaitsProbe_) {
        return "unreachable";
    }
    return circuitOpenUntil_ > now || trialInFlight_ ? "distrusted" : "usable";
}

ListingChange EndpointTable::list(const ListedEndpoint &listed, TimePoint now)
{
    const std::int64_t known = lastKnownStart(listed.id_);
    // Old entries may arrive late and in any order: only a later start is a restart.
    if (listed.startedAtMillis_ != 0 && listed.startedAtMillis_ < known) {
        return ListingChange::Unchanged;
    }
    const auto [place, added] = endpoints_.try_emplace(listed.id_);
    Endpoint &endpoint = place->second;
    const bool restarted = !added && known != 0 && listed.startedAtMillis_ > known;
    const bool changed = added || !endpoint.isListed_ || endpoint.listed_ != listed;
    if (restarted) {
        restart(endpoint, now);
        limits_.forget(listed.id_);
    } else if (!added && endpoint.listed_.stage_ != listed.stage_) {
        endpoint.changingUntil_ = {}; // The stage change is complete.
    }
    endpoint.listed_ = listed;
    endpoint.listed_.startedAtMillis_ = std::max(known, listed.startedAtMillis_);
    endpoint.isListed_ = true;
    if (added && known == 0 && mayBeOutdated(listed)) {
        endpoint.provenAsOf_ = now + EntryDelay;
    }
    if (added) {
        endpoint.loadAt_ = now;
        endpoint.idHash_ = nameHash(listed.id_.value());
    }
    if (restarted) {
        return ListingChange::Restarted;
    }
    return changed ? ListingChange::Changed : ListingChange::Unchanged;
}

SoftwareVersion EndpointTable::streamVersionAt(const Endpoint &endpoint, TimePoint now) const
{
    const bool canRestart = endpoint.listed_.startedAtMillis_ != 0;
    const bool isListOld = listedAsOf_ != TimePoint {} && now > listedAsOf_ + MaxListAge;
    const bool isInDoubt = endpoint.provenAsOf_ > listedAsOf_ || (canRestart && isListOld);
    return isInDoubt ? SoftwareVersion() : endpoint.versionAt(now);
}

void EndpointTable::onPause(TimePoint now)
{
    for (auto &[id, endpoint] : endpoints_) {
        if (endpoint.listed_.startedAtMillis_ != 0) {
            endpoint.provenAsOf_ = now + EntryDelay;
        }
    }
}

bool EndpointTable::mayBeOutdated(const ListedEndpoint &listed) const
{
    return ownStartMillis_ != 0 && listed.startedAtMillis_ != 0
           && listed.startedAtMillis_ < ownStartMillis_ + MaxClockSkewMillis;
}

/** Latest reported start time of an endpoint, even if it was erased; 0 if there is none. */
std::int64_t EndpointTable::lastKnownStart(const EndpointId &id) const
{
    if (const Endpoint *endpoint = find(id)) {
        return endpoint->listed_.startedAtMillis_;
    }
    const auto found = lastStarts_.find(id);
    return found != lastStarts_.end() ? found->second : 0;
}

/** Resets queues, load, health and orders, none of which carry over to a new process. */
void EndpointTable::restart(Endpoint &endpoint, TimePoint now)
{
    Endpoint fresh;
    fresh.lifetime_ = endpoint.lifetime_ + 1;
    fresh.openRequests_ = endpoint.openRequests_;
    fresh.idHash_ = endpoint.idHash_;
    fresh.loadAt_ = now;
    endpoint = fresh;
}

bool EndpointTable::unlist(const EndpointId &id)
{
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end() || !found->second.isListed_) {
        return false;
    }
    found->second.isListed_ = false;
    eraseIfUnused(id);
    return true;
}

Endpoint *EndpointTable::find(const EndpointId &id)
{
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end()) {
        return nullptr;
    }
    active_.emplace(id, &found->second);
    return &found->second;
}

const Endpoint *EndpointTable::find(const EndpointId &id) const
{
    const auto found = endpoints_.find(id);
    return found != endpoints_.end() ? &found->second : nullptr;
}

void EndpointTable::deactivateIdle(TimePoint now)
{
    std::erase_if(active_, [&](const auto &entry) { return entry.second->isIdle(now); });
}

std::vector<const Endpoint *> EndpointTable::listed(const ServiceId &service) const
{
    std::vector<const Endpoint *> found;
    for (const auto &[id, endpoint] : endpoints_) {
        if (endpoint.isListed_ && !endpoint.isDraining() && endpoint.listed_.service_ == service) {
            found.push_back(&endpoint);
        }
    }
    return found;
}

bool EndpointTable::hasVersion(const ServiceId &service, const SoftwareVersion &version) const
{
    const std::vector<const Endpoint *> found = listed(service);
    return std::any_of(found.begin(), found.end(), [&](const Endpoint *endpoint) {
        return isSameVersion(endpoint->listed_.version_, version);
    });
}

std::vector<const Endpoint *> EndpointTable::available(const ServiceId &service,
                                                       TimePoint now) const
{
    std::vector<const Endpoint *> found = listed(service);
    std::erase_if(found, [&](const Endpoint *endpoint) {
        // The circuit is open until a time, and then half-open until the trial request ends.
        return endpoint->circuitOpenUntil_ > now || endpoint->trialInFlight_
               || endpoint->awaitsProbe_ || endpoint->changingUntil_ > now;
    });
    return found;
}

std::vector<const Endpoint *> EndpointTable::usable(const ServiceId &service, TimePoint now) const
{
    std::vector<const Endpoint *> found = available(service, now);
    for (const Endpoint *endpoint : outliersAmong(found, now)) {
        std::erase(found, endpoint);
    }
    std::erase_if(found, [&](const Endpoint *endpoint) { return !admits(*endpoint, now); });
    return found;
}

bool EndpointTable::admits(const Endpoint &endpoint, TimePoint now) const
{
    return !endpoint.announcedShutdown_ && admitsAt(endpoint, now) <= now;
}

TimePoint EndpointTable::admitsAt(const Endpoint &endpoint, TimePoint now) const
{
    return std::max(endpoint.backoffUntil_,
                    limits_.allowedAt(endpoint.listed_.id_, endpoint.sent_, now));
}

std::optional<TimePoint> EndpointTable::admitsAt(const ServiceId &service, TimePoint now) const
{
    std::optional<TimePoint> earliest;
    for (const Endpoint *endpoint : available(service, now)) {
        const TimePoint at = admitsAt(*endpoint, now);
        earliest = earliest ? std::min(*earliest, at) : at;
    }
    return earliest;
}

std::vector<const Endpoint *> EndpointTable::outliers(TimePoint now) const
{
    std::set<ServiceId> services;
    for (const auto &[id, endpoint] : active_) {
        if (endpoint->fleetFailures(now) >= MinFailures) {
            services.insert(endpoint->listed_.service_);
        }
    }
    std::vector<const Endpoint *> found;
    for (const ServiceId &service : services) {
        const std::vector<const Endpoint *> ofService = outliersAmong(available(service, now), now);
        found.insert(found.end(), ofService.begin(), ofService.end());
    }
    return found;
}

std::vector<const Endpoint *>
EndpointTable::outliersAmong(const std::vector<const Endpoint *> &endpoints, TimePoint now) const
{
    std::vector<const Endpoint *> found;
    const bool anyFails = std::any_of(active_.begin(), active_.end(), [&](const auto &entry) {
        return entry.second->fleetFailures(now) >= MinFailures;
    });
    if (!anyFails) {
        return found;
    }
    for (const auto &[stage, name] : StageNames) {
        std::vector<const Endpoint *> group;
        std::vector<double> failures;
        double sends = 0;
        for (const Endpoint *endpoint : endpoints) {
            if (endpoint->listed_.stage_ == stage) {
                group.push_back(endpoint);
                failures.push_back(endpoint->fleetFailures(now));
                sends += endpoint->recentSends_.at(now);
            }
        }
        if (group.empty()) {
            continue;
        }
        const double expected = sends * instances_ / static_cast<double>(group.size());
        for (const std::size_t index : findFailureOutliers(failures, expected)) {
            found.push_back(group[index]);
        }
    }
    return found;
}

void EndpointTable::onChanging(const EndpointId &id, TimePoint until)
{
    Endpoint *endpoint = find(id);
    if (endpoint != nullptr) {
        endpoint->changingUntil_ = std::max(endpoint->changingUntil_, until);
    }
}

void EndpointTable::onSent(const EndpointId &id, int urgency, std::int64_t promptTokens,
                           TimePoint now)
{
    Endpoint *endpoint = find(id);
    if (endpoint == nullptr) {
        return;
    }
    endpoint->slotUse_.add(urgency >= FirstLateUrgency);
    ++endpoint->openRequests_;
    endpoint->recentSends_.add(1, now);
    endpoint->queued_.add(urgency, promptTokens);
    if (endpoint->circuitOpenUntil_ != TimePoint {}) {
        endpoint->trialInFlight_ = true;
    }
}

void EndpointTable::onPrefilled(const EndpointId &id, int urgency, std::int64_t promptTokens)
{
    Endpoint *endpoint = find(id);
    if (endpoint != nullptr) {
        endpoint->queued_.remove(urgency, promptTokens);
    }
}

void EndpointTable::onPrefillTime(const EndpointId &id, double expectedMillis, double milliseconds)
{
    Endpoint *endpoint = find(id);
    if (endpoint == nullptr || expectedMillis < MinSampleMillis || milliseconds <= 0) {
        return;
    }
    const double speed = std::clamp(expectedMillis / milliseconds, MinSpeed, MaxSpeed);
    endpoint->prefillSpeed_ += SpeedSmoothing * (speed - endpoint->prefillSpeed_);
}

void EndpointTable::onClosed(const EndpointId &id, int urgency)
{
    Endpoint *endpoint = find(id);
    if (endpoint == nullptr) {
        return;
    }
    endpoint->slotUse_.remove(urgency >= FirstLateUrgency);
    --endpoint->openRequests_;
    if (endpoint->outstanding() == 0) {
        endpoint->trialInFlight_ = false;
    }
    eraseIfUnused(id);
}

void EndpointTable::onClosedOfEarlierLifetime(const EndpointId &id)
{
    if (Endpoint *endpoint = find(id)) {
        --endpoint->openRequests_;
        eraseIfUnused(id);
    }
}

void EndpointTable::eraseIfUnused(const EndpointId &id)
{
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end() || found->second.isListed_ || found->second.openRequests_ > 0) {
        return;
    }
    if (lastStarts_.size() >= MaxRememberedStarts) {
        // If a late entry brings an endpoint back, its first request fails and takes it out.
        lastStarts_.clear();
    }
    if (found->second.listed_.startedAtMillis_ != 0) {
        lastStarts_[id] = found->second.listed_.startedAtMillis_;
    }
    active_.erase(id);
    limits_.forget(id);
    endpoints_.erase(found);
}

void EndpointTable::onLoad(const EndpointId &id, const LoadSample &load, TimePoint now)
{
    Endpoint *endpoint = find(id);
    if (endpoint != nullptr) {
        endpoint->load_ = load;
        endpoint->loadAt_ = now;
        if (load.workTimePercent_) {
            endpoint->workTime_.add(*load.workTimePercent_, now);
        }
    }
}

void EndpointTable::scheduleProbe(Endpoint &endpoint, TimePoint probeAt)
{
    if (!endpoint.awaitsProbe_) {
        endpoint.awaitsProbe_ = true;
        endpoint.probeAt_ = probeAt;
    }
}

void EndpointTable::cancelProbe(Endpoint &endpoint)
{
    endpoint.awaitsProbe_ = false;
    endpoint.failedProbes_ = 0;
}

void EndpointTable::onSuspected(const EndpointId &id, TimePoint now)
{
    if (Endpoint *endpoint = find(id)) {
        scheduleProbe(*endpoint, now);
    }
}

void EndpointTable::onPeerReportedUnreachable(const EndpointId &id, TimePoint now)
{
    Endpoint *endpoint = find(id);
    // Several reports of several peers name the same endpoint: one probe covers them all.
    if (endpoint != nullptr && endpoint->healthyAt_ + MaxHealthyAge < now
        && endpoint->probeSucceededAt_ + UnreachableReportWindow < now) {
        scheduleProbe(*endpoint, now);
    }
}

std::vector<EndpointId> EndpointTable::takeDueProbes(TimePoint now)
{
    std::vector<EndpointId> due;
    for (const auto &[id, endpoint] : active_) {
        if (endpoint->awaitsProbe_ && endpoint->isListed_ && endpoint->probeAt_ <= now) {
            due.push_back(id);
        }
    }
    for (const EndpointId &id : due) {
        find(id)->probeAt_ = TimePoint::max();
    }
    return due;
}

void EndpointTable::onConnectFailed(Endpoint &endpoint)
{
    if (endpoint.listed_.startedAtMillis_ != 0) {
        endpoint.mayHaveRestartedUntil_ = TimePoint::max();
    }
}

void EndpointTable::onReachedAgain(Endpoint &endpoint, TimePoint now)
{
    if (endpoint.mayHaveRestartedUntil_ == TimePoint::max()) {
        endpoint.mayHaveRestartedUntil_ = now + EntryDelay;
    }
}

void EndpointTable::onProbed(const EndpointId &id, bool reached, TimePoint now)
{
    Endpoint *endpoint = find(id);
    if (endpoint == nullptr || !endpoint->awaitsProbe_) {
        return;
    }
    if (reached) {
        cancelProbe(*endpoint);
        endpoint->probeSucceededAt_ = now;
        onReachedAgain(*endpoint, now);
        return;
    }
    onConnectFailed(*endpoint);
    ++endpoint->failedProbes_;
    constexpr int MaxDoublings = 3;
    const Duration pause =
        InitialProbeDelay * (1 << std::min(endpoint->failedProbes_, MaxDoublings));
    endpoint->probeAt_ = now + std::min(pause, MaxProbeDelay);
}

bool EndpointTable::hasUnreachable(const ServiceId &service) const
{
    return std::any_of(active_.begin(), active_.end(), [&](const auto &entry) {
        const Endpoint &endpoint = *entry.second;
        return endpoint.awaitsProbe_ && endpoint.isListed_ && !endpoint.isDraining()
               && endpoint.listed_.service_ == service;
    });
}

void EndpointTable::probeSoon(TimePoint now)
{
    for (const auto &[id, active] : active_) {
        Endpoint &endpoint = endpoints_.at(id);
        const bool isRunning = endpoint.probeAt_ == TimePoint::max();
        if (endpoint.awaitsProbe_ && !isRunning) {
            endpoint.probeAt_ = now;
        }
    }
}

void EndpointTable::forgetFailures()
{
    for (const auto &[id, active] : active_) {
        Endpoint &endpoint = endpoints_.at(id);
        endpoint.recentFailures_ = {};
        endpoint.failureScore_ = 0;
        endpoint.circuitOpenUntil_ = {};
        endpoint.trialInFlight_ = false;
    }
}

std::vector<EndpointId> EndpointTable::recentlyUnreachable(TimePoint now) const
{
    std::vector<EndpointId> found;
    for (const auto &[id, endpoint] : active_) {
        const bool isRecent = endpoint->unreachableAt_ != TimePoint {}
                              && endpoint->unreachableAt_ + UnreachableReportWindow > now
                              && endpoint->unreachableAt_ > endpoint->healthyAt_;
        if (isRecent && endpoint->isListed_) {
            found.push_back(id);
        }
    }
    return found;
}

void EndpointTable::onHandoverRefused(const EndpointId &source, const EndpointId &target,
                                      TimePoint now)
{
    for (const EndpointId &id : {source, target}) {
        if (Endpoint *endpoint = find(id)) {
            endpoint->recentFailures_.add(1, now);
        }
    }
}

bool EndpointTable::onHealthSignal(const EndpointId &id, HealthSignal signal, TimePoint now)
{
    Endpoint *endpoint = find(id);
    if (endpoint == nullptr) {
        return false;
    }
    const bool wasAvailable =
        endpoint->circuitOpenUntil_ == TimePoint {} && !endpoint->awaitsProbe_;
    const HealthRule &rule = ruleFor(signal);
    endpoint->trialInFlight_ = false;
    if (signal == HealthSignal::Unreachable || signal == HealthSignal::TimedOut) {
        endpoint->unreachableAt_ = now;
    }
    if (signal == HealthSignal::Unreachable) {
        onConnectFailed(*endpoint);
        scheduleProbe(*endpoint, now + InitialProbeDelay);
        return wasAvailable;
    }
    if (signal == HealthSignal::TimedOut) {
        scheduleProbe(*endpoint, now); // Hung or gone: a probe shows which.
    }
    if (signal == HealthSignal::Healthy) {
        cancelProbe(*endpoint);
        onReachedAgain(*endpoint, now);
        endpoint->healthyAt_ = now;
    }
    if (rule.failureWeight_ == 0) {
        endpoint->failureScore_ = 0;
        endpoint->circuitOpenUntil_ = {};
        return !wasAvailable;
    }
    endpoint->failureScore_ += rule.failureWeight_;
    endpoint->recentFailures_.add(1, now);
    if (endpoint->failureScore_ < rule.openThreshold_) {
        return false;
    }
    endpoint->circuitOpenUntil_ = now + openTimeFor(endpoint->failureScore_, rule.openThreshold_);
    return wasAvailable;
}

} // namespace almondridge::gateway
