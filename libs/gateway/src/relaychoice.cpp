#include "almondridge/gateway/relaychoice.h"

#include "almondridge/gateway/promptcacheindex.h"

#include <algorithm>
#include <utility>

namespace almondridge::gateway {
namespace {

/** Several, so that the loss of one is no loss of knowledge. */
constexpr std::size_t RelaysPerGroup = 2;
/** A silent relay is not followed again for this time, unless all others are silent as well. */
constexpr Duration PassedOverFor = millis(3'000);
/** Any fixed number: it gives the instances of a domain one order as relays. */
constexpr std::uint64_t RelayOrder = 3;

bool contains(const std::vector<InstanceId> &ids, const InstanceId &id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

} // namespace

RelayChoice::RelayChoice(InstanceId self, DomainId domain)
    : self_(std::move(self))
    , domain_(std::move(domain))
{ }

void RelayChoice::setMembers(const std::vector<MeshMember> &members)
{
    std::map<DomainId, std::vector<MeshMember>> byDomain;
    for (const MeshMember &member : members) {
        byDomain[member.domain_].push_back(member);
    }
    const auto rank = [](const MeshMember &member) {
        return std::make_pair(member.linkMbps_, rendezvousWeight(member.id_.value(), RelayOrder));
    };
    order_.clear();
    for (auto &[domain, ofDomain] : byDomain) {
        std::sort(ofDomain.begin(), ofDomain.end(),
                  [&](const MeshMember &one, const MeshMember &other) {
                      return rank(one) > rank(other);
                  });
        for (const MeshMember &member : ofDomain) {
            order_[domain].push_back(member.id_);
        }
    }
    const std::vector<InstanceId> &own = order_[domain_];
    const auto isGone = [&](const InstanceId &relay) { return !contains(own, relay); };
    std::erase_if(passedOverUntil_, [&](const auto &entry) { return isGone(entry.first); });
    for (InstanceId *relay : {&followed_, &followedBefore_, &tried_}) {
        if (isGone(*relay)) {
            *relay = {};
        }
    }
    const std::size_t groups = (own.size() + RelaysPerGroup - 1) / RelaysPerGroup;
    group_ = std::min(group_, groups > 0 ? groups - 1 : 0);
}

std::vector<InstanceId> RelayChoice::group(const DomainId &domain, std::size_t number) const
{
    const auto order = order_.find(domain);
    if (order == order_.end()) {
        return {};
    }
    const std::vector<InstanceId> &ids = order->second;
    const std::size_t from = std::min(ids.size(), number * RelaysPerGroup);
    const std::size_t until = std::min(ids.size(), from + RelaysPerGroup);
    return {ids.begin() + static_cast<std::ptrdiff_t>(from),
            ids.begin() + static_cast<std::ptrdiff_t>(until)};
}

std::vector<InstanceId> RelayChoice::firstOf(const DomainId &domain) const
{
    return group(domain, 0);
}

std::vector<InstanceId> RelayChoice::standInsOf(const DomainId &domain, std::size_t turn) const
{
    const auto order = order_.find(domain);
    const std::size_t members = order != order_.end() ? order->second.size() : 0;
    const std::size_t groups = std::max<std::size_t>(1, (members + 1) / RelaysPerGroup);
    return group(domain, turn % groups);
}

std::vector<DomainId> RelayChoice::domains() const
{
    std::vector<DomainId> found;
    for (const auto &[domain, order] : order_) {
        found.push_back(domain);
    }
    return found;
}

bool RelayChoice::isPassedOver(const InstanceId &relay, TimePoint now) const
{
    const auto pass = passedOverUntil_.find(relay);
    return pass != passedOverUntil_.end() && pass->second > now;
}

bool RelayChoice::isAsked(const InstanceId &relay) const
{
    return relay == followed_ || relay == followedBefore_ || relay == tried_;
}

void RelayChoice::follow(const InstanceId &relay, const HearsRelay &hears, TimePoint now)
{
    if (!followed_.empty() && hears(followed_, followedSince_)) {
        followedBefore_ = followed_;
    }
    followed_ = relay;
    followedSince_ = now;
    asksAnew_ = true;
}

/** A silent relay is left for the other one of its group, and a silent group for the next. */
void RelayChoice::leaveSilentRelay(const HearsRelay &hears, TimePoint now)
{
    const bool silent = !followed_.empty() && followedSince_ + RelaySilentAfter < now
                        && !hears(followed_, now - RelaySilentAfter);
    if (silent) {
        passedOverUntil_[followed_] = now + PassedOverFor;
    }
    std::vector<InstanceId> relays = group(domain_, group_);
    std::erase_if(relays, [&](const InstanceId &relay) { return isPassedOver(relay, now); });
    if (relays.empty()) {
        // Beyond the last group this instance is cut off, and the first one may work.
        group_ = group(domain_, group_ + 1).empty() ? 0 : group_ + 1;
        relays = group(domain_, group_);
    }
    isRelay_ = contains(relays, self_);
    if (isRelay_) {
        followed_ = {};
        followedBefore_ = {};
    } else if (!contains(relays, followed_) && !relays.empty()) {
        follow(relays[rendezvousWeight(self_.value(), RelayOrder) % relays.size()], hears, now);
    }
}

/**
 * One relay of the groups before after the other, while what is in use goes on. Instances that lost
 * a group at different moments would else end with different ones, and each know but a part.
 */
void RelayChoice::tryGroupsBefore(const HearsRelay &hears, TimePoint now)
{
    if (group_ == 0) {
        tried_ = {};
        return;
    }
    const std::vector<InstanceId> &order = order_[domain_];
    const auto before = order.begin() + static_cast<std::ptrdiff_t>(group_ * RelaysPerGroup);
    const auto last = std::find(order.begin(), before, tried_);
    if (last != before && hears(tried_, triedSince_)) {
        group_ = static_cast<std::size_t>(last - order.begin()) / RelaysPerGroup;
        passedOverUntil_.erase(tried_);
        follow(tried_, hears, now);
        isRelay_ = false;
    } else if (triedSince_ + RelaySilentAfter < now) {
        tried_ = last == before || last + 1 == before ? order.front() : *(last + 1);
        triedSince_ = now;
        asksAnew_ = true;
    }
}

bool RelayChoice::choose(const HearsRelay &hears, TimePoint now)
{
    asksAnew_ = false;
    leaveSilentRelay(hears, now);
    tryGroupsBefore(hears, now);
    receivers_.clear();
    // The first group learns of this instance's load whether it seems to work from here or not:
    // others may follow it.
    for (const std::size_t number : {std::size_t {0}, group_}) {
        for (const InstanceId &relay : group(domain_, number)) {
            receivers_.insert(relay);
        }
    }
    const bool hearsFollowed = !followed_.empty() && hears(followed_, followedSince_);
    if (hearsFollowed || isRelay_) {
        followedBefore_ = {};
    }
    told_ = hearsFollowed ? followed_ : followedBefore_;
    for (const InstanceId &relay : {followedBefore_, tried_}) {
        if (!relay.empty()) {
            receivers_.insert(relay);
        }
    }
    receivers_.erase(self_);
    return asksAnew_;
}

void RelayChoice::chooseNobody()
{
    isRelay_ = false;
    receivers_.clear();
    followed_ = {};
    followedBefore_ = {};
    told_ = {};
    tried_ = {};
}

} // namespace almondridge::gateway
