/**
 * Implementation of a running PeerExchange: its threads and their shared state.
 *
 * The I/O thread owns all connections. Request handlers, the digest source and the digest
 * listener run on separate threads, so that none of them can delay heartbeats.
 */
#pragma once

#include "inbound.h"
#include "links.h"

#include <atomic>
#include <map>
#include <mutex>

namespace almondridge::peers {

class ExchangeCore final : private LoopHandler
{
public:
    /** listener: a socket listening on port. */
    ExchangeCore(ExchangeSettings settings, OwnedDescriptor listener, std::uint16_t port);
    ~ExchangeCore() override;

    void start();
    void stop();

    std::uint16_t port() const noexcept { return port_; }
    SharedMembership &membership() noexcept { return membership_; }
    CallOutcome request(const InstanceId &to, const std::string &topic,
                        const nlohmann::json &message, TimePoint deadline);
    void setLeaving();
    void heartbeatNow();
    void wakeUp();

private:
    void ready(std::uint64_t token, Readiness readiness) override;
    TimePoint advance(TimePoint now) override;
    void refreshDigest();
    void requestDigest();
    void publishDigest(nlohmann::json digest);
    void sendHeartbeats();
    void queueDigest(const Member &member);
    void deliverDigests();

    const ExchangeSettings settings_;
    const std::uint16_t port_;
    std::uint64_t lastToken_ = 0;
    PeerEvents events_;
    EventLoop loop_;
    PendingCalls calls_;
    SharedMembership membership_;
    Credentials credentials_;
    Links links_;
    Inbound inbound_;

    Workers digestWorker_;
    std::atomic<bool> sendAfterRefresh_ = false; ///< Send the next digest immediately.
    bool digestReady_ = false;                   ///< I/O thread: heartbeats may be sent.
    TimePoint digestDeadline_ {};                ///< I/O thread: when to refresh the digest.
    TimePoint lastAdvance_ {};                   ///< I/O thread: time of the last advance().

    Workers listenerWorker_;
    std::mutex pendingDigestsMutex_;
    std::map<InstanceId, Member> pendingDigests_; ///< Newest state per instance, for the listener.
    bool stopped_ = false;
};

} // namespace almondridge::peers
