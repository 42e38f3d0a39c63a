#include "almondridge/usage/fleetclock.h"

#include <algorithm>
#include <cstdlib>
#include <vector>

namespace almondridge::usage {
namespace {

/** Smaller differences may come from network latency. */
constexpr std::int64_t MinAdjustmentMillis = 50;
/** Two collectors that correct the same instance may each deviate by MinAdjustmentMillis. */
constexpr std::int64_t MinCorrectionMillis = 2 * MinAdjustmentMillis + 50;
/** Older samples are dropped. */
constexpr Duration SampleValidity = millis(10'000);

std::int64_t bootMillis(TimePoint moment)
{
    return toMillis(moment.time_since_epoch());
}

} // namespace

FleetClock::FleetClock(std::int64_t wallMillis, TimePoint now)
    : epochMillis_(wallMillis - bootMillis(now))
{ }

std::int64_t FleetClock::unixMillisAt(TimePoint moment) const noexcept
{
    return epochMillis_ + bootMillis(moment);
}

TimePoint FleetClock::timePointAt(std::int64_t unixMillis) const noexcept
{
    return TimePoint {} + millis(unixMillis - epochMillis_);
}

void FleetClock::addSample(const InstanceId &instance, std::int64_t wallMillis, TimePoint now)
{
    samples_[instance] = {wallMillis - bootMillis(now), now};
}

void FleetClock::adjustToMedian(TimePoint now)
{
    std::erase_if(samples_, [&](const auto &entry) {
        return entry.second.receivedAt_ + SampleValidity < now;
    });
    std::vector<std::int64_t> epochs;
    epochs.reserve(samples_.size());
    for (const auto &[instance, sample] : samples_) {
        epochs.push_back(sample.epochMillis_);
    }
    if (epochs.empty()) {
        return;
    }
    const auto middle = epochs.begin() + static_cast<std::ptrdiff_t>(epochs.size() / 2);
    std::nth_element(epochs.begin(), middle, epochs.end());
    if (std::abs(*middle - epochMillis_) >= MinAdjustmentMillis) {
        epochMillis_ = *middle;
    }
}

std::optional<std::int64_t> FleetClock::correctionFor(std::int64_t peerMillis, TimePoint now) const
{
    const std::int64_t difference = unixMillisAt(now) - peerMillis;
    return std::abs(difference) >= MinCorrectionMillis ? std::optional(difference) : std::nullopt;
}

} // namespace almondridge::usage
