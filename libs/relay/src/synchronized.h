/**
 * Router and admission for many threads: each under a lock of its own, never both at once.
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

/** The room that the router sees for a model in this domain. */
struct Capacity
{
    Duration firstTokenWait_ {}; ///< Of an empty prompt.
    double tokensPerSecond_ = 0; ///< Prefill, of all its engines.
    double spareShare_ = 0;
};

class SynchronizedRouter
{
public:
    explicit SynchronizedRouter(routing::Router router);

    /** Chooses and counts the attempt in one step, so that no other request sees it missing. */
    std::optional<routing::RouteChoice> dispatch(const AttemptId &attempt,
                                                 const routing::RouteQuery &query);
    void firstToken(const AttemptId &attempt, std::int64_t cachedTokens);
    void finished(const AttemptId &attempt, bool succeeded);
    /**
     * Takes leave to send to the endpoint, which may have been closed since it was chosen. False:
     * choose again. Each true is followed by endSend().
     */
    bool beginSend(const EndpointId &endpoint);
    void endSend(const EndpointId &endpoint);
    /** Waits until nothing is being sent to the endpoint. False at deadline. */
    bool waitForSends(const EndpointId &endpoint, TimePoint deadline);

    /** nullopt when no endpoint takes the model's requests. */
    std::optional<Capacity> capacityOf(const ModelId &model, int engines);
    void with(const std::function<void(routing::Router &)> &function);

private:
    std::mutex mutex_;
    routing::Router router_;
    std::map<EndpointId, int> sendsInProgress_;
    std::condition_variable sendsFinished_;
};

/** Feeds admission with the room that the router sees for a model; called without a lock. */
using CapacitySource = std::function<void(const ModelId &)>;

class SynchronizedAdmission
{
public:
    explicit SynchronizedAdmission(admission::Admission admission);
    ~SynchronizedAdmission();
    SynchronizedAdmission(const SynchronizedAdmission &) = delete;
    SynchronizedAdmission &operator=(const SynchronizedAdmission &) = delete;

    /** Called now and then for each model that has waiting requests. Set before the first offer. */
    void setCapacitySource(CapacitySource source);

    /** Waits in the queue as long as admission says. nullopt: callerGone said so meanwhile. */
    std::optional<admission::Decision> admit(const admission::Offer &offer,
                                             const std::function<bool()> &callerGone);
    void finished(admission::Ticket ticket, std::int64_t tokens);
    void capacity(const ModelId &model, const Capacity &capacity);
    bool takeRetry();
    void firstAttempt();
    void with(const std::function<void(admission::Admission &)> &function);

private:
    /** A thread that waits for its ticket's turn. */
    struct Waiter
    {
        std::condition_variable turn_;
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
