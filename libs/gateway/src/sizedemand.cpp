#include "almondridge/gateway/sizedemand.h"

#include <algorithm>
#include <cmath>

namespace almondridge::gateway {
namespace {

/**
 * Utilization of the endpoints at the peak of the demand. Prefill work arrives in units of some
 * hundred milliseconds; at this utilization a unit rarely finds its engine busy.
 */
constexpr double TargetUtilization = 0.3;
/**
 * A crest counts fully for this time, three waves. Waves of 13 s and bursts of 3 to 15 s are usual;
 * with 20 s, the need went up and down with waves of which every third was higher.
 */
constexpr Duration CrestHold = millis(40'000);
/** Resolution at which crests are kept. */
constexpr Duration CrestStep = millis(1'000);
/**
 * Time constant of the decay of a peak whose crest is older. Endpoints are released in several
 * steps because replacing one takes 4 s and starts with an empty cache.
 */
constexpr double PeakDecaySeconds = 20;
/** A need that is lower by a smaller share does not justify releasing endpoints. */
constexpr double MinReduction = 0.1;
/** A lower need has to last this long, more than the start of a new endpoint. */
constexpr Duration LowerFor = millis(6'000);
/**
 * Until the demand has been known for this time, three waves, the need does not fall below
 * UnobservedShare of the number found at the start: the highest crest may not have come yet.
 */
constexpr Duration ObservationTime = millis(40'000);
constexpr double UnobservedShare = 0.6;
/** Below this demand, in busy engines, no traffic has been seen. */
constexpr double MinDemand = 0.02;
/** Guards against rounding up a quotient that is a whole number but for its last bits. */
constexpr double Epsilon = 1e-9;

void raise(StageDemand &highest, const StageDemand &demand)
{
    highest.prefill_ = std::max(highest.prefill_, demand.prefill_);
    highest.decode_ = std::max(highest.decode_, demand.decode_);
}

int roundUp(double count)
{
    return static_cast<int>(std::ceil(count - Epsilon));
}

} // namespace

void SizeDemand::addCrest(const StageDemand &demand, TimePoint now)
{
    if (crests_.empty() || now - crests_.back().from_ >= CrestStep) {
        crests_.push_back({now, {}});
    }
    raise(crests_.back().highest_, demand);
}

/** While some instances are not heard the peak does not decay: their demand is unknown. */
void SizeDemand::updatePeak(bool isComplete, TimePoint now)
{
    const Duration passed = updatedAt_ == TimePoint {} ? Duration {} : now - updatedAt_;
    updatedAt_ = now;
    if (!isComplete) {
        for (Crest &crest : crests_) {
            crest.from_ += passed;
        }
    } else {
        observed_ += passed;
        const double decay = std::exp(-toSeconds(passed) / PeakDecaySeconds);
        peak_ = {decay * peak_.prefill_, decay * peak_.decode_};
        while (!crests_.empty() && now - crests_.front().from_ > CrestHold) {
            crests_.pop_front();
        }
    }
    for (const Crest &crest : crests_) {
        raise(peak_, crest.highest_);
    }
}

int SizeDemand::wanted(const SizeBounds &bounds) const
{
    const int unobserved =
        observed_ < ObservationTime ? roundUp(UnobservedShare * bounds.found_) : 0;
    const double byPeak = std::min<double>(peak_.all() / TargetUtilization, bounds.atMost_);
    return std::min(std::max({roundUp(byPeak), bounds.atLeast_, unobserved, 1}), bounds.atMost_);
}

bool SizeDemand::observe(const FleetDemand &sample, const SizeBounds &bounds, TimePoint now)
{
    if (bounds.found_ <= 0) {
        return false;
    }
    const StageDemand demand {sample.busy_.prefill_ + sample.refused_, sample.busy_.decode_};
    if (!need_ && demand.all() < MinDemand) {
        return false;
    }
    updatePeak(sample.isComplete_, now);
    addCrest(demand, now);
    raise(peak_, demand);
    const int before = need_.value_or(bounds.found_);
    const int target = wanted(bounds);
    if (target >= before) {
        lowerSince_.reset();
        need_ = target;
        return target > before;
    }
    need_ = before;
    if (!sample.isComplete_) {
        lowerSince_.reset();
        return false;
    }
    return shrinkIfLowerForLong(target, now);
}

bool SizeDemand::shrinkIfLowerForLong(int wanted, TimePoint now)
{
    if (wanted > (1 - MinReduction) * *need_) {
        lowerSince_.reset();
        return false;
    }
    if (!lowerSince_) {
        lowerSince_ = now;
        highestLower_ = wanted;
    }
    highestLower_ = std::max(highestLower_, wanted);
    if (now - *lowerSince_ < LowerFor) {
        return false;
    }
    need_ = highestLower_;
    lowerSince_.reset();
    return true;
}

} // namespace almondridge::gateway
