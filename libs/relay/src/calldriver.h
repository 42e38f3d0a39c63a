/**
 * Performs the actions of a RequestMachine over sockets, on the thread of the caller's connection,
 * and feeds the resulting events back.
 */
#pragma once

#include "idempotencykey.h"
#include "refusal.h"
#include "relaycontext.h"

#include "almondridge/net/httpexchange.h"
#include "almondridge/net/httpserver.h"
#include "almondridge/relay/machine.h"

#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace almondridge::relay {

/** Outcome of a call, for metrics and the timeline. */
enum class CallOutcome {
    Completed, ///< The caller received the complete response.
    Duplicate, ///< Answered or refused because of an earlier request with the same key.
    NotRun,    ///< Refused; nothing ran.
    Unknown,   ///< Refused; something may have run.
    Abandoned, ///< The caller disconnected.
    Invalid,   ///< The request was invalid.
};

inline constexpr std::array<EnumName<CallOutcome>, 6> CallOutcomeNames {{
    {CallOutcome::Completed, "whole"},
    {CallOutcome::Duplicate, "repeat"},
    {CallOutcome::NotRun, "not-run"},
    {CallOutcome::Unknown, "unknown"},
    {CallOutcome::Abandoned, "abandoned"},
    {CallOutcome::Invalid, "invalid"},
}};

/** Properties of a call that do not depend on its body. */
struct CallInfo
{
    RequestId id_;
    std::string responseId_; ///< The caller's X-Request-Id if usable, else id_.
    fleet::Account account_;
    TimePoint started_ {};
    TimePoint deadline_ {};
    bool hasCallerDeadline_ = false; ///< deadline_ is from X-Request-Deadline-Ms.
    std::shared_ptr<const FleetView> view_;
};

/** Base of the two kinds of calls: models and services. */
class CallDriver
{
public:
    virtual ~CallDriver() = default;
    CallDriver(const CallDriver &) = delete;
    CallDriver &operator=(const CallDriver &) = delete;

protected:
    CallDriver(RelayContext &context, net::ServerExchange &caller, CallInfo info, RequestSpec spec);

    /** Runs the call until its final action is performed. */
    void run();
    /** Queues Admitted, which starts the first attempt. */
    void pushAdmitted() { pendingEvents_.emplace_back(Admitted {}); }
    /** Queues an event for the next step. */
    void push(Event event) { pendingEvents_.push_back(std::move(event)); }
    /** Passes one event to the machine and performs the resulting actions immediately. */
    void feed(const Event &event);

    // Implemented by each kind of call.
    virtual routing::RouteQuery query() = 0;
    virtual net::Request requestFor(const SendRequest &action) = 0;
    virtual net::Request resumeRequestFor(const ResumeStream &action);
    virtual net::Request prefillRequestFor(const Prefill &action);
    /** Pushes HeadReceived; reads the body first where its error code is needed. */
    virtual void onHead(const net::ResponseHead &head) = 0;
    /** Handles body bytes from the current connection. */
    virtual void onBytes(std::string_view bytes) = 0;
    /** Handles the end of the current connection's response, as HTTP framing defines it. */
    virtual void onEnd() = 0;
    virtual void onLost(bool anythingSent);
    virtual void deliver(const Deliver &action);
    /** Called after each wait that brought no data. */
    virtual void keepAlive();
    virtual void forwardResponse() = 0;
    virtual void finish() = 0;
    virtual void refuse(const Refusal &refusal) = 0;
    virtual void abandon() = 0;

    /** Sends an error response. */
    void respondRefusal(const Refusal &refusal);
    /** Pushes CallerGone, once, after a write to the caller failed. */
    void onCallerLost();
    /** Reads the rest of a short response body; empty on failure. */
    std::string readShortBody();
    /** The time given by an endpoint's Retry-After header in seconds, if any. */
    static std::optional<TimePoint> retryAfterOf(const net::ResponseHead &head);
    net::Headers responseHeaders() const;
    /** Adds an event to the timeline. */
    void recordEvent(const char *event, std::string detail);
    /** Records the outcome in metrics and timeline. Called once per call. */
    void recordOutcome(CallOutcome outcome, std::string detail);

    RelayContext &context_;
    net::ServerExchange &caller_;
    const CallInfo info_;
    RequestMachine machine_;
    ConnectionNumber connection_ = 0;
    /** Purpose of the current connection. */
    enum class ConnectionUse { Request, Resume, Prefill, Check };
    ConnectionUse connectionUse_ = ConnectionUse::Request;

private:
    void perform(const ChooseEndpoint &action);
    void perform(const Prefill &action);
    void perform(const SendRequest &action);
    void perform(const ResumeStream &action);
    void perform(const CheckEngine &action);
    void perform(const Deliver &action);
    void perform(const ForwardResponse &action);
    void perform(const Cancel &action);
    void perform(const AttemptEnded &action);
    void perform(const Finish &action);
    void perform(const Refuse &action);
    void perform(const Abandon &action);

    void step();
    void open(ConnectionNumber connection, const EndpointId &endpoint, const net::Request &request);
    /** Sends the request; false on failure or when the endpoint no longer takes new work. */
    bool sendIfAvailable(const EndpointId &endpoint, const net::Request &request);
    void waitWithoutConnection();
    void awaitHead();
    void readBody();
    /** Handles a wait that ended without data: checks the caller and the timers. */
    void onNoData(net::ReadStatus status);
    int watchedSocket();
    TimePoint waitUntil() const;
    std::optional<net::Address> addressOf(const EndpointId &endpoint) const;
    void endPrefill(bool succeeded);

    std::optional<net::HttpExchange> endpointExchange_;
    bool headRead_ = false;
    std::optional<AttemptId> prefillAttempt_; ///< Registered with the router and not finished.
    std::deque<Event> pendingEvents_;
    /** The caller sent its next request early, so its socket is readable without being closed. */
    bool callerIsPipelining_ = false;
    bool callerKnownGone_ = false;
};

} // namespace almondridge::relay
