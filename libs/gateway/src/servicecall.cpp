#include "call.h"

namespace almondridge::gateway {
namespace {

/** An attempt times out after this many times the route's latency objective. */
constexpr int TimeoutObjectives = 2;
constexpr int FirstNotSuccess = 300;

class ServiceCall final : public Call
{
public:
    using Call::Call;

private:
    void start() override { sendNext(); }
    /** An attempt without a response counts as executed, as nothing shows otherwise. */
    void releaseEndpointState() override { reportUnansweredStart(); }
    void reportUnansweredStart();
    void sendNext();
    /** Sends the request to a peer; false: there is none. */
    bool forward();
    void startRepeatTimer();
    void onAttemptEnd() override;
    void onAttemptFailed(async::ExchangeFailure failure) override;
    void onAttemptTimeout() override;
    void giveUp();
};

void ServiceCall::sendNext()
{
    if (!mayBeSent()) {
        endUnanswered(KeyRevokedCause);
        return;
    }
    if (seemsCutOff() && forward()) {
        return;
    }
    const auto endpoint = suspicion_ == Suspicion::None ? gateway_.placement_.chooseService(
                              gateway_.table_, context_.service_, excluded_, gateway_.random_(),
                              BootClock::now(), requiredVersion())
                                                        : leastLoadedEndpoint(requiredVersion());
    if (!endpoint) {
        if (!mayPeerReachMore() || !forward()) {
            giveUp();
        }
        return;
    }
    ++runs_;
    send(*endpoint, {}, 0);
    startRepeatTimer();
}

bool ServiceCall::forward()
{
    if (!sendToPeer("")) {
        return false;
    }
    ++runs_;
    startRepeatTimer();
    return true;
}

void ServiceCall::startRepeatTimer()
{
    if (route().idempotent() && runs_ < maxAttempts()) {
        startAttemptTimer(BootClock::now() + millis(TimeoutObjectives * route().objectiveMillis_));
    }
}

void ServiceCall::giveUp()
{
    endUnanswered(mayHaveRun_ ? std::string_view("no-endpoint-left") : NoEndpointCause);
}

void ServiceCall::reportUnansweredStart()
{
    if (hasAttempt()) {
        reportExecutionStart(attempt_.sentAt_);
    }
}

void ServiceCall::onAttemptEnd()
{
    const int status = answer().status();
    if (answer().isNotRun()) {
        --runs_;
        if (attempt_.peer_) {
            onPeerRefused() ? sendNext() : giveUp();
            return;
        }
        takeRetryAfter();
        excludeEndpoint(refusalSignal());
        acquireRetry() ? sendNext() : giveUp();
        return;
    }
    mayHaveRun_ = true;
    reportExecutionStart(attempt_.sentAt_);
    if (status >= 500) {
        excludeEndpoint(HealthSignal::ServerError);
        acquireRerun() ? sendNext() : forwardResponse();
        return;
    }
    if (route().kind_ == RouteKind::Streaming && status < FirstNotSuccess && !origin_) {
        onStreamBegun(attemptOrigin());
    }
    closeAttempt(HealthSignal::Healthy);
    forwardResponse();
}

void ServiceCall::onAttemptFailed(async::ExchangeFailure failure)
{
    if (failure == async::ExchangeFailure::NotSent) {
        --runs_;
        excludeEndpoint(HealthSignal::Unreachable);
        if (!canTryAnotherEndpoint()) {
            giveUp();
            return;
        }
        gateway_.budget(context_.service_).onNotSent();
        sendNext();
        return;
    }
    reportExecutionStart(attempt_.sentAt_);
    excludeEndpoint(HealthSignal::Broken);
    mayHaveRun_ = true;
    if (acquireRerun()) {
        sendNext();
    } else {
        failCall(502, nameOf(async::ExchangeFailureNames, failure));
    }
}

void ServiceCall::onAttemptTimeout()
{
    if (!acquireRerun()) {
        return;
    }
    mayHaveRun_ = true;
    reportExecutionStart(attempt_.sentAt_);
    excludeEndpoint(HealthSignal::TimedOut);
    sendNext();
}

} // namespace

std::unique_ptr<Call> makeServiceCall(GatewayState &gateway, CallContext context)
{
    return std::make_unique<ServiceCall>(gateway, std::move(context));
}

} // namespace almondridge::gateway
