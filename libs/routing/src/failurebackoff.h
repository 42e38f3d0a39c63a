/**
 * Exponential back-off of one endpoint after failed attempts. Once the back-off has passed, one
 * probe request at a time is allowed until a request succeeds (half-open).
 */
#pragma once

#include "almondridge/base/time.h"

namespace almondridge::routing {

/** Decides whether an endpoint that has failed may get requests. */
class FailureBackoff
{
public:
    void onDispatched(TimePoint now);
    /** sentAt: when the failed attempt was dispatched. */
    void onFailure(TimePoint sentAt, TimePoint now);
    /** sentAt: when the successful attempt was dispatched; older than the failure: ignored. */
    void onSuccess(TimePoint sentAt);

    /** False during back-off and while a probe is in progress. */
    bool allowsDispatch(TimePoint now) const
    {
        return failures_ == 0 || (now >= blockedUntil_ && now >= probeUntil_);
    }
    /** Whether the last counted attempt failed, including the half-open state. */
    bool inBackoff() const { return failures_ > 0; }
    int failures() const { return failures_; }
    TimePoint blockedUntil() const { return blockedUntil_; }

private:
    int failures_ = 0;           ///< Counted failures since the last success.
    TimePoint lastFailureAt_ {}; ///< Time of the last counted failure.
    TimePoint blockedUntil_ {};  ///< End of the back-off.
    TimePoint probeUntil_ {};    ///< When a probe in progress times out.
};

} // namespace almondridge::routing
