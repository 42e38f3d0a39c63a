#include "almondridge/relay/relay.h"

#include "calldispatcher.h"
#include "modelcall.h"
#include "relaycontext.h"
#include "servicecall.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <nlohmann/json.hpp>
#include <utility>

namespace almondridge::relay {
namespace {

constexpr Duration DefaultRetryDelay = millis(1'000);

} // namespace

struct Relay::State
{
    State(fleet::Settings settings, KeyClaims &claims, observe::Metrics &metrics,
          observe::Timeline &timeline, FleetSource source)
        : context_(std::move(settings), claims, metrics, timeline, std::move(source))
    { }

    /** Counts a new active request, or returns the refusal when it is not accepted. */
    std::optional<Refusal> enter();
    void leave();

    RelayContext context_;
    std::mutex mutex_;
    std::condition_variable idle_;
    int activeRequests_ = 0;
    bool accepting_ = true;
};

std::optional<Refusal> Relay::State::enter()
{
    const std::lock_guard lock(mutex_);
    if (accepting_ && activeRequests_ < context_.settings_.maxStreams_) {
        ++activeRequests_;
        return std::nullopt;
    }
    admission::Decision decision;
    decision.reason_ =
        accepting_ ? admission::RefusalReason::NoCapacity : admission::RefusalReason::Stopping;
    decision.retryAt_ = BootClock::now() + DefaultRetryDelay;
    return refusalFor(decision);
}

void Relay::State::leave()
{
    const std::lock_guard lock(mutex_);
    --activeRequests_;
    if (activeRequests_ == 0) {
        idle_.notify_all();
    }
}

bool Relay::handle(net::ServerExchange &exchange)
{
    CallDispatcher dispatcher(state_->context_, exchange);
    if (!dispatcher.handlesPath()) {
        return false;
    }
    if (const std::optional<Refusal> refusal = state_->enter()) {
        dispatcher.refuse(*refusal);
        return true;
    }
    struct Leaver
    {
        ~Leaver() { state_.leave(); }
        State &state_;
    };
    const Leaver leaver {*state_};
    dispatcher.serve();
    return true;
}

void Relay::withRouter(const std::function<void(routing::Router &)> &function)
{
    state_->context_.router_.with(function);
}

bool Relay::waitForSends(const EndpointId &endpoint, TimePoint deadline)
{
    return state_->context_.router_.waitForSends(endpoint, deadline);
}

void Relay::onFleet(std::shared_ptr<const fleet::Fleet> fleet)
{
    state_->context_.setFleet(std::move(fleet));
}

std::vector<ModelDemand> Relay::takeDemand()
{
    return state_->context_.demand_.take();
}

void Relay::stopAccepting()
{
    const std::lock_guard lock(state_->mutex_);
    state_->accepting_ = false;
}

int Relay::activeRequests() const noexcept
{
    const std::lock_guard lock(state_->mutex_);
    return state_->activeRequests_;
}

bool Relay::waitIdle(TimePoint deadline)
{
    std::unique_lock lock(state_->mutex_);
    while (state_->activeRequests_ > 0) {
        const std::int64_t left = millisUntil(deadline, BootClock::now());
        if (left <= 0) {
            return false;
        }
        state_->idle_.wait_for(lock, std::chrono::milliseconds(left));
    }
    return true;
}

Relay::Relay(std::unique_ptr<State> state) noexcept
    : state_(std::move(state))
{ }
Relay::~Relay() = default;

Relay::Builder &Relay::Builder::settings(const fleet::Settings &settings)
{
    settings_ = settings;
    return *this;
}

Relay::Builder &Relay::Builder::claims(KeyClaims &claims)
{
    claims_ = &claims;
    return *this;
}

Relay::Builder &Relay::Builder::metrics(observe::Metrics &metrics)
{
    metrics_ = &metrics;
    return *this;
}

Relay::Builder &Relay::Builder::timeline(observe::Timeline &timeline)
{
    timeline_ = &timeline;
    return *this;
}

Relay::Builder &Relay::Builder::fleet(FleetSource source)
{
    fleet_ = std::move(source);
    return *this;
}

std::unique_ptr<Relay> Relay::Builder::build()
{
    auto state = std::make_unique<State>(settings_, *claims_, *metrics_, *timeline_, fleet_);
    return std::unique_ptr<Relay>(new Relay(std::move(state)));
}

} // namespace almondridge::relay
