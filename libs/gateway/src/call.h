/**
 * Base class for one request from arrival to response: deadline, attempts at endpoints, retries and
 * suspicion of crashing endpoints, as needed by service calls and model calls alike.
 */
#pragma once

#include "acceptedanswer.h"
#include "almondridge/gateway/requestkey.h"
#include "almondridge/gateway/streamorigin.h"
#include "gatewaystate.h"

namespace almondridge::gateway {

/** Result of a request, for its log line and the metrics. */
enum class Outcome { Answered, Refused, Failed, Abandoned };

inline constexpr std::array<EnumName<Outcome>, 4> OutcomeNames {{
    {Outcome::Answered, "answered"},
    {Outcome::Refused, "refused"},
    {Outcome::Failed, "failed"},
    {Outcome::Abandoned, "abandoned"},
}};

/** A request with what is known about it when its call is created. */
struct CallContext
{
    async::ServerCall request_;
    RequestInfo requestInfo_;
    RequestKeys keys_ {};
    std::shared_ptr<const Config> config_; ///< In force when the request arrived; owns route_.
    const Route *route_ = nullptr;
    AccessResult access_ {};                ///< The account that made the request.
    Credentials credentials_ {};            ///< For the instance that it may be forwarded to.
    ServiceId service_;                     ///< Chosen among the route's services.
    std::optional<StreamOrigin> origin_ {}; ///< Of the stream to go on with, as the peer tells.
};

/** Cause in the log and the response if the account's key was revoked after the request came. */
inline constexpr std::string_view KeyRevokedCause = "key-withdrawn";

/** Causes of requests for which no endpoint can take a request now. */
inline constexpr std::string_view NoEngineCause = "no-engine";
inline constexpr std::string_view NoEndpointCause = "no-endpoint";

/** Cause of streams whose version no endpoint has any more, so that they can't go on. */
inline constexpr std::string_view VersionGoneCause = "version-gone";
/** Cause of streams of which nothing shows at which version they began. */
inline constexpr std::string_view VersionUnknownCause = "version-unknown";

/** Cause of requests that end because this instance ends. */
inline constexpr std::string_view StoppingCause = "stopping";

/** Cause of requests for which this instance has no memory. */
inline constexpr std::string_view NoMemoryCause = "no-memory";

/** Limit on the attempts for one request, to bound what a request can cost. */
inline constexpr int MaxSends = 5;

class Call
{
public:
    Call(GatewayState &gateway, CallContext context);
    virtual ~Call();
    Call(const Call &) = delete;
    Call &operator=(const Call &) = delete;

    /**
     * Starts the request, waits if equal requests are suspected of crashing endpoints, or refuses
     * it if they are quarantined.
     */
    void tryStart();
    void onCallerGone();
    /** Ends the call at once: this process is about to end. */
    void onStop();
    /** This instance has lost the paths to its endpoints. */
    virtual void onCutOff() { }
    /** Other instances have answered where a stream began. */
    void onOriginAnswer(const OriginAnswer &answer);
    /** The trial after a quarantine, for which the call has asked, is its own or another's. */
    void onTrialClaimed(bool granted);
    /** Bytes of a streamed response were written to the caller. */
    virtual void onWritten() { }

    /** Bytes of the answer that are kept until it, or its next event, is complete. */
    std::size_t bufferedBytes() const noexcept
    {
        return hasAttempt() ? attempt_.body_.size() + partialEventBytes() : 0;
    }
    /** The answer takes too much memory. */
    void giveUpAnswer();

