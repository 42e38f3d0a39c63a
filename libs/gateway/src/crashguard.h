/**
 * Finds out which endpoints ended while requests of this instance were on them, and holds what is
 * known against requests.
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

    /** A request's connection to an endpoint broke, or was silent until the request ended. */
    void onConnectionBroken(const EndpointId &id, std::uint64_t lifetime, RequestKey key);
    /** A connection to the endpoint could not be made. */
    void onConnectFailed(const EndpointId &id);
    void onCompleted(RequestKey key);

    Assessment assess(RequestKey key) const;
    bool acquireLease(RequestKey key);
    void renewLease(RequestKey key);
    bool holdsLease(RequestKey key) const;
    void releaseLease(RequestKey key);

    CrashEvidence &evidence() noexcept { return evidence_; }

private:
    /** Requests whose connections to an endpoint broke, until it is known whether it has ended. */
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
    std::uint64_t leaseHolder_; ///< Of this instance, among those that want to run a request.
    std::map<EndpointId, PendingProbe> pendingProbes_;
    /** Ends that this instance has found out; later breaks need no test. */
    std::map<CrashKey, EndpointCrash> knownCrashes_;
};

} // namespace almondridge::gateway
