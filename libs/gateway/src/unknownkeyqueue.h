/**
 * Queue of requests with an API key that this instance doesn't know. The key may have been added a
 * moment ago, so the requests wait shortly for the next configuration update. They all wait for the
 * same update, so that a flood of invalid keys causes no queries to the store. No I/O.
 */
#pragma once

#include "almondridge/async/httpserver.h"
#include "almondridge/gateway/credentials.h"

#include <deque>
#include <optional>

namespace almondridge::gateway {

struct QueuedRequest
{
    async::ServerCall request_;
    Credentials credentials_;
    TimePoint arrivedAt_ {};
    TimePoint until_ {}; ///< The request is refused then at the latest.
};

class UnknownKeyQueue
{
public:
    /** False if the queue is full or this request has waited for the longest time allowed. */
    bool canQueue(const async::ServerCall &request, TimePoint now) const;
    void add(async::ServerCall request, const Credentials &credentials, TimePoint now);
    void remove(const async::CallId &id);
    /** Removes and returns all requests, as there is a new configuration to check them against. */
    std::deque<QueuedRequest> takeAll();
    /**
     * Removes and returns the requests to be refused: the configuration was confirmed (at asOf)
     * after they arrived, so there is no such key, or their time is up.
     */
    std::deque<QueuedRequest> takeResolved(std::optional<TimePoint> asOf, TimePoint now);
    /** When takeResolved() has to be called at the latest; nullopt: the queue is empty. */
    std::optional<TimePoint> nextDeadline() const;

private:
    std::deque<QueuedRequest> queue_; ///< In order of arrival.
};

} // namespace almondridge::gateway
