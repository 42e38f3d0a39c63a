#include "almondridge/gateway/relayselector.h"

#include "almondridge/gateway/promptcacheindex.h"

#include <algorithm>
#include <utility>

namespace almondridge::gateway {
namespace {

/** More than one, so that the loss of one relay loses no information. */
constexpr std::size_t RelaysPerGroup = 2;
/** A silent relay is not followed again for this time, unless all others are silent as well. */
constexpr Duration ExclusionTime = millis(3'000);
/** Arbitrary constant, the same in all instances, so that they compute the same ranking. */
constexpr std::uint64_t RelayRankKey = 3;

bool contains(const std::vector<InstanceId> &ids, const InstanceId &id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

} // namespace

RelaySelector::RelaySelector(InstanceId self, DomainId domain)
    : self_(std::move(self))
    , domain_(std::move(domain))
{ }

void RelaySelector::setMembers(const std::vector<MeshMember> &members)
{
    std::map<DomainId, std::vector<MeshMember>> byDomain;
    for (const MeshMember &member : members) {
        byDomain[member.domain_].push_back(member);
    }
    const auto rank = [](const MeshMember &member) {
        return std::make_pair(member.linkMbps_, rendezvousWeight(member.id_.value(), RelayRankKey));
    };
    rankedMembers_.clear();
    for (auto &[domain, ofDomain] : byDomain) {
        std::sort(ofDomain.begin(), ofDomain.end(),
                  [&](const MeshMember &one, const MeshMember &other) {
                      return rank(one) > rank(other);
                  });
        for (const MeshMember &member : ofDomain) {
            rankedMembers_[domain].push_back(member.id_);
        }
    }
    const std::vector<InstanceId> &own = rankedMembers_[domain_];
    const auto isGone = [&](const InstanceId &relay) { return !contains(own, relay); };
    std::erase_if(excludedUntil_, [&](const auto &entry) { return isGone(entry.first); });
    for (InstanceId *relay : {&followed_, &previousFollowed_, &probed_}) {
        if (isGone(*relay)) {
            *relay = {};
        }
    }
    const std::size_t groups = (own.size() + RelaysPerGroup - 1) / RelaysPerGroup;
    activeGroup_ = std::min(activeGroup_, groups > 0 ? groups - 1 : 0);
}

std::vector<InstanceId> RelaySelector::group(const DomainId &domain, std::size_t groupIndex) const
{
    const auto ranking = rankedMembers_.find(domain);
    if (ranking == rankedMembers_.end()) {
        return {};
    }
    const std::vector<InstanceId> &ids = ranking->second;
    const std::size_t from = std::min(ids.size(), groupIndex * RelaysPerGroup);
    const std::size_t until = std::min(ids.size(), from + RelaysPerGroup);
    return {ids.begin() + static_cast<std::ptrdiff_t>(from),
            ids.begin() + static_cast<std::ptrdiff_t>(until)};
}

std::vector<InstanceId> RelaySelector::primaryRelays(const DomainId &domain) const
{
    return group(domain, 0);
}

std::vector<InstanceId> RelaySelector::fallbackRelays(const DomainId &domain,
                                                      std::size_t turn) const
{
    const auto ranking = rankedMembers_.find(domain);
    const std::size_t members = ranking != rankedMembers_.end() ? ranking->second.size() : 0;
    const std::size_t groups = std::max<std::size_t>(1, (members + 1) / RelaysPerGroup);
    return group(domain, turn % groups);
}

std::vector<DomainId> RelaySelector::domains() const
{
    std::vector<DomainId> found;
    for (const auto &[domain, ranking] : rankedMembers_) {
        found.push_back(domain);
    }
    return found;
}

bool RelaySelector::isExcluded(const InstanceId &relay, TimePoint now) const
{
    const auto exclusion = excludedUntil_.find(relay);
    return exclusion != excludedUntil_.end() && exclusion->second > now;
}

bool RelaySelector::isSubscribedTo(const InstanceId &relay) const
{
    return relay == followed_ || relay == previousFollowed_ || relay == probed_;
}

void RelaySelector::follow(const InstanceId &relay, const HasReceivedFrom &hasReceived,
                           TimePoint now)
{
    if (!followed_.empty() && hasReceived(followed_, followedSince_)) {
        previousFollowed_ = followed_;
    }
    followed_ = relay;
    followedSince_ = now;
    subscriptionChanged_ = true;
}

/** Replaces a silent relay by the other one of its group, and a silent group by the next one. */
void RelaySelector::replaceSilentRelay(const HasReceivedFrom &hasReceived, TimePoint now)
{
    const bool silent = !followed_.empty() && followedSince_ + RelayTimeout < now
                        && !hasReceived(followed_, now - RelayTimeout);
    if (silent) {
        excludedUntil_[followed_] = now + ExclusionTime;
    }
    std::vector<InstanceId> relays = group(domain_, activeGroup_);
    std::erase_if(relays, [&](const InstanceId &relay) { return isExcluded(relay, now); });
    if (relays.empty()) {
        // If the last group is silent too, this instance was isolated, and the first group may
        // work.
        activeGroup_ = group(domain_, activeGroup_ + 1).empty() ? 0 : activeGroup_ + 1;
        relays = group(domain_, activeGroup_);
    }
    isRelay_ = contains(relays, self_);
    if (isRelay_) {
        followed_ = {};
        previousFollowed_ = {};
    } else if (!contains(relays, followed_) && !relays.empty()) {
        follow(relays[rendezvousWeight(self_.value(), RelayRankKey) % relays.size()], hasReceived,
               now);
    }
}

/**
 * Probes the relays of earlier groups one after the other while the active group stays in use.
 * Otherwise instances that lost a group at different times would settle on different groups, each
 * with only a part of the load.
 */
void RelaySelector::probeEarlierGroups(const HasReceivedFrom &hasReceived, TimePoint now)
{
    if (activeGroup_ == 0) {
        probed_ = {};
        return;
    }
    const std::vector<InstanceId> &ranking = rankedMembers_[domain_];
    const auto before =
        ranking.begin() + static_cast<std::ptrdiff_t>(activeGroup_ * RelaysPerGroup);
    const auto last = std::find(ranking.begin(), before, probed_);
    if (last != before && hasReceived(probed_, probedSince_)) {
        activeGroup_ = static_cast<std::size_t>(last - ranking.begin()) / RelaysPerGroup;
        excludedUntil_.erase(probed_);
        follow(probed_, hasReceived, now);
        isRelay_ = false;
    } else if (probedSince_ + RelayTimeout < now) {
        probed_ = last == before || last + 1 == before ? ranking.front() : *(last + 1);
        probedSince_ = now;
        subscriptionChanged_ = true;
    }
}

bool RelaySelector::update(const HasReceivedFrom &hasReceived, TimePoint now)
{
    subscriptionChanged_ = false;
    replaceSilentRelay(hasReceived, now);
    probeEarlierGroups(hasReceived, now);
    reportReceivers_.clear();
    // The first group always gets this instance's load, even if it seems to be down from here:
    // other instances may follow it.
    for (const std::size_t groupIndex : {std::size_t {0}, activeGroup_}) {
        for (const InstanceId &relay : group(domain_, groupIndex)) {
            reportReceivers_.insert(relay);
        }
    }
    const bool followedIsLive = !followed_.empty() && hasReceived(followed_, followedSince_);
    if (followedIsLive || isRelay_) {
        previousFollowed_ = {};
    }
    activeRelay_ = followedIsLive ? followed_ : previousFollowed_;
    for (const InstanceId &relay : {previousFollowed_, probed_}) {
        if (!relay.empty()) {
            reportReceivers_.insert(relay);
        }
    }
    reportReceivers_.erase(self_);
    return subscriptionChanged_;
}

void RelaySelector::disable()
{
    isRelay_ = false;
    reportReceivers_.clear();
    followed_ = {};
    previousFollowed_ = {};
    activeRelay_ = {};
    probed_ = {};
}

} // namespace almondridge::gateway
