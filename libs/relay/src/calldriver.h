/**
 * Performs the actions of a request's machine over sockets, on the thread of its caller's
 * connection, and hands in the events that come of them.
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

/** How a call ended, for metrics and the time line. */
enum class CallOutcome {
    Whole,     ///< The caller has its whole answer.
    Repeat,    ///< Answered from the stored outcome of its key, or refused for it.
    NotRun,    ///< Refused; nothing was run.
    Unknown,   ///< Refused; something may have run.
    Abandoned, ///< The caller left.
    Invalid,   ///< The request was wrong.
};

inline constexpr std::array<EnumName<CallOutcome>, 6> CallOutcomeNames {{
    {CallOutcome::Whole, "whole"},
    {CallOutcome::Repeat, "repeat"},
    {CallOutcome::NotRun, "not-run"},
    {CallOutcome::Unknown, "unknown"},
    {CallOutcome::Abandoned, "abandoned"},
    {CallOutcome::Invalid, "invalid"},
}};

/** What is known of a call before its body is read. */
struct CallInfo
{
    RequestId id_;
    std::string responseId_; ///< X-Request-Id as the caller gave it, else id_.
    fleet::Account account_;
    TimePoint started_ {};
    TimePoint deadline_ {};
    bool deadlineNamed_ = false;
    std::shared_ptr<const FleetView> view_;
};

class CallDriver
{
public:
    virtual ~CallDriver() = default;
    CallDriver(const CallDriver &) = delete;
    CallDriver &operator=(const CallDriver &) = delete;

protected:
    CallDriver(RelayContext &context, net::ServerExchange &caller, CallInfo info, RequestSpec spec);

    /** Until the final answer is given. */
    void run();
    /** The machine leaves admission with the next step. */
    void admitted() { events_.emplace_back(Admitted {}); }
    void push(Event event) { events_.push_back(std::move(event)); }
    /** Hands one event to the machine and performs what comes of it at once. */
    void feed(const Event &event);

    // What kinds of calls do differently.
    virtual routing::RouteQuery query() = 0;
    virtual net::Request requestFor(const SendRequest &action) = 0;
    virtual net::Request resumeRequestFor(const ResumeStream &action);
    virtual net::Request prefillRequestFor(const Prefill &action);
    /** Pushes HeadReceived, after reading the body when the head's meaning needs it. */
    virtual void onHead(const net::ResponseHead &head) = 0;
    /** Bytes of the current connection's answer. */
    virtual void onBytes(std::string_view bytes) = 0;
    /** The current connection's answer ended as HTTP has it. */
    virtual void onEnd() = 0;
    virtual void onLost(bool anythingSent);
    virtual void deliver(const Deliver &action);
    /** Called now and then while nothing comes. */
    virtual void keepAlive();
    virtual void forwardResponse() = 0;
    virtual void finish() = 0;
    virtual void refuse(const Refusal &refusal) = 0;
    virtual void abandon() = 0;

    /** Sends an error answer. */
    void respondRefusal(const Refusal &refusal);
    /** The caller could not be written to. */
    void onCallerLost();
    /** The rest of a short answer; empty when it does not come. */
    std::string readShortBody();
    /** When an endpoint's Retry-After says to come back. */
    static std::optional<TimePoint> retryAfterOf(const net::ResponseHead &head);
    net::Headers responseHeaders() const;
    void recordEvent(const char *event, std::string detail);
    /** Counts the call's end and notes it on the time line. Once a call. */
    void recordOutcome(CallOutcome outcome, std::string detail);

    RelayContext &context_;
    net::ServerExchange &caller_;
    const CallInfo info_;
    RequestMachine machine_;
    ConnectionNumber connection_ = 0;
    /** What the current connection is for. */
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
    /** False when not a byte of it may leave any more. */
    bool sendIfAvailable(const EndpointId &endpoint, const net::Request &request);
    void waitWithoutConnection();
    void awaitHead();
    void readBody();
    /** A wait ended without bytes. */
    void onNoData(net::ReadStatus status);
    int watchedSocket();
    TimePoint waitUntil() const;
    std::optional<net::Address> addressOf(const EndpointId &endpoint) const;
    void closePrefill(bool succeeded);

    std::optional<net::HttpExchange> endpointExchange_;
    bool headRead_ = false;
    std::optional<AttemptId> prefillAttempt_; ///< Open with the router.
    std::deque<Event> events_;
    /** Readable without being gone: the caller sent its next request already. */
    bool callerIsPipelining_ = false;
    bool callerKnownGone_ = false;
};

} // namespace almondridge::relay
