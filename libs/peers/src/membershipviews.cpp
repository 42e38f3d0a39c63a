/**
 * Membership: gossip of members between instances, their hashes, links and gateways.
 */
#include "membership.h"
#include "rendezvous.h"

#include <algorithm>
#include <unordered_set>

namespace almondridge::peers {
namespace {

/** Maximum members of the sender's own domain listed in one heartbeat. */
constexpr std::size_t MaxOwnDomainListed = 64;
/** Maximum members of other domains listed in one heartbeat; the next one continues the list. */
constexpr std::size_t MaxOtherDomainsListed = 8;
/** Indirect reports get twice the timeout, as they arrive one exchange later than heartbeats. */
constexpr int IndirectTimeouts = 2;

} // namespace

/** Applies what a heartbeat reports about instances other than its sender. */
void Membership::applyIndirectReports(const Heartbeat &heartbeat, TimePoint now)
{
    for (const PeerIdentity &listed : heartbeat.members_) {
        applyListedMember(listed, heartbeat, now);
    }
    const auto domainHash = domainHashes_.find(heartbeat.sender_.domain_);
    if (domainHash != domainHashes_.end() && domainHash->second == heartbeat.ownDomainHash_) {
        extendDomainDeadlines(heartbeat, now);
    }
}

void Membership::applyListedMember(const PeerIdentity &identity, const Heartbeat &from,
                                   TimePoint now)
{
    if (identity.instance_ == settings_.self_.instance_) {
        return;
    }
    auto found = records_.find(identity.instance_);
    if (found == records_.end()) {
        // A leaving instance is not added: it may have been removed here already.
        if (records_.size() >= MaxMembers || identity.leaving_) {
            return;
        }
        insert(identity, now);
        found = records_.find(identity.instance_);
    }
    Record &record = found->second;
    if (identity.incarnation_ < record.incarnation_) {
        return;
    }
    const bool newer = identity.incarnation_ > record.incarnation_;
    if (newer && record.member_.alive_ && record.direct_) {
        // Probe the member over its own link to confirm the restart.
        record.nextHeartbeat_ = now;
        record.urgent_ = true;
        lowerScanDeadline(now);
        return;
    }
    if (newer) {
        restart(record, identity);
    }
    // Only instances of its own domain have a direct link to every member of it.
    const bool senderHasDirectLink =
        identity.domain_ == from.sender_.domain_ && identity.domain_ != settings_.self_.domain_;
    const bool requiresDirectHeartbeat = record.directOnly_ || record.linked_;
    if (senderHasDirectLink && !requiresDirectHeartbeat) {
        changed_ = changed_ || identity.leaving_ != record.member_.leaving_;
        record.member_.leaving_ = record.member_.leaving_ || identity.leaving_;
        revive(record, now + IndirectTimeouts * timeoutFor(from.nextWithinMillis_));
    }
}

/** Extends the deadlines of all members of the sender's domain; both sides' hashes match. */
void Membership::extendDomainDeadlines(const Heartbeat &heartbeat, TimePoint now)
{
    const DomainId &domain = heartbeat.sender_.domain_;
    if (domain == settings_.self_.domain_) {
        return;
    }
    const TimePoint deadline = now + IndirectTimeouts * timeoutFor(heartbeat.nextWithinMillis_);
    for (auto &[instance, record] : records_) {
        Member &member = record.member_;
        if (member.alive_ && member.domain_ == domain && !record.linked_) {
            member.heartbeatDeadline_ = std::max(member.heartbeatDeadline_, deadline);
        }
    }
}

Heartbeat Membership::compose(const InstanceId &to, nlohmann::json digest)
{
    const auto hashOf = [&](const DomainId &domain) {
        const auto domainHash = domainHashes_.find(domain);
        return domainHash == domainHashes_.end() ? 0 : domainHash->second;
    };
    const auto receiver = records_.find(to);
    const bool known = receiver != records_.end();
    const DomainId domain = known ? receiver->second.member_.domain_ : settings_.self_.domain_;
    Heartbeat heartbeat;
    heartbeat.sender_ = settings_.self_;
    heartbeat.sequence_ = ++sequence_;
    heartbeat.nextWithinMillis_ = toMillis(intervalTo(domain) * PassiveHalfIntervals / 2);
    heartbeat.ownDomainHash_ = hashOf(settings_.self_.domain_);
    heartbeat.receiverDomainHash_ = known ? hashOf(domain) : 0;
    heartbeat.fleetHash_ = fleetHash_;
    heartbeat.digest_ = std::move(digest);
    if (known && receiver->second.hashesKnown_) {
        if (receiver->second.receiverDomainHash_ != heartbeat.ownDomainHash_) {
            listOwnDomain(heartbeat.members_);
        }
        if (receiver->second.fleetHash_ != heartbeat.fleetHash_) {
            listOtherDomains(to, heartbeat.members_);
        }
    }
    return heartbeat;
}

void Membership::listOwnDomain(std::vector<PeerIdentity> &list) const
{
    for (const auto &[instance, record] : records_) {
        const bool own = record.member_.domain_ == settings_.self_.domain_;
        if (own && record.member_.alive_ && list.size() < MaxOwnDomainListed) {
            list.push_back(identityOf(record));
        }
    }
}

/** Lists members of other domains in id order, starting behind the last one listed before. */
void Membership::listOtherDomains(const InstanceId &to, std::vector<PeerIdentity> &list)
{
    auto next = records_.upper_bound(lastListed_);
    std::size_t listed = 0;
    for (std::size_t steps = 0; steps < records_.size() && listed < MaxOtherDomainsListed;
         ++steps) {
        if (next == records_.end()) {
            next = records_.begin();
        }
        const Member &member = next->second.member_;
        if (member.alive_ && member.domain_ != settings_.self_.domain_ && next->first != to) {
            list.push_back(identityOf(next->second));
            ++listed;
        }
        lastListed_ = next->first;
        ++next;
    }
}

/** Recomputes the state derived from the set of members if it changed. */
void Membership::refreshDerivedState()
{
    if (changed_) {
        changed_ = false;
        // New links and seeds may be overdue.
        scanDeadline_ = TimePoint {};
        refreshHashes();
        refreshLinks();
        refreshSeeds();
    }
}

void Membership::refreshHashes()
{
    domainHashes_.clear();
    domainHashes_[settings_.self_.domain_] = memberHash(settings_.self_);
    for (const auto &[instance, record] : records_) {
        if (record.member_.alive_) {
            domainHashes_[record.member_.domain_] ^= memberHash(identityOf(record));
        }
    }
    fleetHash_ = 0;
    for (const auto &[domain, domainHash] : domainHashes_) {
        fleetHash_ ^= domainHash;
    }
}

void Membership::refreshLinks()
{
    std::map<DomainId, std::vector<Record *>> domains;
    for (auto &[instance, record] : records_) {
        record.linked_ = false;
        if (record.member_.alive_) {
            domains[record.member_.domain_].push_back(&record);
        }
    }
    for (auto &[domain, members] : domains) {
        std::sort(members.begin(), members.end(), [](const Record *left, const Record *right) {
            return left->weight_ > right->weight_;
        });
        const bool ownDomain = domain == settings_.self_.domain_;
        const std::size_t links =
            ownDomain ? members.size() : std::min(members.size(), GatewaysPerDomain);
        for (std::size_t index = 0; index < links; ++index) {
            members[index]->linked_ = true;
        }
    }
    refreshIntervals();
}

/** Seed addresses are not probed while a known member uses them. */
void Membership::refreshSeeds()
{
    std::unordered_set<std::string> usedAddresses;
    for (const auto &[instance, record] : records_) {
        usedAddresses.insert(toString(record.member_.address_));
    }
    for (Seed &seed : seeds_) {
        const auto answered = records_.find(seed.instance_);
        const bool alive = answered != records_.end() && answered->second.member_.alive_;
        const bool self = seed.instance_ == settings_.self_.instance_;
        seed.usedByMember_ = alive || self || usedAddresses.count(toString(seed.address_)) != 0;
    }
}

} // namespace almondridge::peers
