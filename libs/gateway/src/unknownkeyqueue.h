/**
 * Requests with a key that this instance does not know. It may have been added a moment ago, so
 * they wait a little for newer news; all for the same news, so that a flood of false keys asks the
 * store for nothing. Pure.
 */
#pragma once

#include "almondridge/async/httpserver.h"
#include "almondridge/gateway/credentials.h"

#include <deque>
#include <optional>

namespace almondridge::gateway {

struct WaitingKey
{
    async::ServerCall request_;
    Credentials credentials_;
    TimePoint arrivedAt_ {};
    TimePoint until_ {};
};

class WaitingKeys
{
public:
    /** False: too many wait already, or this request has waited long enough. */
    bool mayWait(const async::ServerCall &request, TimePoint now) const;
    void add(async::ServerCall request, const Credentials &credentials, TimePoint now);
    void forget(const async::CallId &id);
    /** Takes all out: there is a new configuration. */
    std::deque<WaitingKey> takeAll();
    /** Takes out those for which it is settled that there is no such key, or whose time is up. */
    std::deque<WaitingKey> takeSettled(std::optional<TimePoint> asOf, TimePoint now);
    /** When takeSettled() has something to do at the latest; nullopt: none waits. */
    std::optional<TimePoint> nextDue() const;

private:
    std::deque<WaitingKey> waiting_; ///< In the order of their arrival.
};

} // namespace almondridge::gateway
