/**
 * The life of one request: what service calls and model calls have in common.
 */
#pragma once

#include "almondridge/gateway/requestkey.h"
#include "gatewaystate.h"

namespace almondridge::gateway {

/** How a request ended, for its log line and the counters. */
enum class Outcome { Answered, Refused, Failed, Abandoned };

inline constexpr std::array<EnumName<Outcome>, 4> OutcomeNames {{
    {Outcome::Answered, "answered"},
    {Outcome::Refused, "refused"},
    {Outcome::Failed, "failed"},
    {Outcome::Abandoned, "abandoned"},
}};

/** What a call was created from. */
struct CallInput
{
    async::ServerCall request_;
    CallFacts facts_;
    RequestKey key_ {};
    std::shared_ptr<const Config> config_; ///< Keeps route_ alive.
    const Route *route_ = nullptr;
    AccessVerdict access_ {}; ///< Whose request it is.
    ServiceId service_;
};

/** The cause of a request whose key counts no more. */
inline constexpr std::string_view KeyWithdrawnCause = "key-withdrawn";

/** Sends of one request, whatever became of them: a bound on what one request can cost. */
inline constexpr int MaxSends = 5;

class Call
{
public:
    Call(GatewayState &gateway, CallInput input);
    virtual ~Call();
    Call(const Call &) = delete;
    Call &operator=(const Call &) = delete;

    /** Starts once nothing that is known of equal requests speaks against it. */
    void begin();
    void onCallerGone();
    /** Bytes of the answer left for the caller. */
    virtual void onWritten() { }

    RequestKey key() const noexcept { return input_.key_; }
    /** Whether it is on that endpoint now. */
    bool isAt(const EndpointId &endpoint, std::uint64_t lifetime) const noexcept;

protected:
    /** The send that is on its way; at most one at a time. */
    struct Attempt
    {
        async::ExchangeId exchange_ = 0; ///< 0: none.
        EndpointId endpoint_;
        std::uint64_t lifetime_ = 0;    ///< Of the endpoint, as it was known when this was sent.
        std::int64_t promptTokens_ = 0; ///< Counted as queued there until read.
        int urgency_ = 0;
        TimePoint sentAt_ {};
        async::ResponseHead head_;
        AnswerFacts facts_;
        std::string body_; ///< Of an answer that is taken whole.
    };

    virtual void start() = 0;
    /** Sends to an endpoint; attemptHead, attemptBody, attemptEnd or attemptFailed follow. */
    void send(const EndpointId &endpoint, SendOrder order, std::int64_t promptTokens);
    virtual void attemptHead() { }
    virtual void attemptBody(std::string bytes) { attempt_.body_ += bytes; }
    virtual void attemptEnd() = 0;
    virtual void attemptFailed(async::ExchangeFailure failure) = 0;
    virtual void attemptSilent() = 0;
    /** The deadline of the request has come. */
    virtual void deadlinePassed();
    /** Whatever has to be undone at the endpoints when the request ends early. */
    virtual void abandonEndpoints() { }

    /** The attempt is over; evidence, if any, tells whether its endpoint can be trusted. */
    void closeAttempt(std::optional<HealthSignal> evidence);
    void cancelAttempt(std::optional<HealthSignal> evidence);
    /** What a refusal says of its endpoint: whether it is full, or takes no requests at all. */
    HealthSignal refusalEvidence() const;
    /** The endpoint said that it did not run the request: one line with its words. */
    void logNotRun() const;
    /** The attempt came to nothing: this request does not go to its endpoint again. */
    void leaveEndpoint(std::optional<HealthSignal> evidence);
    void promptWasRead();
    /** Whether what becomes of the attempt says nothing of its endpoint any more. */
    bool endpointRestarted() const;
    /** Calls attemptSilent() then, unless the attempt is over before. */
    void watchSilence(TimePoint until);
    void stopWatching() { silence_.stop(); }

    /** Has it tested whether the attempt's endpoint has ended, if it may have. */
    void noteBreak();
    /** The same when the request ends without a word of the endpoint. */
    void noteSilence();
    /** Whether equal requests have ended too many endpoints for this one to be sent on. */
    bool isQuarantined() const;
    /**
     * Where a suspected request takes the fewest others along. nullopt: there is none, or, under
     * strong suspicion, only the last one that serves.
     */
    std::optional<EndpointId> quietestEndpoint() const;
    /** An endpoint began to run the request then; told once. */
    void countBegan(TimePoint began);
    /** Whether the key that the caller showed still counts: asked before each send. */
    bool isKeyValid() const;
    /** Whether another endpoint may be tried after one that the request never reached. */
    bool mayTryAnother() const;
    /** Whether one more send is allowed: by the shared allowance, and by this call's own bound. */
    bool maySendAgain();
    /** The same after a send that may have run: its route must allow another run as well. */
    bool mayRunAgain();

    /** Gives the caller the attempt's answer, which was taken whole. */
    void passOn();
    /** The request was not run: 503 with the time to come back. */
    void refuse(std::string_view cause);
    /** The request may have run: 502, or 504 at the deadline. */
    void failCall(int status, std::string_view cause);
    void finish(Outcome outcome, int status, std::string_view cause);

    const Route &route() const noexcept { return *input_.route_; }
    int priority() const { return input_.access_.account_.priority_.value_or(route().priority_); }
    const CallFacts &facts() const noexcept { return input_.facts_; }
    TimePoint deadline() const noexcept { return deadline_; }
    std::int64_t patienceMillis() const;

    GatewayState &gateway_;
    CallInput input_;
    Attempt attempt_;
    std::vector<EndpointId> excluded_; ///< Endpoints that this request had no luck with.
    int runs_ = 0;                     ///< Sends that may have run.
    int sends_ = 0;
    int mostSends_ = MaxSends;
    bool mayHaveRun_ = false;
    Suspicion suspicion_ = Suspicion::None;        ///< When it was started.
    std::optional<std::int64_t> retryAfterMillis_; ///< As the last endpoint that refused said.
    TimePoint firstByteAt_ {};
    std::int64_t readTokens_ = 0; ///< Prompt tokens that had to be read, as far as we know.
    double readEstimateMillis_ = 0;
    int urgency_ = -1;    ///< As the engine that read was told; -1: no prompt.
    TimePoint readAt_ {}; ///< When the prompt was read.
    std::string trail_;   ///< Endpoints asked and what came of it, for the log line.

private:
    void beginWithLease(const Assessment &known);
    void waitToBegin();
    void keepLease();
    bool runsBesideAnother() const;
    void refuseQuarantined(const Assessment &known);
    void countOutcome(Outcome outcome, std::string_view cause, TimePoint now);

    TimePoint deadline_;
    async::Timer deadlineTimer_;
    async::Timer silence_;
    async::Timer begin_;          ///< Until it is looked again whether this request may start.
    TimePoint leaseSettlesAt_ {}; ///< Others that want the lease have been heard by then.
    bool started_ = false;
    bool beganCounted_ = false;
    bool finished_ = false;
};

/** A request to a plain service: one answer, taken whole. */
std::unique_ptr<Call> makeServiceCall(GatewayState &gateway, CallInput input);
/** A request to a model: read by one engine, generated by the same or another one. */
std::unique_ptr<Call> makeModelCall(GatewayState &gateway, CallInput input);

} // namespace almondridge::gateway
