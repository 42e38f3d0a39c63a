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
constexpr std::size_t MaxDomainListed = 64;
/** Maximum members of other domains listed in one heartbeat; the next one continues the list. */
constexpr std::size_t WindowListed = 8;
/** Indirect reports get twice the timeout, as they arrive one exchange later than heartbeats. */
constexpr int VouchedTimeouts = 2;

} // namespace

/** Applies what a heartbeat reports about instances other than its sender. */
void Membership::learn(const Heartbeat &heartbeat, TimePoint now)
{
    for (const PeerIdentity &listed : heartbeat.members_) {
        learnMember(listed, heartbeat, now);
    }
    const auto view = views_.find(heartbeat.sender_.domain_);
    if (view != views_.end() && view->second == heartbeat.ownView_) {
        vouchForAll(heartbeat, now);
    }
}

void Membership::learnMember(const PeerIdentity &identity, const Heartbeat &from, TimePoint now)
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
        noteDeadline(now);
        return;
    }
    if (newer) {
        restart(record, identity);
    }
    // Only instances of its own domain have a direct link to every member of it.
    const bool firstHand =
        identity.domain_ == from.sender_.domain_ && identity.domain_ != settings_.self_.domain_;
    const bool seenFromHere = record.directOnly_ || record.linked_;
    if (firstHand && !seenFromHere) {
        changed_ = changed_ || identity.leaving_ != record.member_.leaving_;
        record.member_.leaving_ = record.member_.leaving_ || identity.leaving_;
        revive(record, now + VouchedTimeouts * timeoutFor(from.nextWithinMillis_));
    }
}

/** Extends the deadlines of all members of the sender's domain; both sides' hashes match. */
void Membership::vouchForAll(const Heartbeat &heartbeat, TimePoint now)
{
    const DomainId &domain = heartbeat.sender_.domain_;
    if (domain == settings_.self_.domain_) {
        return;
    }
    const TimePoint deadline = now + VouchedTimeouts * timeoutFor(heartbeat.nextWithinMillis_);
    for (auto &[instance, record] : records_) {
        Member &member = record.member_;
        if (member.alive_ && member.domain_ == domain && !record.linked_) {
            member.heartbeatDeadline_ = std::max(member.heartbeatDeadline_, deadline);
        }
    }
}

Heartbeat Membership::compose(const InstanceId &to, nlohmann::json digest)
{
    const auto viewOf = [&](const DomainId &domain) {
        const auto view = views_.find(domain);
        return view == views_.end() ? 0 : view->second;
    };
    const auto receiver = records_.find(to);
    const bool known = receiver != records_.end();
    const DomainId domain = known ? receiver->second.member_.domain_ : settings_.self_.domain_;
    Heartbeat heartbeat;
    heartbeat.sender_ = settings_.self_;
    heartbeat.sequence_ = ++sequence_;
    heartbeat.nextWithinMillis_ = toMillis(intervalTo(domain) * PassiveHalfIntervals / 2);
    heartbeat.ownView_ = viewOf(settings_.self_.domain_);
    heartbeat.yourView_ = known ? viewOf(domain) : 0;
    heartbeat.fleetView_ = fleetView_;
    heartbeat.digest_ = std::move(digest);
    if (known && receiver->second.viewsKnown_) {
        if (receiver->second.yourView_ != heartbeat.ownView_) {
            listDomain(heartbeat.members_);
        }
        if (receiver->second.fleetView_ != heartbeat.fleetView_) {
            listWindow(to, heartbeat.members_);
        }
    }
    return heartbeat;
}

void Membership::listDomain(std::vector<PeerIdentity> &list) const
{
    for (const auto &[instance, record] : records_) {
        const bool own = record.member_.domain_ == settings_.self_.domain_;
        if (own && record.member_.alive_ && list.size() < MaxDomainListed) {
            list.push_back(identityOf(record));
        }
    }
}

/** Lists members of other domains in id order, starting behind the last one listed before. */
void Membership::listWindow(const InstanceId &to, std::vector<PeerIdentity> &list)
{
    auto next = records_.upper_bound(windowAfter_);
    std::size_t listed = 0;
    for (std::size_t steps = 0; steps < records_.size() && listed < WindowListed; ++steps) {
        if (next == records_.end()) {
            next = records_.begin();
        }
        const Member &member = next->second.member_;
        if (member.alive_ && member.domain_ != settings_.self_.domain_ && next->first != to) {
            list.push_back(identityOf(next->second));
            ++listed;
        }
        windowAfter_ = next->first;
        ++next;
    }
}

/** Recomputes the state derived from the set of members if it changed. */
void Membership::settle()
{
    if (changed_) {
        changed_ = false;
        // New links and seeds may be overdue.
        scanDeadline_ = TimePoint {};
        refreshViews();
        refreshLinks();
        refreshSeeds();
    }
}

void Membership::refreshViews()
{
    views_.clear();
    views_[settings_.self_.domain_] = viewHash(settings_.self_);
    for (const auto &[instance, record] : records_) {
        if (record.member_.alive_) {
            views_[record.member_.domain_] ^= viewHash(identityOf(record));
        }
    }
    fleetView_ = 0;
    for (const auto &[domain, view] : views_) {
        fleetView_ ^= view;
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
        const bool near = domain == settings_.self_.domain_;
        const std::size_t links =
            near ? members.size() : std::min(members.size(), GatewaysPerDomain);
        for (std::size_t index = 0; index < links; ++index) {
            members[index]->linked_ = true;
        }
    }
    refreshIntervals();
}

/** Seed addresses are not probed while a known member uses them. */
void Membership::refreshSeeds()
{
    std::unordered_set<std::string> held;
    for (const auto &[instance, record] : records_) {
        held.insert(toString(record.member_.address_));
    }
    for (Seed &seed : seeds_) {
        const auto answered = records_.find(seed.instance_);
        const bool alive = answered != records_.end() && answered->second.member_.alive_;
        const bool self = seed.instance_ == settings_.self_.instance_;
        seed.served_ = alive || self || held.count(toString(seed.address_)) != 0;
    }
}

} // namespace almondridge::peers