    CallNumber number() const noexcept { return context_.request_.id_.call_; }
    /** Whether this attempt, by its Attempt::number_, is in progress. */
    bool isAttempt(int number) const noexcept { return hasAttempt() && attempt_.number_ == number; }
    RequestKey key() const noexcept { return context_.keys_.own_; }
    const RequestKeys &keys() const noexcept { return context_.keys_; }
    /** Whether an attempt at this lifetime of the endpoint is in progress. */
    bool isRunningOn(const EndpointId &endpoint, std::uint64_t lifetime) const noexcept;

protected:
    /** The attempt at an endpoint; at most one at a time. */
    struct Attempt
    {
        async::OwnedExchange exchange_; ///< With the endpoint or the peer.
        int number_ = 0;                ///< Of the request's attempts, from 1.
        EndpointId endpoint_;
        std::optional<InstanceId> peer_; ///< Sent to this instance instead of an endpoint.
        std::uint64_t lifetime_ = 0;     ///< The endpoint's lifetime when the request was sent.
        StreamOrigin origin_; ///< Of what it streams: by its entry when sent, or as the peer tells.
        std::int64_t promptTokens_ = 0; ///< Counted as queued at the endpoint until prefilled.
        int urgency_ = 0;
        TimePoint sentAt_ {};
        std::optional<AcceptedAnswer> answer_; ///< Before it, nothing of the body arrives here.
        std::size_t headBytes_ = 0;            ///< Memory of the answer's head.
        std::string body_;                     ///< Of a response that isn't streamed to the caller.
        async::HeldBytes held_;                ///< Of what is buffered of the response.
    };

    /** Makes the first attempt. */
    virtual void start() = 0;
    /** Starts an attempt; its result arrives through the onAttempt functions. */
    void send(const EndpointId &endpoint, DispatchOptions options, std::int64_t promptTokens);
    /** Whether this instance seems to reach no endpoint; a forwarded request isn't forwarded. */
    bool seemsCutOff() const;
    /** Whether there is a peer to which the request can be forwarded. */
    bool hasPeer() const;
    /** Both: it should be forwarded. */
    bool shouldForward() const;
    /** Whether a peer may have an endpoint for the request where this instance has none. */
    bool mayPeerReachMore() const;
    /** The version at which the request's stream must go on; nullopt: it hasn't begun. */
    std::optional<SoftwareVersion> requiredVersion() const
    {
        return origin_ ? std::optional(origin_->version_) : std::nullopt;
    }
    /** The origin of what the attempt streams; its version is empty if it is in doubt. */
    StreamOrigin attemptOrigin() const;
    /** The caller gets the stream's first event, which came from there. */
    void onStreamBegun(const StreamOrigin &origin);
    /** Whether an endpoint may go on with the stream, now or later, here or at a peer. */
    bool canGoOn() const;
    /** Starts an attempt at a peer, which makes one at its endpoints; false: there is no peer. */
    bool sendToPeer(const std::string &resumeAfter);
    /** A peer refused the request. True if another one may take it. */
    bool onPeerRefused();
    /** What the answer to the attempt is for. */
    virtual AnswerUse answerUse() const { return AnswerUse::Whole; }
    /** What is asked of it now; the list of endpoints may change until its body arrives. */
    AnswerTerms answerTerms() const;
    /** Valid once it was accepted: in onAttemptHead(), and from then on. */
    const AcceptedAnswer &answer() const { return *attempt_.answer_; }
    /** The attempt brought no answer that may be used. */
    void rejectAnswer(AnswerDefect defect);
    virtual void onAttemptHead() { }
    virtual void onAttemptBody(std::string bytes) { bufferAnswer(bytes); }
    void bufferAnswer(std::string_view bytes);
    /** Bytes of an event that isn't complete. */
    virtual std::size_t partialEventBytes() const noexcept { return 0; }
    /** Bytes of the answer that the kernel may hold while reading is paused. */
    virtual std::size_t unreadAnswerBytes() const noexcept { return 0; }
    void countBuffered();
    /** Gives up the largest answer of this instance if all together take too much memory. */
    void limitBufferedAnswers();
    virtual void onAttemptEnd() = 0;
    virtual void onAttemptFailed(async::ExchangeFailure failure) = 0;
    /** What answered isn't surely of the version that began the stream. */
    virtual void onOtherVersion() { onAttemptFailed(async::ExchangeFailure::Garbled); }
    /** The timer of startAttemptTimer() has fired. */
    virtual void onAttemptTimeout() = 0;
    /** The deadline of the request has passed. */
    virtual void onDeadline();
    /** Whether the caller has got a part of the answer. */
    virtual bool hasBegunAnswer() const noexcept { return false; }
    /** Releases what endpoints hold for the request when it ends early. */
    virtual void releaseEndpointState() { }

