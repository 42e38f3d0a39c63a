#include "modelcall.h"

#include <algorithm>
#include <utility>

namespace almondridge::relay {
namespace {

using nlohmann::json;

constexpr std::size_t PrefixBlockTokens = 16;
constexpr std::size_t MaxPrefillAnswerBytes = 1 << 20;
constexpr std::int64_t MillisPerSecond = 1'000;

RequestSpec specFor(const CallInfo &info, const ModelTask &task, const fleet::Settings &settings)
{
    RequestSpec spec;
    spec.request_ = info.id_;
    spec.recovery_ = task.recovery_;
    spec.deadline_ = info.deadline_;
    if (!info.deadlineNamed_) {
        spec.moveDeadlineBy_ = millis(settings.requestDeadlineMillis_);
    }
    spec.maxTokens_ = task.request_.maxTokens_;
    spec.delivered_ = task.resumeOffset_;
    if (task.atEngine_) {
        spec.resumeAt_ = task.resume_->place_;
    }
    return spec;
}

AnswerForm formFor(const CallInfo &info, const ModelTask &task)
{
    const ModelRequest &request = task.request_;
    AnswerForm form;
    form.api_ = request.api_;
    form.id_ = (request.api_ == Api::Chat ? "chatcmpl-" : "cmpl-") + info.id_.value();
    form.model_ = request.model_.value();
    form.createdSeconds_ = wallMillis() / MillisPerSecond;
    form.includeUsage_ = request.includeUsage_;
    if (task.resume_) {
        form.id_ = task.resume_->answerId_;
        form.createdSeconds_ = task.resume_->createdSeconds_;
    }
    return form;
}

/** Statuses that another engine would give too: the request itself is at fault. */
bool isFinal(int status)
{
    constexpr std::array<int, 4> PassingStatuses {404, 408, 425, 429};
    const bool passing =
        std::find(PassingStatuses.begin(), PassingStatuses.end(), status) != PassingStatuses.end();
    return status >= 400 && status < 500 && !passing;
}

} // namespace

ModelCall::ModelCall(RelayParts &parts, net::ServerExchange &caller, const CallInfo &info,
                     ModelTask task)
    : CallDriver(parts, caller, info, specFor(info, task, parts.settings_))
    , task_(std::move(task))
    , form_(formFor(info_, task_))
    , keyed_(parts.claims_, task_.key_, info_.id_)
    , text_(task_.request_.resumeText_)
{
    form_.headers_ = answerHeaders();
    answer_ = task_.request_.stream_ ? makeStreamAnswer(form_) : makeWholeAnswer(form_);
    promptTokens_ = routing::estimateTokens(task_.request_.promptText_);
    prefixHashes_ = routing::prefixHashes(task_.request_.promptText_, PrefixBlockTokens);
    expectedOutput_ = parts_.mix_.expectedOutput(task_.routed_, task_.request_.maxTokens_);
}

ModelCall::~ModelCall()
{
    if (ticket_ != 0) {
        const std::int64_t prompt = machine_.attempts() > 0 ? promptTokens_ : 0;
        parts_.admission_.finished(ticket_, prompt + machine_.delivered());
    }
}

void ModelCall::serve()
{
    if (keyed_.looksUpOnly()) {
        passKey();
        return;
    }
    if (task_.atEngine_) {
        record("request.accepted",
               "rule=resume-token endpoint=" + task_.resume_->place_.endpoint_.value());
        answer_->resumeToken(writeResumeToken(*task_.resume_, parts_.settings_.peerKey_));
        run();
        return;
    }
    parts_.mix_.asked(task_.routed_, promptTokens_, expectedOutput_);
    if (!admit()) {
        return;
    }
    if (passKey()) {
        parts_.admission_.firstAttempt();
        admitted();
        run();
    }
}

// Before the first attempt ----------------------------------------------------------------------

admission::Offer ModelCall::offer() const
{
    const std::int64_t decode = expectedOutput_ * info_.view_->fleet().policy_.interTokenMillis_;
    admission::Offer offer;
    offer.account_ = info_.account_.id_;
    offer.model_ = task_.routed_;
    offer.tokens_ = promptTokens_ + expectedOutput_;
    offer.priority_ = info_.account_.priority_;
    offer.deadline_ = info_.deadline_;
    offer.firstTokenDeadline_ = std::max(info_.deadline_ - millis(decode), info_.started_);
    return offer;
}

bool ModelCall::admit()
{
    parts_.feedCapacity(task_.routed_);
    caller_.callerSocket(); // Found here, not under admission's lock.
    const auto decision = parts_.admission_.admit(offer(), [this] { return caller_.callerGone(); });
    if (!decision) {
        outcome(CallOutcome::Abandoned, "why=caller-gone");
        return false;
    }
    if (decision->answer_ != admission::Answer::Admit) {
        respondRefusal(refusalFor(*decision));
        outcome(CallOutcome::NotRun, decision->details_);
        return false;
    }
    ticket_ = decision->ticket_;
    record("request.accepted", "account=" + info_.account_.id_.value()
                                   + " model=" + task_.routed_.value() + " " + decision->details_);
    return true;
}

bool ModelCall::passKey()
{
    const std::optional<RepeatAnswer> repeat = keyed_.begin(info_.deadline_);
    if (repeat) {
        answerRepeat(*repeat);
    }
    return !repeat;
}

void ModelCall::answerRepeat(const RepeatAnswer &repeat)
{
    outcome(CallOutcome::Repeat,
            "verdict=" + std::string(nameOf(KeyVerdictNames, repeat.verdict_)));
    if (repeat.refusal_) {
        respondRefusal(*repeat.refusal_);
        return;
    }
    AnswerForm form = form_;
    form.headers_.push_back({"Idempotent-Replayed", "true"});
    if (!repeat.stored_.whole_) {
        form.headers_.push_back({"X-Stored-Body", "omitted"});
    }
    respondStored(caller_, form, task_.request_.stream_, repeat);
}

// Attempts --------------------------------------------------------------------------------------

routing::RouteQuery ModelCall::query()
{
    const std::int64_t delivered = machine_.delivered();
    routing::RouteQuery query;
    query.model_ = task_.routed_;
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
    if (info_.deadlineNamed_) {
        const std::int64_t left = millisUntil(info_.deadline_, BootClock::now());
        request.headers_.push_back({"X-Request-Deadline-Ms", std::to_string(wallMillis() + left)});
    }
    request.body_ = std::move(body);
    return request;
}

net::Request ModelCall::requestFor(const SendRequest &action)
{
    events_ = SseReader();
    EngineSending sending;
    sending.deliveredText_ = text_;
    sending.deliveredTokens_ = action.base_;
    if (action.afterPrefill_) {
        sending.kvTransfer_ = kvTransfer_;
    }
    answer_->resumeToken(resumeToken());
    return engineRequest(action.attempt_, engineBody(task_.request_, sending));
}

net::Request ModelCall::resumeRequestFor(const ResumeStream &action)
{
    events_ = SseReader();
    net::Request request;
    request.path_ =
        "/v1/streams/" + action.attempt_.value() + "?offset=" + std::to_string(action.offset_);
    return request;
}

net::Request ModelCall::prefillRequestFor(const Prefill &action)
{
    prefillAnswer_.clear();
    return engineRequest(action.attempt_, prefillBody(task_.request_, text_));
}

void ModelCall::onLost(bool anythingSent)
{
    if (use_ == LinkUse::Prefill) {
        push(PrefillFinished {connection_,
                              anythingSent ? PrefillStatus::Failed : PrefillStatus::NotSent});
    } else if (!finishReason_.empty()) {
        push(AnswerEnded {connection_}); // Only the mark of the end was lost.
    } else {
        push(ConnectionLost {connection_, anythingSent});
    }
}

HeadKind ModelCall::kindOf(const net::ResponseHead &head)
{
    if (head.status_ == 200) {
        return HeadKind::Accepted;
    }
    if (use_ == LinkUse::Resume && head.status_ == 404) {
        return HeadKind::Forgotten;
    }
    net::Response answer {head.status_, head.headers_, readShortBody()};
    if (use_ != LinkUse::Resume && head.status_ == 503
        && readEngineError(answer.body_).code_ == "not_run") {
        return HeadKind::NotRun;
    }
    if (use_ != LinkUse::Resume && isFinal(head.status_)) {
        finalAnswer_ = std::move(answer);
        return HeadKind::Final;
    }
    return HeadKind::Failed;
}

void ModelCall::onHead(const net::ResponseHead &head)
{
    if (use_ == LinkUse::Prefill) {
        onPrefillHead(head);
        return;
    }
    push(HeadReceived {connection_, kindOf(head), comeBackOf(head)});
}

void ModelCall::onPrefillHead(const net::ResponseHead &head)
{
    const HeadKind kind = kindOf(head);
    if (kind == HeadKind::NotRun) {
        push(PrefillFinished {connection_, PrefillStatus::NotSent});
    } else if (kind != HeadKind::Accepted) {
        push(PrefillFinished {connection_, PrefillStatus::Failed});
    }
}

void ModelCall::onBytes(std::string_view bytes)
{
    if (use_ == LinkUse::Prefill) {
        prefillAnswer_ += bytes;
        if (prefillAnswer_.size() > MaxPrefillAnswerBytes) {
            push(PrefillFinished {connection_, PrefillStatus::Failed});
        }
        return;
    }
    const ConnectionNumber connection = connection_;
    bool understood = events_.take(bytes);
    while (understood && connection == connection_ && !machine_.finished() && events_.hasEvent()) {
        std::optional<EngineEvent> event =
            parseEngineEvent(task_.request_.api_, events_.takeEvent());
        understood = event && event->kind_ != EngineEventKind::Failed;
        if (understood) {
            onEvent(std::move(*event));
        }
    }
    if (!machine_.finished() && !answer_->flush(caller_)) {
        callerLost();
    }
    if (!understood && connection == connection_) {
        onLost(true);
    }
}

void ModelCall::onEvent(EngineEvent event)
{
    if (event.usage_) {
        onUsage(*event.usage_);
    }
    if (event.kind_ == EngineEventKind::Done) {
        feed(AnswerEnded {connection_});
        return;
    }
    if (event.kind_ == EngineEventKind::Other) {
        answer_->note(event);
        finishReason_ = event.finishReason_.empty() ? finishReason_ : event.finishReason_;
        return;
    }
    const ConnectionNumber connection = connection_;
    current_ = &event;
    feed(TokensReceived {connection, event.offset_, event.count_});
    current_ = nullptr;
    if (connection == connection_ && !event.finishReason_.empty()) {
        finishReason_ = event.finishReason_;
    }
}

void ModelCall::onEnd()
{
    if (use_ != LinkUse::Prefill) {
        onLost(true); // The end of the answer without its [DONE]: the engine stopped in between.
        return;
    }
    const json answer = json::parse(prefillAnswer_, nullptr, false);
    kvTransfer_ = answer.is_object() ? answer.value("kv_transfer_params", json()) : json();
    const bool ready = kvTransfer_.is_object();
    push(PrefillFinished {connection_, ready ? PrefillStatus::Ready : PrefillStatus::Failed});
}

void ModelCall::onUsage(const TokenUsage &usage)
{
    const bool first = !usage_;
    usage_ = usage;
    if (first && usage.cachedTokens_ > 0) {
        parts_.mix_.cached(task_.routed_, usage.cachedTokens_);
    }
    if (usage.cachedTokens_ >= 0) {
        parts_.router_.firstToken(machine_.place().attempt_, usage.cachedTokens_);
    }
}

} // namespace almondridge::relay
