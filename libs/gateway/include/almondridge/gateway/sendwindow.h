/**
 * Counts the requests that this instance sent to one endpoint during the last seconds. No clock:
 * the current time is an input.
 */
#pragma once

#include "almondridge/base/time.h"

#include <array>
#include <cstdint>

namespace almondridge::gateway {

class SendWindow
{
public:
    /** Time that the window covers; up to a step more is counted. */
    static constexpr Duration Length = millis(4'000);

    void add(TimePoint now);
    int count(TimePoint now) const;
    /** When count() falls below max, which is at least 1, if nothing is sent until then. */
    TimePoint fallsBelow(int max, TimePoint now) const;
    /** When the last request was sent; the epoch of the clock if none was. */
    TimePoint lastAt() const noexcept { return lastAt_; }

private:
    static constexpr Duration Step = millis(250);
    static constexpr std::int64_t Steps = Length / Step + 1;

    std::array<std::uint16_t, Steps> counts_ {}; ///< By step modulo Steps.
    std::int64_t newestStep_ = 0;
    TimePoint lastAt_ {};
};

} // namespace almondridge::gateway
