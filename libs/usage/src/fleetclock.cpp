#include "almondridge/usage/fleetclock.h"

#include <algorithm>
#include <cstdlib>
#include <vector>

namespace almondridge::usage {
namespace {

/** Smaller differences come from the way of a message. */
constexpr std::int64_t LeastDriftMillis = 50;
/** Two instances that tell the same one its time may differ by the drift of both. */
constexpr std::int64_t LeastCorrectionMillis = 2 * LeastDriftMillis + 50;
/** A clock that was not heard of for so long tells nothing of now. */
constexpr Duration ClockHolds = millis(10'000);

std::int64_t bootMillis(TimePoint moment)
{
    return toMillis(moment.time_since_epoch());
}

} // namespace

TrueTime::TrueTime(std::int64_t wallMillis, TimePoint now)
    : epochMillis_(wallMillis - bootMillis(now))
{ }

std::int64_t TrueTime::millisAt(TimePoint moment) const noexcept
{
    return epochMillis_ + bootMillis(moment);
}

TimePoint TrueTime::pointOf(std::int64_t unixMillis) const noexcept
{
    return TimePoint {} + millis(unixMillis - epochMillis_);
}

void TrueTime::onWallClock(const InstanceId &instance, std::int64_t wallMillis, TimePoint now)
{
    clocks_[instance] = {wallMillis - bootMillis(now), now};
}

void TrueTime::settle(TimePoint now)
{
    std::erase_if(clocks_,
                  [&](const auto &entry) { return entry.second.heardAt_ + ClockHolds < now; });
    std::vector<std::int64_t> epochs;
    epochs.reserve(clocks_.size());
    for (const auto &[instance, clock] : clocks_) {
        epochs.push_back(clock.epochMillis_);
    }
    if (epochs.empty()) {
        return;
    }
    const auto middle = epochs.begin() + static_cast<std::ptrdiff_t>(epochs.size() / 2);
    std::nth_element(epochs.begin(), middle, epochs.end());
    if (std::abs(*middle - epochMillis_) >= LeastDriftMillis) {
        epochMillis_ = *middle;
    }
}

std::optional<std::int64_t> TrueTime::correctionOf(std::int64_t peerMillis, TimePoint now) const
{
    const std::int64_t difference = millisAt(now) - peerMillis;
    return std::abs(difference) >= LeastCorrectionMillis ? std::optional(difference) : std::nullopt;
}

} // namespace almondridge::usage
