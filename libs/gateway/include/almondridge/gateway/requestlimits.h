/**
 * Limits that endpoints name in their answers: the requests a second that they take from all
 * instances together. No I/O and no clock: events and the current time are inputs.
 */
#pragma once

#include "almondridge/base/ids.h"
#include "almondridge/base/time.h"

#include <map>
#include <optional>

namespace almondridge::gateway {

class RequestLimits
{
public:
    /**
     * Records an answer of an endpoint and the limit that it names, if any, in requests a second.
     * True if the limit begins, ends or changes considerably.
     */
    bool onAnswer(const EndpointId &id, std::optional<double> perSecond, TimePoint now);
    /** Requests a second; nullopt: the endpoint names no limit. */
    std::optional<double> limitOf(const EndpointId &id) const;
    void forget(const EndpointId &id) { limits_.erase(id); }

private:
    struct Limit
    {
        double perSecond_ = 0;
        TimePoint namedAt_ {};
    };

    std::map<EndpointId, Limit> limits_;
};

} // namespace almondridge::gateway
