/**
 * Events of the exchange on the time line (or the log alone), and the hybrid clock.
 */
#pragma once

#include "almondridge/base/time.h"
#include "almondridge/observe/timeline.h"

#include <mutex>
#include <string>
#include <string_view>

namespace almondridge::peers {

/** Thread-safe. */
class PeerEvents
{
public:
    /** Without a time line events are only logged. */
    explicit PeerEvents(observe::Timeline *timeline);

    void report(std::string_view name, const std::string &subject, const std::string &detail = {});

    /**
     * Like report(), but at most a few in a second: whoever can reach the port could otherwise
     * push all other events out of the time line. The next event says how many were left out.
     */
    void reportRefusal(std::string_view name, const std::string &subject, std::string detail);

    /** The hybrid time for the next message: "millis.counter". Empty without a time line. */
    std::string clock();
    /** Moves the hybrid clock past one that came with a proved message. */
    void advanceClock(std::string_view clock);

private:
    observe::Timeline *const timeline_;
    std::mutex mutex_;
    TimePoint windowDeadline_ {};
    int inWindow_ = 0;
    int leftOut_ = 0;
};

} // namespace almondridge::peers
