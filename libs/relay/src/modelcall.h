/**
 * One call to a model: admission, attempts on engines, and the caller's response.
 */
#pragma once

#include "calldriver.h"
#include "keyedcall.h"
#include "modelrequest.h"
#include "modelresponse.h"
#include "resumetoken.h"
#include "ssereader.h"

#include <memory>
#include <optional>
#include <string>

namespace almondridge::relay {

/** Parameters of a call to a model. */
struct ModelTask
{
    ModelRequest request_;
    ModelId routedModel_; ///< The model that serves the requested name, which may be an adapter's.
    std::optional<ResumeToken> resume_ {};
    std::int64_t resumeOffset_ = 0;
    /** The stream of resume_ covers all tokens from resumeOffset_ on. */
    bool resumeAtEngine_ = false;
    Recovery recovery_ = Recovery::Stream;
    std::optional<IdempotencyKey> key_ {};
};

class ModelCall : public CallDriver
{
public:
    ModelCall(RelayContext &context, net::ServerExchange &caller, const CallInfo &info,
              ModelTask task);
    /** Releases the admission ticket. */
    ~ModelCall() override;
    ModelCall(const ModelCall &) = delete;
    ModelCall &operator=(const ModelCall &) = delete;

    void serve();

private:
    routing::RouteQuery query() override;
    net::Request requestFor(const SendRequest &action) override;
    net::Request resumeRequestFor(const ResumeStream &action) override;
    net::Request prefillRequestFor(const Prefill &action) override;
    void onHead(const net::ResponseHead &head) override;
    void onBytes(std::string_view bytes) override;
    void onEnd() override;
    void onLost(bool anythingSent) override;
    void deliver(const Deliver &action) override;
    void keepAlive() override;
    void forwardResponse() override;
    void finish() override;
    void refuse(const Refusal &refusal) override;
    void abandon() override;

    bool admit();
    bool claimKey();
    void respondToDuplicate(const DuplicateResponse &duplicate);
    admission::Offer offer() const;
    void onPrefillHead(const net::ResponseHead &head);
    HeadKind headKindOf(const net::ResponseHead &head);
    void onEvent(EngineEvent event);
    void onUsage(const TokenUsage &usage);
    void recordTokenTiming(std::int64_t count);
    void respondEngineRefusal();
    ResponseEnd responseEnd() const;
    std::string currentResumeToken() const;
    net::Request engineRequest(const AttemptId &attempt, std::string body) const;

    ModelTask task_;
    ResponseFormat format_;
    std::unique_ptr<ModelResponse> response_;
    KeyedCall keyedCall_;
    admission::Ticket ticket_ = 0;
    std::int64_t promptTokens_ = 0;   ///< Estimated from the text.
    std::int64_t expectedOutput_ = 0; ///< Tokens.
    std::vector<std::uint64_t> prefixHashes_;

    SseReader sseReader_;
    EngineEvent *currentEvent_ = nullptr; ///< The event whose tokens Deliver refers to.
    std::string deliveredText_;           ///< Text delivered so far.
    std::string finishReason_;
    std::optional<TokenUsage> usage_;
    std::string prefillBody_;
    nlohmann::json kvTransfer_;
    std::optional<net::Response> engineRefusal_; ///< An engine's final error response.
    AttemptId firstTokenAttempt_; ///< Last attempt whose first token was reported to the router.
    TimePoint lastToken_ {};
    TimePoint keepAliveAt_ {};
};

} // namespace almondridge::relay
