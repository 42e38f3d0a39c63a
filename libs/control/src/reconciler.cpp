#include "almondridge/control/reconciler.h"

#include "enginework.h"
#include "workerpool.h"

namespace almondridge::control {
namespace {

/** Interval between two rounds that dispatch the endpoints that are due. */
constexpr std::chrono::milliseconds RoundInterval {50};
/** Limits the concurrent reads, announcements and appends. */
constexpr int Workers = 8;
/** Interval between two searches for open intents of engines that left the domain. */
constexpr Duration OrphanedIntentInterval = millis(2'000);
/** The lease is released when no engine could be read for this many terms. */
constexpr int UnreadableTermsBeforeRelease = 2;
/** After that, the lease is not claimed again for this many terms. */
constexpr int ClaimPauseTerms = 5;
/** A lease whose release is not appended within this time is left to expire. */
constexpr std::int64_t ReleaseTimeoutMillis = 2'000;

} // namespace

void Announcer::announceAll(const Availabilities &availabilities, Fence fence, TimePoint deadline)
{
    for (const auto &[engine, availability] : availabilities) {
        announce(engine, availability, fence, deadline);
    }
}

struct Reconciler::State
{
    State(const ReconcilerParts &parts, const LeaseSettings &settings)
        : log_(*parts.log_)
        , lease_(std::make_shared<LeaseLoop>(settings, log_, parts.timeline_))
        , work_(parts, *lease_)
        , term_(millis(settings.termMillis_))
    { }

    void run();
    void round();
    void followLease();
    bool yieldsLease();
    void release(TimePoint claimFrom);

    ControlLog &log_;
    std::shared_ptr<LeaseLoop> lease_; ///< Shared with the log's listener, which may outlive this.
    EngineWork work_;
    WorkerPool pool_;
    std::thread thread_;
    std::shared_ptr<const fleet::Fleet> fleet_; ///< Used by the thread only.
    TimePoint nextOrphanedIntents_ {};          ///< Used by the thread only.
    TimePoint unreadableSince_ {};              ///< Used by the thread only.
    bool yielding_ = false;                     ///< Used by the thread only.
    const Duration term_;

