/**
 * Keeps what clients take of a process within its machine, and tells operators of it.
 */
#pragma once

#include "almondridge/async/clientlimits.h"
#include "almondridge/async/eventloop.h"
#include "almondridge/async/httpserver.h"
#include "almondridge/gateway/clientresources.h"
#include "almondridge/observe/metrics.h"

#include <functional>
#include <map>

namespace almondridge::gateway {

/** Limits of addresses to which heads are sent, and no bodies. */
async::ServerLimits messageLimits();

class ClientBounds
{
public:
    /** How often clients have met that limit at all addresses of the process. */
    using Met = std::function<std::uint64_t(async::ClientLimit)>;

    /** Sets the limits of the loop's accounts, and prepares the allocator. */
    ClientBounds(async::EventLoop &loop, const MachineResources &machine, Met met);

    /** To be called a few times a second: follows the process's memory and logs met limits. */
    void observe(TimePoint now);
    void addMetrics(observe::Metrics &metrics) const;

private:
    void watchMemory(TimePoint now);
    void logLimitsMet(TimePoint now);

    async::EventLoop &loop_;
    ClientMemory memory_;
    Met met_;
    TimePoint nextMemoryCheck_ {};
    TimePoint nextLog_ {};
    std::map<async::ClientLimit, std::uint64_t> logged_;
};

} // namespace almondridge::gateway
