/**
 * Thread-safe Membership that also stores this instance's digest and reports member events.
 */
#pragma once

#include "membership.h"
#include "peerevents.h"

#include <functional>
#include <mutex>

namespace almondridge::peers {

class SharedMembership
{
public:
    /** onFreshHeartbeat may be empty. It is called without the lock, on the thread that calls
     * onHeartbeat(). */
    SharedMembership(MembershipSettings settings, PeerEvents &events,
                     DigestListener onFreshHeartbeat);

    const PeerIdentity &self() const noexcept { return self_; }

    void seed(const std::vector<PeerAddress> &addresses);
    HeartbeatResult onHeartbeat(const Heartbeat &heartbeat,
                                const std::optional<PeerAddress> &answeringAddress = std::nullopt);
    void onNoAnswer(const PeerAddress &address);
    std::vector<HeartbeatTarget> advance(TimePoint now);
    void scheduleHeartbeatsNow(TimePoint now);
    TimePoint nextDeadline() const;
    Heartbeat compose(const InstanceId &to);
    void setLeaving();
    void setDigest(nlohmann::json digest);
    std::vector<Member> members() const;
    std::optional<Member> member(const InstanceId &instance) const;
    /** Updates the average exchange size. bodyBytes: both bodies of one exchange, no headers. */
    void onExchanged(std::size_t bodyBytes);
    /** The longest heartbeat interval in use; idle timeouts must exceed it. */
    Duration longestInterval() const;

private:
    void reportEvents(std::unique_lock<std::mutex> &lock);

    const PeerIdentity self_;
    PeerEvents &events_;
    const DigestListener onFreshHeartbeat_;
    mutable std::mutex mutex_;
    Membership membership_;
    nlohmann::json digest_;
    double exchangeBytes_ = 0;
};

} // namespace almondridge::peers
