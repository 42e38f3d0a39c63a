/**
 * A request to a model: one engine prefills the prompt, the same or another one decodes. Placement
 * and prefill are in modelcall.cpp, decoding and the response stream in modelstream.cpp.
 */
#pragma once

#include "call.h"
#include "eventsplitter.h"
#include "streamdelivery.h"

namespace almondridge::gateway {

/** Cause in the log and the response if the request ended at its deadline. */
inline constexpr std::string_view DeadlineCause = "deadline";

enum class ModelPhase {
    Idle,       ///< No attempt; an interrupted stream may be waiting to be resumed.
    Prefilling, ///< An engine prefills the prompt for another one.
    Waiting,    ///< Sent to the engine that decodes; no event received yet.
    Streaming,  ///< Events are forwarded to the caller.
};

class ModelCall final : public Call
{
public:
    ModelCall(GatewayState &gateway, CallContext context);

    void onCutOff() override;
    void onWritten() override;

private:
    void start() override { place(); }
    void place();
    /** Sends the request to a peer, to go on after the last event; false: there is none. */
    bool forward();
    void placeOnSingleEngine(PromptPlan plan);
    PromptQuery promptQuery() const;
    bool isTooLate(const PromptPlan &plan, TimePoint now);
    bool isDecodeQueueFull(const DecodeChoice &decodeChoice);
    void sendPrefill(const PromptPlan &plan);
    /** reader: the engine that reads the prompt, which needn't be the planned one. */
    std::optional<net::Address> partsCopySource(const PromptPlan &plan,
                                                const EndpointId &reader) const;
    std::optional<net::Address> prefilledCopySource(const EndpointId &decodeEngine) const;
    void sendInPlace(const PromptPlan &plan);
    void sendToDecode();
    TimePoint objectiveDeadline() const;
    /** prefillVersion: of the engine that has read the prompt; nullopt: none has. */
    std::optional<DecodeChoice>
    chooseDecodeEngine(const DomainId &source,
                       const std::optional<SoftwareVersion> &prefillVersion) const;
    void sendResume();
    void continueElsewhere();
    bool isEngineGone() const;
    bool hasPrefillEngineRestarted() const;
    void onStreamStalled();
    bool canRetryLater() const;
    AnswerUse answerUse() const override;
    void onAttemptHead() override;
    void onAttemptBody(std::string bytes) override;
    std::size_t partialEventBytes() const noexcept override
    {
        return events_.partialEvent().size();
    }
    std::size_t unreadAnswerBytes() const noexcept override
    {
        return paused_ ? async::MaxReceivedBytes : 0;
    }
    void onAttemptEnd() override;
    void onAttemptFailed(async::ExchangeFailure failure) override;
    void onAttemptTimeout() override;
    void onDeadline() override;
    bool hasBegunAnswer() const noexcept override { return delivery_.hasBegun(); }
    void releaseEndpointState() override;

    void onPrefillEnd();
    void onPrefillRefused();
    void onPrefillFailed(HealthSignal evidence);
    void onNotSent();
    void onNotRun();
    void onStreamEnd();
    void onStreamBroken(async::ExchangeFailure failure, HealthSignal evidence);
    void recordPrefillPlan(const PromptPlan &plan);
    EngineTraits engineTraits() const;
    void recordDemand(std::int64_t newTokens);
    /** Whether the account's share of the service's capacity has room for the request. */
    bool hasShare(const PromptPlan &plan, TimePoint now);
    void logShareRefusal(const ShareRequest &request, const ShareRefusal &refusal, TimePoint now);
    void forwardEvents(std::string_view events);
    /**
     * Asks again, before the attempt's first events are handed on or it ends the stream, whether
     * they fit what the caller has. False: the answer was rejected.
     */
    bool fitsStream(std::string_view events);
    void onOtherVersion() override;
    void beginStream();
    void logContinued();
    void giveUp(std::string_view cause);
    void startStallTimer();
    /** Logs the incomplete event, if any, that a broken stream left. */
    void logPartialEvent() const;
    bool isStream() const;
    const Prompt &prompt() const { return *requestInfo().prompt_; }
    RequestCosts &costs() const { return gateway_.costs_[context_.service_]; }

    /** The attempt that brought the latest events. */
    struct EventSource
    {
        EndpointId endpoint_;
        SoftwareVersion version_;
        int attempt_ = 0; ///< Attempt::number_; 0: none yet.
    };

    ModelPhase phase_ = ModelPhase::Idle;
    EventSource eventsFrom_;
    std::optional<PromptHandle> handle_; ///< Prefilled, and not known to have been fetched.
    EndpointId prefillEngine_;           ///< The last engine asked for a separate prefill.
    std::uint64_t prefillLifetime_ = 0;
    DomainId prefillDomain_; ///< Failure domain of prefillEngine_.
    SoftwareVersion prefillVersion_;
    EventSplitter events_;          ///< Of the attempt's answer.
    StreamDelivery delivery_;       ///< Of the caller's.
    std::int64_t queuedTokens_ = 0; ///< Queued before this prompt at the engine that prefills.
    bool cacheHitUnknown_ = false; ///< Whether that engine had the shared parts cached was a guess.
    bool fetchesPrompt_ = false;   ///< The attempt fetches a prompt that another engine prefilled.
    bool mayBePrefilled_ = false;  ///< Some engine may have prefilled the prompt separately.
    bool wasPrefilledBefore_ = false; ///< The same before the attempt at a peer.
    bool inPlaceOnly_ = false;        ///< The engine that decodes must also prefill.
    bool demandRecorded_ = false;
    bool shareChecked_ = false; ///< hasShare() was decided; it counts a request once.
    bool stalled_ = false;      ///< The attempt's engine has sent nothing for too long.
    bool paused_ = false;       ///< Reading from the engine is paused for a slow caller.
};

} // namespace almondridge::gateway
