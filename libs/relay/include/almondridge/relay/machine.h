/**
 * The life of one request as a pure state machine: events and the time go in, actions come out.
 *
 * No clock, socket, thread or random source is inside, so that relay.h, a test or a simulator can
 * drive the same decisions. The driver performs the actions in the order given and hands in what
 * comes of them. docs/REQUESTS.md says why each decision is as it is.
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
 * Numbers the connections of one request over all its attempts. A resumed stream keeps its
 * attempt but gets a new connection, so the attempt alone would not tell old words from new ones.
 */
using ConnectionNumber = std::uint32_t;

/** What may be done when an endpoint fails. */
enum class Recovery {
    Once,       ///< Non-idempotent call: never sent again after its first byte may have left.
    Repeat,     ///< Idempotent call: sent again until bytes of an answer reached the caller.
    Stream,     ///< Token stream: resumed at its engine, else continued at another one.
    ResumeOnly, ///< Token stream without its prompt: resumed at its engine or given up.
};

inline constexpr std::array<EnumName<Recovery>, 4> RecoveryNames {{
    {Recovery::Once, "once"},
    {Recovery::Repeat, "repeat"},
    {Recovery::Stream, "stream"},
    {Recovery::ResumeOnly, "resume-only"},
}};

/** What a refusal says about the request. */
enum class Outcome {
    NotRun,  ///< No byte went to an endpoint, or every endpoint said that it did not start.
    Unknown, ///< Anything else.
};

inline constexpr std::array<EnumName<Outcome>, 2> OutcomeNames {{
    {Outcome::NotRun, "not-run"},
    {Outcome::Unknown, "unknown"},
}};

