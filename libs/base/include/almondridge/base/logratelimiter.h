/**
 * How many log lines of a kind may be written in a span of time: what anybody can cause as often as
 * he likes must not fill the log.
 */
#pragma once

#include "almondridge/base/time.h"

namespace almondridge {

class LineAllowance
{
public:
    LineAllowance(int most, Duration window)
        : most_(most)
        , window_(window)
    { }

    /** Whether one more line may be written now. */
    bool take(TimePoint now)
    {
        if (now >= until_) {
            until_ = now + window_;
            lines_ = 0;
        }
        return ++lines_ <= most_;
    }

private:
    int most_;
    Duration window_;
    TimePoint until_ {}; ///< End of the window in which lines_ are counted.
    int lines_ = 0;
};

} // namespace almondridge
