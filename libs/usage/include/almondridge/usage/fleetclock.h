/**
 * Unix time that is robust against jumps of the wall clock: the wall clock is read once, the boot
 * clock advances the time from there, and it is then adjusted to the median of the fleet's wall
 * clocks. Reads no clock itself.
 */
#pragma once

#include "almondridge/base/ids.h"
#include "almondridge/base/time.h"

#include <cstdint>
#include <map>
#include <optional>

namespace almondridge::usage {

class FleetClock
{
public:
    /** wallMillis: the wall clock's Unix time at now. */
    FleetClock(std::int64_t wallMillis, TimePoint now);

    std::int64_t unixMillisAt(TimePoint moment) const noexcept;
    TimePoint timePointAt(std::int64_t unixMillis) const noexcept;

    /** Records what an instance's wall clock showed at about now; includes this instance's own. */
    void addSample(const InstanceId &instance, std::int64_t wallMillis, TimePoint now);
    /** Sets the time to the median of the recent samples, unless it is close to that already. */
    void adjustToMedian(TimePoint now);
    /** Milliseconds to add to a peer's time; nullopt if the difference is within tolerance. */
    std::optional<std::int64_t> correctionFor(std::int64_t peerMillis, TimePoint now) const;
    void adjustBy(std::int64_t offsetMillis) noexcept { epochMillis_ += offsetMillis; }

private:
    struct Sample
    {
        std::int64_t epochMillis_ =
            0; ///< By this instance's wall clock, as FleetClock::epochMillis_.
        TimePoint receivedAt_ {};
    };

    std::int64_t epochMillis_; ///< Unix time at the boot clock's zero.
    std::map<InstanceId, Sample> samples_;
};

} // namespace almondridge::usage
