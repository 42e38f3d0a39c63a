/**
 * State of the leader lease: whether this instance may give orders to engines, and with which
 * fencing number. Fencing numbers rise from leader to leader. No I/O: the store's replies and the
 * current time are arguments.
 *
 * The store names one member of a group as the leader. The lease runs from the moment of the query,
 * so that it expires by the leader's own clock when the leader was frozen or cut off. The store may
 * name another member at any time without notifying this one, so a new leader waits until the
 * previous one must have queried again or its lease has expired. Where receivers check fencing
 * numbers, orders of the previous leader are refused, and a leader waits only until its own earlier
 * lease is long over: two leaders that alternate within a term would undo each other's work.
 */
#pragma once

#include "almondridge/base/ids.h"
#include "almondridge/base/time.h"

#include <optional>

namespace almondridge::gateway {

struct LeaderLeaseSettings
{
    std::int64_t termMillis_ = 3'000;  ///< How long a reply of the store is valid.
    std::int64_t renewMillis_ = 1'000; ///< Between two queries to the store.
    std::int64_t marginMillis_ = 500;  ///< Allowance for clock drift and for orders in flight.
    /** Receivers of orders refuse fencing numbers lower than the highest that they have seen. */
    bool fencesAreChecked_ = false;
};

/** A claim of a fencing number that was appended to the log of claims. */
struct FenceClaim
{
    LogOffset offset_ = 0;
    bool isFirst_ = false; ///< There never was another claim, so there is no previous leader.
};

/** The right to give orders, until a point in time. */
struct LeaderLease
{
    Fence fence_ = 0;
    TimePoint until_ {};
};

class LeaderState
{
public:
    LeaderState(LeaderLeaseSettings settings, TimePoint startedAt);

    /** The store named this instance (or another one) as leader, in reply to a query at askedAt. */
    void onLeaderReply(bool isNamed, TimePoint askedAt, TimePoint now);
    /** Whether this instance is the leader but has no fencing number yet. */
    bool needsFence(TimePoint now) const;
    /** The claim of a fencing number was appended. */
    void onFenceClaimed(const FenceClaim &claim, TimePoint now);
    /** A receiver has seen a higher fencing number: another instance has become the leader. */
    void onHigherFenceSeen(TimePoint now);

    /** The lease to give orders under now; nullopt: none. */
    std::optional<LeaderLease> lease(TimePoint now) const;
    /** Whether the last reply of the store named this instance; its lease may have expired. */
    bool wasNamed() const noexcept { return named_; }
    /** Whether the store named this instance and the lease hasn't expired. */
    bool isLeader(TimePoint now) const noexcept { return named_ && leaseUntil_ > now; }

private:
    Duration takeoverWait() const;
    TimePoint firstOrderAt(TimePoint now) const;

    LeaderLeaseSettings settings_;
    bool named_ = false;
    TimePoint leaseUntil_ {};
    TimePoint ordersAllowedAt_ {};
    TimePoint lastLeaseEnd_; ///< End of an earlier lease, or the start of this process.
    std::optional<Fence> fence_;
};

} // namespace almondridge::gateway
