/**
 * Whether this instance may give orders to engines: a lease, and a fencing number that rises from
 * holder to holder. Pure: what the store answered and the time go in.
 *
 * The store names one member of a group. Its word is a lease that runs from the moment it was
 * asked, so a holder that was frozen or cut off finds it lapsed by its own clock. The store may
 * name another member at any time without telling this one; so a new holder waits until the one
 * before it has surely asked again or lapsed. Where fencing numbers are checked these keep the one
 * before out, and a holder only waits for its own earlier right to be long over: two holders that
 * take turns within a term would undo each other's work.
 */
#pragma once

#include "almondridge/base/ids.h"
#include "almondridge/base/time.h"

#include <optional>

namespace almondridge::gateway {

struct AuthoritySettings
{
    std::int64_t termMillis_ = 3'000;  ///< How long the store's word holds.
    std::int64_t renewMillis_ = 1'000; ///< Between two questions to the store.
    std::int64_t marginMillis_ = 500;  ///< Clocks that run apart, and orders on their way.
    /** Whoever gets an order refuses lower fencing numbers than it has seen. */
    bool fencesAreChecked_ = false;
};

/** A right to give orders, until a point in time. */
struct OrderRight
{
    Fence fence_ = 0;
    TimePoint until_ {};
};

class Authority
{
public:
    Authority(AuthoritySettings settings, TimePoint startedAt);

    /** The store named this instance, or another one, when asked at askedAt. */
    void onNamed(bool named, TimePoint askedAt, TimePoint now);
    /** Whether a fencing number has to be claimed before any order. */
    bool needsFence(TimePoint now) const;
    /** The claim was accepted at this offset of the claims' log. */
    void onClaimed(LogOffset offset, TimePoint now);
    /** An engine has seen a higher fence: another holder was named since. */
    void onOvertaken(TimePoint now);

    /** The right to give orders now; nullopt: none. */
    std::optional<OrderRight> right(TimePoint now) const;
    bool named() const noexcept { return named_; }
    /** Named, and the store's word still holds. */
    bool namedNow(TimePoint now) const noexcept { return named_ && namedUntil_ > now; }

private:
    Duration takeOverWait() const;
    TimePoint firstOrderAt(TimePoint now) const;

    AuthoritySettings settings_;
    bool named_ = false;
    TimePoint namedUntil_ {};
    TimePoint ordersFrom_ {};
    TimePoint mayHaveActedUntil_; ///< By an earlier right, or in an earlier lifetime.
    std::optional<Fence> fence_;
};

} // namespace almondridge::gateway
