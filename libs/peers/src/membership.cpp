#include "membership.h"

#include "rendezvous.h"

#include <algorithm>
#include <utility>

namespace almondridge::peers {
namespace {

/** Seed addresses probed per call of advance(); other members are learned from those found. */
constexpr std::size_t MaxSeedProbes = 3;
/** An instance known only from lists, never alive, is removed after this many timeouts. */
constexpr int UnconfirmedTimeouts = 10;

} // namespace

Membership::Membership(MembershipSettings settings)
    : settings_(std::move(settings))
    , intervals_ {settings_.interval_, settings_.interval_}
{
    refreshDerivedState();
}

void Membership::seed(const std::vector<PeerAddress> &addresses, TimePoint now)
{
    std::vector<Seed> seeds;
    for (const PeerAddress &address : addresses) {
        const auto same = [&](const Seed &seed) { return seed.address_ == address; };
        const auto known = std::find_if(seeds_.begin(), seeds_.end(), same);
        const bool duplicate = std::any_of(seeds.begin(), seeds.end(), same);
        if (duplicate || address == settings_.self_.address_ || seeds.size() == MaxMembers) {
            continue;
        }
        seeds.push_back(known == seeds_.end() ? Seed {address, {}, false, 0, now} : *known);
    }
    seeds_ = std::move(seeds);
    refreshSeeds();
    lowerScanDeadline(now);
}

HeartbeatResult Membership::onHeartbeat(const Heartbeat &heartbeat, TimePoint now,
                                        const std::optional<PeerAddress> &answeringAddress)
{
    const PeerIdentity &sender = heartbeat.sender_;
    if (answeringAddress) {
        onSeedAnswered(*answeringAddress, sender.instance_);
    }
    if (sender.instance_ == settings_.self_.instance_) {
        if (sender.incarnation_ != settings_.self_.incarnation_) {
            events_.push_back({MemberEventKind::DuplicateId, sender});
        }
        return HeartbeatResult::Self;
    }
    const bool known = records_.count(sender.instance_) != 0;
    if (!known && records_.size() >= MaxMembers) {
        return HeartbeatResult::TooMany;
    }
    Record &record = known ? records_.at(sender.instance_) : insert(sender, now);
    if (record.incarnation_ != sender.incarnation_) {
        // A process that was paused while another took over its id must not reclaim the id.
        // Incarnations come from wall clocks, which can be wrong, so a lower incarnation is
        // accepted once the higher one is dead.
        if (sender.incarnation_ < record.incarnation_ && record.member_.alive_) {
            return HeartbeatResult::OldIncarnation;
        }
        restart(record, sender);
    }
    const bool fresh = heartbeat.sequence_ > record.sequence_;
    if (fresh) {
        applyHeartbeat(record, heartbeat);
    }
    extendDeadlines(record, heartbeat, now);
    resolveAddressConflict(record, record.member_.address_,
                           answeringAddress == record.member_.address_, now);
    if (answeringAddress) {
        resolveAddressConflict(record, *answeringAddress, true, now);
    }
    refreshDerivedState();
    applyIndirectReports(heartbeat, now);
    refreshDerivedState();
    return fresh ? HeartbeatResult::Fresh : HeartbeatResult::Stale;
}

void Membership::onSeedAnswered(const PeerAddress &address, const InstanceId &instance)
{
    for (Seed &seed : seeds_) {
        if (seed.address_ == address) {
            changed_ = changed_ || seed.instance_ != instance;
            seed.instance_ = instance;
            seed.failures_ = 0;
        }
    }
    refreshDerivedState();
}

void Membership::extendDeadlines(Record &record, const Heartbeat &heartbeat, TimePoint now)
{
    record.directOnly_ = false;
    record.direct_ = true;
    record.failures_ = 0;
    record.directDeadline_ = now + timeoutFor(heartbeat.nextWithinMillis_);
    revive(record, record.directDeadline_);
    record.nextHeartbeat_ = nextExchange(record, now);
    lowerScanDeadline(record.nextHeartbeat_);
}

/** Applies the contents of a heartbeat. Leaving is final for an incarnation. */
void Membership::applyHeartbeat(Record &record, const Heartbeat &heartbeat)
{
    Member &member = record.member_;
    const bool startsLeaving = heartbeat.sender_.leaving_ && !member.leaving_;
    const bool moved = !(member.address_ == heartbeat.sender_.address_)
                       || member.domain_ != heartbeat.sender_.domain_;
    changed_ = changed_ || startsLeaving || moved;
    record.sequence_ = heartbeat.sequence_;
    record.hashesKnown_ = true;
    record.receiverDomainHash_ = heartbeat.receiverDomainHash_;
    record.fleetHash_ = heartbeat.fleetHash_;
    member.domain_ = heartbeat.sender_.domain_;
    member.address_ = heartbeat.sender_.address_;
    member.leaving_ = member.leaving_ || heartbeat.sender_.leaving_;
    member.digest_ = heartbeat.digest_;
    if (startsLeaving) {
        report(MemberEventKind::Leaving, record);
    }
}

void Membership::onNoAnswer(const PeerAddress &address, TimePoint now)
{
    for (auto record = records_.begin(); record != records_.end();) {
        Member &member = record->second.member_;
        if (!(member.address_ == address)) {
            ++record;
        } else if (member.leaving_) {
            // A member that announced its shutdown and does not answer has stopped.
            record = drop(record, MemberEventKind::Left);
        } else {
            ++record->second.failures_;
            ++record;
        }
    }
    for (Seed &seed : seeds_) {
        if (seed.address_ == address) {
            ++seed.failures_;
            seed.nextProbe_ = now + backoff(seed.failures_);
            lowerScanDeadline(seed.nextProbe_);
        }
    }
    refreshDerivedState();
}

std::vector<HeartbeatTarget> Membership::advance(TimePoint now)
{
    std::vector<HeartbeatTarget> due;
    if (now < scanDeadline_) {
        return due;
    }
    expire(now);
    refreshDerivedState();
    collectDueMembers(now, due);
    collectDueSeeds(now, due);
    scanDeadline_ = earliestDeadline();
    return due;
}

void Membership::expire(TimePoint now)
{
    for (auto entry = records_.begin(); entry != records_.end();) {
        Record &record = entry->second;
        if (record.member_.alive_ && record.member_.heartbeatDeadline_ <= now) {
            changed_ = true;
            record.directOnly_ = record.linked_;
            record.member_.alive_ = false;
            record.nextHeartbeat_ = now;
            record.dropDeadline_ = now + settings_.deadRetention_;
            if (record.member_.leaving_) {
                entry = drop(entry, MemberEventKind::Left);
                continue;
            }
            report(MemberEventKind::Suspected, record);
        }
        if (record.direct_ && record.directDeadline_ <= now) {
            record.direct_ = false;
            changed_ = true;
        }
        if (!record.member_.alive_ && record.dropDeadline_ <= now) {
            entry = drop(entry, MemberEventKind::Dropped);
            continue;
        }
        ++entry;
    }
}

void Membership::collectDueMembers(TimePoint now, std::vector<HeartbeatTarget> &due)
{
    std::vector<Record *> dead;
    for (auto &[instance, record] : records_) {
        if (record.nextHeartbeat_ > now) {
            continue;
        }
        if (!record.member_.alive_) {
            dead.push_back(&record);
        } else if (record.linked_ || record.urgent_) {
            due.push_back({record.member_.address_, instance});
            record.urgent_ = false;
            // Until it is answered, retry after the unstretched interval: the receiver's deadline
            // is based on the interval announced before the last stretch.
            record.nextHeartbeat_ = now + settings_.interval_;
        }
    }
    // If a whole domain is unreachable, retry only a few of its members at a time, the longest
    // overdue first. Each then backs off, so the others follow.
    std::sort(dead.begin(), dead.end(), [](const Record *left, const Record *right) {
        return left->nextHeartbeat_ < right->nextHeartbeat_;
    });
    std::map<DomainId, std::size_t> crossDomainProbes;
    for (Record *record : dead) {
        const DomainId &domain = record->member_.domain_;
        const bool ownDomain = domain == settings_.self_.domain_;
        if (ownDomain || crossDomainProbes[domain]++ < GatewaysPerDomain) {
            due.push_back({record->member_.address_, record->member_.instance_});
        }
        record->nextHeartbeat_ = now + backoff(record->failures_);
    }
}

void Membership::collectDueSeeds(TimePoint now, std::vector<HeartbeatTarget> &due)
{
    const auto isDue = [&](const Seed &seed) {
        return seed.nextProbe_ <= now && !seed.usedByMember_;
    };
    // Seeds that are not due go to the back, behind those still to be tried.
    std::stable_partition(seeds_.begin(), seeds_.end(), isDue);
    std::size_t tries = 0;
    for (Seed &seed : seeds_) {
        if (!isDue(seed)) {
            return;
        }
        if (tries < MaxSeedProbes) {
            due.push_back({seed.address_});
            ++tries;
        }
        seed.nextProbe_ = now + backoff(seed.failures_);
    }
}

void Membership::scheduleHeartbeatsNow(TimePoint now)
{
    for (auto &[instance, record] : records_) {
        if (record.member_.alive_ && (record.linked_ || record.direct_)) {
            record.nextHeartbeat_ = now;
            record.urgent_ = true;
        }
    }
    lowerScanDeadline(now);
}

void Membership::lowerScanDeadline(TimePoint deadline) noexcept
{
    scanDeadline_ = std::min(scanDeadline_, deadline);
}

TimePoint Membership::earliestDeadline() const
{
    TimePoint next = TimePoint::max();
    for (const auto &[instance, record] : records_) {
        const bool tried = record.linked_ || record.urgent_ || !record.member_.alive_;
        next = std::min(next, tried ? record.nextHeartbeat_ : next);
        next = std::min(next, record.member_.alive_ ? record.member_.heartbeatDeadline_
                                                    : record.dropDeadline_);
    }
    for (const Seed &seed : seeds_) {
        next = std::min(next, seed.usedByMember_ ? next : seed.nextProbe_);
    }
    return next;
}

PeerIdentity Membership::identityOf(const Record &record) const
{
    const Member &member = record.member_;
    return {member.instance_, member.domain_, member.address_, record.incarnation_,
            member.leaving_};
}

void Membership::report(MemberEventKind kind, const Record &record)
{
    if (record.joined_) {
        events_.push_back({kind, identityOf(record)});
    }
}

Membership::Record &Membership::insert(const PeerIdentity &identity, TimePoint now)
{
    Record &record = records_[identity.instance_];
    record.member_.instance_ = identity.instance_;
    record.member_.domain_ = identity.domain_;
    record.member_.address_ = identity.address_;
    record.incarnation_ = identity.incarnation_;
    record.weight_ = gatewayWeight(settings_.self_.instance_, identity.instance_);
    record.nextHeartbeat_ = now;
    record.dropDeadline_ = now + UnconfirmedTimeouts * settings_.timeout_;
    changed_ = true;
    return record;
}

Membership::Records::iterator Membership::drop(Records::iterator record, MemberEventKind kind)
{
    report(kind, record->second);
    changed_ = true;
    return records_.erase(record);
}

void Membership::revive(Record &record, TimePoint deadline)
{
    Member &member = record.member_;
    member.heartbeatDeadline_ = std::max(member.heartbeatDeadline_, deadline);
    if (member.alive_) {
        return;
    }
    const bool again = std::exchange(record.joined_, true);
    member.alive_ = true;
    report(again ? MemberEventKind::Back : MemberEventKind::Joined, record);
    if (!again && member.leaving_) {
        report(MemberEventKind::Leaving, record);
    }
    changed_ = true;
}

void Membership::restart(Record &record, const PeerIdentity &identity)
{
    record.incarnation_ = identity.incarnation_;
    record.sequence_ = 0;
    record.directOnly_ = false;
    record.hashesKnown_ = false;
    record.member_.domain_ = identity.domain_;
    record.member_.address_ = identity.address_;
    record.member_.leaving_ = false;
    record.member_.digest_ = nullptr;
    report(MemberEventKind::Restarted, record);
    changed_ = true;
}

/**
 * Resolves two members with the same address, which occurs when an instance is replaced and its
 * address is reused. An instance that answered at the address owns it (certain). An instance that
 * only claims it owns it unless the other member is alive; then that member is probed.
 */
void Membership::resolveAddressConflict(const Record &owner, const PeerAddress &address,
                                        bool confirmed, TimePoint now)
{
    for (auto entry = records_.begin(); entry != records_.end();) {
        Record &other = entry->second;
        if (&other == &owner || !(other.member_.address_ == address)) {
            ++entry;
        } else if (confirmed || !other.member_.alive_) {
            entry = drop(entry, MemberEventKind::AddressTaken);
        } else {
            other.nextHeartbeat_ = now;
            lowerScanDeadline(now);
            ++entry;
        }
    }
}

void Membership::setLeaving()
{
    settings_.self_.leaving_ = true;
    changed_ = true;
    refreshDerivedState();
}

std::vector<Member> Membership::members() const
{
    std::vector<Member> members;
    for (const auto &[instance, record] : records_) {
        if (record.joined_) {
            members.push_back(record.member_);
        }
    }
    return members;
}

std::optional<Member> Membership::member(const InstanceId &instance) const
{
    const auto found = records_.find(instance);
    if (found == records_.end() || !found->second.joined_) {
        return std::nullopt;
    }
    return found->second.member_;
}

std::vector<MemberEvent> Membership::takeEvents()
{
    return std::exchange(events_, {});
}

} // namespace almondridge::peers
