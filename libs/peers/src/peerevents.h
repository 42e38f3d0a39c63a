/**
 * Reports events of the exchange to the timeline or log, and accesses the hybrid clock.
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
    /** If timeline is null, events are only logged. */
    explicit PeerEvents(observe::Timeline *timeline);

    void report(std::string_view name, const std::string &subject, const std::string &detail = {});

    /**
     * Like report(), but limited to 8 events per second. Otherwise any client that can reach the
     * port could displace all other events from the timeline. The next reported event contains
     * the number of suppressed ones (left_out).
     */
    void reportRefusal(std::string_view name, const std::string &subject, std::string detail);

    /** Hybrid time for the next message: "millis.counter". Empty without a timeline. */
    std::string clock();
    /** Advances the hybrid clock past that of an authenticated message. */
    void advanceClock(std::string_view clock);

private:
    observe::Timeline *const timeline_;
    std::mutex mutex_;
    TimePoint windowDeadline_ {};
    int inWindow_ = 0;
    int suppressed_ = 0;
};

} // namespace almondridge::peers