    std::mutex mutex_;
    std::condition_variable wake_;
    bool stopping_ = false;
};

void Reconciler::State::run()
{
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        lock.unlock();
        round();
        lock.lock();
        if (!stopping_) {
            wake_.wait_for(lock, RoundInterval);
        }
    }
}

void Reconciler::State::round()
{
    if (auto fleet = log_.fleetInForce(); fleet && fleet != fleet_) {
        fleet_ = fleet;
        work_.withPlan([&](OrderPlan &plan) { plan.setFleet(fleet, BootClock::now()); });
    }
    followLease();
    if (yieldsLease()) {
        return;
    }
    const auto fence = work_.withPlan([](OrderPlan &plan) { return plan.fence(); });
    if (!fence) {
        return;
    }
    const auto due = work_.withPlan([](OrderPlan &plan) { return plan.takeDue(BootClock::now()); });
    for (const EndpointId &id : due) {
        pool_.add([this, id, fence = *fence] {
            work_.processEndpoint(id, fence);
            wake_.notify_all(); // An engine that waited for this one may be due now.
        });
    }
    if (const TimePoint now = BootClock::now(); now >= nextOrphanedIntents_) {
        nextOrphanedIntents_ = now + OrphanedIntentInterval;
        pool_.add([this, fence = *fence] { work_.closeOrphanedIntents(fence); });
    }
    if (work_.withPlan([](OrderPlan &plan) { return plan.hasPendingAnnouncements(); })) {
        pool_.add([this, fence = *fence] { work_.announcePending(fence); });
    }
}

/**
 * An instance that reaches the log but none of the engines would keep renewing a lease that other
 * instances could use. It starts no more steps and releases the lease when none is in progress.
 */
bool Reconciler::State::yieldsLease()
{
    const TimePoint now = BootClock::now();
    const bool allUnreadable = work_.withPlan(
        [](OrderPlan &plan) { return plan.fence().has_value() && plan.allEnginesUnreadable(); });
    if (!allUnreadable && !yielding_) {
        unreadableSince_ = now;
        return false;
    }
    if (now < unreadableSince_ + UnreadableTermsBeforeRelease * term_) {
        return false;
    }
    yielding_ = true;
    work_.withPlan([](OrderPlan &plan) { plan.onLeaseLost(); });
    if (!lease_->held()) {
        yielding_ = false;
    } else if (work_.withPlan([&](OrderPlan &plan) { return plan.mayRelease(now); })) {
        release(now + ClaimPauseTerms * term_);
        yielding_ = false;
    }
    return true;
}

void Reconciler::State::release(TimePoint claimFrom)
{
    lease_->release(BootClock::now() + millis(ReleaseTimeoutMillis), claimFrom);
}

void Reconciler::State::followLease()
{
    if (yielding_) {
        return;
    }
    const auto held = lease_->held();
    work_.withPlan([&](OrderPlan &plan) {
        if (!held) {
            plan.onLeaseLost();
        } else if (plan.fence() != held->fence_) {
            plan.onLeaseAcquired(held->fence_, held->firstUnfencedOrder_, BootClock::now());
        }
    });
}

Reconciler::Reconciler(std::unique_ptr<State> state) noexcept
    : state_(std::move(state))
{ }

Reconciler::~Reconciler()
{
    stop();
}

void Reconciler::start()
{
    state_->pool_.start(Workers);
    state_->lease_->start();
    state_->thread_ = std::thread([state = state_.get()] { state->run(); });
}

/** Renews the lease until the last step in progress is done, because orders need it. */
void Reconciler::stop()
{
    if (!state_->thread_.joinable()) {
        return;
    }
    {
        const std::scoped_lock lock(state_->mutex_);
        state_->stopping_ = true;
    }
    state_->wake_.notify_all();
    state_->thread_.join();
    state_->work_.stop();
    state_->pool_.finish();
    state_->lease_->stop();
    const bool mayRelease =
        state_->work_.withPlan([](OrderPlan &plan) { return plan.mayRelease(BootClock::now()); });
    if (mayRelease) {
        state_->release(TimePoint::max());
    }
}

void Reconciler::setWantedRoles(WantedRoles roles)
{
    state_->work_.withPlan(
        [&](OrderPlan &plan) { plan.setRoles(std::move(roles), BootClock::now()); });
    state_->wake_.notify_all();
}

void Reconciler::setLeaving(std::set<EndpointId> leaving)
{
    state_->work_.withPlan(
        [&](OrderPlan &plan) { plan.setLeaving(std::move(leaving), BootClock::now()); });
    state_->wake_.notify_all();
}

void Reconciler::requestCheck(const EndpointId &engine)
{
    state_->work_.withPlan([&](OrderPlan &plan) { plan.requestCheck(engine, BootClock::now()); });
    state_->wake_.notify_all();
}

std::optional<Fence> Reconciler::heldFence() const
{
    const auto held = state_->lease_->held();
    return held ? std::optional(held->fence_) : std::nullopt;
}

Availabilities Reconciler::withheld() const
{
    return state_->work_.withPlan([](OrderPlan &plan) { return plan.withheld(); });
}

std::map<EndpointId, std::string> Reconciler::progress() const
{
    return state_->work_.withPlan([](OrderPlan &plan) { return plan.progress(); });
}

Reconciler::Builder &Reconciler::Builder::self(InstanceId instance, DomainId domain)
{
    instance_ = std::move(instance);
    domain_ = std::move(domain);
    return *this;
}

Reconciler::Builder &Reconciler::Builder::lease(std::int64_t termMillis, std::int64_t marginMillis)
{
    termMillis_ = termMillis;
    marginMillis_ = marginMillis;
    return *this;
}

Reconciler::Builder &Reconciler::Builder::controlLog(ControlLog &log)
{
    log_ = &log;
    return *this;
}

Reconciler::Builder &Reconciler::Builder::orders(EngineOrders &orders)
{
    orders_ = &orders;
    return *this;
}

Reconciler::Builder &Reconciler::Builder::announcer(Announcer &announcer)
{
    announcer_ = &announcer;
    return *this;
}

Reconciler::Builder &Reconciler::Builder::weightStore(store::WeightStore &store)
{
    store_ = &store;
    return *this;
}

Reconciler::Builder &Reconciler::Builder::timeline(observe::Timeline &timeline)
{
    timeline_ = &timeline;
    return *this;
}

std::unique_ptr<Reconciler> Reconciler::Builder::build()
{
    const ReconcilerParts parts {instance_, domain_, log_, orders_, announcer_, store_, timeline_};
    const LeaseSettings settings {instance_, domain_, termMillis_, marginMillis_};
    auto state = std::make_unique<State>(parts, settings);
    log_->listen([lease = std::weak_ptr(state->lease_)](const FoldStep &step) {
        if (const auto loop = lease.lock()) {
            loop->onFolded(step);
        }
    });
    return std::unique_ptr<Reconciler>(new Reconciler(std::move(state)));
}

} // namespace almondridge::control
