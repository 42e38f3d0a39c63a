/**
 * Detects crashes of endpoints that have requests of this instance, and feeds them to the crash
 * evidence. A broken connection is followed by a probe: only an endpoint that can't be reached
 * counts as crashed.
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
    void onConnectionBroken(const EndpointId &id, std::uint64_t lifetime, RequestKey key);
    /** A connection to the endpoint failed. */
    void onConnectFailed(const EndpointId &id);
    /** The request got a complete response. */
    void onCompleted(RequestKey key);

    Assessment assess(RequestKey key) const;
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

    void onProbed(const EndpointId &id, bool reached);
    void onCrashed(const Endpoint &endpoint, std::set<RequestKey> inFlight);
    int groupSize(const Endpoint &endpoint) const;

    GatewayState &gateway_;
    CrashEvidence evidence_;
    std::uint64_t leaseHolder_; ///< Random number of this instance, for RunLease.
    std::map<EndpointId, PendingProbe> pendingProbes_;
    /** Crashes that this instance has detected; later broken connections need no probe. */
    std::map<CrashKey, EndpointCrash> knownCrashes_;
};

} // namespace almondridge::gateway
