#include "synchronized.h"

#include <algorithm>
#include <chrono>
#include <set>

namespace almondridge::relay {
namespace {

/** How often a waiting thread checks whether its caller has disconnected. */
constexpr auto CallerCheckInterval = std::chrono::milliseconds(250);
/** Longest time between two attempts to release queued requests. */
constexpr std::int64_t MaxReleasePauseMillis = 50;
/** Prompt length from which the prefill rate is estimated. */
constexpr std::int64_t RateSampleTokens = 1'000;

} // namespace

SynchronizedRouter::SynchronizedRouter(routing::Router router)
    : router_(std::move(router))
{ }

std::optional<routing::RouteChoice> SynchronizedRouter::dispatch(const AttemptId &attempt,
                                                                 const routing::RouteQuery &query)
{
    const TimePoint now = BootClock::now();
    const std::lock_guard lock(mutex_);
    std::optional<routing::RouteChoice> choice = router_.choose(query, now);
    if (choice) {
        routing::RouteQuery load = query;
        if (choice->prefill_) {
            load.promptTokens_ = 0; // The Prefill action dispatches the prompt to another engine.
        }
        router_.onDispatched(attempt, choice->endpoint_, load, now);
    }
    return choice;
}

void SynchronizedRouter::onFirstToken(const AttemptId &attempt, std::int64_t cachedTokens)
{
    const std::lock_guard lock(mutex_);
    router_.onFirstToken(attempt, cachedTokens, BootClock::now());
}

void SynchronizedRouter::onFinished(const AttemptId &attempt, bool succeeded)
{
    const std::lock_guard lock(mutex_);
    router_.onFinished(attempt, succeeded, BootClock::now());
}

bool SynchronizedRouter::beginSend(const EndpointId &endpoint)
{
    const std::lock_guard lock(mutex_);
    if (!router_.isAvailable(endpoint)) {
        return false;
    }
    ++sendsInProgress_[endpoint];
    return true;
}

void SynchronizedRouter::endSend(const EndpointId &endpoint)
{
    const std::lock_guard lock(mutex_);
    const auto found = sendsInProgress_.find(endpoint);
    if (--found->second == 0) {
        sendsInProgress_.erase(found);
        sendsFinished_.notify_all();
    }
}

bool SynchronizedRouter::waitForSends(const EndpointId &endpoint, TimePoint deadline)
{
    std::unique_lock lock(mutex_);
    while (sendsInProgress_.contains(endpoint)) {
        const std::int64_t left = millisUntil(deadline, BootClock::now());
        if (left <= 0) {
            return false;
        }
        sendsFinished_.wait_for(lock, std::chrono::milliseconds(left));
    }
    return true;
}

std::optional<Capacity> SynchronizedRouter::capacityOf(const ModelId &model, int engines)
{
    const TimePoint now = BootClock::now();
    routing::RouteQuery query;
    query.model_ = model;
    query.outputTokens_ = 1;
    query.deadline_ = TimePoint::max();
    const std::lock_guard lock(mutex_);
    const std::optional<routing::RouteChoice> choice = router_.choose(query, now);
    if (!choice) {
        return std::nullopt;
    }
    const EndpointId &endpoint = choice->prefill_ ? *choice->prefill_ : choice->endpoint_;
    const TimePoint empty = router_.estimateFirstToken(endpoint, query, now);
    query.promptTokens_ = RateSampleTokens;
    const Duration sample = router_.estimateFirstToken(endpoint, query, now) - empty;
    Capacity capacity;
    capacity.firstTokenWait_ = choice->firstToken_ - now;
    capacity.spareShare_ = router_.spareShare(model, now);
    if (sample > Duration::zero()) {
        capacity.tokensPerSecond_ = RateSampleTokens / toSeconds(sample) * engines;
    }
    return capacity;
}

void SynchronizedRouter::with(const std::function<void(routing::Router &)> &function)
{
    const std::lock_guard lock(mutex_);
    function(router_);
}

SynchronizedAdmission::SynchronizedAdmission(admission::Admission admission)
    : admission_(std::move(admission))
    , releaser_([this] { releaseLoop(); })
{ }

SynchronizedAdmission::~SynchronizedAdmission()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    wake_.notify_all();
    releaser_.join();
}