    /**
     * Ends the attempt, and cancels the exchange unless it has ended; evidence, if any, is a signal
     * of the endpoint's health.
     */
    void closeAttempt(std::optional<HealthSignal> evidence);
    /** Tells an overloaded endpoint from one that refuses though it has free capacity. */
    HealthSignal refusalSignal() const;
    /** Logs the response of an endpoint that didn't execute the request. */
    void logNotRun() const;
    /** Sets the caller's Retry-After from the response of an endpoint that asks for a backoff. */
    void takeRetryAfter();
    /** Cancels the attempt and excludes its endpoint from further attempts of this request. */
    void excludeEndpoint(std::optional<HealthSignal> evidence);
    /** The endpoint has prefilled the prompt: it no longer counts as queued there. */
    void markPromptPrefilled();
    /** Whether the endpoint has restarted since: the result says nothing about its new process. */
    bool endpointRestarted() const;
    /** Calls onAttemptTimeout() at that time, unless the attempt ends before. */
    void startAttemptTimer(TimePoint until);
    void stopAttemptTimer() { attemptTimer_.stop(); }

    /** Probes the attempt's endpoint, which may have crashed, by opening a new connection. */
    void checkForCrash();
    /** The same if the endpoint has been silent for long when the request ends. */
    void checkForCrashIfSilent();
    /** Whether equal requests, or others with its parts, have crashed too many endpoints. */
    bool isQuarantined() const;
    /**
     * The endpoint where a crash caused by this request would affect the fewest other requests.
     * nullopt: there is none, or, under strong suspicion, only the last one of several still
     * serves. version: only of this one, if any.
     */
    std::optional<EndpointId>
    leastLoadedEndpoint(const std::optional<SoftwareVersion> &version) const;
    /** Reports that an endpoint began to execute the request; only the first call has an effect. */
    void reportExecutionStart(TimePoint startedAt);
    /** Notices a pause, and whether the caller's key is still valid; asked before each attempt. */
    bool mayBeSent() const;
    /** Whether another endpoint may be tried if the request didn't reach the last one. */
    bool canTryAnotherEndpoint() const;
    /** Takes a retry from the service's budget; false if the budget or the limit forbids it. */
    bool acquireRetry();
    /** The same after an attempt that may have been executed: the route must allow a repetition. */
    bool acquireRerun();

    /**
     * Forwards the attempt's response to the caller, unless its status would promise that a request
     * hasn't run which nobody may repeat and which may have run.
     */
    void forwardResponse();
    /**
     * Ends a request that wasn't executed: 503, with Retry-After unless it is quarantined. One that
     * may have been executed and that nobody may repeat fails instead.
     */
    void refuse(std::string_view cause);
    /** Ends a request that may have been executed, with 502, or 504 at the deadline. */
    void failCall(int status, std::string_view cause);
    /**
     * Ends a request without a complete answer: aborts one that has begun, fails with 502 if the
     * request may have been executed, and refuses it otherwise.
     */
    void endUnanswered(std::string_view cause);
    /** Logs and counts the result, and takes the call out of the table: no event reaches it. */
    void finish(Outcome outcome, int status, std::string_view cause);

    bool isFromPeer() const noexcept
    {
        return context_.request_.listener_ == async::Listener::Peers;
    }
    /** The instance that forwards a request decides on further attempts. */
    int maxAttempts() const noexcept { return isFromPeer() ? 1 : route().maxAttempts_; }
    bool hasAttempt() const noexcept { return attempt_.exchange_.isOwned(); }
    const Route &route() const noexcept { return *context_.route_; }
    /** The account's priority, or else the route's. */
    int priority() const { return context_.access_.account_.priority_.value_or(route().priority_); }
    const RequestInfo &requestInfo() const noexcept { return context_.requestInfo_; }
    TimePoint deadline() const noexcept { return deadline_; }
    /** Time until the deadline, at least 1 ms. */
    std::int64_t remainingMillis() const;

