/**
 * Detects crashes of endpoints that have requests of this instance, and feeds them to the crash
 * evidence. A broken connection is followed by a probe: only an endpoint that can't be reached
 * counts as crashed, and only once another endpoint is reached, as this instance may be cut off.
 */
#pragma once

#include "almondridge/gateway/crashevidence.h"
#include "almondridge/gateway/endpoints.h"

#include <map>
#include <set>

namespace almondridge::gateway {

struct GatewayState;

class CrashGuard
{
public:
    explicit CrashGuard(GatewayState &gateway);

    /** A request's connection to an endpoint broke, or got no data until the request ended. */
    void onConnectionBroken(const EndpointId &id, std::uint64_t lifetime, const RequestKeys &keys);
    /** A connection to the endpoint failed. */
    void onConnectFailed(const EndpointId &id);
    /** A new connection to the endpoint was established. */
    void onReached(const EndpointId &id);
    /** This instance is cut off: what it could not reach has not crashed. */
    void onCutOff() { unproven_.clear(); }
    /** The request got a complete response. */
    void onCompleted(const RequestKeys &keys);

    Assessment assess(const RequestKeys &request) const;
    bool acquireLease(RequestKey key);
    void renewLease(RequestKey key);
    bool holdsLease(RequestKey key) const;
    void releaseLease(RequestKey key);

    CrashEvidence &evidence() noexcept { return evidence_; }

private:
    /** Requests whose connections to an endpoint broke, while the endpoint is being probed. */
    struct PendingProbe
    {
        std::uint64_t lifetime_ = 0;
        std::set<RequestKey> inFlight_;
    };

    /** An endpoint that can't be reached, and the requests that were there. */
    struct UnprovenCrash
    {
        std::uint64_t lifetime_ = 0;
        TimePoint at_ {};
        std::set<RequestKey> inFlight_;
    };

    void onProbed(const EndpointId &id, bool reached);
    /** Keys of this instance's requests that are running on the endpoint, and of their parts. */
    std::set<RequestKey> keysOn(const Endpoint &endpoint) const;
    void onUnreachable(const Endpoint &endpoint, std::set<RequestKey> inFlight);
    void onCrashed(const Endpoint &endpoint, std::set<RequestKey> inFlight);
    int groupSize(const Endpoint &endpoint) const;

    GatewayState &gateway_;
    CrashEvidence evidence_;
    std::uint64_t leaseHolder_; ///< Random number of this instance, for RunLease.
    std::map<EndpointId, PendingProbe> pendingProbes_;
    std::map<EndpointId, UnprovenCrash> unproven_;
    /** Crashes that this instance has detected; later broken connections need no probe. */
    std::map<CrashKey, EndpointCrash> knownCrashes_;
};

} // namespace almondridge::gateway
