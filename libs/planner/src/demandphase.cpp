#include "demandphase.h"

#include <algorithm>
#include <cmath>

namespace almondridge::planner {
namespace {

/** Weight of the newest phase in the mean length. */
constexpr double LengthWeight = 0.4;

/** No phase is expected to go on for longer than so many slow windows. */
constexpr double LongestInSlowWindows = 2;

/** The noise that is assumed before any was seen: the threshold by this. */
constexpr double FirstNoiseDivisor = 2.5;

/** The share of all work on the right by which one kind differs on the left. */
double difference(const TokenRates &left, const TokenRates &right)
{
    const double before = right.prefill_ + right.decode_;
    const double total = before > 0 ? before : left.prefill_ + left.decode_;
    const double most =
        std::max(std::abs(left.prefill_ - right.prefill_), std::abs(left.decode_ - right.decode_));
    return total > 0 ? most / total : 0;
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

MixPhase::MixPhase(const MixWindows &windows)
    : windows_(windows)
    , fast_(windows.fast_)
    , present_ {{}, DemandWindow(windows.slow_)}
    , meanLengthSeconds_(toSeconds(windows.slow_))
    , noise_(windows.tuning_.shiftThreshold_ / FirstNoiseDivisor)
    , noiseSeconds_(toSeconds(windows.fast_))
{ }

void MixPhase::observe(const TokenRates &tokens, const RoleRateTable &rates, TimePoint now)
{
    if (!started_) {
        started_ = true;
        present_.began_ = now;
    }
    fast_.add(tokens, now);
    present_.demand_.add(tokens, now);
    const double apart =
        difference(rates.work(fast_.perSecond()), rates.work(present_.demand_.perSecond()));
    if (fast_.age(now) < windows_.fast_) {
        return;
    }
    if (apart > threshold()) {
        beginPhase(now);
    } else {
        learnNoise(apart, now);
    }
}

void MixPhase::beginPhase(TimePoint now)
{
    learnLength(now - present_.began_);
    first_ = false;
    present_ = {now, DemandWindow(windows_.slow_)};
    present_.demand_.add({}, now);
    fast_ = DemandWindow(windows_.fast_);
    fast_.add({}, now);
}

void MixPhase::learnNoise(double difference, TimePoint now)
{
    const double interval = std::min(1.0, toSeconds(now - noiseAt_));
    noiseAt_ = now;
    noiseSeconds_ = std::min(noiseSeconds_ + interval, toSeconds(windows_.slow_));
    noise_ += interval / noiseSeconds_ * (difference - noise_);
}

double MixPhase::threshold() const
{
    return std::max(windows_.tuning_.shiftThreshold_, windows_.tuning_.noiseFactor_ * noise_);
}

void MixPhase::learnLength(Duration length)
{
    meanLengthSeconds_ += LengthWeight * (toSeconds(length) - meanLengthSeconds_);
}

Duration MixPhase::likelyToLast(TimePoint now) const
{
    // What has lasted for a while is likely to last about as long again, or to the length that
    // its predecessors had. Where the first phase began is not known, so it has no length.
    const double age = toSeconds(now - present_.began_);
    const double expected = first_ ? 0 : meanLengthSeconds_ - age;
    // However long it has lasted, demand swings within minutes: without this bound the last
    // thousandth of goodput would be worth a change after some hours of the same mix.
    const double longest = toSeconds(windows_.slow_) * LongestInSlowWindows;
    const double seconds = std::min(std::max(age, expected), longest);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace almondridge::planner
