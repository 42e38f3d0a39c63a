#include "crashguard.h"

#include "almondridge/base/log.h"
#include "call.h"

#include <algorithm>
#include <utility>

namespace almondridge::gateway {
namespace {

/** By then, all connections to a crashed endpoint have broken. */
constexpr Duration CrashRetention = millis(30'000);

CrashKey crashKeyOf(const ListedEndpoint &listed)
{
    return static_cast<CrashKey>(
        rendezvousWeight(listed.id_.value(), static_cast<std::uint64_t>(listed.startedAtMillis_)));
}

CrashGroup groupOf(const ListedEndpoint &listed)
{
    return static_cast<CrashGroup>(
        rendezvousWeight(listed.service_.value(), static_cast<std::uint64_t>(listed.stage_)));
}

/** Another endpoint has to be reached within this time to show that an unreachable one crashed. */
constexpr Duration ProofTime = millis(3'000);

/** An endpoint that is draining or unlisted may close its connections without a crash. */
bool isExpectedToServe(const Endpoint *endpoint)
{
    return endpoint != nullptr && endpoint->isListed_ && !endpoint->isDraining();
}

void insertAll(const RequestKeys &keys, std::set<RequestKey> &into)
{
    into.insert(keys.own_);
    into.insert(keys.parts_.begin(), keys.parts_.end());
}

} // namespace

CrashGuard::CrashGuard(GatewayState &gateway)
    : gateway_(gateway)
    , leaseHolder_(std::random_device {}())
{ }

void CrashGuard::onConnectionBroken(const EndpointId &id, std::uint64_t lifetime,
                                    const RequestKeys &keys)
{
    const Endpoint *endpoint = gateway_.table_.find(id);
    if (!isExpectedToServe(endpoint) || endpoint->lifetime_ != lifetime) {
        return;
    }
    if (knownCrashes_.contains(crashKeyOf(endpoint->listed_))) {
        std::set<RequestKey> inFlight;
        insertAll(keys, inFlight);
        onCrashed(*endpoint, std::move(inFlight));
        return;
    }
    const bool probeRunning = pendingProbes_.contains(id);
    pendingProbes_[id].lifetime_ = lifetime;
    insertAll(keys, pendingProbes_[id].inFlight_);
    if (!probeRunning) {
        const TimePoint connectDeadline =
            BootClock::now() + millis(gateway_.settings_.connectTimeoutMillis_);
        gateway_.client_.open(id.value(), endpoint->listed_.address_, connectDeadline,
                              [this, id](bool reached) { onProbed(id, reached); });
    }
}

void CrashGuard::onProbed(const EndpointId &id, bool reached)
{
    const auto node = pendingProbes_.extract(id);
    const Endpoint *endpoint = gateway_.table_.find(id);
    if (node.empty() || reached || !isExpectedToServe(endpoint)
        || endpoint->lifetime_ != node.mapped().lifetime_) {
        return;
    }
    onUnreachable(*endpoint, node.mapped().inFlight_);
}

void CrashGuard::onConnectFailed(const EndpointId &id)
{
    const Endpoint *endpoint = gateway_.table_.find(id);
    if (isExpectedToServe(endpoint) && endpoint->outstanding() > 0
        && !knownCrashes_.contains(crashKeyOf(endpoint->listed_))) {
        onUnreachable(*endpoint, {});
    }
}

std::set<RequestKey> CrashGuard::keysOn(const Endpoint &endpoint) const
{
    std::set<RequestKey> running;
    for (const auto &[number, call] : gateway_.calls_.all()) {
        if (call->isRunningOn(endpoint.listed_.id_, endpoint.lifetime_)) {
            insertAll(call->keys(), running);
        }
    }
    return running;
}

void CrashGuard::onUnreachable(const Endpoint &endpoint, std::set<RequestKey> inFlight)
{
    const EndpointId &id = endpoint.listed_.id_;
    const TimePoint now = BootClock::now();
    if (!endpoint.awaitsProbe_) {
        gateway_.table_.onHealthSignal(id, HealthSignal::Unreachable, now);
    }
    if (gateway_.reach_.state() == Reach::Cut) {
        return;
    }
    inFlight.merge(keysOn(endpoint));
    UnprovenCrash &crash = unproven_[id];
    if (crash.lifetime_ != endpoint.lifetime_ || crash.at_ + ProofTime < now) {
        crash = {endpoint.lifetime_, now, {}};
    }
    crash.inFlight_.merge(inFlight);
}

void CrashGuard::onReached(const EndpointId &reached)
{
    unproven_.erase(reached);
    const TimePoint now = BootClock::now();
    for (auto &[id, crash] : std::exchange(unproven_, {})) {
        const Endpoint *endpoint = gateway_.table_.find(id);
        if (isExpectedToServe(endpoint) && endpoint->lifetime_ == crash.lifetime_
            && crash.at_ + ProofTime > now) {
            onCrashed(*endpoint, std::move(crash.inFlight_));
        }
    }
}

void CrashGuard::onCrashed(const Endpoint &endpoint, std::set<RequestKey> inFlight)
{
    const EndpointId &id = endpoint.listed_.id_;
    const TimePoint now = BootClock::now();
    inFlight.merge(keysOn(endpoint));
    std::erase_if(knownCrashes_,
                  [&](const auto &entry) { return entry.second.at_ + CrashRetention < now; });
    const CrashKey key = crashKeyOf(endpoint.listed_);
    const auto [place, added] = knownCrashes_.try_emplace(
        key, EndpointCrash {key, groupOf(endpoint.listed_), groupSize(endpoint), now});
    evidence_.onCrash(place->second, {inFlight.begin(), inFlight.end()}, now);
    if (added) {
        gateway_.metrics_.count("endpoints_crashed_total");
        logEvent(LogLevel::Warning, "endpoint_crashed",
                 {{"endpoint", id.value()},
                  {"requests", std::count_if(inFlight.begin(), inFlight.end(),
                                             [](RequestKey one) { return !isPartKey(one); })},
                  {"like_it", place->second.groupSize_}});
    }
}

int CrashGuard::groupSize(const Endpoint &endpoint) const
{
    const auto sameService = gateway_.table_.listed(endpoint.listed_.service_);
    return static_cast<int>(
        std::count_if(sameService.begin(), sameService.end(), [&](const Endpoint *one) {
            return one->listed_.stage_ == endpoint.listed_.stage_;
        }));
}

void CrashGuard::onCompleted(const RequestKeys &keys)
{
    if (evidence_.onCompleted(keys, BootClock::now())) {
        logEvent(LogLevel::Info, "request_cleared", {{"key", toString(keys.own_)}});
    }
}

Assessment CrashGuard::assess(const RequestKeys &request) const
{
    return evidence_.assess(request, BootClock::now());
}

bool CrashGuard::acquireLease(RequestKey key)
{
    return evidence_.acquireLease(key, leaseHolder_, BootClock::now());
}

void CrashGuard::renewLease(RequestKey key)
{
    evidence_.renewLease(key, leaseHolder_, BootClock::now());
}

bool CrashGuard::holdsLease(RequestKey key) const
{
    return evidence_.holdsLease(key, leaseHolder_, BootClock::now());
}

void CrashGuard::releaseLease(RequestKey key)
{
    evidence_.releaseLease(key, leaseHolder_);
}

} // namespace almondridge::gateway
