#include "modelcall.h"

#include <algorithm>
#include <utility>

namespace almondridge::relay {
namespace {

using nlohmann::json;

constexpr std::size_t PrefixBlockTokens = 16;
constexpr std::size_t MaxPrefillBodyBytes = 1 << 20;
constexpr std::int64_t MillisPerSecond = 1'000;

RequestSpec requestSpecFor(const CallInfo &info, const ModelTask &task,
                           const fleet::Settings &settings)
{
    RequestSpec spec;
    spec.request_ = info.id_;
    spec.recovery_ = task.recovery_;
    spec.deadline_ = info.deadline_;
    if (!info.hasCallerDeadline_) {
        spec.deadlineExtension_ = millis(settings.requestDeadlineMillis_);
    }
    spec.maxTokens_ = task.request_.maxTokens_;
    spec.delivered_ = task.resumeOffset_;
    if (task.resumeAtEngine_) {
        spec.resumeAt_ = task.resume_->location_;
    }
    return spec;
}

ResponseFormat formatFor(const CallInfo &info, const ModelTask &task)
{
    const ModelRequest &request = task.request_;
    ResponseFormat format;
    format.api_ = request.api_;
    format.id_ = (request.api_ == Api::Chat ? "chatcmpl-" : "cmpl-") + info.id_.value();
    format.model_ = request.model_.value();
    format.createdSeconds_ = wallMillis() / MillisPerSecond;
    format.includeUsage_ = request.includeUsage_;
    if (task.resume_) {
        format.id_ = task.resume_->responseId_;
        format.createdSeconds_ = task.resume_->createdSeconds_;
    }
    return format;
}

/** Whether the request itself is at fault, so that every engine would respond with this status. */
bool isRequestFault(int status)
{
    constexpr std::array<int, 4> RetryableStatuses {404, 408, 425, 429};
    const bool retryable = std::find(RetryableStatuses.begin(), RetryableStatuses.end(), status)
                           != RetryableStatuses.end();
    return status >= 400 && status < 500 && !retryable;
}

} // namespace

ModelCall::ModelCall(RelayContext &context, net::ServerExchange &caller, const CallInfo &info,
                     ModelTask task)
    : CallDriver(context, caller, info, requestSpecFor(info, task, context.settings_))
    , task_(std::move(task))
    , format_(formatFor(info_, task_))
    , keyedCall_(context.claims_, task_.key_, info_.id_)
    , deliveredText_(task_.request_.resumeText_)
{
    format_.headers_ = responseHeaders();
    response_ =
        task_.request_.stream_ ? makeStreamedResponse(format_) : makeBufferedResponse(format_);
    promptTokens_ = routing::estimateTokens(task_.request_.promptText_);
    prefixHashes_ = routing::prefixHashes(task_.request_.promptText_, PrefixBlockTokens);
    expectedOutput_ =
        context_.demand_.expectedOutput(task_.routedModel_, task_.request_.maxTokens_);
}

ModelCall::~ModelCall()
{
    if (ticket_ != 0) {
        const std::int64_t prompt = machine_.attempts() > 0 ? promptTokens_ : 0;
        context_.admission_.onFinished(ticket_, prompt + machine_.delivered());
    }
}

void ModelCall::serve()
{
    if (keyedCall_.isLookupOnly()) {
        claimKey();
        return;
    }
    if (task_.resumeAtEngine_) {
        recordEvent("request.accepted",
                    "rule=resume-token endpoint=" + task_.resume_->location_.endpoint_.value());
        response_->setResumeToken(
            serializeResumeToken(*task_.resume_, context_.settings_.peerKey_));
        run();
        return;
    }
    context_.demand_.onRequest(task_.routedModel_, promptTokens_, expectedOutput_);
    if (!admit()) {
        return;
    }
    if (claimKey()) {
        context_.admission_.onFirstAttempt();
        pushAdmitted();
        run();
    }
}

// Before the first attempt ----------------------------------------------------------------------

admission::Offer ModelCall::offer() const
{
    const std::int64_t decode = expectedOutput_ * info_.view_->fleet().policy_.interTokenMillis_;
    admission::Offer offer;
    offer.account_ = info_.account_.id_;
    offer.model_ = task_.routedModel_;
    offer.tokens_ = promptTokens_ + expectedOutput_;
    offer.priority_ = info_.account_.priority_;
    offer.deadline_ = info_.deadline_;
    offer.firstTokenDeadline_ = std::max(info_.deadline_ - millis(decode), info_.started_);
    return offer;
}

bool ModelCall::admit()
{
    context_.updateAdmissionCapacity(task_.routedModel_);
    caller_.callerSocket(); // Resolved here, since admit() calls callerGone() with its lock held.
    const auto decision =
        context_.admission_.admit(offer(), [this] { return caller_.callerGone(); });
    if (!decision) {
        recordOutcome(CallOutcome::Abandoned, "why=caller-gone");
        return false;
    }
    if (decision->answer_ != admission::Answer::Admit) {
        respondRefusal(refusalFor(*decision));
        recordOutcome(CallOutcome::NotRun, decision->details_);
        return false;
    }
    ticket_ = decision->ticket_;
    recordEvent("request.accepted", "account=" + info_.account_.id_.value() + " model="
                                        + task_.routedModel_.value() + " " + decision->details_);
    return true;
}

bool ModelCall::claimKey()
{
    const std::optional<DuplicateResponse> duplicate = keyedCall_.begin(info_.deadline_);
    if (duplicate) {
        respondToDuplicate(*duplicate);
    }
    return !duplicate;
}

void ModelCall::respondToDuplicate(const DuplicateResponse &duplicate)
{
    recordOutcome(CallOutcome::Duplicate,
                  "verdict=" + std::string(nameOf(KeyDecisionNames, duplicate.keyDecision_)));
    if (duplicate.refusal_) {
        respondRefusal(*duplicate.refusal_);
        return;
    }
    ResponseFormat format = format_;
    format.headers_.push_back({"Idempotent-Replayed", "true"});
    if (!duplicate.stored_.hasBody_) {
        format.headers_.push_back({"X-Stored-Body", "omitted"});
    }
    respondStored(caller_, format, task_.request_.stream_, duplicate);
}

// Attempts --------------------------------------------------------------------------------------

routing::RouteQuery ModelCall::query()
{
    const std::int64_t delivered = machine_.delivered();
    routing::RouteQuery query;
    query.model_ = task_.routedModel_;
    query.prefixHashes_ = prefixHashes_;
    query.promptTokens_ = promptTokens_ + delivered;
    query.outputTokens_ = std::max<std::int64_t>(expectedOutput_ - delivered, 1);
    query.deadline_ = info_.deadline_;
    return query;
}

net::Request ModelCall::engineRequest(const AttemptId &attempt, std::string body) const
{
    net::Request request;
    request.method_ = "POST";
    request.path_ = pathOf(task_.request_.api_);
    request.headers_ = {{"Content-Type", "application/json"},
                        {"X-Request-Id", attempt.value()},
                        {"X-Priority", std::to_string(info_.account_.priority_)}};
    if (info_.hasCallerDeadline_) {
        const std::int64_t left = millisUntil(info_.deadline_, BootClock::now());
        request.headers_.push_back({"X-Request-Deadline-Ms", std::to_string(wallMillis() + left)});
    }
    request.body_ = std::move(body);
    return request;
}

net::Request ModelCall::requestFor(const SendRequest &action)
{
    sseReader_ = SseReader();
    AttemptState state;
    state.deliveredText_ = deliveredText_;
    state.deliveredTokens_ = action.base_;
    if (action.afterPrefill_) {
        state.kvTransfer_ = kvTransfer_;
    }
    response_->setResumeToken(currentResumeToken());
    return engineRequest(action.attempt_, engineBody(task_.request_, state));
}

net::Request ModelCall::resumeRequestFor(const ResumeStream &action)
{
    sseReader_ = SseReader();
    net::Request request;
    request.path_ =
        "/v1/streams/" + action.attempt_.value() + "?offset=" + std::to_string(action.offset_);
    return request;
}

net::Request ModelCall::prefillRequestFor(const Prefill &action)
{
    prefillBody_.clear();
    return engineRequest(action.attempt_, prefillBody(task_.request_, deliveredText_));
}

void ModelCall::onLost(bool anythingSent)
{
    if (connectionUse_ == ConnectionUse::Prefill) {
        push(PrefillFinished {connection_,
                              anythingSent ? PrefillStatus::Failed : PrefillStatus::NotSent});
    } else if (!finishReason_.empty()) {
        push(ResponseEnded {connection_}); // Only the [DONE] event was lost.
    } else {
        push(ConnectionLost {connection_, anythingSent});
    }
}

HeadKind ModelCall::headKindOf(const net::ResponseHead &head)
{
    if (head.status_ == 200) {
        return HeadKind::Accepted;
    }
    if (connectionUse_ == ConnectionUse::Resume && head.status_ == 404) {
        return HeadKind::StreamNotFound;
    }
    net::Response response {head.status_, head.headers_, readShortBody()};
    if (connectionUse_ != ConnectionUse::Resume && head.status_ == 503
        && parseEngineError(response.body_).code_ == "not_run") {
        return HeadKind::NotRun;
    }
    if (connectionUse_ != ConnectionUse::Resume && isRequestFault(head.status_)) {
        engineRefusal_ = std::move(response);
        return HeadKind::Final;
    }
    return HeadKind::Failed;
}

void ModelCall::onHead(const net::ResponseHead &head)
{
    if (connectionUse_ == ConnectionUse::Prefill) {
        onPrefillHead(head);
        return;
    }
    push(HeadReceived {connection_, headKindOf(head), retryAfterOf(head)});
}

void ModelCall::onPrefillHead(const net::ResponseHead &head)
{
    const HeadKind kind = headKindOf(head);
    if (kind == HeadKind::NotRun) {
        push(PrefillFinished {connection_, PrefillStatus::NotSent});
    } else if (kind != HeadKind::Accepted) {
        push(PrefillFinished {connection_, PrefillStatus::Failed});
    }
}

void ModelCall::onBytes(std::string_view bytes)
{
    if (connectionUse_ == ConnectionUse::Prefill) {
        prefillBody_ += bytes;
        if (prefillBody_.size() > MaxPrefillBodyBytes) {
            push(PrefillFinished {connection_, PrefillStatus::Failed});
        }
        return;
    }
    const ConnectionNumber connection = connection_;
    bool parsed = sseReader_.append(bytes);
    while (parsed && connection == connection_ && !machine_.finished() && sseReader_.hasEvent()) {
        std::optional<EngineEvent> event =
            parseEngineEvent(task_.request_.api_, sseReader_.takeEvent());
        parsed = event && event->kind_ != EngineEventKind::Failed;
        if (parsed) {
            onEvent(std::move(*event));
        }
    }
    if (!machine_.finished() && !response_->flush(caller_)) {
        onCallerLost();
    }
    if (!parsed && connection == connection_) {
        onLost(true);
    }
}

void ModelCall::onEvent(EngineEvent event)
{
    if (event.usage_) {
        onUsage(*event.usage_);
    }
    if (event.kind_ == EngineEventKind::Done) {
        feed(ResponseEnded {connection_});
        return;
    }
    if (event.kind_ == EngineEventKind::Other) {
        response_->onOtherEvent(event);
        finishReason_ = event.finishReason_.empty() ? finishReason_ : event.finishReason_;
        return;
    }
    const ConnectionNumber connection = connection_;
    currentEvent_ = &event;
    feed(TokensReceived {connection, event.offset_, event.count_});
    currentEvent_ = nullptr;
    if (connection == connection_ && !event.finishReason_.empty()) {
        finishReason_ = event.finishReason_;
    }
}

void ModelCall::onEnd()
{
    if (connectionUse_ != ConnectionUse::Prefill) {
        onLost(true); // The response ended without [DONE]: the engine stopped midway.
        return;
    }
    const json prefillResponse = json::parse(prefillBody_, nullptr, false);
    kvTransfer_ =
        prefillResponse.is_object() ? prefillResponse.value("kv_transfer_params", json()) : json();
    const bool ready = kvTransfer_.is_object();
    push(PrefillFinished {connection_, ready ? PrefillStatus::Ready : PrefillStatus::Failed});
}

void ModelCall::onUsage(const TokenUsage &usage)
{
    const bool first = !usage_;
    usage_ = usage;
    if (first && usage.cachedTokens_ > 0) {
        context_.demand_.onCacheHit(task_.routedModel_, usage.cachedTokens_);
    }
    if (usage.cachedTokens_ >= 0) {
        context_.router_.onFirstToken(machine_.streamLocation().attempt_, usage.cachedTokens_);
    }
}

} // namespace almondridge::relay
