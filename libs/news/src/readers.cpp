#include "almondridge/news/readers.h"

#include "almondridge/gateway/promptmemory.h"

#include <algorithm>
#include <utility>

namespace almondridge::news {
namespace {

/** Several, so that the loss of one never matters. */
constexpr std::size_t ReadersPerDomain = 2;
constexpr std::size_t FewMembers = 3;
/**
 * A peer that does not answer is asked again after this time, which doubles up to the longest: each
 * time costs whoever asks the length of a silence, and its news grow too old to wait for another.
 */
constexpr std::int64_t FirstPassMillis = 15'000;
constexpr std::int64_t LongestPassMillis = 60'000;
constexpr int MostDoublings = 2;
/** One that has lost the store says so at once, and may have it back any moment. */
constexpr Duration PassedOverWhenLost = millis(2'000);
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
    std::erase_if(passes_, [&](const auto &entry) {
        return std::find(order_.begin(), order_.end(), entry.first) == order_.end();
    });
}

bool Readers::allRead() const noexcept
{
    return order_.size() <= FewMembers;
}

bool Readers::comesFirst() const
{
    const auto last =
        order_.begin() + static_cast<std::ptrdiff_t>(std::min(order_.size(), ReadersPerDomain + 1));
    return std::find(order_.begin(), last, self_) != last;
}

void Readers::onUseless(const InstanceId &member, Uselessness cause, TimePoint now)
{
    Pass &pass = passes_[member];
    if (cause == Uselessness::Old || cause == Uselessness::Lost) {
        pass = {now + PassedOverWhenLost, 0};
        return;
    }
    const std::int64_t doubled = FirstPassMillis << std::min(pass.silences_, MostDoublings);
    pass.until_ = now + millis(std::min(doubled, LongestPassMillis));
    ++pass.silences_;
}

bool Readers::isPassedOver(const InstanceId &member, TimePoint now) const
{
    const auto found = passes_.find(member);
    return found != passes_.end() && found->second.until_ > now;
}

std::size_t Readers::countPassedOver(TimePoint now) const
{
    return static_cast<std::size_t>(
        std::count_if(passes_.begin(), passes_.end(),
                      [&](const auto &entry) { return entry.second.until_ > now; }));
}

InstanceId Readers::toWaitFor(std::uint64_t attempt) const
{
    std::vector<InstanceId> others = order_;
    std::erase(others, self_);
    if (others.empty()) {
        return {};
    }
    const bool asksFirst = attempt % 2 == 0;
    const std::size_t among = asksFirst ? std::min(others.size(), ReadersPerDomain) : others.size();
    return others[gateway::rendezvousWeight(self_.value(), attempt / 2) % among];
}

std::vector<InstanceId> Readers::atWork(bool canRead, TimePoint now) const
{
    std::vector<InstanceId> readers;
    for (const InstanceId &member : order_) {
        const bool able = member == self_ ? canRead : !isPassedOver(member, now);
        if (able && readers.size() < ReadersPerDomain) {
            readers.push_back(member);
        }
    }
    return readers;
}

void Readers::onStoreBack()
{
    std::erase_if(passes_, [](const auto &entry) { return entry.second.silences_ == 0; });
}

void Readers::onUseful(const InstanceId &member)
{
    passes_.erase(member);
}

const InstanceId &Readers::mine(const std::vector<InstanceId> &readers) const
{
    return readers[gateway::rendezvousWeight(self_.value(), OrderSeed) % readers.size()];
}

} // namespace almondridge::news