    GatewayState &gateway_;
    CallContext context_;
    Attempt attempt_;
    std::optional<StreamOrigin> origin_;    ///< Of the stream that the caller has begun to get.
    std::vector<EndpointId> excluded_;      ///< Not used for further attempts.
    std::vector<InstanceId> excludedPeers_; ///< As excluded_.
    int runs_ = 0;                          ///< Attempts that may have been executed.
    int sends_ = 0;                         ///< All attempts that count toward maxSends_.
    int maxSends_ = MaxSends;
    bool mayHaveRun_ = false;     ///< An attempt may have been executed.
    bool mayHaveArrived_ = false; ///< An endpoint may have got the request, even if it refused.
    Suspicion suspicion_ = Suspicion::None;        ///< When the request was started.
    std::optional<std::int64_t> retryAfterMillis_; ///< For the caller, if it is refused.
    TimePoint firstByteAt_ {};                     ///< Start of the response stream to the caller.
    std::int64_t prefillTokens_ = 0;   ///< Estimate of the prompt tokens that weren't cached.
    double prefillEstimateMillis_ = 0; ///< Including the queue ahead of the prompt.
    int urgency_ = -1;                 ///< As sent to the engine that prefills; -1: no prompt.
    TimePoint prefilledAt_ {};         ///< When the prompt was prefilled.
    std::string endpointTrace_; ///< Endpoints of the attempts and their failures, for the log.
    std::string versionTrace_;  ///< Versions of these endpoints.

private:
    /** Whether the caller may be told that the request hasn't run and never will. */
    bool mayPromiseNotRun() const;
    void logBroken() const;
    /** The keys for which an answer with that status shows that they crash no endpoint. */
    RequestKeys answeredKeys(int status) const;
    /** Makes the first attempt, or first finds out where the stream to be resumed began. */
    void begin();
    bool resumesStream() const;
    /** Whether an endpoint of the version that the stream needs is listed here. */
    bool isVersionListed() const;
    /** The same at peers, if this instance's list may be old. */
    bool mayBeListedElsewhere() const;
    RequestKey streamKey() const;
    void findOrigin();
    void askOrigin();
    void refuseUnknownVersion();
    void goOnAt(const StreamOrigin &origin);
    void setOrigin(const StreamOrigin &origin);
    using Handler = void (Call::*)();
    /** Calls the handler at that time, unless the call has ended. */
    void startTimer(async::Timer &timer, TimePoint at, Handler handler);
    bool hasEnded() const { return gateway_.calls_.find(number()) != this; }
    /** Replaces the attempt by a new one. False, and logged, if the call has ended. */
    bool beginAttempt();
    /** Sends the request with a head of its own to the address for the attempt. */
    void startExchange(async::HttpClient &client, const std::string &peer,
                       const net::Address &address, const async::RequestHead &head,
                       const DispatchOptions &options);
    /** Events of the current attempt; they reach the call only while that is in progress. */
    async::ExchangeEvents attemptEvents() const;
    void onHead(async::ResponseHead &head);
    void onBody(std::string bytes);
    void onFailed(async::ExchangeFailure failure);
    void startWithLease(const Assessment &assessment);
    void runAlone();
    void scheduleStartRetry();
    void scheduleLeaseRenewal();
    bool isEqualRequestRunning() const;
    void refuseQuarantined(const Assessment &assessment);
    /** Records what the head of the attempt's answer says about its endpoint. */
    void onAnswerOfEndpoint();
    std::int64_t millisUntilAdmitted() const;
    void countOutcome(Outcome outcome, std::string_view cause, TimePoint now);

    TimePoint deadline_;
    async::Timer deadlineTimer_;
    async::Timer attemptTimer_;
    async::Timer startRetryTimer_; ///< Next call of tryStart(), or next renewal of the lease.
    RequestKey leaseKey_ {};       ///< Of the lease to run, if there is one.
    TimePoint leaseSettledAt_ {};  ///< Competing claims for the run lease are known by then.
    int attempts_ = 0;
    bool started_ = false; ///< begin() was called.
    bool trialAsked_ = false;
    bool trialGranted_ = false;
    TimePoint originDeadline_ {}; ///< Until then instances are asked where the stream began.
    bool executionReported_ = false;
};

/** A request to a service that isn't a model: one response, buffered before it is forwarded. */
std::unique_ptr<Call> makeServiceCall(GatewayState &gateway, CallContext context);
/** A request to a model: prefilled by one engine, decoded by the same or another one. */
std::unique_ptr<Call> makeModelCall(GatewayState &gateway, CallContext context);

} // namespace almondridge::gateway
