/**
 * State machine of one request: takes events and the current time, returns actions.
 *
 * It holds no clock, socket, thread or random source, so that the relay, a test and a simulator can
 * drive the same decisions. The driver performs the actions in the order returned and reports their
 * results as events. docs/REQUESTS.md explains the decisions.
 */
#pragma once

#include "almondridge/base/enumnames.h"
#include "almondridge/base/ids.h"
#include "almondridge/base/time.h"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace almondridge::relay {

/**
 * Numbers the connections of one request across all its attempts. A resumed stream keeps its
 * attempt but uses a new connection, so the attempt id alone cannot identify stale events.
 */
using ConnectionNumber = std::uint32_t;

/** How a request may be recovered when its endpoint fails. */
enum class Recovery {
    Once,       ///< Non-idempotent call: not resent once any of its bytes may have been sent.
    Repeat,     ///< Idempotent call: resent until response bytes have reached the caller.
    Stream,     ///< Token stream: resumed on its engine, or else continued on another one.
    ResumeOnly, ///< Token stream whose prompt is not known: resumed on its engine or refused.
};

inline constexpr std::array<EnumName<Recovery>, 4> RecoveryNames {{
    {Recovery::Once, "once"},
    {Recovery::Repeat, "repeat"},
    {Recovery::Stream, "stream"},
    {Recovery::ResumeOnly, "resume-only"},
}};

/** Whether a refused request may have been executed. */
enum class Outcome {
    NotRun,  ///< No byte was sent, or every endpoint reported that it did not start.
    Unknown, ///< It may have been executed, in part or whole.
};

inline constexpr std::array<EnumName<Outcome>, 2> OutcomeNames {{
    {Outcome::NotRun, "not-run"},
    {Outcome::Unknown, "unknown"},
}};

/** Why the relay refused a request. */
enum class RefusalCause {
    Admission,            ///< Refused by admission: account share, queue limit or deadline.
    NoEndpoint,           ///< No endpoint can take the request.
    RetryBudgetExhausted, ///< The instance's retry budget is exhausted.
    AttemptLimitReached,  ///< The request reached MachineLimits::maxAttempts_.
    DeadlinePassed,       ///< The request's deadline passed before its response was complete.
    ConnectionLost, ///< Lost after bytes may have been sent, and the request cannot be recovered.
    ResponseInterrupted, ///< The endpoint failed after part of its response was forwarded.
    StreamGone,          ///< The engine no longer has the stream, and the prompt is not known.
};

inline constexpr std::array<EnumName<RefusalCause>, 8> RefusalCauseNames {{
    {RefusalCause::Admission, "admission"},
    {RefusalCause::NoEndpoint, "no-endpoint"},
    {RefusalCause::RetryBudgetExhausted, "no-retry-left"},
    {RefusalCause::AttemptLimitReached, "attempts-spent"},
    {RefusalCause::DeadlinePassed, "deadline-passed"},
    {RefusalCause::ConnectionLost, "connection-lost"},
    {RefusalCause::ResponseInterrupted, "answer-broken"},
    {RefusalCause::StreamGone, "stream-forgotten"},
}};

