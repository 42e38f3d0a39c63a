#include "digest.h"
#include "modelcall.h"

#include <algorithm>
#include <utility>

namespace almondridge::relay {
void ModelCall::deliver(const Deliver &action)
{
    text_ += current_->text_;
    answer_->token(*current_, action.offset_);
    onTokenTime(action.count_);
}

void ModelCall::onTokenTime(std::int64_t count)
{
    const TimePoint now = BootClock::now();
    parts_.metrics_.count("tokens_total", {}, static_cast<std::uint64_t>(count));
    const AttemptId attempt = machine_.place().attempt_;
    if (firstTokenOf_ != attempt) {
        firstTokenOf_ = attempt;
        parts_.router_.firstToken(attempt, -1);
    }
    if (lastToken_ == TimePoint()) {
        parts_.metrics_.observeSeconds("first_token_seconds", toSeconds(now - info_.started_));
    } else {
        parts_.metrics_.observeSeconds("inter_token_seconds", toSeconds(now - lastToken_));
    }
    lastToken_ = now;
}

void ModelCall::keepAlive()
{
    // A caller that hears nothing takes its connection for lost and comes again, which would
    // cancel the stream that is being saved here. Said seldom; a token counts as said.
    const Duration interval = millis(parts_.settings_.interTokenTimeoutMillis_ * 2);
    const TimePoint now = BootClock::now();
    if (now < std::max(keepAliveAt_, lastToken_ + interval)) {
        return;
    }
    keepAliveAt_ = now + interval;
    if (!answer_->keepAlive(caller_)) {
        callerLost();
    }
}

std::string ModelCall::resumeToken() const
{
    ResumeToken token;
    token.place_ = machine_.place();
    token.api_ = form_.api_;
    token.model_ = task_.request_.model_;
    token.account_ = info_.account_.id_;
    token.requestHash_ = sha256Hex(task_.request_.promptText_);
    token.answerId_ = form_.id_;
    token.createdSeconds_ = form_.createdSeconds_;
    token.maxTokens_ = task_.request_.maxTokens_;
    token.includeUsage_ = form_.includeUsage_;
    return writeResumeToken(token, parts_.settings_.peerKey_);
}

AnswerEnd ModelCall::answerEnd() const
{
    AnswerEnd end;
    end.text_ = text_;
    end.finishReason_ = finishReason_.empty() ? "length" : finishReason_;
    // A continuing engine counts the delivered tokens as its prompt.
    const std::int64_t base = machine_.place().base_;
    end.usage_ = usage_.value_or(TokenUsage {promptTokens_ + base, 0, -1});
    end.usage_.promptTokens_ -= base;
    end.usage_.completionTokens_ = machine_.delivered();
    return end;
}

void ModelCall::passOn()
{
    // A final answer of an engine was read whole with its head; finish() sends it.
}

void ModelCall::finish()
{
    if (finalAnswer_) {
        respondEngineRefusal();
        return;
    }
    const AnswerEnd end = answerEnd();
    const bool taken = answer_->finish(caller_, end);
    keyed_.end(200, {"application/json", wholeBody(form_, end), true});
    parts_.mix_.answered(task_.routed_, expectedOutput_, machine_.delivered(),
                         task_.request_.maxTokens_);
    outcome(taken ? CallOutcome::Whole : CallOutcome::Abandoned,
            "why=" + end.finishReason_ + " tokens=" + std::to_string(machine_.delivered()));
}

void ModelCall::respondEngineRefusal()
{
    const EngineError error = readEngineError(finalAnswer_->body_);
    Refusal refusal;
    refusal.status_ = finalAnswer_->status_;
    refusal.code_ = error.code_.empty() ? "engine_refused" : error.code_;
    refusal.message_ = "the engine refused the request: " + error.message_;
    refusal.remedy_ = "change the request";
    refusal.outcome_ = Outcome::Unknown;
    respondRefusal(refusal);
    keyed_.end(StoredUnknown, {});
    outcome(CallOutcome::Unknown, "why=engine-status-" + std::to_string(refusal.status_));
}

void ModelCall::refuse(const Refusal &refusal)
{
    if (!answer_->refuse(caller_, refusal)) {
        respondRefusal(refusal);
    }
    const bool notRun = refusal.outcome_ == Outcome::NotRun;
    keyed_.end(notRun ? StoredNotRun : StoredUnknown, {});
    outcome(notRun ? CallOutcome::NotRun : CallOutcome::Unknown,
            "why=" + refusal.code_ + " tokens=" + std::to_string(machine_.delivered()));
}

void ModelCall::abandon()
{
    keyed_.end(machine_.mayHaveRun() ? StoredUnknown : StoredNotRun, {});
    outcome(CallOutcome::Abandoned,
            "why=caller-gone tokens=" + std::to_string(machine_.delivered()));
}

} // namespace almondridge::relay
