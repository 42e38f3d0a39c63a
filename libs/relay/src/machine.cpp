#include "almondridge/relay/machine.h"

#include <algorithm>
#include <string>
#include <utility>

namespace almondridge::relay {

RequestMachine::RequestMachine(RequestSpec spec, MachineLimits limits)
    : spec_(std::move(spec))
    , limits_(limits)
    , deadline_(spec_.deadline_)
    , nextOffset_(spec_.delivered_)
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
    return std::min({deadline_, inactivityDeadline_, nextSearchAt_});
}

StreamLocation RequestMachine::streamLocation() const
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
    ++connection_; // Makes later events of the old connection stale.
    nextSearchAt_ = TimePoint::max();
    inactivityDeadline_ = TimePoint::max();
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
    endpointSearchDeadline_ = TimePoint::max();
    attemptOpen_ = true;
    if (!prefill_) {
        send(false, now, out);
        return;
    }
    phase_ = Phase::Prefilling;
    attemptMayRun_ = true;
    inactivityDeadline_ = firstTokenDeadline(now);
    out.emplace_back(Prefill {++connection_, prefillAttempt(), *prefill_});
}

void RequestMachine::handle(const NoEndpoint &event, TimePoint now, Actions &out)
{
    if (phase_ != Phase::Choosing) {
        ++staleEvents_;
        return;
    }
    // A stream that lost its engine waits, since a role change or a restart may make an endpoint
    // available within seconds. New requests are refused at once.
    const bool wait = spec_.recovery_ == Recovery::Stream && earlierAttemptMayRun_;
    if (!wait || now >= endpointSearchDeadline_) {
        refuse(RefusalCause::NoEndpoint, std::max(event.retryAt_, notRunUntil_), out);
        return;
    }
    if (endpointSearchDeadline_ == TimePoint::max()) {
        endpointSearchDeadline_ = now + limits_.endpointSearchTimeout_;
    }
    --attempts_;
    excluded_.clear();
    phase_ = Phase::AwaitingEndpoint;
    nextSearchAt_ = now + limits_.endpointSearchInterval_;
}

void RequestMachine::handle(const RetryBudgetExhausted &event, TimePoint /*now*/, Actions &out)
{
    if (phase_ != Phase::Choosing) {
        ++staleEvents_;
        return;
    }
    refuse(RefusalCause::RetryBudgetExhausted, std::max(event.retryAt_, notRunUntil_), out);
}

// Attempts --------------------------------------------------------------------------------------

void RequestMachine::handle(const PrefillFinished &event, TimePoint now, Actions &out)
{
    if (isStale(event.connection_) || phase_ != Phase::Prefilling) {
        return;
    }
    attemptMayRun_ = false;
    earlierAttemptMayRun_ |= event.status_ != PrefillStatus::NotSent;
    prefill_.reset();
    send(event.status_ == PrefillStatus::Ready, now, out);
}

void RequestMachine::sendWithoutPrefill(TimePoint now, Actions &out)
{
    out.emplace_back(Cancel {prefillAttempt(), *prefill_});
    attemptMayRun_ = false;
    earlierAttemptMayRun_ = true;
    prefill_.reset();
    send(false, now, out);
}

void RequestMachine::send(bool afterPrefill, TimePoint now, Actions &out)
{
    base_ = nextOffset_;
    attemptMayRun_ = true; // Until the driver reports that no byte was sent.
    probing_ = false;
    accepted_ = false;
    probesWithoutToken_ = 0;
    phase_ = Phase::AwaitingHead;
    inactivityDeadline_ = isStream() ? firstTokenDeadline(now) : TimePoint::max();
    out.emplace_back(SendRequest {++connection_, attempt_, endpoint_, base_, afterPrefill});
}

void RequestMachine::resume(TimePoint now, Actions &out)
{
    ++resumes_;
    probing_ = true;
    accepted_ = false;
    phase_ = Phase::AwaitingHead;
    // The engine may be alive but slow, so the timeout doubles with each probe that brings no
    // token.
    inactivityDeadline_ = now + limits_.inactivityTimeout_ * (1 << probesWithoutToken_);
    out.emplace_back(ResumeStream {++connection_, attempt_, endpoint_, nextOffset_ - base_});
}

void RequestMachine::handle(const HeadReceived &event, TimePoint now, Actions &out)
{
    if (isStale(event.connection_) || phase_ != Phase::AwaitingHead) {
        return;
    }
    notRunUntil_ = std::max(notRunUntil_, event.retryAt_.value_or(TimePoint()));
    using HeadHandler = void (RequestMachine::*)(TimePoint, Actions &);
    static constexpr std::array<HeadHandler, 5> HeadHandlers {
        &RequestMachine::onAccepted, &RequestMachine::onNotRun, &RequestMachine::onStreamNotFound,
        &RequestMachine::recover,    &RequestMachine::onFinal,
    };
    (this->*HeadHandlers[static_cast<std::size_t>(event.kind_)])(now, out);
}

void RequestMachine::onAccepted(TimePoint /*now*/, Actions &out)
{
    accepted_ = true;
    phase_ = Phase::ReceivingResponse;
    if (!isStream()) {
        out.emplace_back(ForwardResponse {connection_});
    }
}

void RequestMachine::onNotRun(TimePoint now, Actions &out)
{
    if (probing_) {
        // An engine without a free connection refuses a resume with the same response, although
        // the attempt may still be running.
        recover(now, out);
        return;
    }
    attemptMayRun_ = false;
    tryAnotherEndpoint(now, out);
}

void RequestMachine::onStreamNotFound(TimePoint now, Actions &out)
{
    if (!probing_) {
        recover(now, out);
        return;
    }
    if (spec_.recovery_ == Recovery::ResumeOnly) {
        refuse(RefusalCause::StreamGone, now + limits_.defaultRetryDelay_, out);
        return;
    }
    tryAnotherEndpoint(now, out);
}

void RequestMachine::onFinal(TimePoint now, Actions &out)
{
    if (hasDeliveredTokens()) {
        refuse(RefusalCause::ResponseInterrupted, now + limits_.defaultRetryDelay_, out);
        return;
    }
    out.emplace_back(ForwardResponse {connection_});
    finish(out);
}

void RequestMachine::handle(const TokensReceived &event, TimePoint now, Actions &out)
{
    if (isStale(event.connection_) || phase_ != Phase::ReceivingResponse) {
        return;
    }
    const std::int64_t from = base_ + event.offset_;
    if (from + event.count_ <= nextOffset_) {
        return; // Already delivered: an engine may resume earlier than the requested offset.
    }
    if (from != nextOffset_) {
        // Tokens are missing. Delivering these would leave a gap in the caller's response, so the
        // stream is resumed from the next undelivered token.
        recover(now, out);
        return;
    }
    out.emplace_back(Deliver {nextOffset_, event.count_});
    nextOffset_ += event.count_;
    probesWithoutToken_ = 0;
    inactivityDeadline_ = now + limits_.inactivityTimeout_;
    if (spec_.deadlineExtension_) {
        deadline_ = now + *spec_.deadlineExtension_;
    }
}

void RequestMachine::handle(const ResponseForwarded &event, TimePoint /*now*/, Actions & /*out*/)
{
    if (!isStale(event.connection_)) {
        responseForwarded_ = true;
    }
}

void RequestMachine::handle(const ResponseEnded &event, TimePoint /*now*/, Actions &out)
{
    if (!isStale(event.connection_)) {
        finish(out);
    }
}

} // namespace almondridge::relay
