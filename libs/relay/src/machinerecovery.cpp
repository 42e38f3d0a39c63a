#include "almondridge/relay/machine.h"

#include <algorithm>
#include <string>
#include <utility>

namespace almondridge::relay {

const std::array<RequestMachine::RecoveryRule, 4> RequestMachine::RecoveryRules {
    &RequestMachine::recoverOnce,
    &RequestMachine::recoverRepeatable,
    &RequestMachine::recoverStream,
    &RequestMachine::recoverResumeOnly,
};

// Failures --------------------------------------------------------------------------------------

void RequestMachine::handle(const ConnectionLost &event, TimePoint now, Actions &out)
{
    if (isStale(event.connection_)) {
        return;
    }
    if (phase_ == Phase::CheckingEngine) {
        abandonEngine(now, out);
        return;
    }
    if (!event.anythingSent_ && !probing_ && !accepted_) {
        attemptMayRun_ = false;
    }
    recover(now, out);
}

void RequestMachine::recover(TimePoint now, Actions &out)
{
    (this->*RecoveryRules[static_cast<std::size_t>(spec_.recovery_)])(now, out);
}

void RequestMachine::recoverOnce(TimePoint now, Actions &out)
{
    // The endpoint may have executed the call and only the response was lost, so resending could
    // execute it twice. It is resent only when no byte of it was sent.
    if (attemptMayRun_) {
        refuse(responseForwarded_ ? RefusalCause::ResponseInterrupted
                                  : RefusalCause::ConnectionLost,
               now + limits_.defaultRetryDelay_, out);
        return;
    }
    tryAnotherEndpoint(now, out);
}

void RequestMachine::recoverRepeatable(TimePoint now, Actions &out)
{
    if (responseForwarded_) {
        refuse(RefusalCause::ResponseInterrupted, now + limits_.defaultRetryDelay_, out);
        return;
    }
    tryAnotherEndpoint(now, out);
}

void RequestMachine::recoverStream(TimePoint now, Actions &out)
{
    if (!attemptMayRun_) {
        tryAnotherEndpoint(now, out);
        return;
    }
    recoverResumeOnly(now, out);
}

void RequestMachine::recoverResumeOnly(TimePoint now, Actions &out)
{
    // A single lost connection may be a network fault. The engine counts as failed when a resume
    // on a new connection fails before the engine accepts it.
    const bool failedAgain = probing_ && !accepted_;
    if (failedAgain || probeLimitReached()) {
        abandonEngine(now, out);
    } else {
        resume(now, out);
    }
}

bool RequestMachine::probeLimitReached() noexcept
{
    probesWithoutToken_ += probing_ ? 1 : 0;
    return probesWithoutToken_ >= limits_.maxProbesWithoutToken_;
}

void RequestMachine::checkEngine(TimePoint now, Actions &out)
{
    phase_ = Phase::CheckingEngine;
    inactivityDeadline_ = now + limits_.inactivityTimeout_;
    out.emplace_back(CheckEngine {++connection_, endpoint_});
}

void RequestMachine::handle(const EngineChecked &event, TimePoint now, Actions &out)
{
    if (isStale(event.connection_) || phase_ != Phase::CheckingEngine) {
        return;
    }
    if (!event.alive_ || probeLimitReached()) {
        abandonEngine(now, out);
    } else {
        resume(now, out);
    }
}

void RequestMachine::abandonEngine(TimePoint now, Actions &out)
{
    if (spec_.recovery_ == Recovery::ResumeOnly) {
        refuse(RefusalCause::ConnectionLost, now + limits_.defaultRetryDelay_, out);
        return;
    }
    cancelAttempt(out);
    tryAnotherEndpoint(now, out);
}

void RequestMachine::tryAnotherEndpoint(TimePoint now, Actions &out)
{
    const bool mayHaveStarted = attemptMayRun_;
    excluded_.push_back(endpoint_);
    endAttempt(false, out);
    earlierAttemptMayRun_ |= attemptMayRun_;
    attemptMayRun_ = false;
    if (isStream() && nextOffset_ >= spec_.maxTokens_) {
        finish(out); // Only the end of the stream was lost; all tokens were delivered.
        return;
    }
    if (attempts_ >= limits_.maxAttempts_) {
        refuse(RefusalCause::AttemptLimitReached,
               std::max(now + limits_.defaultRetryDelay_, notRunUntil_), out);
        return;
    }
    // The retry budget keeps retries from amplifying an overload. A first retry after an attempt
    // that no endpoint started adds no load, and refusing a partly delivered response would waste
    // more work than continuing it, so neither counts against the budget.
    const bool firstFreeRetry = !mayHaveStarted && freeRetries_++ == 0;
    choose(!hasDeliveredTokens() && !firstFreeRetry, out);
}

void RequestMachine::handle(const CallerGone &event, TimePoint /*now*/, Actions &out)
{
    // A non-idempotent call continues without its caller, which can look up the outcome by its
    // idempotency key. Aborting it would leave the outcome unknown.
    if (spec_.recovery_ == Recovery::Once && attemptMayRun_) {
        return;
    }
    if (!event.mayReconnect_) {
        cancelAttempt(out);
    }
    endAttempt(true, out);
    phase_ = Phase::Finished;
    out.emplace_back(Abandon {});
}

void RequestMachine::handle(const TimePassed & /*event*/, TimePoint now, Actions &out)
{
    if (now >= deadline_) {
        cancelAttempt(out);
        refuse(RefusalCause::DeadlinePassed, now + limits_.defaultRetryDelay_, out);
    } else if (now >= nextSearchAt_) {
        choose(false, out);
    } else if (now >= inactivityDeadline_ && phase_ == Phase::Prefilling) {
        sendWithoutPrefill(now, out);
    } else if (now >= inactivityDeadline_ && phase_ == Phase::CheckingEngine) {
        abandonEngine(now, out);
    } else if (now >= inactivityDeadline_) {
        checkEngine(now, out);
    }
}

// Ends ------------------------------------------------------------------------------------------

void RequestMachine::cancelAttempt(Actions &out)
{
    if (!isStream() || !attemptMayRun_) {
        return;
    }
    if (phase_ == Phase::Prefilling) {
        out.emplace_back(Cancel {prefillAttempt(), *prefill_});
    } else {
        out.emplace_back(Cancel {attempt_, endpoint_});
    }
}

void RequestMachine::endAttempt(bool succeeded, Actions &out)
{
    if (std::exchange(attemptOpen_, false)) {
        out.emplace_back(AttemptEnded {attempt_, succeeded});
    }
}

void RequestMachine::finish(Actions &out)
{
    endAttempt(true, out);
    phase_ = Phase::Finished;
    out.emplace_back(Finish {});
}

void RequestMachine::refuse(RefusalCause cause, TimePoint retryAt, Actions &out)
{
    endAttempt(cause == RefusalCause::DeadlinePassed, out);
    phase_ = Phase::Finished;
    out.emplace_back(Refuse {mayHaveRun() ? Outcome::Unknown : Outcome::NotRun, cause, retryAt});
}

bool RequestMachine::isStale(ConnectionNumber connection)
{
    // An old connection can still deliver data after its stream moved to a new one: its tokens
    // would be delivered twice, and its end would truncate the response.
    const bool stale = connection != connection_;
    staleEvents_ += stale ? 1 : 0;
    return stale;
}

bool RequestMachine::isStream() const noexcept
{
    return spec_.recovery_ == Recovery::Stream || spec_.recovery_ == Recovery::ResumeOnly;
}

bool RequestMachine::hasDeliveredTokens() const noexcept
{
    return nextOffset_ > 0;
}

AttemptId RequestMachine::prefillAttempt() const
{
    return AttemptId(attempt_.value() + "-prefill");
}

TimePoint RequestMachine::firstTokenDeadline(TimePoint now) const noexcept
{
    // Twice the estimate, because an unnecessary probe costs the engine some work.
    const Duration wait = std::max(firstToken_ - now, Duration::zero());
    return now + wait * 2 + limits_.inactivityTimeout_;
}

} // namespace almondridge::relay
