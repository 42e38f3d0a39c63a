/**
 * Leader election through the store: queries periodically whether this instance is the leader, and
 * claims a fencing number when it is. One lease covers all work that only one instance may do at a
 * time.
 */
#pragma once

#include "almondridge/async/eventloop.h"
#include "almondridge/gateway/leaderstate.h"

#include <functional>

namespace almondridge::gateway {

/** The store that names the leader. Replies may come late or never. */
class LeaderStore
{
public:
    virtual ~LeaderStore() = default;

    /** Queries whether this instance is the leader; nullopt: no reply. */
    virtual void queryLeader(const std::function<void(std::optional<bool>)> &done) = 0;
    /** Appends a claim to the log and passes it on; nullopt: unknown whether appended. */
    virtual void claimFence(const std::function<void(std::optional<FenceClaim>)> &done) = 0;
};

class LeaderElection
{
public:
    LeaderElection(async::EventLoop &loop, LeaderStore &store, LeaderLeaseSettings settings);

    void start();
    void stop();
    /** The lease to act under now; nullopt: none. */
    std::optional<LeaderLease> lease() const;
    /** Whether the store named this instance as leader and the lease hasn't expired. */
    bool isLeader() const { return state_.isLeader(BootClock::now()); }
    /** A receiver of orders has seen a higher fencing number. */
    void onHigherFenceSeen();

private:
    void renew();
    void claimFenceIfNeeded();

    LeaderStore &store_;
    LeaderLeaseSettings settings_;
    LeaderState state_;
    async::Timer renewal_;
    bool claiming_ = false;
    bool running_ = false;
};

} // namespace almondridge::gateway
