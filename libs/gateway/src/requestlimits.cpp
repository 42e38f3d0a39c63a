#include "almondridge/gateway/requestlimits.h"

#include "almondridge/gateway/promptcacheindex.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace almondridge::gateway {
namespace {

/** Smaller relative changes of a limit aren't reported. */
constexpr double MinReportedChange = 0.1;
/** A limit that no answer has named for this long has ended: nobody may have asked since. */
constexpr Duration MaxLimitAge = millis(10'000);
/** Answers on different connections may overtake each other by less than this. */
constexpr Duration MaxAnswerReordering = millis(200);
/** Between two requests to an endpoint that takes hardly any, to learn when its limit ends. */
constexpr Duration MaxPause = millis(8'000);

} // namespace

void RequestLimits::setMembers(const InstanceId &self, const std::vector<InstanceId> &members)
{
    selfHash_ = nameHash(self.value());
    memberHashes_.clear();
    std::transform(members.begin(), members.end(), std::back_inserter(memberHashes_),
                   [](const InstanceId &member) { return nameHash(member.value()); });
    for (auto &[id, limit] : limits_) {
        limit.rank_ = rankFor(id);
    }
}

std::optional<int> RequestLimits::rankFor(const EndpointId &id) const
{
    if (std::find(memberHashes_.begin(), memberHashes_.end(), selfHash_) == memberHashes_.end()) {
        return std::nullopt;
    }
    const std::uint64_t endpointHash = nameHash(id.value());
    const std::uint64_t own = rendezvousWeight(selfHash_, endpointHash);
    return static_cast<int>(
        std::count_if(memberHashes_.begin(), memberHashes_.end(), [&](std::uint64_t member) {
            return rendezvousWeight(member, endpointHash) > own;
        }));
}

bool RequestLimits::onAnswer(const EndpointId &id, std::optional<double> perSecond, TimePoint now)
{
    if (!perSecond) {
        const auto found = limits_.find(id);
        const bool ends =
            found != limits_.end() && found->second.namedAt_ + MaxAnswerReordering <= now;
        return ends && limits_.erase(id) > 0;
    }
    const auto [place, added] = limits_.try_emplace(id);
    Limit &limit = place->second;
    const double before = limit.perSecond_;
    limit.perSecond_ = *perSecond;
    limit.namedAt_ = now;
    if (added) {
        limit.beganAt_ = now;
        limit.rank_ = rankFor(id);
    }
    return added || std::abs(*perSecond - before) > MinReportedChange * before;
}

const RequestLimits::Limit *RequestLimits::find(const EndpointId &id, TimePoint now) const
{
    const auto found = limits_.find(id);
    return found != limits_.end() && found->second.namedAt_ + MaxLimitAge > now ? &found->second
                                                                                : nullptr;
}

std::optional<double> RequestLimits::limitOf(const EndpointId &id, TimePoint now) const
{
    const Limit *limit = find(id, now);
    return limit != nullptr ? std::optional(limit->perSecond_) : std::nullopt;
}

std::optional<int> RequestLimits::partOf(const EndpointId &id, TimePoint now) const
{
    const Limit *limit = find(id, now);
    return limit != nullptr ? std::optional(partOf(*limit)) : std::nullopt;
}

int RequestLimits::partOf(const Limit &limit) const
{
    const int divisor = std::max({1, instances_, static_cast<int>(memberHashes_.size())});
    const int all = std::max(1, static_cast<int>(limit.perSecond_ * toSeconds(SendWindow::Length)));
    const bool hasOneMore = divisor == 1 || (limit.rank_ && *limit.rank_ < all % divisor);
    return all / divisor + (hasOneMore && all % divisor > 0 ? 1 : 0);
}

int RequestLimits::grownPart(const Limit &limit, int part, TimePoint now)
{
    const Duration age = std::min(now - limit.beganAt_, SendWindow::Length);
    return static_cast<int>(part * age / SendWindow::Length);
}

/** Between two requests of an instance whose part is one: a limit may allow less in a window. */
Duration RequestLimits::pauseOf(const Limit &limit) const
{
    const double seconds = 1 / std::max(limit.perSecond_, 1 / toSeconds(MaxPause));
    return std::max(SendWindow::Length, millis(std::llround(1'000 * seconds)));
}

TimePoint RequestLimits::allowedAt(const EndpointId &id, const SendWindow &sent,
                                   TimePoint now) const
{
    const Limit *limit = find(id, now);
    if (limit == nullptr) {
        return now;
    }
    const int part = partOf(*limit);
    if (part == 0) {
        return limit->namedAt_ + MaxLimitAge;
    }
    const int count = sent.count(now);
    if (count >= part) {
        return sent.fallsBelow(part, now);
    }
    if (count >= grownPart(*limit, part, now)) {
        return limit->beganAt_ + SendWindow::Length * (count + 1) / part;
    }
    return part > 1 ? now : std::max(now, sent.lastAt() + pauseOf(*limit));
}

} // namespace almondridge::gateway
