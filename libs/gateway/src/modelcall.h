/**
 * A request to a model: one engine reads its prompt, the same or another one generates. Placing and
 * reading stand in modelcall.cpp, what comes of a stream in modelstream.cpp.
 */
#pragma once

#include "call.h"
#include "eventsplitter.h"

namespace almondridge::gateway {

/** The cause of a request that ended at its deadline. */
inline constexpr std::string_view DeadlineCause = "deadline";

enum class ModelPhase {
    Idle,       ///< Nothing is sent; a begun stream waits to be offered again.
    Prefilling, ///< One engine reads the prompt.
    Waiting,    ///< Sent to the engine that generates; no event came yet.
    Streaming,  ///< Events are passed on.
};

class ModelCall final : public Call
{
public:
    using Call::Call;

    void onWritten() override;

private:
    void start() override { place(); }
    void place();
    void placeAlone(PromptPlan plan);
    PromptQuery promptQuery() const;
    bool comesTooLate(const PromptPlan &plan, TimePoint now);
    bool isRefusedBy(const DecodeChoice &generator);
    void sendPrefill(const PromptPlan &plan);
    std::optional<net::Address> partsSource(const PromptPlan &plan) const;
    std::optional<net::Address> readerOfThisPrompt(const EndpointId &generator) const;
    void sendInPlace(const PromptPlan &plan);
    void sendToDecode();
    TimePoint inTimeUntil() const;
    std::optional<DecodeChoice> chooseDecodeEngine(const DomainId &source) const;
    void sendResume();
    void goOn();
    bool engineIsGone() const;
    bool readerRestarted() const;
    void takeOver();
    bool mayOfferAgain() const;
    void attemptHead() override;
    void attemptBody(std::string bytes) override;
    void attemptEnd() override;
    void attemptFailed(async::ExchangeFailure failure) override;
    void attemptSilent() override;
    void deadlinePassed() override;
    void abandonEndpoints() override;

    void prefillEnded();
    void prefillRefused();
    void prefillFailed(HealthSignal evidence);
    void neverArrived();
    void notRun();
    void streamEnded();
    void streamBroke(async::ExchangeFailure failure, HealthSignal evidence);
    void countRead(const PromptPlan &plan);
    void countDemand(std::int64_t newTokens);
    void passEvents(std::string_view events);
    void giveUp(std::string_view cause);
    void watchStream();
    bool isStream() const;
    const Prompt &prompt() const { return *facts().prompt_; }
    RequestCosts &costs() const { return gateway_.costs_[input_.service_]; }

    ModelPhase phase_ = ModelPhase::Idle;
    std::optional<PromptHandle> handle_; ///< Read, and not fetched by an engine as far as we know.
    EndpointId prefillEngine_;
    std::uint64_t prefillLifetime_ = 0;
    DomainId prefillDomain_;
    EventSplitter events_;
    std::int64_t queuedTokens_ = 0; ///< Read before this prompt, where it is read.
    bool cacheHitUnknown_ = false;  ///< Whether its shared parts were cached there was a guess.
    bool fetches_ = false;          ///< The attempt is to fetch the prompt that was read elsewhere.
    bool inPlaceOnly_ = false;
    bool demandCounted_ = false;
    bool silent_ = false; ///< The attempt's engine has said nothing for longer than it should.
    bool begun_ = false;  ///< The answer's head went to the caller.
    bool paused_ = false; ///< The engine is not read, as the caller is slow.
};

} // namespace almondridge::gateway
