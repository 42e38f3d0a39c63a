#include "demandphase.h"

#include <algorithm>
#include <cmath>

namespace almondridge::planner {
namespace {

/** Weight of the newest phase in the mean length. */
constexpr double LengthWeight = 0.4;

/** Upper bound of expectedRemaining(), in slow windows. */
constexpr double MaxRemainingSlowWindows = 2;

/** Initial noise level: the shift threshold divided by this. */
constexpr double InitialNoiseDivisor = 2.5;

/** The larger difference of the two kinds of work, as a share of all work on the right. */
double relativeDifference(const TokenRates &left, const TokenRates &right)
{
    const double before = right.prefill_ + right.decode_;
    const double total = before > 0 ? before : left.prefill_ + left.decode_;
    const double largest =
        std::max(std::abs(left.prefill_ - right.prefill_), std::abs(left.decode_ - right.decode_));
    return total > 0 ? largest / total : 0;
}

} // namespace

void DemandWindow::add(const TokenRates &tokens, TimePoint now)
{
    prefill_.add(tokens.prefill_, now);
    decode_.add(tokens.decode_, now);
}

Duration DemandWindow::age(TimePoint now) const
{
    return prefill_.started() ? now - *prefill_.started() : Duration {};
}

DemandPhaseDetector::DemandPhaseDetector(const PhaseSettings &settings)
    : settings_(settings)
    , fast_(settings.fast_)
    , current_ {{}, DemandWindow(settings.slow_)}
    , meanLengthSeconds_(toSeconds(settings.slow_))
    , noise_(settings.tuning_.shiftThreshold_ / InitialNoiseDivisor)
    , noiseWindowSeconds_(toSeconds(settings.fast_))
{ }

void DemandPhaseDetector::observe(const TokenRates &tokens, const RoleRateTable &rates,
                                  TimePoint now)
{
    if (!started_) {
        started_ = true;
        current_.startedAt_ = now;
    }
    fast_.add(tokens, now);
    current_.demand_.add(tokens, now);
    const double change = relativeDifference(rates.engineDemand(fast_.perSecond()),
                                             rates.engineDemand(current_.demand_.perSecond()));
    if (fast_.age(now) < settings_.fast_) {
        return;
    }
    if (change > threshold()) {
        beginPhase(now);
    } else {
        updateNoise(change, now);
    }
}

void DemandPhaseDetector::beginPhase(TimePoint now)
{
    updateMeanLength(now - current_.startedAt_);
    firstPhase_ = false;
    current_ = {now, DemandWindow(settings_.slow_)};
    current_.demand_.add({}, now);
    fast_ = DemandWindow(settings_.fast_);
    fast_.add({}, now);
}

void DemandPhaseDetector::updateNoise(double relativeDifference, TimePoint now)
{
    const double interval = std::min(1.0, toSeconds(now - noiseUpdatedAt_));
    noiseUpdatedAt_ = now;
    noiseWindowSeconds_ = std::min(noiseWindowSeconds_ + interval, toSeconds(settings_.slow_));
    noise_ += interval / noiseWindowSeconds_ * (relativeDifference - noise_);
}

double DemandPhaseDetector::threshold() const
{
    return std::max(settings_.tuning_.shiftThreshold_, settings_.tuning_.noiseFactor_ * noise_);
}

void DemandPhaseDetector::updateMeanLength(Duration length)
{
    meanLengthSeconds_ += LengthWeight * (toSeconds(length) - meanLengthSeconds_);
}

Duration DemandPhaseDetector::expectedRemaining(TimePoint now) const
{
    // A phase is expected to last as long again as it has lasted, or until the mean length of
    // earlier phases. The start of the first phase is unknown, so the mean does not apply to it.
    const double age = toSeconds(now - current_.startedAt_);
    const double expected = firstPhase_ ? 0 : meanLengthSeconds_ - age;
    // Demand can shift within minutes, however long a phase has lasted. Without this bound, a gain
    // of 0.1 % of goodput would justify a change after some hours of the same mix.
    const double longest = toSeconds(settings_.slow_) * MaxRemainingSlowWindows;
    const double seconds = std::min(std::max(age, expected), longest);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace almondridge::planner
