#include "almondridge/news/readers.h"

#include "almondridge/gateway/promptmemory.h"

#include <algorithm>

namespace almondridge::news {
namespace {

/** Several, so that the loss of one never matters. */
constexpr std::size_t ReadersPerDomain = 2;
/** With so few instances all of them read: asking each other would save next to nothing. */
constexpr std::size_t FewMembers = 3;
constexpr Duration PassedOverFor = millis(3'000);
/** Any fixed number: it gives the names of a domain one order. */
constexpr std::uint64_t OrderSeed = 1;

} // namespace

Readers::Readers(InstanceId self)
    : self_(std::move(self))
{ }

void Readers::setMembers(std::vector<Member> members)
{
    const auto rank = [](const Member &member) {
        return std::make_pair(member.linkMbps_,
                              gateway::rendezvousWeight(member.id_.value(), OrderSeed));
    };
    std::sort(members.begin(), members.end(),
              [&](const Member &one, const Member &other) { return rank(one) > rank(other); });
    order_.clear();
    for (Member &member : members) {
        order_.push_back(std::move(member.id_));
    }
}

void Readers::onUseless(const InstanceId &member, TimePoint now)
{
    uselessUntil_[member] = now + PassedOverFor;
}

std::optional<InstanceId> Readers::toFollow(TimePoint now)
{
    std::erase_if(uselessUntil_, [&](const auto &entry) { return entry.second <= now; });
    if (order_.size() <= FewMembers) {
        return std::nullopt;
    }
    std::vector<InstanceId> readers;
    for (const InstanceId &member : order_) {
        if (readers.size() < ReadersPerDomain && !uselessUntil_.contains(member)) {
            readers.push_back(member);
        }
    }
    // More than the usual number passed over: it may be this instance that is cut off.
    const bool reads = std::find(readers.begin(), readers.end(), self_) != readers.end()
                       || readers.empty() || uselessUntil_.size() >= ReadersPerDomain;
    if (reads) {
        return std::nullopt;
    }
    // The followers of a domain are spread over its readers.
    return readers[gateway::rendezvousWeight(self_.value(), OrderSeed) % readers.size()];
}

} // namespace almondridge::news
