/**
 * Clocks and durations. Deadlines are stored as points of BootClock; durations are used only to
 * compute deadlines from settings.
 */
#pragma once

#include <chrono>
#include <cstdint>

namespace almondridge {

/**
 * The kernel's boot-time clock. Unlike the monotonic clock it advances while the machine is
 * suspended, so a lease that expired during a suspension is seen as expired after it.
 */
struct BootClock
{
    using rep = std::int64_t;
    using period = std::nano;
    using duration = std::chrono::duration<rep, period>;
    using time_point = std::chrono::time_point<BootClock, duration>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept;
};

/** A point of BootClock; comparable only within one machine. */
using TimePoint = BootClock::time_point;
/** A duration in nanoseconds. */
using Duration = BootClock::duration;

/** Milliseconds since the Unix epoch by the wall clock, for display and for other machines. */
std::int64_t wallMillis() noexcept;

/** A duration from milliseconds. */
constexpr Duration millis(std::int64_t count) noexcept
{
    return std::chrono::milliseconds(count);
}

/** A duration in whole milliseconds, rounded towards zero. */
constexpr std::int64_t toMillis(Duration duration) noexcept
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/** A duration in seconds. */
constexpr double toSeconds(Duration duration) noexcept
{
    return std::chrono::duration<double>(duration).count();
}

/** Milliseconds from now until the deadline, never negative; suits poll() and HTTP headers. */
constexpr std::int64_t millisUntil(TimePoint deadline, TimePoint now) noexcept
{
    return deadline > now ? toMillis(deadline - now) : 0;
}

} // namespace almondridge
