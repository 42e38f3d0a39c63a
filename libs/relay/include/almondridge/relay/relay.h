/**
 * Serves callers' requests on one entry instance: admission, attempts at endpoints, and responses.
 * machine.h holds the decisions as a state machine without I/O; the relay performs the I/O.
 */
#pragma once

#include "almondridge/admission/admission.h"
#include "almondridge/fleet/settings.h"
#include "almondridge/net/httpserver.h"
#include "almondridge/observe/metrics.h"
#include "almondridge/observe/timeline.h"
#include "almondridge/routing/router.h"

#include <functional>
#include <memory>
#include <optional>

namespace almondridge::relay {

/** Result of claiming or looking up an idempotency key. */
enum class ClaimStatus {
    Claimed,        ///< First request with this key: execute it.
    Finished,       ///< Executed before; httpStatus_ and body_ hold its stored outcome.
    Unknown,        ///< Claimed before with unknown outcome: never execute it again.
    LogUnavailable, ///< The control log could not be read; this call claimed nothing.
};

struct ClaimResult
{
    ClaimStatus status_ = ClaimStatus::LogUnavailable;
    int httpStatus_ = 0;
    std::string body_;
};

/** Store of idempotency keys, in production the control log. Thread-safe. */
class KeyClaims
{
public:
    virtual ~KeyClaims() = default;
    /** Claims the key for request, or returns what an earlier claim led to. */
    virtual ClaimResult claim(const std::string &key, const RequestId &request,
                              TimePoint deadline) = 0;
    /** Looks a key up without claiming it. */
    virtual ClaimResult lookUp(const std::string &key, TimePoint deadline) = 0;
    /** Stores the outcome of a claimed request. */
    virtual void finish(const std::string &key, const RequestId &request, int httpStatus,
                        const std::string &body) = 0;
};

/** Returns the fleet configuration in force, or null. Thread-safe. */
using FleetSource = std::function<std::shared_ptr<const fleet::Fleet>()>;

/** Tokens requested of a model, for the planner. */
struct ModelDemand
{
    ModelId model_;
    double prefillTokens_ = 0;
    double decodeTokens_ = 0;
};

/** Serves callers' requests. Thread-safe; handle() runs on the caller's connection thread. */
class Relay
{
public:
    class Builder;

    ~Relay();
    Relay(const Relay &) = delete;
    Relay &operator=(const Relay &) = delete;

    /**
     * Serves /v1/... and the paths of services. Returns false, without a response, for any other
     * path.
     */
    bool handle(net::ServerExchange &exchange);

    /** Calls function with the router locked, for load reports, announcements and estimates. */
    void withRouter(const std::function<void(routing::Router &)> &function);
    /**
     * Waits until no request is being sent to the endpoint; false at deadline. Once the endpoint is
     * closed in the router no further send begins, so after this call the instance may confirm to
     * others that it sends the endpoint no new work.
     */
    bool waitForSends(const EndpointId &endpoint, TimePoint deadline);
    /** Applies a new fleet configuration. */
    void onFleet(std::shared_ptr<const fleet::Fleet> fleet);
    /** Tokens requested since the last call, per model. */
    std::vector<ModelDemand> takeDemand();

    /** Refuses new requests as not run from now on; active requests continue. */
    void stopAccepting();
    /** Number of requests being served. */
    int activeRequests() const noexcept;
    /** Waits until no request is being served. False at deadline. */
    bool waitIdle(TimePoint deadline);

private:
    struct State;
    explicit Relay(std::unique_ptr<State> state) noexcept;
    std::unique_ptr<State> state_;
};

class Relay::Builder
{
public:
    Builder &settings(const fleet::Settings &settings);
    Builder &claims(KeyClaims &claims);
    Builder &metrics(observe::Metrics &metrics);
    Builder &timeline(observe::Timeline &timeline);
    Builder &fleet(FleetSource source);
    std::unique_ptr<Relay> build();

private:
    fleet::Settings settings_;
    KeyClaims *claims_ = nullptr;
    observe::Metrics *metrics_ = nullptr;
    observe::Timeline *timeline_ = nullptr;
    FleetSource fleet_;
};

} // namespace almondridge::relay