/** Timeouts and limits of one request. */
struct MachineLimits
{
    /** Time without a token after which the engine is checked. */
    Duration inactivityTimeout_ = millis(1'000);
    /** How long to search for an endpoint that can continue a stream. */
    Duration endpointSearchTimeout_ = millis(15'000);
    Duration endpointSearchInterval_ = millis(100); ///< Between two searches for an endpoint.
    /** Retry delay in refusals when no better estimate is known. */
    Duration defaultRetryDelay_ = millis(1'000);
    int maxAttempts_ = 6;
    int maxProbesWithoutToken_ = 5; ///< Consecutive resumes that brought no token.
};

/** Identifies a stream that an engine is generating. */
struct StreamLocation
{
    EndpointId endpoint_;
    AttemptId attempt_;
    std::int64_t base_ = 0; ///< Offset in the whole response of the attempt's token 0.
};

/** Parameters of one request. */
struct RequestSpec
{
    RequestId request_;
    Recovery recovery_ = Recovery::Once;
    TimePoint deadline_ {};
    /** Set when the caller gave no deadline: each token moves the deadline to now plus this. */
    std::optional<Duration> deadlineExtension_ {};
    std::int64_t maxTokens_ = 0;                ///< Of the whole response. Streams only.
    std::int64_t delivered_ = 0;                ///< Tokens that the caller already has.
    std::optional<StreamLocation> resumeAt_ {}; ///< Set: resume this stream first.
};

// Events ---------------------------------------------------------------------------------------

struct Admitted
{ };
struct AdmissionRefused
{
    TimePoint retryAt_ {};
};
struct EndpointChosen
{
    EndpointId endpoint_;
    std::optional<EndpointId> prefill_ {}; ///< Engine that prefills first, if any.
    TimePoint firstToken_ {};              ///< Estimated time of the first token.
};
struct NoEndpoint
{
    TimePoint retryAt_ {};
};
struct RetryBudgetExhausted
{
    TimePoint retryAt_ {};
};

enum class PrefillStatus {
    Ready,   ///< The KV cache can be fetched from the prefill engine.
    NotSent, ///< No byte was sent, or the engine reported that it did not start.
    Failed,  ///< Any other failure; the engine may have started.
};
struct PrefillFinished
{
    ConnectionNumber connection_ = 0;
    PrefillStatus status_ = PrefillStatus::Failed;
};

/** Meaning of an endpoint's status line and headers. */
enum class HeadKind {
    Accepted,       ///< The response body follows.
    NotRun,         ///< The endpoint reported that it did not start the request.
    StreamNotFound, ///< The engine does not have the stream to be resumed.
    Failed,         ///< The endpoint failed and may have executed the request.
    Final,          ///< A response that every endpoint would give, such as a 400.
};
struct HeadReceived
{
    ConnectionNumber connection_ = 0;
    HeadKind kind_ = HeadKind::Failed;
    /** From Retry-After; used with NotRun. */
    std::optional<TimePoint> retryAt_ {};
};

/** Result of CheckEngine. */
struct EngineChecked
{
    ConnectionNumber connection_ = 0;
    bool alive_ = false;
};

/** Tokens arrived from the engine. */
struct TokensReceived
{
    ConnectionNumber connection_ = 0;
    std::int64_t offset_ = 0; ///< In the engine's own stream.
    std::int64_t count_ = 1;
};

/** The first bytes of a service's response were forwarded to the caller. */
struct ResponseForwarded
{
    ConnectionNumber connection_ = 0;
};
/** The endpoint's response is complete. */
struct ResponseEnded
{
    ConnectionNumber connection_ = 0;
};
/** Connecting failed, the connection was lost, or the endpoint sent an invalid response. */
struct ConnectionLost
{
    ConnectionNumber connection_ = 0;
    bool anythingSent_ = true; ///< False: no byte of the request can have been sent.
};
struct CallerGone
{
    /**
     * Writing to the caller failed, but the caller did not close its connection. It may already be
     * resuming the stream through another instance, so the stream is not cancelled.
     */
    bool mayReconnect_ = false;
};
/** The time of wakeAt() was reached. */
struct TimePassed
{ };

using Event =
    std::variant<Admitted, AdmissionRefused, EndpointChosen, NoEndpoint, RetryBudgetExhausted,
                 PrefillFinished, HeadReceived, EngineChecked, TokensReceived, ResponseForwarded,
                 ResponseEnded, ConnectionLost, CallerGone, TimePassed>;

// Actions --------------------------------------------------------------------------------------

/** Results in EndpointChosen, NoEndpoint or, when budgeted_, RetryBudgetExhausted. */
struct ChooseEndpoint
{
    AttemptId attempt_;
    std::vector<EndpointId> excluded_ {};
    bool budgeted_ = false; ///< Consume one retry from the instance's budget first.
};
/** Prefill on an engine that transfers its KV cache. Results in PrefillFinished. */
struct Prefill
{
    ConnectionNumber connection_ = 0;
    AttemptId attempt_;
    EndpointId endpoint_;
};
/** Close the old connection and send the request, with the text delivered so far, on a new one. */
struct SendRequest
{
    ConnectionNumber connection_ = 0;
    AttemptId attempt_;
    EndpointId endpoint_;
    std::int64_t base_ = 0;     ///< Tokens delivered so far: the offset of this attempt's token 0.
    bool afterPrefill_ = false; ///< Include the prefill engine's KV transfer parameters.
};
/** Close the old connection and request the stream from offset_ on a new one. */
struct ResumeStream
{
    ConnectionNumber connection_ = 0;
    AttemptId attempt_;
    EndpointId endpoint_;
    std::int64_t offset_ = 0; ///< In the engine's own stream.
};
/**
 * Close the old connection and send a health check on a new one. Results in EngineChecked. A stream
 * without tokens can mean a lost connection, a failed engine or a slow response; the check tells
 * whether the engine is alive.
 */
struct CheckEngine
{
    ConnectionNumber connection_ = 0;
    EndpointId endpoint_;
};
/** Deliver the tokens of the current event to the caller. */
struct Deliver
{
    std::int64_t offset_ = 0; ///< In the whole response.
    std::int64_t count_ = 1;
};
/** Forward the endpoint's response unchanged. */
struct ForwardResponse
{
    ConnectionNumber connection_ = 0;
};
/** Cancel the attempt on its engine. */
struct Cancel
{
    AttemptId attempt_;
    EndpointId endpoint_;
};
/** Report the end of the attempt to the router. */
struct AttemptEnded
{
    AttemptId attempt_;
    bool succeeded_ = false; ///< False: the endpoint failed.
};
/** Final: complete the response to the caller. */
struct Finish
{ };
/** Final: send the caller an error that says when to retry. */
struct Refuse
{
    Outcome outcome_ = Outcome::Unknown;
    RefusalCause cause_ = RefusalCause::NoEndpoint;
    TimePoint retryAt_ {};
};
/** Final: the caller is gone; send nothing. */
struct Abandon
{ };

using Action =
    std::variant<ChooseEndpoint, Prefill, SendRequest, ResumeStream, CheckEngine, Deliver,
                 ForwardResponse, Cancel, AttemptEnded, Finish, Refuse, Abandon>;
using Actions = std::vector<Action>;

/** State of one request. Returns exactly one final action: Finish, Refuse or Abandon. */
class RequestMachine
{
public:
    class Builder;

    /** Returns the first actions; none while the machine waits for Admitted. */
    Actions start(TimePoint now);
    /** Handles one event and returns the actions to perform; none after the final action. */
    Actions on(const Event &event, TimePoint now);

    /** When the driver must send TimePassed. */
    TimePoint wakeAt() const noexcept;
    bool finished() const noexcept { return phase_ == Phase::Finished; }
    /** Tokens delivered so far, of the whole response. */
    std::int64_t delivered() const noexcept { return nextOffset_; }
    /** Whether any endpoint may have started the request. */
    bool mayHaveRun() const noexcept { return earlierAttemptMayRun_ || attemptMayRun_; }
    /** Number of events dropped because they belong to an old connection or state. */
    std::uint64_t staleEvents() const noexcept { return staleEvents_; }
    /** Location of the current stream, for a resume token. */
    StreamLocation streamLocation() const;
    int attempts() const noexcept { return attempts_; }
    int resumes() const noexcept { return resumes_; }

private:
    enum class Phase {
        Admitting,
        Choosing,
        AwaitingEndpoint, ///< No endpoint can continue the stream; waits for the next search.
        Prefilling,
        AwaitingHead,
        ReceivingResponse,
        CheckingEngine,
        Finished,
    };
    /** Handles a failed attempt, by Recovery. */
    using RecoveryRule = void (RequestMachine::*)(TimePoint now, Actions &out);

    explicit RequestMachine(RequestSpec spec, MachineLimits limits);

    void handle(const Admitted &event, TimePoint now, Actions &out);
    void handle(const AdmissionRefused &event, TimePoint now, Actions &out);
    void handle(const EndpointChosen &event, TimePoint now, Actions &out);
    void handle(const NoEndpoint &event, TimePoint now, Actions &out);
    void handle(const RetryBudgetExhausted &event, TimePoint now, Actions &out);
    void handle(const PrefillFinished &event, TimePoint now, Actions &out);
    void handle(const HeadReceived &event, TimePoint now, Actions &out);
    void handle(const EngineChecked &event, TimePoint now, Actions &out);
    void handle(const TokensReceived &event, TimePoint now, Actions &out);
    void handle(const ResponseForwarded &event, TimePoint now, Actions &out);
    void handle(const ResponseEnded &event, TimePoint now, Actions &out);
    void handle(const ConnectionLost &event, TimePoint now, Actions &out);
    void handle(const CallerGone &event, TimePoint now, Actions &out);
    void handle(const TimePassed &event, TimePoint now, Actions &out);

    void choose(bool budgeted, Actions &out);
    void send(bool afterPrefill, TimePoint now, Actions &out);
    void resume(TimePoint now, Actions &out);
    void sendWithoutPrefill(TimePoint now, Actions &out);
    void onAccepted(TimePoint now, Actions &out);
    void onNotRun(TimePoint now, Actions &out);
    void onStreamNotFound(TimePoint now, Actions &out);
    void onFinal(TimePoint now, Actions &out);
    void tryAnotherEndpoint(TimePoint now, Actions &out);
    void recover(TimePoint now, Actions &out);
    void recoverOnce(TimePoint now, Actions &out);
    void recoverRepeatable(TimePoint now, Actions &out);
    void recoverStream(TimePoint now, Actions &out);
    void recoverResumeOnly(TimePoint now, Actions &out);
    void endAttempt(bool succeeded, Actions &out);
    void cancelAttempt(Actions &out);
    void finish(Actions &out);
    void refuse(RefusalCause cause, TimePoint retryAt, Actions &out);

    bool isStale(ConnectionNumber connection);
    bool isStream() const noexcept;
    bool hasDeliveredTokens() const noexcept;
    bool probeLimitReached() noexcept;
    void checkEngine(TimePoint now, Actions &out);
    void abandonEngine(TimePoint now, Actions &out);
    AttemptId prefillAttempt() const;
    TimePoint firstTokenDeadline(TimePoint now) const noexcept;

    static const std::array<RecoveryRule, 4> RecoveryRules;

    RequestSpec spec_;
    MachineLimits limits_;
    Phase phase_ = Phase::Admitting;

    AttemptId attempt_;
    EndpointId endpoint_;
    std::optional<EndpointId> prefill_;
    std::vector<EndpointId> excluded_;
    ConnectionNumber connection_ = 0;
    TimePoint deadline_ {};
    TimePoint inactivityDeadline_ = TimePoint::max();
    TimePoint endpointSearchDeadline_ = TimePoint::max(); ///< End of the search for an endpoint.
    TimePoint nextSearchAt_ = TimePoint::max();           ///< Time of the next search.
    TimePoint firstToken_ {};                             ///< Estimated first token of the attempt.
    TimePoint notRunUntil_ {};    ///< Latest Retry-After of a NotRun response.
    std::int64_t base_ = 0;       ///< Offset in the whole response of the attempt's token 0.
    std::int64_t nextOffset_ = 0; ///< Offset in the whole response of the next token.
    int attempts_ = 0;
    int resumes_ = 0;
    int probesWithoutToken_ = 0;
    int freeRetries_ = 0;      ///< Retries that did not count against the retry budget.
    bool attemptOpen_ = false; ///< AttemptEnded has not been returned yet.
    bool attemptMayRun_ = false;
    bool earlierAttemptMayRun_ = false;
    bool probing_ = false;  ///< The current connection resumes a stream.
    bool accepted_ = false; ///< The engine accepted the request on the current connection.
    bool responseForwarded_ = false;
    std::uint64_t staleEvents_ = 0;
};

class RequestMachine::Builder
{
public:
    Builder &spec(RequestSpec spec);
    Builder &limits(MachineLimits limits);
    RequestMachine build();

private:
    RequestSpec spec_;
    MachineLimits limits_;
};

} // namespace almondridge::relay
