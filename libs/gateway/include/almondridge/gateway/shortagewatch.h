/**
 * Tells when the demand on a service comes close to what its engines can do. Until then no account
 * is limited and instances don't tell each other the demand by account, which would take more of
 * their links than all other reports. No I/O and no clock.
 */
#pragma once

#include "almondridge/base/time.h"

namespace almondridge::gateway {

class ShortageWatch
{
public:
    /**
     * Adds a sample; call it several times a second. busy: prefill demand of the whole fleet, in
     * busy engines; engines: those that can prefill; isComplete: whether the demand covers all
     * instances. A shortage that was near stays so while the demand is incomplete: the instance may
     * be cut off from the others.
     */
    void observe(double busy, double engines, bool isComplete, TimePoint now);
    /** Whether demand by account is to be counted and told. */
    bool isNear() const noexcept { return nearSince_ != TimePoint {}; }
    /** Whether the peers have had time to tell theirs, so that shares are known. */
    bool areSharesKnown(TimePoint now) const;

private:
    TimePoint nearSince_ {}; ///< Empty: no shortage is near.
    TimePoint nearUntil_ {};
};

} // namespace almondridge::gateway
