/**
 * Thread-safe access to the router and to admission. Each has its own mutex; no thread holds both.
 */
#pragma once

#include "almondridge/admission/admission.h"
#include "almondridge/routing/router.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <thread>
#include <unordered_map>

namespace almondridge::relay {

/** Capacity for a model in this failure domain, as the router estimates it. */
struct Capacity
{
    Duration firstTokenWait_ {}; ///< Estimated time to the first token of an empty prompt.
    double tokensPerSecond_ = 0; ///< Prefill rate of all the model's engines.
    double spareShare_ = 0;      ///< From routing::Router::spareShare().
};

/** A router behind a mutex. Thread-safe. */
class SynchronizedRouter
{
public:
    explicit SynchronizedRouter(routing::Router router);

    /** Chooses an endpoint and registers the attempt in one step, so that other requests see it. */
    std::optional<routing::RouteChoice> dispatch(const AttemptId &attempt,
                                                 const routing::RouteQuery &query);
    void onFirstToken(const AttemptId &attempt, std::int64_t cachedTokens);
    void onFinished(const AttemptId &attempt, bool succeeded);
    /**
     * Begins a send to the endpoint. Returns false when it was closed after it was chosen; the
     * caller must then choose again. Each true must be followed by endSend().
     */
    bool beginSend(const EndpointId &endpoint);
    void endSend(const EndpointId &endpoint);
    /** Waits until no send to the endpoint is in progress. False at deadline. */
    bool waitForSends(const EndpointId &endpoint, TimePoint deadline);

    /** Estimates the capacity; nullopt when no endpoint takes the model's requests. */
    std::optional<Capacity> capacityOf(const ModelId &model, int engines);
    /** Calls function with the router locked. */
    void with(const std::function<void(routing::Router &)> &function);

private:
    std::mutex mutex_;
    routing::Router router_;
    std::map<EndpointId, int> sendsInProgress_;
    std::condition_variable sendsFinished_;
};

/** Updates admission with the current capacity for a model; called without a lock held. */
using CapacitySource = std::function<void(const ModelId &)>;

/** Admission behind a mutex, with a thread that releases queued requests. Thread-safe. */
class SynchronizedAdmission
{
public:
    explicit SynchronizedAdmission(admission::Admission admission);
    ~SynchronizedAdmission();
    SynchronizedAdmission(const SynchronizedAdmission &) = delete;
    SynchronizedAdmission &operator=(const SynchronizedAdmission &) = delete;

    /** Called regularly for each model with queued requests. Set before the first offer. */
    void setCapacitySource(CapacitySource source);

    /** Blocks until admission decides on the offer. nullopt when callerGone returned true. */
    std::optional<admission::Decision> admit(const admission::Offer &offer,
                                             const std::function<bool()> &callerGone);
    void onFinished(admission::Ticket ticket, std::int64_t tokens);
    void setCapacity(const ModelId &model, const Capacity &capacity);
    /** Consumes one retry of the budget; false when it is exhausted. */
    bool takeRetry();
    void onFirstAttempt();
    void with(const std::function<void(admission::Admission &)> &function);

private:
    /** A thread waiting for the decision on its ticket. */
    struct Waiter
    {
        std::condition_variable decided_;
        std::optional<admission::Decision> decision_;
        ModelId model_;
    };

    void releaseLocked();
    void releaseLoop();
    void refreshCapacity();

    std::mutex mutex_;
    admission::Admission admission_;
    std::map<admission::Ticket, Waiter> waiters_;
    CapacitySource capacitySource_;
    std::condition_variable wake_;
    bool stopping_ = false;
    std::thread releaser_;
};

} // namespace almondridge::relay
