#include "almondridge/gateway/sizeplan.h"

#include <algorithm>
#include <cmath>

namespace almondridge::gateway {
namespace {

/** At a start the list fills within the endpoints' heartbeats. */
constexpr Duration SettleTime = millis(1'500);
/** Lasting endpoints are given back once the spot ones that take their place have stood so long. */
constexpr Duration SpotsStandFor = millis(500);
/** Between two tries where none are to be had; doubles up to the longest. */
constexpr std::int64_t FirstRetryMillis = 1'000;
constexpr std::int64_t LongestRetryMillis = 2'000;
constexpr int MostDoublings = 1;
/** Beyond its boot time an endpoint needs this until it is listed. */
constexpr std::int64_t ListedWithinMillis = 3'000;
/** Shares of lasting endpoints that are looked at. */
constexpr int MixSteps = 20;
/** Less than this part of the price is not worth the change. */
constexpr double LeastSaving = 0.1;

} // namespace

SizeMix cheapestMix(const SizeLimits &limits, const std::map<DomainId, int> &found, int lossesBorne)
{
    SizeMix best;
    int most = 0;
    for (const auto &[domain, count] : found) {
        most = std::max(most, count);
    }
    if (!limits.hasSpot() || most == 0) {
        return best;
    }
    const auto domains = static_cast<double>(found.size());
    const double lostShare = std::min(1.0, lossesBorne / domains);
    const double largest = static_cast<double>(limits.maxPerDomain_) / most;
    double lowest = 1 - LeastSaving;
    for (int step = 1; step < MixSteps; ++step) {
        const double lasting = static_cast<double>(step) / MixSteps;
        const double size = 1 / (1 - (1 - lasting) * lostShare);
        const double cost = size * (lasting + (1 - lasting) * limits.spotPriceRatio_);
        if (size <= largest && cost < lowest) {
            best = {size, lasting};
            lowest = cost;
        }
    }
    return best;
}

SizePlan::SizePlan(SizePlanSettings settings)
    : settings_(settings)
{ }

std::map<DomainId, SizePlan::Counts> SizePlan::count(const EndpointTable &table,
                                                     const ServiceId &service)
{
    std::map<DomainId, Counts> counts;
    for (const Endpoint *endpoint : table.listed(service)) {
        Counts &here = counts[endpoint->listed_.domain_];
        ++(endpoint->listed_.spot_ ? here.spot_ : here.lasting_);
    }
    return counts;
}

int SizePlan::totalOf(int found, const SizeLimits &limits) const
{
    return std::clamp(static_cast<int>(std::ceil(mix_.size_ * found)),
                      std::max(1, limits.minPerDomain_), std::max(1, limits.maxPerDomain_));
}

/** Lasting endpoints beyond the usual ones that the whole service needs for its floor. */
int SizePlan::missingToFloor(const SizeLimits &limits) const
{
    int foundInAll = 0;
    int present = 0;
    for (const auto &[domain, found] : found_) {
        const int here = totalOf(found, limits);
        const auto counts = counts_.find(domain);
        const int spots = counts != counts_.end() ? counts->second.spot_ : 0;
        foundInAll += found;
        present += lastingOf(here, limits) + spots;
    }
    return std::max(0, static_cast<int>(std::ceil(settings_.floorShare_ * foundInAll)) - present);
}

int SizePlan::lastingOf(int total, const SizeLimits &limits) const
{
    const int wanted = static_cast<int>(std::ceil(mix_.lasting_ * total));
    return std::clamp(wanted, std::min(limits.minPerDomain_, total), total);
}

/** While the list fills at a start, sizes grow with it; after that each domain keeps its own. */
void SizePlan::watch(const EndpointTable &table, const ServiceTraits &service, TimePoint now)
{
    if (!service.size_ || !service.size_->hasSpot()) {
        return;
    }
    counts_ = count(table, service.id_);
    int listed = 0;
    for (const auto &[domain, here] : counts_) {
        listed += here.lasting_ + here.spot_;
        int &found = found_[domain];
        if (!settled_) {
            found = std::max({found, here.lasting_, here.spot_});
        }
        found = std::max(found, here.lasting_);
    }
    if (listed != lastCount_) {
        lastCount_ = listed;
        countedAt_ = now;
    }
    settled_ = settled_ || (listed > 0 && now - countedAt_ >= SettleTime);
}

bool SizePlan::givesBack(const DomainId &domain) const
{
    return givingBack_.contains(domain);
}

std::vector<SizeOrder> SizePlan::plan(const EndpointTable &table, const ServiceTraits &service,
                                      TimePoint now)
{
    std::vector<SizeOrder> orders;
    if (!service.size_ || !service.size_->hasSpot()) {
        return orders;
    }
    const SizeLimits &limits = *service.size_;
    watch(table, service, now);
    mix_ = cheapestMix(limits, found_, settings_.lossesBorne_);
    givingBack_.clear();
    if (mix_.lasting_ >= 1) {
        return orders;
    }
    int standIns = missingToFloor(limits);
    for (const auto &[domain, found] : found_) {
        const Counts here = counts_[domain];
        const int total = totalOf(found, limits);
        const int lasting = lastingOf(total, limits);
        const int spots = total - lasting;
        const int room = settled_ ? std::max(0, limits.maxPerDomain_ - here.lasting_) : found;
        const int ordered = std::min(spots, room);
        TimePoint &since = spotsSince_[domain];
        if (here.spot_ < ordered) {
            since = now;
        }
        orderIfNew({domain, true, ordered}, here.spot_, limits, now, orders);
        const auto given = orders_.find({domain, true});
        if (here.lasting_ > lasting && given != orders_.end() && given->second.taken_) {
            givingBack_.insert(domain);
        }
        const int taken = std::min(standIns, std::max(0, spots - here.spot_));
        standIns -= taken;
        const int wanted = lasting + taken;
        if (settled_ && (wanted > here.lasting_ || now - since >= SpotsStandFor)) {
            orderIfNew({domain, false, wanted}, here.lasting_, limits, now, orders);
        }
    }
    return orders;
}

void SizePlan::orderIfNew(const SizeOrder &order, int present, const SizeLimits &limits,
                          TimePoint now, std::vector<SizeOrder> &orders)
{
    const auto [place, added] = orders_.try_emplace({order.domain_, order.spot_});
    Given &given = place->second;
    const bool isNew = added || given.count_ != order.count_;
    if ((added && present == order.count_) || given.pending_) {
        given.count_ = added ? order.count_ : given.count_;
        return;
    }
    const bool isMissing = present != order.count_ && now >= given.againAt_;
    if (!isNew && !isMissing) {
        return;
    }
    if (isNew && now < given.againAt_ && !given.taken_) {
        return;
    }
    given.count_ = order.count_;
    given.pending_ = true;
    given.againAt_ = now + millis(limits.startupMillis_ + ListedWithinMillis);
    orders.push_back(order);
}

void SizePlan::onAnswer(const SizeOrder &order, bool taken, TimePoint now)
{
    const auto found = orders_.find({order.domain_, order.spot_});
    if (found == orders_.end()) {
        return;
    }
    Given &given = found->second;
    given.pending_ = false;
    given.taken_ = taken;
    if (taken) {
        given.refusals_ = 0;
        return;
    }
    given.againAt_ = now
                     + millis(std::min(FirstRetryMillis << std::min(given.refusals_, MostDoublings),
                                       LongestRetryMillis));
    ++given.refusals_;
}

} // namespace almondridge::gateway
