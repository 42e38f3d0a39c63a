#include "almondridge/gateway/sizeplan.h"

#include <algorithm>
#include <cmath>

namespace almondridge::gateway {
namespace {

/** After a start, endpoints join the list within their heartbeat interval. */
constexpr Duration SettleTime = millis(1'500);
/**
 * On-demand endpoints are released once the spot endpoints that replace them have been listed for
 * this time.
 */
constexpr Duration SpotStableTime = millis(500);
/**
 * Delay before an order is repeated if no such endpoints are available; it doubles up to the
 * maximum.
 */
constexpr std::int64_t FirstRetryMillis = 1'000;
constexpr std::int64_t MaxRetryMillis = 2'000;
constexpr int MaxDoublings = 1;
/** Time from the end of its boot until an endpoint is listed. */
constexpr std::int64_t ListingDelayMillis = 3'000;
/** Resolution at which shares of on-demand endpoints are tried. */
constexpr int MixSteps = 20;
/** A mix that saves a smaller share of the price is not worth the change. */
constexpr double MinSaving = 0.1;
/** Keeps the numbers that result from a listed mix from being rounded up by one. */
constexpr double Epsilon = 1e-9;

/** Returns the baseline for which the mix has the on-demand endpoints or the total listed. */
int baselineOf(const SizeCounts &counts, const SizeMix &mix)
{
    const double byTotal = (counts.onDemand_ + counts.spot_) / mix.size_;
    const double byOnDemand = counts.onDemand_ / (mix.size_ * mix.onDemand_);
    return static_cast<int>(std::max(byTotal, byOnDemand) + Epsilon);
}

} // namespace

SizeMix cheapestMix(const SizeLimits &limits, const std::map<DomainId, int> &baseline,
                    int toleratedLosses)
{
    SizeMix best;
    int largestBaseline = 0;
    for (const auto &[domain, count] : baseline) {
        largestBaseline = std::max(largestBaseline, count);
    }
    if (!limits.hasSpot() || largestBaseline == 0) {
        return best;
    }
    const auto domains = static_cast<double>(baseline.size());
    const double lostShare = std::min(1.0, toleratedLosses / domains);
    const double maxSize = static_cast<double>(limits.maxPerDomain_) / largestBaseline;
    double lowest = 1 - MinSaving;
    for (int step = 1; step < MixSteps; ++step) {
        const double onDemand = static_cast<double>(step) / MixSteps;
        const double size = 1 / (1 - (1 - onDemand) * lostShare);
        const double cost = size * (onDemand + (1 - onDemand) * limits.spotPriceRatio_);
        if (size <= maxSize && cost < lowest) {
            best = {size, onDemand};
            lowest = cost;
        }
    }
    return best;
}

std::optional<SizeMix> listedMix(const std::map<DomainId, SizeCounts> &counts, int toleratedLosses)
{
    // The failure domain with the most endpoints: others may have lost spot endpoints.
    SizeCounts largest;
    for (const auto &[domain, here] : counts) {
        if (here.onDemand_ + here.spot_ > largest.onDemand_ + largest.spot_) {
            largest = here;
        }
    }
    if (largest.spot_ <= largest.onDemand_) {
        return std::nullopt;
    }
    const double onDemand =
        static_cast<double>(largest.onDemand_) / (largest.onDemand_ + largest.spot_);
    const double lostShare = std::min(1.0, toleratedLosses / static_cast<double>(counts.size()));
    const double remaining = 1 - (1 - onDemand) * lostShare;
    if (onDemand <= 0 || remaining <= 0) {
        return std::nullopt;
    }
    return SizeMix {1 / remaining - Epsilon, onDemand - Epsilon};
}

SizePlan::SizePlan(SizePlanSettings settings)
    : settings_(settings)
{ }

std::map<DomainId, SizeCounts> SizePlan::count(const EndpointTable &table, const ServiceId &service)
{
    std::map<DomainId, SizeCounts> counts;
    for (const Endpoint *endpoint : table.listed(service)) {
        SizeCounts &here = counts[endpoint->listed_.domain_];
        ++(endpoint->listed_.spot_ ? here.spot_ : here.onDemand_);
    }
    return counts;
}

int SizePlan::totalOf(int baseline, const SizeLimits &limits) const
{
    return std::clamp(static_cast<int>(std::ceil(mix_.size_ * baseline)),
                      std::max(1, limits.minPerDomain_), std::max(1, limits.maxPerDomain_));
}

/**
 * Returns how many on-demand endpoints the service needs beyond the usual ones to reach its floor.
 */
int SizePlan::shortfallToFloor(const SizeLimits &limits) const
{
    int totalBaseline = 0;
    int present = 0;
    for (const auto &[domain, baseline] : required(limits)) {
        const int here = totalOf(baseline, limits);
        const auto counts = counts_.find(domain);
        const int spots = counts != counts_.end() ? counts->second.spot_ : 0;
        totalBaseline += baseline;
        present += onDemandOf(here, limits) + spots;
    }
    return std::max(0,
                    static_cast<int>(std::ceil(settings_.floorShare_ * totalBaseline)) - present);
}

int SizePlan::onDemandOf(int total, const SizeLimits &limits) const
{
    const int wanted = static_cast<int>(std::ceil(mix_.onDemand_ * total));
    return std::clamp(wanted, std::min(limits.minPerDomain_, total), total);
}

void SizePlan::setNeed(int endpoints)
{
    need_ = endpoints;
}

int SizePlan::found() const
{
    int sum = 0;
    for (const auto &[domain, baseline] : baseline_) {
        sum += baseline;
    }
    return listComplete_ ? sum : 0;
}

int SizePlan::domains() const
{
    return static_cast<int>(baseline_.size());
}

std::map<DomainId, int> SizePlan::required(const SizeLimits &limits) const
{
    const int sum = found();
    if (!settings_.followsDemand_ || !need_ || sum == 0) {
        return baseline_;
    }
    std::map<DomainId, int> shares;
    for (const auto &[domain, baseline] : baseline_) {
        const int roundedUp = (*need_ * baseline + sum - 1) / sum;
        shares[domain] = std::min(roundedUp, std::max(1, limits.maxPerDomain_));
    }
    return shares;
}

/**
 * Baselines grow with the list until it is complete after a start; later they grow only with
 * on-demand endpoints. If sizes follow the demand, on-demand endpoints are added and released for
 * it, so that baselines do not grow later, except in a failure domain that was not listed before.
 */
void SizePlan::updateBaselines()
{
    if (settings_.followsDemand_ && !listComplete_) {
        listedMix_ = listedMix(counts_, settings_.toleratedLosses_);
    }
    for (const auto &[domain, here] : counts_) {
        int &baseline = baseline_[domain];
        if (settings_.followsDemand_) {
            if (!listComplete_ || baseline == 0) {
                baseline =
                    std::max(baseline, listedMix_ ? baselineOf(here, *listedMix_) : here.onDemand_);
            }
            continue;
        }
        if (!listComplete_) {
            baseline = std::max({baseline, here.onDemand_, here.spot_});
        }
        baseline = std::max(baseline, here.onDemand_);
    }
}

void SizePlan::observe(const EndpointTable &table, const ServiceTraits &service, TimePoint now)
{
    if (!service.size_ || !service.size_->hasSpot()) {
        return;
    }
    counts_ = count(table, service.id_);
    int listed = 0;
    for (const auto &[domain, here] : counts_) {
        listed += here.onDemand_ + here.spot_;
    }
    updateBaselines();
    if (listed != lastCount_) {
        lastCount_ = listed;
        countChangedAt_ = now;
    }
    listComplete_ = listComplete_ || (listed > 0 && now - countChangedAt_ >= SettleTime);
}

bool SizePlan::isReleasing(const DomainId &domain) const
{
    return releasing_.contains(domain);
}

std::vector<SizeOrder> SizePlan::plan(const EndpointTable &table, const ServiceTraits &service,
                                      TimePoint now)
{
    std::vector<SizeOrder> orders;
    if (!service.size_ || !service.size_->hasSpot()) {
        return orders;
    }
    const SizeLimits &limits = *service.size_;
    observe(table, service, now);
    // By the baselines found at the start also if sizes follow the demand: a mix that changes with
    // the demand would replace endpoints, whose caches are lost.
    mix_ = listedMix_.value_or(cheapestMix(limits, baseline_, settings_.toleratedLosses_));
    releasing_.clear();
    if (mix_.onDemand_ >= 1) {
        return orders;
    }
    if (settings_.followsDemand_ && !listComplete_) {
        return orders; // The part of a reduced fleet that is listed does not show its mix.
    }
    int substitutes = shortfallToFloor(limits);
    for (const auto &[domain, baseline] : required(limits)) {
        const SizeCounts here = counts_[domain];
        const int total = totalOf(baseline, limits);
        const int onDemand = onDemandOf(total, limits);
        const int spots = total - onDemand;
        const int spotLimit =
            listComplete_ ? std::max(0, limits.maxPerDomain_ - here.onDemand_) : baseline;
        const int ordered = std::min(spots, spotLimit);
        TimePoint &since = spotsCompleteSince_[domain];
        if (here.spot_ < ordered) {
            since = now;
        }
        addOrderIfDue({domain, true, ordered}, here.spot_, limits, now, orders);
        const auto state = orders_.find({domain, true});
        if (here.onDemand_ > onDemand && state != orders_.end() && state->second.accepted_) {
            releasing_.insert(domain);
        }
        const int assigned = std::min(substitutes, std::max(0, spots - here.spot_));
        substitutes -= assigned;
        const int wanted = onDemand + assigned;
        if (listComplete_ && (wanted > here.onDemand_ || now - since >= SpotStableTime)) {
            addOrderIfDue({domain, false, wanted}, here.onDemand_, limits, now, orders);
        }
    }
    return orders;
}

void SizePlan::addOrderIfDue(const SizeOrder &order, int present, const SizeLimits &limits,
                             TimePoint now, std::vector<SizeOrder> &orders)
{
    const auto [place, added] = orders_.try_emplace({order.domain_, order.spot_});
    OrderState &state = place->second;
    const bool isNew = added || state.count_ != order.count_;
    if ((added && present == order.count_) || state.pending_) {
        state.count_ = added ? order.count_ : state.count_;
        return;
    }
    const bool isMissing = present != order.count_ && now >= state.retryAt_;
    if (!isNew && !isMissing) {
        return;
    }
    if (isNew && now < state.retryAt_ && !state.accepted_) {
        return;
    }
    state.count_ = order.count_;
    state.pending_ = true;
    state.retryAt_ = now + millis(limits.startupMillis_ + ListingDelayMillis);
    orders.push_back(order);
}

void SizePlan::onAnswer(const SizeOrder &order, bool accepted, TimePoint now)
{
    const auto found = orders_.find({order.domain_, order.spot_});
    if (found == orders_.end()) {
        return;
    }
    OrderState &state = found->second;
    state.pending_ = false;
    state.accepted_ = accepted;
    if (accepted) {
        state.refusals_ = 0;
        return;
    }
    state.retryAt_ = now
                     + millis(std::min(FirstRetryMillis << std::min(state.refusals_, MaxDoublings),
                                       MaxRetryMillis));
    ++state.refusals_;
}

} // namespace almondridge::gateway
