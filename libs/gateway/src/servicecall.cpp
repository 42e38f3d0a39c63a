#include "call.h"

namespace almondridge::gateway {
namespace {

/** An endpoint without an answer after this many times the objective is taken for hung. */
constexpr int SilentAfterObjectives = 2;

class ServiceCall final : public Call
{
public:
    using Call::Call;

private:
    void start() override { sendNext(); }
    /** Nothing has told that it did not run what it was sent. */
    void abandonEndpoints() override { countUnanswered(); }
    void countUnanswered();
    void sendNext();
    void attemptEnd() override;
    void attemptFailed(async::ExchangeFailure failure) override;
    void attemptSilent() override;
    void giveUp();
    /** 502 where the request may have run, a refusal where it did not. */
    void endUnserved(std::string_view cause);
};

void ServiceCall::sendNext()
{
    if (!isKeyValid()) {
        endUnserved(KeyWithdrawnCause);
        return;
    }
    const auto endpoint =
        suspicion_ == Suspicion::None ? gateway_.placement_.chooseService(
            gateway_.table_, input_.service_, excluded_, gateway_.random_(), BootClock::now())
                                      : quietestEndpoint();
    if (!endpoint) {
        giveUp();
        return;
    }
    ++runs_;
    send(*endpoint, {}, 0);
    if (route().idempotent() && runs_ < route().maxAttempts_) {
        watchSilence(BootClock::now() + millis(SilentAfterObjectives * route().objectiveMillis_));
    }
}

void ServiceCall::giveUp()
{
    endUnserved(mayHaveRun_ ? "no-endpoint-left" : "no-endpoint");
}

void ServiceCall::endUnserved(std::string_view cause)
{
    if (mayHaveRun_) {
        failCall(502, cause);
    } else {
        refuse(cause);
    }
}

void ServiceCall::countUnanswered()
{
    if (attempt_.exchange_ != 0) {
        countBegan(attempt_.sentAt_);
    }
}

void ServiceCall::attemptEnd()
{
    const int status = attempt_.head_.status_;
    const AnswerFacts &facts = attempt_.facts_;
    if (facts.notRun_) {
        --runs_;
        retryAfterMillis_ = facts.retryAfterMillis_;
        leaveEndpoint(refusalEvidence());
        maySendAgain() ? sendNext() : giveUp();
        return;
    }
    mayHaveRun_ = true;
    countBegan(attempt_.sentAt_);
    if (status < 300 && !facts.signed_) {
        // Not the endpoint's own word: passing it on could give the caller someone else's answer.
        attemptFailed(async::ExchangeFailure::Garbled);
        return;
    }
    if (status >= 500) {
        leaveEndpoint(HealthSignal::ServerError);
        mayRunAgain() ? sendNext() : passOn();
        return;
    }
    closeAttempt(HealthSignal::Healthy);
    passOn();
}

void ServiceCall::attemptFailed(async::ExchangeFailure failure)
{
    if (failure == async::ExchangeFailure::NotSent) {
        --runs_;
        leaveEndpoint(HealthSignal::Unreachable);
        mayTryAnother() ? sendNext() : giveUp();
        return;
    }
    countBegan(attempt_.sentAt_);
    leaveEndpoint(HealthSignal::Broken);
    mayHaveRun_ = true;
    if (mayRunAgain()) {
        sendNext();
    } else {
        failCall(502, nameOf(async::ExchangeFailureNames, failure));
    }
}

void ServiceCall::attemptSilent()
{
    if (!mayRunAgain()) {
        return;
    }
    mayHaveRun_ = true;
    countBegan(attempt_.sentAt_);
    leaveEndpoint(HealthSignal::TimedOut);
    sendNext();
}

} // namespace

std::unique_ptr<Call> makeServiceCall(GatewayState &gateway, CallInput input)
{
    return std::make_unique<ServiceCall>(gateway, std::move(input));
}

} // namespace almondridge::gateway
