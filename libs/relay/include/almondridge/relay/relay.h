/**
 * The life of a caller's request on one entry instance: from the first byte to the last.
 * machine.h has the decisions as a pure state machine; this is the part that does the I/O.
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

/** What a claim of an idempotency key came to. */
enum class ClaimStatus {
    Claimed,        ///< This request is the first: run it.
    Finished,       ///< Ran before; status_ and body_ are its stored outcome.
    Unknown,        ///< Claimed before, outcome not known: never run it again.
    LogUnavailable, ///< Neither could be found out: nothing was claimed by this call.
};

struct ClaimAnswer
{
    ClaimStatus status_ = ClaimStatus::LogUnavailable;
    int httpStatus_ = 0;
    std::string body_;
};

/** Idempotency keys; over the control log in the product. Thread-safe. */
class KeyClaims
{
public:
    virtual ~KeyClaims() = default;
    virtual ClaimAnswer claim(const std::string &key, const RequestId &request,
                              TimePoint deadline) = 0;
    /** Looks a key up without claiming it. */
    virtual ClaimAnswer lookUp(const std::string &key, TimePoint deadline) = 0;
    virtual void finish(const std::string &key, const RequestId &request, int httpStatus,
                        const std::string &body) = 0;
};

/** The fleet in force, or null. Thread-safe. */
using FleetSource = std::function<std::shared_ptr<const fleet::Fleet>()>;

/** What was asked of a model, for the planner. */
struct ModelDemand
{
    ModelId model_;
    double prefillTokens_ = 0;
    double decodeTokens_ = 0;
};

class Relay
{
public:
    class Builder;

    ~Relay();
    Relay(const Relay &) = delete;
    Relay &operator=(const Relay &) = delete;

    /**
     * Answers /v1/... and the paths of services. False when path is none of them; the caller
     * then answers 404.
     */
    bool handle(net::ServerExchange &exchange);

    /** The router under its lock, for reports, announcements and estimates. */
    void withRouter(const std::function<void(routing::Router &)> &function);
    /**
     * Waits until no request is on its way out to the endpoint. After it was closed in the router,
     * none follows: only then may another instance be told that it gets no new work from here.
     * False at deadline.
     */
    bool waitForSends(const EndpointId &endpoint, TimePoint deadline);
    void onFleet(std::shared_ptr<const fleet::Fleet> fleet);
    /** Tokens asked for since the last call, per model. */
    std::vector<ModelDemand> takeDemand();

    /** New requests are refused as not run from now on; those in work go on. */
    void stopAccepting();
    /** Requests in work. */
    int activeRequests() const noexcept;
    /** Waits until no request is in work. False at deadline. */
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
