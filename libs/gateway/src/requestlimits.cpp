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
/** A limit that goes on is reported again after this time, so that others don't forget it. */
constexpr Duration RefreshInterval = millis(3'000);
/** How often a change is reported, to make up for lost datagrams and to reach all of a fleet. */
constexpr int ReportsOfChange = 4;
constexpr int ReportsOfRefresh = 2;
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
    return apply(id, perSecond, now, now);
}

bool RequestLimits::onReport(const LimitReport &report, TimePoint now)
{
    const TimePoint answeredAt = now - millis(report.ageMillis_);
    const auto known = limits_.find(report.endpoint_);
    const bool isNewer = known == limits_.end() || known->second.answeredAt_ < answeredAt;
    if (!isNewer || answeredAt + MaxLimitAge <= now) {
        return false;
    }
    const bool isRefresh =
        known != limits_.end() && known->second.reportedAt_ + RefreshInterval / 2 <= now;
    const bool changed = apply(report.endpoint_, report.perSecond_, answeredAt, now);
    const auto applied = limits_.find(report.endpoint_);
    if (applied != limits_.end() && !changed && isRefresh) {
        applied->second.reportedAt_ = now;
        applied->second.reportsLeft_ = std::max(ReportsOfRefresh, applied->second.reportsLeft_);
    }
    return changed;
}

bool RequestLimits::apply(const EndpointId &id, std::optional<double> perSecond,
                          TimePoint answeredAt, TimePoint now)
{
    const Limit *known = find(id, now);
    const bool wasLimited = known != nullptr;
    const bool overtaken = wasLimited && known->answeredAt_ + MaxAnswerReordering > answeredAt;
    if (!perSecond && (!wasLimited || overtaken)) {
        return false;
    }
    Limit &limit = limits_[id];
    const double before = limit.perSecond_.value_or(0);
    const bool changed =
        !perSecond || !wasLimited || std::abs(*perSecond - before) > MinReportedChange * before;
    if (!wasLimited) {
        limit.beganAt_ = now;
        limit.rank_ = rankFor(id);
    }
    limit.perSecond_ = perSecond;
    limit.answeredAt_ = answeredAt;
    if (changed) {
        limit.reportsLeft_ = ReportsOfChange;
        limit.reportedAt_ = now;
    } else if (limit.reportedAt_ + RefreshInterval <= now) {
        limit.reportsLeft_ = std::max(ReportsOfRefresh, limit.reportsLeft_);
        limit.reportedAt_ = now;
    }
    return changed;
}

std::vector<LimitReport> RequestLimits::takeReports(std::size_t max, TimePoint now)
{
    std::erase_if(limits_,
                  [&](const auto &entry) { return entry.second.answeredAt_ + MaxLimitAge <= now; });
    std::vector<LimitReport> reports;
    for (auto &[id, limit] : limits_) {
        if (limit.reportsLeft_ > 0 && reports.size() < max) {
            --limit.reportsLeft_;
            reports.push_back({id, limit.perSecond_, toMillis(now - limit.answeredAt_)});
        }
    }
    return reports;
}

const RequestLimits::Limit *RequestLimits::find(const EndpointId &id, TimePoint now) const
{
    const auto found = limits_.find(id);
    const bool holds = found != limits_.end() && found->second.perSecond_
                       && found->second.answeredAt_ + MaxLimitAge > now;
    return holds ? &found->second : nullptr;
}

std::optional<double> RequestLimits::limitOf(const EndpointId &id, TimePoint now) const
{
    const Limit *limit = find(id, now);
    return limit != nullptr ? limit->perSecond_ : std::nullopt;
}

std::optional<int> RequestLimits::quotaOf(const EndpointId &id, TimePoint now) const
{
    const Limit *limit = find(id, now);
    return limit != nullptr ? std::optional(quotaOf(*limit)) : std::nullopt;
}

int RequestLimits::quotaOf(const Limit &limit) const
{
    const int divisor = std::max({1, instances_, static_cast<int>(memberHashes_.size())});
    const int all =
        std::max(1, static_cast<int>(*limit.perSecond_ * toSeconds(SendWindow::Length)));
    const bool hasOneMore = limit.rank_ && *limit.rank_ < all % divisor;
    return all / divisor + (hasOneMore ? 1 : 0);
}

int RequestLimits::grownQuota(const Limit &limit, int quota, TimePoint now)
{
    const Duration age = std::min(now - limit.beganAt_, SendWindow::Length);
    return static_cast<int>(quota * age / SendWindow::Length);
}

/** Between two requests of an instance whose quota is one: a limit may allow less in a window. */
Duration RequestLimits::pauseOf(const Limit &limit)
{
    const double seconds = 1 / std::max(*limit.perSecond_, 1 / toSeconds(MaxPause));
    return std::max(SendWindow::Length, millis(std::llround(1'000 * seconds)));
}

TimePoint RequestLimits::allowedAt(const EndpointId &id, const SendWindow &sent,
                                   TimePoint now) const
{
    const Limit *limit = find(id, now);
    if (limit == nullptr) {
        return now;
    }
    const int quota = quotaOf(*limit);
    if (quota == 0) {
        return limit->answeredAt_ + MaxLimitAge;
    }
    const int count = sent.count(now);
    if (count >= quota) {
        return sent.fallsBelow(quota, now);
    }
    if (count >= grownQuota(*limit, quota, now)) {
        return limit->beganAt_ + SendWindow::Length * (count + 1) / quota;
    }
    return quota > 1 ? now : std::max(now, sent.lastAt() + pauseOf(*limit));
}

} // namespace almondridge::gateway
