#include "almondridge/gateway/demandmeter.h"

#include <algorithm>
#include <cmath>

namespace almondridge::gateway {
namespace {

/**
 * Time constant of the decay: long enough to tell a burst of one or two seconds from random
 * variation, and short enough to show the height of the burst.
 */
constexpr double WindowSeconds = 2;
/** Over a shorter time the first requests would be overrated. */
constexpr double MinWindowSeconds = 1;

double decayFactor(TimePoint from, TimePoint now)
{
    return std::exp(-toSeconds(now - from) / WindowSeconds);
}

} // namespace

StageDemand &StageDemand::operator+=(const StageDemand &other)
{
    prefill_ += other.prefill_;
    decode_ += other.decode_;
    return *this;
}

void DemandMeter::onRequest(double prefillSeconds, double decodeSeconds, TimePoint now)
{
    // Five windows: nothing of the earlier sum would remain.
    constexpr Duration Quiet = millis(10'000);
    if (updatedAt_ == TimePoint {} || now - updatedAt_ > Quiet) {
        startedAt_ = now;
        sum_ = {};
    } else {
        const double share = decayFactor(updatedAt_, now);
        sum_ = {share * sum_.prefill_, share * sum_.decode_};
    }
    sum_ += {prefillSeconds, decodeSeconds};
    updatedAt_ = now;
}

StageDemand DemandMeter::at(TimePoint now) const
{
    if (updatedAt_ == TimePoint {}) {
        return {};
    }
    // A window that has just started covers less than its full length.
    const double filled =
        WindowSeconds * (1 - std::exp(-toSeconds(now - startedAt_) / WindowSeconds));
    const double rate = decayFactor(updatedAt_, now) / std::max(MinWindowSeconds, filled);
    return {rate * sum_.prefill_, rate * sum_.decode_};
}

} // namespace almondridge::gateway
