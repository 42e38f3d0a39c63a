#include "almondridge/base/time.h"

#include <ctime>

namespace almondridge {

BootClock::time_point BootClock::now() noexcept
{
    timespec now {};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

std::int64_t wallMillis() noexcept
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

} // namespace almondridge
