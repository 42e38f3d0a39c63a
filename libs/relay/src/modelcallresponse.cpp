#include "digest.h"
#include "modelcall.h"

#include <algorithm>
#include <utility>

namespace almondridge::relay {
void ModelCall::deliver(const Deliver &action)
{
    deliveredText_ += currentEvent_->text_;
    response_->onTokens(*currentEvent_, action.offset_);
    recordTokenTiming(action.count_);
}

void ModelCall::recordTokenTiming(std::int64_t count)
{
    const TimePoint now = BootClock::now();
    context_.metrics_.count("tokens_total", {}, static_cast<std::uint64_t>(count));
    const AttemptId attempt = machine_.streamLocation().attempt_;
    if (firstTokenAttempt_ != attempt) {
        firstTokenAttempt_ = attempt;
        context_.router_.onFirstToken(attempt, -1);
    }
    if (lastToken_ == TimePoint()) {
        context_.metrics_.observeSeconds("first_token_seconds", toSeconds(now - info_.started_));
    } else {
        context_.metrics_.observeSeconds("inter_token_seconds", toSeconds(now - lastToken_));
    }
    lastToken_ = now;
}

void ModelCall::keepAlive()
{
    // Without data the caller would assume a lost connection and reconnect, which would cancel the
    // stream that is being recovered. A token counts as a keep-alive.
    const Duration interval = millis(context_.settings_.interTokenTimeoutMillis_ * 2);
    const TimePoint now = BootClock::now();
    if (now < std::max(keepAliveAt_, lastToken_ + interval)) {
        return;
    }
    keepAliveAt_ = now + interval;
    if (!response_->keepAlive(caller_)) {
        onCallerLost();
    }
}

std::string ModelCall::currentResumeToken() const
{
    ResumeToken token;
    token.location_ = machine_.streamLocation();
    token.api_ = format_.api_;
    token.model_ = task_.request_.model_;
    token.account_ = info_.account_.id_;
    token.requestHash_ = sha256Hex(task_.request_.promptText_);
    token.responseId_ = format_.id_;
    token.createdSeconds_ = format_.createdSeconds_;
    token.maxTokens_ = task_.request_.maxTokens_;
    token.includeUsage_ = format_.includeUsage_;
    return serializeResumeToken(token, context_.settings_.peerKey_);
}

ResponseEnd ModelCall::responseEnd() const
{
    ResponseEnd end;
    end.text_ = deliveredText_;
    end.finishReason_ = finishReason_.empty() ? "length" : finishReason_;
    // An engine that continues a stream counts the delivered tokens as part of its prompt.
    const std::int64_t base = machine_.streamLocation().base_;
    end.usage_ = usage_.value_or(TokenUsage {promptTokens_ + base, 0, -1});
    end.usage_.promptTokens_ -= base;
    end.usage_.completionTokens_ = machine_.delivered();
    return end;
}

void ModelCall::forwardResponse()
{
    // headKindOf() already read an engine's final error response; finish() sends it.
}

void ModelCall::finish()
{
    if (engineRefusal_) {
        respondEngineRefusal();
        return;
    }
    const ResponseEnd end = responseEnd();
    const bool written = response_->finish(caller_, end);
    keyedCall_.end(200, {"application/json", completeBody(format_, end), true});
    context_.demand_.onCompleted(task_.routedModel_, expectedOutput_, machine_.delivered(),
                                 task_.request_.maxTokens_);
    recordOutcome(written ? CallOutcome::Completed : CallOutcome::Abandoned,
                  "why=" + end.finishReason_ + " tokens=" + std::to_string(machine_.delivered()));
}

void ModelCall::respondEngineRefusal()
{
    const EngineError error = parseEngineError(engineRefusal_->body_);
    Refusal refusal;
    refusal.status_ = engineRefusal_->status_;
    refusal.code_ = error.code_.empty() ? "engine_refused" : error.code_;
    refusal.message_ = "the engine refused the request: " + error.message_;
    refusal.remedy_ = "change the request";
    refusal.outcome_ = Outcome::Unknown;
    respondRefusal(refusal);
    keyedCall_.end(StoredUnknown, {});
    recordOutcome(CallOutcome::Unknown, "why=engine-status-" + std::to_string(refusal.status_));
}

void ModelCall::refuse(const Refusal &refusal)
{
    if (!response_->refuse(caller_, refusal)) {
        respondRefusal(refusal);
    }
    const bool notRun = refusal.outcome_ == Outcome::NotRun;
    keyedCall_.end(notRun ? StoredNotRun : StoredUnknown, {});
    recordOutcome(notRun ? CallOutcome::NotRun : CallOutcome::Unknown,
                  "why=" + refusal.code_ + " tokens=" + std::to_string(machine_.delivered()));
}

void ModelCall::abandon()
{
    keyedCall_.end(machine_.mayHaveRun() ? StoredUnknown : StoredNotRun, {});
    recordOutcome(CallOutcome::Abandoned,
                  "why=caller-gone tokens=" + std::to_string(machine_.delivered()));
}

} // namespace almondridge::relay
