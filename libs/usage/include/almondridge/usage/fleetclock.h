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

class TrueTime
{
public:
    /** wallMillis: the wall clock's word at that moment. */
    TrueTime(std::int64_t wallMillis, TimePoint now);

    std::int64_t millisAt(TimePoint moment) const noexcept;
    TimePoint pointOf(std::int64_t unixMillis) const noexcept;

    /** An instance's wall clock showed this a moment ago; this instance's own counts as well. */
    void onWallClock(const InstanceId &instance, std::int64_t wallMillis, TimePoint now);
    /** Goes to the median of the clocks that were heard of lately. */
    void settle(TimePoint now);
    /** What a peer's time has to be moved by; nullopt: it is right, as far as can be told. */
    std::optional<std::int64_t> correctionOf(std::int64_t peerMillis, TimePoint now) const;
    void correct(std::int64_t byMillis) noexcept { epochMillis_ += byMillis; }

private:
    struct Clock
    {
        std::int64_t epochMillis_ = 0; ///< By this clock, as below.
        TimePoint heardAt_ {};
    };

    std::int64_t epochMillis_; ///< The Unix time at the boot clock's zero.
    std::map<InstanceId, Clock> clocks_;
};

} // namespace almondridge::usage
