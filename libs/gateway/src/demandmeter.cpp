#include "almondridge/gateway/demandmeter.h"

#include <algorithm>
#include <cmath>

namespace almondridge::gateway {
namespace {

/**
 * Requests count for about this long: enough of them to tell a burst of a second or two from
 * chance, and short enough that its height is seen.
 */
constexpr double WindowSeconds = 2;
/** Of a shorter time than this the first requests say too much. */
constexpr double LeastSeconds = 1;

double kept(TimePoint from, TimePoint now)
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

void DemandMeter::onRequest(double readSeconds, double generateSeconds, TimePoint now)
{
    constexpr Duration Quiet = millis(10'000); // Five windows: nothing is left of before.
    if (countedAt_ == TimePoint {} || now - countedAt_ > Quiet) {
        begunAt_ = now;
        sum_ = {};
    } else {
        const double share = kept(countedAt_, now);
        sum_ = {share * sum_.prefill_, share * sum_.decode_};
    }
    sum_ += {readSeconds, generateSeconds};
    countedAt_ = now;
}

StageDemand DemandMeter::at(TimePoint now) const
{
    if (countedAt_ == TimePoint {}) {
        return {};
    }
    // A window that has just begun holds less than its length.
    const double filled =
        WindowSeconds * (1 - std::exp(-toSeconds(now - begunAt_) / WindowSeconds));
    const double rate = kept(countedAt_, now) / std::max(LeastSeconds, filled);
    return {rate * sum_.prefill_, rate * sum_.decode_};
}

} // namespace almondridge::gateway