enum class RefusalCause {
    Admission,            ///< Shares, queue or deadline, as admission said.
    NoEndpoint,           ///< Nothing can take the request.
    RetryBudgetExhausted, ///< The instance's retry budget is spent.
    AttemptLimitReached,  ///< This request's own limit of attempts is reached.
    DeadlinePassed,       ///< The answer would be worth nothing now.
    ConnectionLost,       ///< After a byte of a call that must not be sent twice.
    ResponseInterrupted,  ///< The endpoint failed while its answer was being passed on.
    StreamGone, ///< The engine does not have the stream, and there is no prompt to go on from.
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

/** Spans that the machine turns into deadlines, and counts. */
struct MachineLimits
{
    Duration inactivityTimeout_ =
        millis(1'000); ///< Between two tokens, before the stream is probed.
    Duration endpointSearchTimeout_ =
        millis(15'000); ///< For an endpoint to continue a begun stream on.
    Duration endpointSearchInterval_ = millis(100); ///< Between two searches for one.
    Duration retryAt_ = millis(1'000); ///< What a refusal says when nothing better is known.
    int maxAttempts_ = 6;
    int maxProbesWithoutToken_ = 5; ///< Resumes in a row that brought no token.
};

/** A stream that an engine has already. */
struct StreamLocation
{
    EndpointId endpoint_;
    AttemptId attempt_;
    std::int64_t base_ = 0; ///< Offset in the whole answer of the engine's token 0.
};

struct RequestSpec
{
    RequestId request_;
    Recovery recovery_ = Recovery::Once;
    TimePoint deadline_ {};
    /** Set when the caller named no deadline: each token moves the deadline on by this. */
    std::optional<Duration> deadlineExtension_ {};
    std::int64_t maxTokens_ = 0; ///< Of the whole answer. Streams only.
    std::int64_t delivered_ = 0; ///< Tokens that the caller has already.
    std::optional<StreamLocation> resumeAt_ {};
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
    std::optional<EndpointId> prefill_ {};
    TimePoint firstToken_ {}; ///< Estimate.
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
    Ready,   ///< The KV cache can be fetched.
    NotSent, ///< No byte left, or the engine did not start.
    Failed,  ///< Anything else.
};
struct PrefillFinished
{
    ConnectionNumber connection_ = 0;
    PrefillStatus status_ = PrefillStatus::Failed;
};

/** What an endpoint's status line and headers mean. */
enum class HeadKind {
    Accepted,       ///< The answer follows.
    NotRun,         ///< It did not start the request, and says so.
    StreamNotFound, ///< It does not have the stream that was to be resumed.
    Failed,         ///< It failed; it may have run something.
    Final,          ///< An answer that another endpoint would give too, such as a 400.
};
struct HeadReceived
{
    ConnectionNumber connection_ = 0;
    HeadKind kind_ = HeadKind::Failed;
    /** When the endpoint says to come back, for NotRun. */
    std::optional<TimePoint> retryAt_ {};
};

/** What came of CheckEngine. */
struct EngineChecked
{
    ConnectionNumber connection_ = 0;
    bool alive_ = false;
};

/** offset_ counts from the beginning of the engine's own stream. */
struct TokensReceived
{
    ConnectionNumber connection_ = 0;
    std::int64_t offset_ = 0;
    std::int64_t count_ = 1;
};

/** The first bytes of an endpoint's plain answer went to the caller. */
struct ResponseForwarded
{
    ConnectionNumber connection_ = 0;
};
/** The endpoint's answer is whole. */
struct ResponseEnded
{
    ConnectionNumber connection_ = 0;
};
/** Could not connect, was cut, or the endpoint said something it should not say. */
struct ConnectionLost
{
    ConnectionNumber connection_ = 0;
    bool anythingSent_ = true; ///< False: not a byte of the request can have left.
};
struct CallerGone
{
    /**
     * The path to the caller is silent, but the caller did not hang up: it may already go on with
     * the stream through another instance, so the stream is not cancelled.
     */
    bool mayReconnect_ = false;
};
/** wakeAt() is reached. */
struct TimePassed
{ };

using Event =
    std::variant<Admitted, AdmissionRefused, EndpointChosen, NoEndpoint, RetryBudgetExhausted,
                 PrefillFinished, HeadReceived, EngineChecked, TokensReceived, ResponseForwarded,
                 ResponseEnded, ConnectionLost, CallerGone, TimePassed>;

// Actions --------------------------------------------------------------------------------------

/** Answer with EndpointChosen, NoEndpoint or, when budgeted_, RetryBudgetExhausted. */
struct ChooseEndpoint
{
    AttemptId attempt_;
    std::vector<EndpointId> excluded_ {};
    bool budgeted_ = false; ///< Take one retry from the instance's budget first.
};
/** Prefill at an engine that hands its KV cache over. Answer with PrefillFinished. */
struct Prefill
{
    ConnectionNumber connection_ = 0;
    AttemptId attempt_;
    EndpointId endpoint_;
};
/** Close the old connection; on a new one send the request, with what was delivered already. */
struct SendRequest
{
    ConnectionNumber connection_ = 0;
    AttemptId attempt_;
    EndpointId endpoint_;
    std::int64_t base_ = 0;     ///< Tokens delivered so far: the engine's token 0 is this one.
    bool afterPrefill_ = false; ///< With what the prefill engine answered.
};
/** Close the old connection; on a new one ask the engine for its stream from offset_ on. */
struct ResumeStream
{
    ConnectionNumber connection_ = 0;
    AttemptId attempt_;
    EndpointId endpoint_;
    std::int64_t offset_ = 0; ///< In the engine's own stream.
};
/**
 * Close the old connection; on a new one ask the engine for anything, such as its load, and answer
 * with EngineChecked. Its silence on one connection can mean that the connection is lost, that the
 * engine is, or that the answer takes long.
 */
struct CheckEngine
{
    ConnectionNumber connection_ = 0;
    EndpointId endpoint_;
};
/** Pass the tokens of the event just handed in to the caller. */
struct Deliver
{
    std::int64_t offset_ = 0; ///< In the whole answer.
    std::int64_t count_ = 1;
};
/** Pass the endpoint's answer on as it is. */
struct ForwardResponse
{
    ConnectionNumber connection_ = 0;
};
/** Tell an engine that nobody waits for the attempt any more. */
struct Cancel
{
    AttemptId attempt_;
    EndpointId endpoint_;
};
/** The attempt is over for the router. */
struct AttemptEnded
{
    AttemptId attempt_;
    bool succeeded_ = false; ///< False: the endpoint failed.
};
/** Final: the caller has, or now gets, its whole answer. */
struct Finish
{ };
/** Final: tell the caller at once, with when to come back. */
struct Refuse
{
    Outcome outcome_ = Outcome::Unknown;
    RefusalCause cause_ = RefusalCause::NoEndpoint;
    TimePoint retryAt_ {};
};
/** Final: there is nobody to answer. */
struct Abandon
{ };

using Action =
    std::variant<ChooseEndpoint, Prefill, SendRequest, ResumeStream, CheckEngine, Deliver,
                 ForwardResponse, Cancel, AttemptEnded, Finish, Refuse, Abandon>;
using Actions = std::vector<Action>;

/** One request. Every run of events ends in exactly one final action. */
class RequestMachine
{
public:
    class Builder;

    /** The first actions; none when the machine waits for Admitted. */
    Actions start(TimePoint now);
    Actions on(const Event &event, TimePoint now);

    /** When TimePassed is due. */
    TimePoint wakeAt() const noexcept;
    bool finished() const noexcept { return phase_ == Phase::Over; }
    /** Tokens of the whole answer that were delivered. */
    std::int64_t delivered() const noexcept { return nextOffset_; }
    /** Whether the endpoint may have begun the request, or any earlier one did. */
    bool mayHaveRun() const noexcept { return earlierAttemptMayRun_ || attemptMayRun_; }
    /** Events that were dropped because they came from an old connection or too late. */
    std::uint64_t staleEvents() const noexcept { return staleEvents_; }
    /** Where the current stream is, for a resume token. */
    StreamLocation streamLocation() const;
    int attempts() const noexcept { return attempts_; }
    int resumes() const noexcept { return resumes_; }

private:
    enum class Phase {
        Admitting,
        Choosing,
        AwaitingEndpoint, ///< Of a begun stream: nothing could take it a moment ago.
        Prefilling,
        AwaitingHead,
        Answering,
        CheckingEngine,
        Over,
    };
    /** Where a rule of recovery goes on. */
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
    void closeAttempt(bool succeeded, Actions &out);
    void cancelAttempt(Actions &out);
    void finish(Actions &out);
    void refuse(RefusalCause cause, TimePoint retryAt, Actions &out);

    bool isStale(ConnectionNumber connection);
    bool streams() const noexcept;
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
    TimePoint endpointSearchDeadline_ = TimePoint::max(); ///< Give up the search for an endpoint.
    TimePoint nextSearchAt_ = TimePoint::max();           ///< The next search.
    TimePoint firstToken_ {};                             ///< Estimate for the current attempt.
    TimePoint notRunUntil_ {};    ///< When the last endpoint that refused says to come back.
    std::int64_t base_ = 0;       ///< Offset in the whole answer of the attempt's token 0.
    std::int64_t nextOffset_ = 0; ///< Offset in the whole answer of the token wanted next.
    int attempts_ = 0;
    int resumes_ = 0;
    int probesWithoutToken_ = 0;
    int freeRetries_ = 0;
    bool attemptOpen_ = false; ///< The router waits for AttemptEnded.
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
