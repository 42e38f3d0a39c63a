/**
 * One instance's view of a failure domain's lease. Time and random numbers are passed in.
 *
 * The holder measures the term from before its append; all other instances measure it from when
 * they read the record, plus a margin. So the holder stops before any other instance may claim
 * the lease.
 */
#pragma once

#include "almondridge/base/time.h"
#include "almondridge/control/fold.h"

#include <optional>

namespace almondridge::control {

/** The next action of the lease protocol. */
enum class LeaseStep { Wait, Claim, Renew };

/** How long the kernel keeps sending an order that is not acknowledged (TCP_USER_TIMEOUT). */
inline constexpr std::int64_t OrderUserTimeoutMillis = 1'000;

/**
 * How long after a lease expired an order of its holder may still reach an engine, in ms. The
 * kernel checks the user timeout only when it would retransmit, hence twice its value.
 */
inline constexpr std::int64_t OrderNetworkBoundMillis = 2 * OrderUserTimeoutMillis;

class LeaseKeeper
{
public:
    LeaseKeeper(InstanceId self, DomainId domain, std::int64_t termMillis,
                std::int64_t marginMillis);

    /** Sets the random delay, drawn by the caller, before the next claim or retry. */
    void setBackoff(Duration backoff) noexcept { backoff_ = backoff; }

    /** Returns the next action; fills in the record to append for Claim and Renew. */
    LeaseStep next(const Fold &fold, TimePoint now, Record &record);
    /** The same, given the domain's latest lease in the log; null when it never had one. */
    LeaseStep next(const LeaseState *current, TimePoint now, Record &record);

    /** Call right before the record is sent. One append at a time. */
    void onAppending(const Record &record, TimePoint now);
    /**
     * Call with the verdict on exactly the append of the last onAppending(). Not called when the
     * verdict remains unknown; the lease is then not held.
     */
    void onVerdict(Verdict verdict, LogOffset offset, TimePoint now);
    /** Call for each folded record. */
    void onFolded(const FoldStep &step) noexcept;

    /**
     * The record that releases the lease; passing it to onAppending() ends the hold. nullopt when
     * the lease is not held, or while an order of a previous holder may still reach an engine that
     * ignores fences: the successor of a released lease does not wait, so the lease has to expire
     * instead.
     */
    std::optional<LeaseRenewRecord> release(TimePoint now) const;

    /** The fence for orders sent before orderDeadline(); nullopt when this is not the holder. */
    std::optional<Fence> heldFence(TimePoint now) const noexcept;
    /** The time after which no order may be sent under the held fence. */
    TimePoint orderDeadline() const noexcept { return heldUntil_; }
    /** The time before which a new holder may not send orders to engines that ignore fences. */
    TimePoint firstUnfencedOrder() const noexcept { return firstUnfencedOrder_; }

private:
    enum class Appending { Nothing, Claim, Renewal };

    void dropIfExpired(TimePoint now) noexcept;
    void onLeaseRead(const LeaseState &current, TimePoint now);
    LeaseStep nextRenewal(const LeaseState *current, TimePoint now, Record &record) const;

    InstanceId self_;
    DomainId domain_;
    Duration term_;
    Duration margin_;
    Duration backoff_ {};
    Appending appending_ = Appending::Nothing;
    TimePoint appendingSince_ {}; ///< Taken before the pending append.
    TimePoint
        pendingFirstUnfencedOrder_ {}; ///< firstUnfencedOrder_ if the pending claim is accepted.
    std::optional<Fence> fence_;
    TimePoint heldUntil_ {};
    TimePoint observedExpiry_ {}; ///< When the lease seen in the log has surely expired.
    TimePoint claimFrom_ {};      ///< observedExpiry_ plus the random backoff.
    TimePoint nextTry_ {};
    TimePoint firstUnfencedOrder_ {};
    std::optional<LogOffset> seenRecord_; ///< 0: the log has no lease of the domain.
    bool seenReleased_ = false;
};

} // namespace almondridge::control