void SynchronizedAdmission::setCapacitySource(CapacitySource source)
{
    const std::lock_guard lock(mutex_);
    capacitySource_ = std::move(source);
}

std::optional<admission::Decision>
SynchronizedAdmission::admit(const admission::Offer &offer, const std::function<bool()> &callerGone)
{
    std::unique_lock lock(mutex_);
    const admission::Decision first = admission_.offer(offer, BootClock::now());
    if (first.answer_ != admission::Answer::Queue) {
        return first;
    }
    Waiter &waiter = waiters_[first.ticket_];
    waiter.model_ = offer.model_;
    wake_.notify_all();
    while (!waiter.decision_) {
        const bool decided = waiter.decided_.wait_for(lock, CallerCheckInterval,
                                                      [&] { return waiter.decision_.has_value(); });
        if (!decided && callerGone()) {
            admission_.onFinished(first.ticket_, 0, BootClock::now());
            waiters_.erase(first.ticket_);
            releaseLocked();
            return std::nullopt;
        }
    }
    const admission::Decision decision = *waiter.decision_;
    waiters_.erase(first.ticket_);
    return decision;
}

void SynchronizedAdmission::onFinished(admission::Ticket ticket, std::int64_t tokens)
{
    const std::lock_guard lock(mutex_);
    admission_.onFinished(ticket, tokens, BootClock::now());
    releaseLocked();
}

void SynchronizedAdmission::setCapacity(const ModelId &model, const Capacity &capacity)
{
    const std::lock_guard lock(mutex_);
    admission_.onCapacity(model, capacity.firstTokenWait_, capacity.tokensPerSecond_,
                          capacity.spareShare_, BootClock::now());
}

bool SynchronizedAdmission::takeRetry()
{
    const std::lock_guard lock(mutex_);
    return admission_.takeRetry(BootClock::now());
}

void SynchronizedAdmission::onFirstAttempt()
{
    const std::lock_guard lock(mutex_);
    admission_.onFirstAttempt(BootClock::now());
}

void SynchronizedAdmission::with(const std::function<void(admission::Admission &)> &function)
{
    const std::lock_guard lock(mutex_);
    function(admission_);
}

void SynchronizedAdmission::releaseLocked()
{
    for (const admission::Release &release : admission_.poll(BootClock::now())) {
        const auto found = waiters_.find(release.ticket_);
        if (found != waiters_.end()) {
            found->second.decision_ = release.decision_;
            found->second.decided_.notify_one();
        }
    }
}

void SynchronizedAdmission::refreshCapacity()
{
    CapacitySource source;
    std::set<ModelId> models;
    {
        const std::lock_guard lock(mutex_);
        source = capacitySource_;
        for (const auto &[ticket, waiter] : waiters_) {
            models.insert(waiter.model_);
        }
    }
    if (source) {
        std::for_each(models.begin(), models.end(), source);
    }
}

void SynchronizedAdmission::releaseLoop()
{
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        if (waiters_.empty()) {
            wake_.wait(lock, [&] { return stopping_ || !waiters_.empty(); });
            continue;
        }
        const TimePoint now = BootClock::now();
        const TimePoint next = admission_.nextPoll().value_or(TimePoint::max());
        const std::int64_t pauseMillis =
            std::clamp<std::int64_t>(millisUntil(next, now) + 1, 1, MaxReleasePauseMillis);
        wake_.wait_for(lock, std::chrono::milliseconds(pauseMillis), [&] { return stopping_; });
        lock.unlock();
        refreshCapacity();
        lock.lock();
        releaseLocked();
    }
}

} // namespace almondridge::relay
