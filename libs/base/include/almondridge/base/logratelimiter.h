/**
 * Rate limit for log lines of one kind, so that events that anybody can cause don't flood the log.
 */
#pragma once

#include "almondridge/base/time.h"

namespace almondridge {

/** Fixed-window rate limiter. */
class LogRateLimiter
{
public:
    LogRateLimiter(int maxLines, Duration window)
        : maxLines_(maxLines)
        , window_(window)
    { }

    /** Counts a line; false if the current window already has the maximum. */
    bool take(TimePoint now)
    {
        if (now >= until_) {
            until_ = now + window_;
            lines_ = 0;
        }
        return ++lines_ <= maxLines_;
    }

private:
    int maxLines_; ///< In each window.
    Duration window_;
    TimePoint until_ {}; ///< End of the current window.
    int lines_ = 0;      ///< In the current window.
};

} // namespace almondridge
