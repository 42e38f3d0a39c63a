/**
 * The time since the Unix epoch, from a wall clock that may jump: it is read once and counted on by
 * the boot clock, and then follows the median of the fleet's wall clocks. Pure.
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
    /** wallMillis: the wall clock's word at that moment. */
    FleetClock(std::int64_t wallMillis, TimePoint now);

    std::int64_t unixMillisAt(TimePoint moment) const noexcept;
    TimePoint timePointAt(std::int64_t unixMillis) const noexcept;

    /** An instance's wall clock showed this a moment ago; this instance's own counts as well. */
    void addSample(const InstanceId &instance, std::int64_t wallMillis, TimePoint now);
    /** Goes to the median of the clocks that were heard of lately. */
    void adjustToMedian(TimePoint now);
    /** What a peer's time has to be moved by; nullopt: it is right, as far as can be told. */
    std::optional<std::int64_t> correctionFor(std::int64_t peerMillis, TimePoint now) const;
    void adjustBy(std::int64_t offsetMillis) noexcept { epochMillis_ += offsetMillis; }

private:
    struct Sample
    {
        std::int64_t epochMillis_ = 0; ///< By this clock, as below.
        TimePoint receivedAt_ {};
    };

    std::int64_t epochMillis_; ///< The Unix time at the boot clock's zero.
    std::map<InstanceId, Sample> samples_;
};

} // namespace almondridge::usage
