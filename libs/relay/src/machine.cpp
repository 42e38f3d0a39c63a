#include "almondridge/relay/machine.h"

#include <algorithm>
#include <string>
#include <utility>

namespace almondridge::relay {

RequestMachine::RequestMachine(RequestSpec spec, MachineLimits limits)
    : spec_(std::move(spec))
    , limits_(limits)
    , deadline_(spec_.deadline_)
    , next_(spec_.delivered_)
{ }

Actions RequestMachine::start(TimePoint now)
{
    Actions out;
    if (spec_.resumeAt_) {
        attempt_ = spec_.resumeAt_->attempt_;
        endpoint_ = spec_.resumeAt_->endpoint_;
        base_ = spec_.resumeAt_->base_;
        attemptMayRun_ = true;
        resume(now, out);
    }
    return out;
}

Actions RequestMachine::on(const Event &event, TimePoint now)
{
    Actions out;
    if (finished()) {
        ++staleEvents_;
        return out;
    }
    std::visit([&](const auto &which) { handle(which, now, out); }, event);
    return out;
}

TimePoint RequestMachine::wakeAt() const noexcept
{
    return std::min({deadline_, silenceDeadline_, chooseAt_});
}

StreamPlace RequestMachine::place() const
{
    return {endpoint_, attempt_, base_};
}

RequestMachine::Builder &RequestMachine::Builder::spec(RequestSpec spec)
{
    spec_ = std::move(spec);
    return *this;
}

RequestMachine::Builder &RequestMachine::Builder::limits(MachineLimits limits)
{
    limits_ = limits;
    return *this;
}

RequestMachine RequestMachine::Builder::build()
{
    return RequestMachine(spec_, limits_);
}

// Admission and choice --------------------------------------------------------------------------

void RequestMachine::handle(const Admitted & /*event*/, TimePoint /*now*/, Actions &out)
{
    if (phase_ != Phase::Admitting) {
        ++staleEvents_;
        return;
    }
    choose(false, out);
}

void RequestMachine::handle(const AdmissionRefused &event, TimePoint /*now*/, Actions &out)
{
    if (phase_ != Phase::Admitting) {
        ++staleEvents_;
        return;
    }
    refuse(RefusalCause::Admission, event.retryAt_, out);
}

void RequestMachine::choose(bool budgeted, Actions &out)
{
    ++attempts_;
    attempt_ = AttemptId(spec_.request_.value() + "." + std::to_string(attempts_));
    phase_ = Phase::Choosing;
    ++connection_; // What the connection that was left still says is late from now on.
    chooseAt_ = TimePoint::max();
    silenceDeadline_ = TimePoint::max();
    out.emplace_back(ChooseEndpoint {attempt_, excluded_, budgeted});
}

void RequestMachine::handle(const EndpointChosen &event, TimePoint now, Actions &out)
{
    if (phase_ != Phase::Choosing) {
        ++staleEvents_;
        return;
    }
    endpoint_ = event.endpoint_;
    prefill_ = event.prefill_;
    firstToken_ = event.firstToken_;
    endpointDeadline_ = TimePoint::max();
    attemptOpen_ = true;
    if (!prefill_) {
        send(false, now, out);
        return;
    }
    phase_ = Phase::Prefilling;
    attemptMayRun_ = true;
    silenceDeadline_ = firstTokenDeadline(now);
    out.emplace_back(Prefill {++connection_, prefillAttempt(), *prefill_});
}

void RequestMachine::handle(const NoEndpoint &event, TimePoint now, Actions &out)
{
    if (phase_ != Phase::Choosing) {
        ++staleEvents_;
        return;
    }
    // A stream that an engine lost was accepted; a role change or a restart may give the
    // endpoint back within seconds. New requests are refused at once instead.
    const bool wait = spec_.recovery_ == Recovery::Stream && oldAttemptMayRun_;
    if (!wait || now >= endpointDeadline_) {
        refuse(RefusalCause::NoEndpoint, std::max(event.retryAt_, notRunUntil_), out);
        return;
    }
    if (endpointDeadline_ == TimePoint::max()) {
        endpointDeadline_ = now + limits_.endpointWait_;
    }
    --attempts_;
    excluded_.clear();
    phase_ = Phase::AwaitingEndpoint;
    chooseAt_ = now + limits_.endpointPause_;
}

void RequestMachine::handle(const NoRetryLeft &event, TimePoint /*now*/, Actions &out)
{
    if (phase_ != Phase::Choosing) {
        ++staleEvents_;
        return;
    }
    refuse(RefusalCause::NoRetryLeft, std::max(event.retryAt_, notRunUntil_), out);
}

// Attempts --------------------------------------------------------------------------------------

void RequestMachine::handle(const PrefillFinished &event, TimePoint now, Actions &out)
{
    if (isStale(event.connection_) || phase_ != Phase::Prefilling) {
        return;
    }
    attemptMayRun_ = false;
    oldAttemptMayRun_ |= event.status_ != PrefillStatus::NotSent;
    prefill_.reset();
    send(event.status_ == PrefillStatus::Ready, now, out);
}

void RequestMachine::sendWithoutPrefill(TimePoint now, Actions &out)
{
    out.emplace_back(Cancel {prefillAttempt(), *prefill_});
    attemptMayRun_ = false;
    oldAttemptMayRun_ = true;
    prefill_.reset();
    send(false, now, out);
}

void RequestMachine::send(bool afterPrefill, TimePoint now, Actions &out)
{
    base_ = next_;
    attemptMayRun_ = true; // Until the driver says that not a byte left.
    probing_ = false;
    heard_ = false;
    fruitlessProbes_ = 0;
    phase_ = Phase::AwaitingHead;
    silenceDeadline_ = streams() ? firstTokenDeadline(now) : TimePoint::max();
    out.emplace_back(SendRequest {++connection_, attempt_, endpoint_, base_, afterPrefill});
}

void RequestMachine::resume(TimePoint now, Actions &out)
{
    ++resumes_;
    probing_ = true;
    heard_ = false;
    phase_ = Phase::AwaitingHead;
    // An engine that is alive is slow, not lost: each probe that brings no token waits twice as
    // long as the one before.
    silenceDeadline_ = now + limits_.silence_ * (1 << fruitlessProbes_);
    out.emplace_back(ResumeStream {++connection_, attempt_, endpoint_, next_ - base_});
}

void RequestMachine::handle(const HeadReceived &event, TimePoint now, Actions &out)
{
    if (isStale(event.connection_) || phase_ != Phase::AwaitingHead) {
        return;
    }
    notRunUntil_ = std::max(notRunUntil_, event.retryAt_.value_or(TimePoint()));
    using HeadRule = void (RequestMachine::*)(TimePoint, Actions &);
    static constexpr std::array<HeadRule, 5> HeadRules {
        &RequestMachine::onAccepted, &RequestMachine::onNotRun, &RequestMachine::onForgotten,
        &RequestMachine::lose,       &RequestMachine::onFinal,
    };
    (this->*HeadRules[static_cast<std::size_t>(event.kind_)])(now, out);
}

void RequestMachine::onAccepted(TimePoint /*now*/, Actions &out)
{
    heard_ = true;
    phase_ = Phase::Answering;
    if (!streams()) {
        out.emplace_back(PassOn {connection_});
    }
}

void RequestMachine::onNotRun(TimePoint now, Actions &out)
{
    if (probing_) {
        // An engine without a free connection refuses to resume in the same words; that says
        // nothing about the attempt, which may well be running.
        lose(now, out);
        return;
    }
    attemptMayRun_ = false;
    moveToAnother(now, out);
}

void RequestMachine::onForgotten(TimePoint now, Actions &out)
{
    if (!probing_) {
        lose(now, out);
        return;
    }
    if (spec_.recovery_ == Recovery::ResumeOnly) {
        refuse(RefusalCause::StreamForgotten, now + limits_.retryAt_, out);
        return;
    }
    moveToAnother(now, out);
}

void RequestMachine::onFinal(TimePoint now, Actions &out)
{
    if (begun()) {
        refuse(RefusalCause::AnswerBroken, now + limits_.retryAt_, out);
        return;
    }
    out.emplace_back(PassOn {connection_});
    finish(out);
}

void RequestMachine::handle(const TokensReceived &event, TimePoint now, Actions &out)
{
    if (isStale(event.connection_) || phase_ != Phase::Answering) {
        return;
    }
    const std::int64_t from = base_ + event.offset_;
    if (from + event.count_ <= next_) {
        return; // Delivered before: an engine may begin a resumed stream earlier than asked.
    }
    if (from != next_) {
        // Tokens are missing in between. Delivering on would leave a hole in the caller's answer,
        // so the stream is asked for again from the token that is wanted.
        lose(now, out);
        return;
    }
    out.emplace_back(Deliver {next_, event.count_});
    next_ += event.count_;
    fruitlessProbes_ = 0;
    silenceDeadline_ = now + limits_.silence_;
    if (spec_.moveDeadlineBy_) {
        deadline_ = now + *spec_.moveDeadlineBy_;
    }
}

void RequestMachine::handle(const AnswerPassedOn &event, TimePoint /*now*/, Actions & /*out*/)
{
    if (!isStale(event.connection_)) {
        passedOn_ = true;
    }
}

void RequestMachine::handle(const AnswerEnded &event, TimePoint /*now*/, Actions &out)
{
    if (!isStale(event.connection_)) {
        finish(out);
    }
}

} // namespace almondridge::relay
