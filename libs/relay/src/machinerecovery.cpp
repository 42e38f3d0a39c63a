#include "almondridge/relay/machine.h"

#include <algorithm>
#include <string>
#include <utility>

namespace almondridge::relay {

const std::array<RequestMachine::LossRule, 4> RequestMachine::LossRules {
    &RequestMachine::lostOnce,
    &RequestMachine::lostRepeatable,
    &RequestMachine::lostStream,
    &RequestMachine::lostResumeOnly,
};

// Failures --------------------------------------------------------------------------------------

void RequestMachine::handle(const ConnectionLost &event, TimePoint now, Actions &out)
{
    if (isStale(event.connection_)) {
        return;
    }
    if (phase_ == Phase::CheckingEngine) {
        leaveEngine(now, out);
        return;
    }
    if (!event.anythingSent_ && !probing_ && !heard_) {
        attemptMayRun_ = false;
    }
    lose(now, out);
}

void RequestMachine::lose(TimePoint now, Actions &out)
{
    (this->*LossRules[static_cast<std::size_t>(spec_.recovery_)])(now, out);
}

void RequestMachine::lostOnce(TimePoint now, Actions &out)
{
    // A second sending could run the call twice: the first may have been taken and only its
    // answer lost. So it is sent again only when not a byte of it left this process.
    if (attemptMayRun_) {
        refuse(passedOn_ ? RefusalCause::AnswerBroken : RefusalCause::ConnectionLost,
               now + limits_.retryAt_, out);
        return;
    }
    moveToAnother(now, out);
}

void RequestMachine::lostRepeatable(TimePoint now, Actions &out)
{
    if (passedOn_) {
        refuse(RefusalCause::AnswerBroken, now + limits_.retryAt_, out);
        return;
    }
    moveToAnother(now, out);
}

void RequestMachine::lostStream(TimePoint now, Actions &out)
{
    if (!attemptMayRun_) {
        moveToAnother(now, out);
        return;
    }
    lostResumeOnly(now, out);
}

void RequestMachine::lostResumeOnly(TimePoint now, Actions &out)
{
    // One lost connection proves nothing about the engine: something between the ends may have
    // cut it. That a new one fails too before the engine accepted does.
    const bool failedAgain = probing_ && !heard_;
    if (failedAgain || probesAreSpent()) {
        leaveEngine(now, out);
    } else {
        resume(now, out);
    }
}

bool RequestMachine::probesAreSpent() noexcept
{
    fruitlessProbes_ += probing_ ? 1 : 0;
    return fruitlessProbes_ >= limits_.maxFruitlessProbes_;
}

void RequestMachine::checkEngine(TimePoint now, Actions &out)
{
    phase_ = Phase::CheckingEngine;
    silenceDeadline_ = now + limits_.silence_;
    out.emplace_back(CheckEngine {++connection_, endpoint_});
}

void RequestMachine::handle(const EngineChecked &event, TimePoint now, Actions &out)
{
    if (isStale(event.connection_) || phase_ != Phase::CheckingEngine) {
        return;
    }
    if (!event.alive_ || probesAreSpent()) {
        leaveEngine(now, out);
    } else {
        resume(now, out);
    }
}

void RequestMachine::leaveEngine(TimePoint now, Actions &out)
{
    if (spec_.recovery_ == Recovery::ResumeOnly) {
        refuse(RefusalCause::ConnectionLost, now + limits_.retryAt_, out);
        return;
    }
    cancelAttempt(out);
    moveToAnother(now, out);
}

void RequestMachine::moveToAnother(TimePoint now, Actions &out)
{
    const bool costly = attemptMayRun_;
    excluded_.push_back(endpoint_);
    closeAttempt(false, out);
    oldAttemptMayRun_ |= attemptMayRun_;
    attemptMayRun_ = false;
    if (streams() && next_ >= spec_.maxTokens_) {
        finish(out); // Only the end of the stream was lost, not a token.
        return;
    }
    if (attempts_ >= limits_.maxAttempts_) {
        refuse(RefusalCause::AttemptsSpent, std::max(now + limits_.retryAt_, notRunUntil_), out);
        return;
    }
    // The budget keeps retries from feeding an overload. A first move that cost no endpoint any
    // work cannot do that, and to give up a begun answer would waste more than to go on.
    const bool firstFreeMove = !costly && freeMoves_++ == 0;
    choose(!begun() && !firstFreeMove, out);
}

void RequestMachine::handle(const CallerGone &event, TimePoint /*now*/, Actions &out)
{
    // A call that must not be repeated goes on without its caller, who will ask for the outcome
    // by its key; to cut it would leave the outcome unknown.
    if (spec_.recovery_ == Recovery::Once && attemptMayRun_) {
        return;
    }
    if (!event.mayComeBack_) {
        cancelAttempt(out);
    }
    closeAttempt(true, out);
    phase_ = Phase::Over;
    out.emplace_back(Abandon {});
}

void RequestMachine::handle(const TimePassed & /*event*/, TimePoint now, Actions &out)
{
    if (now >= deadline_) {
        cancelAttempt(out);
        refuse(RefusalCause::DeadlinePassed, now + limits_.retryAt_, out);
    } else if (now >= chooseAt_) {
        choose(false, out);
    } else if (now >= silenceDeadline_ && phase_ == Phase::Prefilling) {
        sendWithoutPrefill(now, out);
    } else if (now >= silenceDeadline_ && phase_ == Phase::CheckingEngine) {
        leaveEngine(now, out);
    } else if (now >= silenceDeadline_) {
        checkEngine(now, out);
    }
}

// Ends ------------------------------------------------------------------------------------------

void RequestMachine::cancelAttempt(Actions &out)
{
    if (!streams() || !attemptMayRun_) {
        return;
    }
    if (phase_ == Phase::Prefilling) {
        out.emplace_back(Cancel {prefillAttempt(), *prefill_});
    } else {
        out.emplace_back(Cancel {attempt_, endpoint_});
    }
}

void RequestMachine::closeAttempt(bool succeeded, Actions &out)
{
    if (std::exchange(attemptOpen_, false)) {
        out.emplace_back(AttemptOver {attempt_, succeeded});
    }
}

void RequestMachine::finish(Actions &out)
{
    closeAttempt(true, out);
    phase_ = Phase::Over;
    out.emplace_back(Finish {});
}

void RequestMachine::refuse(RefusalCause cause, TimePoint comeBack, Actions &out)
{
    closeAttempt(cause == RefusalCause::DeadlinePassed, out);
    phase_ = Phase::Over;
    out.emplace_back(Refuse {mayHaveRun() ? Outcome::Unknown : Outcome::NotRun, cause, comeBack});
}

bool RequestMachine::isStale(ConnectionNumber connection)
{
    // An old connection can still speak after its stream went on elsewhere: its tokens would be
    // delivered twice, its end would cut the answer. The number tells it from the current one.
    const bool stale = connection != connection_;
    staleEvents_ += stale ? 1 : 0;
    return stale;
}

bool RequestMachine::streams() const noexcept
{
    return spec_.recovery_ == Recovery::Stream || spec_.recovery_ == Recovery::ResumeOnly;
}

bool RequestMachine::begun() const noexcept
{
    return next_ > 0;
}

AttemptId RequestMachine::prefillAttempt() const
{
    return AttemptId(attempt_.value() + "-prefill");
}

TimePoint RequestMachine::firstTokenDeadline(TimePoint now) const noexcept
{
    // Twice the estimate: a probe that is not needed costs the engine little, but not nothing.
    const Duration wait = std::max(firstToken_ - now, Duration::zero());
    return now + wait * 2 + limits_.silence_;
}

} // namespace almondridge::relay
