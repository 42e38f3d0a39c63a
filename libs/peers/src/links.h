/**
 * Outgoing connections: one persistent connection per peer address. Used by the I/O thread only.
 *
 * The first request on a connection is a heartbeat. Other requests are queued until it is answered
 * with a valid proof. They therefore never reach a process without the shared key, and queued
 * requests are known to be unsent.
 */
#pragma once

#include "connection.h"
#include "credentials.h"
#include "eventloop.h"
#include "pendingcalls.h"
#include "sharedmembership.h"

#include <deque>
#include <map>
#include <unordered_map>
#include <vector>

namespace almondridge::peers {

/** A call of PeerExchange::request(). */
struct OutgoingCall
{
    CallId id_ = 0;
    InstanceId to_;
    PeerAddress address_;
    std::string path_;
    std::string body_;
    TimePoint deadline_;
};

/** Objects shared by outgoing and incoming connections. */
struct ExchangeContext
{
    const ExchangeSettings &settings_;
    EventLoop &loop_;
    SharedMembership &membership_;
    Credentials &credentials_;
    PeerEvents &events_;
    std::uint64_t &lastToken_;
};

class Links
{
public:
    Links(ExchangeContext context, PendingCalls &calls);

    /**
     * Sends a heartbeat, connecting first if needed. urgent: sends it even if another is in
     * flight, because that one carries older state.
     */
    void heartbeat(const HeartbeatTarget &target, bool urgent);
    void call(OutgoingCall call);
    /** Handles socket readiness. False if token does not belong to a link. */
    bool ready(std::uint64_t token, Readiness readiness);
    TimePoint advance(TimePoint now);
    void closeAll();

private:
    enum class LinkState {
        Connecting,
        Handshake, ///< The first heartbeat is in flight.
        Open,
    };

    /** A request that waits for its answer, by stream. */
    struct PendingRequest
    {
        CallId call_ = 0; ///< 0: a heartbeat.
        std::string nonce_;
        std::size_t bodyBytes_ = 0;
        TimePoint sentAt_;
        TimePoint deadline_;
    };

    struct Link
    {
        std::uint64_t token_ = 0;
        PeerAddress address_;
        InstanceId instance_; ///< Expected instance; once open, the one that answered.
        std::uint64_t incarnation_ = 0;
        std::string handshakeNonce_ {}; ///< The nonce of the first request.
        LinkState state_ = LinkState::Connecting;
        Connection connection_;
        bool watchesWrite_ = true;
        bool heartbeatQueued_ = false; ///< Send another heartbeat once open.
        TimePoint openDeadline_ {};
        std::map<std::int32_t, PendingRequest> pendingRequests_ {};
        std::deque<OutgoingCall> queue_ {};
    };

    Link *find(const PeerAddress &address);
    Link *open(const PeerAddress &address, const InstanceId &instance);
    void close(std::uint64_t token, const std::string &reason);
    void onRefused(std::uint64_t token, const Error &error);
    void reconnect(std::uint64_t token);
    void onConnected(Link &link);
    void onHeartbeatAnswer(Link &link, const PeerIdentity &identity);
    void sendHeartbeat(Link &link);
    void sendCall(Link &link, OutgoingCall call);
    void sendQueued(Link &link);
    H2Message makeRequest(const Link &link, std::string path, std::string body);
    void flush(std::uint64_t token);
    /** False if the link was closed meanwhile. */
    bool processEvents(std::uint64_t token);
    bool processAnswer(Link &link, const PendingRequest &pending, const H2Message &answer);
    bool processHeartbeatAnswer(Link &link, const PendingRequest &pending, const H2Message &answer);
    void processCallAnswer(const PendingRequest &pending, const H2Message &answer);
    bool checkDeadlines(Link &link, TimePoint now);
    bool expireCalls(Link &link, TimePoint now);
    TimePoint nextDeadline(const Link &link) const;
    TimePoint idleDeadline(const Link &link) const;
    TimePoint earliestDeadline() const;
    static bool heartbeatInFlight(const Link &link) noexcept;

    ExchangeContext context_;
    PendingCalls &calls_;
    std::unordered_map<std::uint64_t, Link> links_;
    std::unordered_map<std::string, std::uint64_t> byAddress_;
    TimePoint scanDeadline_ {}; ///< Lower bound of all links' deadlines.
};

} // namespace almondridge::peers
