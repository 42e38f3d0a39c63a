#include "modelqueue.h"

#include <algorithm>

namespace almondridge::admission {
namespace {

constexpr Duration CapacityTtl = millis(5'000);
constexpr Duration MaxWait = std::chrono::hours(1);
constexpr Duration RateInterval = millis(1'000);
constexpr double RateDecay = 0.7;

} // namespace

void ModelQueue::onCapacity(Duration firstTokenWait, double tokensPerSecond, double spareShare,
                            TimePoint now)
{
    // A router without endpoints reports the maximum wait, which would overflow if added to now.
    const Duration wait = std::clamp(firstTokenWait, Duration {}, MaxWait);
    capacity_ = {wait, tokensPerSecond, spareShare, now, now + CapacityTtl};
}

void ModelQueue::onFinished(std::int64_t tokens, TimePoint now)
{
    finishedTokens_ += tokens;
    if (intervalStart_ == TimePoint {}) {
        intervalStart_ = now;
    }
    const Duration span = now - intervalStart_;
    if (span < RateInterval) {
        return;
    }
    const double rate = static_cast<double>(finishedTokens_) / toSeconds(span);
    finishedTokensPerSecond_ = finishedTokensPerSecond_ > 0
                                   ? finishedTokensPerSecond_ * RateDecay + rate * (1 - RateDecay)
                                   : rate;
    finishedTokens_ = 0;
    intervalStart_ = now;
}

double ModelQueue::tokensPerSecond(TimePoint now) const
{
    return capacityKnown(now) ? capacity_.tokensPerSecond_ : finishedTokensPerSecond_;
}

Duration ModelQueue::firstTokenWait(TimePoint now) const
{
    return capacityKnown(now) ? capacity_.firstTokenWait_ : Duration {};
}

std::optional<TimePoint> ModelQueue::refusalTime(TimePoint latestFirstToken) const
{
    constexpr Duration OneTick = Duration(1);
    if (latestFirstToken == TimePoint::max()) {
        return std::nullopt;
    }
    const TimePoint due = latestFirstToken - capacity_.firstTokenWait_;
    return (capacityKnown(due) ? due : latestFirstToken) + OneTick;
}

Duration ModelQueue::timeFor(double tokens, TimePoint now) const
{
    const double rate = tokensPerSecond(now);
    if (rate <= 0) {
        return {};
    }
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(tokens / rate));
}

} // namespace almondridge::admission
