#include "almondridge/replication/distributiontree.h"

#include "almondridge/gateway/promptcacheindex.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace almondridge::replication {
namespace {

/** More than one, so that the loss of one reader has no effect. */
constexpr std::size_t ReadersPerDomain = 2;
constexpr std::size_t MaxMembersAllReading = 3;
/**
 * A peer that doesn't respond is polled again after this time, which doubles up to the maximum.
 * Each attempt costs a response timeout, after which the data is too old to wait for another peer.
 */
constexpr std::int64_t InitialExclusionMillis = 15'000;
constexpr std::int64_t MaxExclusionMillis = 60'000;
constexpr int MaxDoublings = 2;
/** A peer that has lost the store responds at once, and may get it back at any moment. */
constexpr Duration StoreLostExclusion = millis(2'000);
/** Any fixed number; all instances must use the same one to compute the same order. */
constexpr std::uint64_t OrderSeed = 1;
/** Bandwidth that an instance needs for each of its followers. */
constexpr double MbpsPerFollower = 10;
/** Each tier must be larger than the one before it, whatever its links. */
constexpr double MinFollowers = 4;
/** A snapshot is sent to the followers one after another: the last one waits for all others. */
constexpr double MaxFollowers = 32;

double followerCapacity(const Member &member)
{
    return std::clamp(member.linkMbps_ / MbpsPerFollower, MinFollowers, MaxFollowers);
}

/**
 * Weighted rendezvous hashing: a member is chosen in proportion to its follower capacity, and few
 * choices change when a member is added or removed.
 */
InstanceId chooseByWeight(std::vector<const Member *>::const_iterator from,
                          std::vector<const Member *>::const_iterator until,
                          const std::string &chooser)
{
    constexpr double Range = 0x1p64;
    const std::uint64_t seed = gateway::rendezvousWeight(chooser, OrderSeed);
    const auto score = [&](const Member &member) {
        const auto hash = static_cast<double>(gateway::rendezvousWeight(member.id_.value(), seed));
        return followerCapacity(member) / -std::log((hash + 1) / (Range + 2));
    };
    const auto best = std::max_element(from, until, [&](const Member *one, const Member *other) {
        return score(*one) < score(*other);
    });
    return best != until ? (*best)->id_ : InstanceId {};
}

} // namespace

DistributionTree::DistributionTree(InstanceId self)
    : self_(std::move(self))
{ }

void DistributionTree::setMembers(std::vector<Member> members)
{
    const auto rank = [](const Member &member) {
        return std::make_pair(member.linkMbps_,
                              gateway::rendezvousWeight(member.id_.value(), OrderSeed));
    };
    std::sort(members.begin(), members.end(),
              [&](const Member &one, const Member &other) { return rank(one) > rank(other); });
    order_ = std::move(members);
    std::erase_if(exclusions_, [&](const auto &entry) {
        return std::none_of(order_.begin(), order_.end(),
                            [&](const Member &member) { return member.id_ == entry.first; });
    });
}

bool DistributionTree::allMembersRead() const noexcept
{
    return order_.size() <= MaxMembersAllReading;
}

bool DistributionTree::isPreferredReader() const
{
    const auto last =
        order_.begin() + static_cast<std::ptrdiff_t>(std::min(order_.size(), ReadersPerDomain + 1));
    return std::any_of(order_.begin(), last,
                       [&](const Member &member) { return member.id_ == self_; });
}

void DistributionTree::onPeerFailed(const InstanceId &member, PeerFailure cause, TimePoint now)
{
    Exclusion &exclusion = exclusions_[member];
    if (cause == PeerFailure::Stale || cause == PeerFailure::StoreLost) {
        exclusion = {now + StoreLostExclusion, 0};
        return;
    }
    const std::int64_t doubled = InitialExclusionMillis
                                 << std::min(exclusion.timeouts_, MaxDoublings);
    exclusion.until_ = now + millis(std::min(doubled, MaxExclusionMillis));
    ++exclusion.timeouts_;
}

bool DistributionTree::isExcluded(const InstanceId &member, TimePoint now) const
{
    const auto found = exclusions_.find(member);
    return found != exclusions_.end() && found->second.until_ > now;
}

std::size_t DistributionTree::excludedCount(TimePoint now) const
{
    return static_cast<std::size_t>(
        std::count_if(exclusions_.begin(), exclusions_.end(),
                      [&](const auto &entry) { return entry.second.until_ > now; }));
}

InstanceId DistributionTree::fallbackPeer(std::uint64_t attempt) const
{
    std::vector<InstanceId> others;
    for (const Member &member : order_) {
        if (member.id_ != self_) {
            others.push_back(member.id_);
        }
    }
    if (others.empty()) {
        return {};
    }
    const bool amongReaders = attempt % 2 == 0;
    const std::size_t candidates =
        amongReaders ? std::min(others.size(), ReadersPerDomain) : others.size();
    return others[gateway::rendezvousWeight(self_.value(), attempt / 2) % candidates];
}

std::vector<const Member *> DistributionTree::availableMembers(TimePoint now) const
{
    std::vector<const Member *> members;
    members.reserve(order_.size());
    for (const Member &member : order_) {
        if (member.id_ == self_ || !isExcluded(member.id_, now)) {
            members.push_back(&member);
        }
    }
    return members;
}

std::vector<InstanceId> DistributionTree::activeReaders(bool canRead, TimePoint now) const
{
    std::vector<InstanceId> readers;
    for (const Member *member : availableMembers(now)) {
        if ((member->id_ != self_ || canRead) && readers.size() < ReadersPerDomain) {
            readers.push_back(member->id_);
        }
    }
    return readers;
}

InstanceId DistributionTree::parent(bool canRead, TimePoint now) const
{
    std::vector<const Member *> members = availableMembers(now);
    const auto self = std::find_if(members.begin(), members.end(),
                                   [&](const Member *member) { return member->id_ == self_; });
    const auto selfIndex = static_cast<std::size_t>(self - members.begin());
    if (!canRead && self != members.end()) {
        members.erase(self); // It polls the instances that read in its selfIndex.
    }
    std::size_t from = 0;
    std::size_t until = std::min(ReadersPerDomain, members.size());
    for (;;) {
        double followers = 0;
        for (std::size_t index = from; index < until; ++index) {
            followers += followerCapacity(*members[index]);
        }
        const std::size_t next = until + static_cast<std::size_t>(followers);
        if (selfIndex < next || next >= members.size()) {
            break;
        }
        from = std::exchange(until, next);
    }
    const auto begin = members.begin();
    return chooseByWeight(begin + static_cast<std::ptrdiff_t>(from),
                          begin + static_cast<std::ptrdiff_t>(until), self_.value());
}

void DistributionTree::onStoreRecovered()
{
    std::erase_if(exclusions_, [](const auto &entry) { return entry.second.timeouts_ == 0; });
}

void DistributionTree::onPeerSucceeded(const InstanceId &member)
{
    exclusions_.erase(member);
}

} // namespace almondridge::replication
