#include "almondridge/gateway/sendwindow.h"

#include <algorithm>
#include <limits>

namespace almondridge::gateway {

void SendWindow::add(TimePoint now)
{
    const std::int64_t step = now.time_since_epoch() / Step;
    const std::int64_t firstStale = std::max(newestStep_ + 1, step - Steps + 1);
    for (std::int64_t stale = firstStale; stale <= step; ++stale) {
        counts_.at(static_cast<std::size_t>(stale % Steps)) = 0;
    }
    newestStep_ = std::max(newestStep_, step);
    lastAt_ = std::max(lastAt_, now);
    std::uint16_t &count = counts_.at(static_cast<std::size_t>(step % Steps));
    count += count < std::numeric_limits<std::uint16_t>::max() ? 1 : 0;
}

int SendWindow::count(TimePoint now) const
{
    const std::int64_t step = now.time_since_epoch() / Step;
    int sum = 0;
    for (std::int64_t one = std::max<std::int64_t>(0, step - Steps + 1); one <= newestStep_;
         ++one) {
        sum += counts_.at(static_cast<std::size_t>(one % Steps));
    }
    return sum;
}

TimePoint SendWindow::fallsBelow(int max, TimePoint now) const
{
    const std::int64_t step = now.time_since_epoch() / Step;
    int sum = count(now);
    TimePoint at = now;
    for (std::int64_t oldest = std::max<std::int64_t>(0, step - Steps + 1);
         sum >= max && oldest <= newestStep_; ++oldest) {
        sum -= counts_.at(static_cast<std::size_t>(oldest % Steps));
        at = TimePoint {} + (oldest + Steps) * Step;
    }
    return at;
}

} // namespace almondridge::gateway
