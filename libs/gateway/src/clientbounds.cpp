#include "almondridge/gateway/clientbounds.h"

#include "almondridge/async/processmemory.h"
#include "almondridge/base/log.h"

#include <utility>

namespace almondridge::gateway {
namespace {

constexpr std::size_t MaxMessageBodyBytes = 4'096;
/** Interval at which the process compares its memory with what clients may take. */
constexpr Duration MemoryInterval = millis(1'000);
constexpr Duration LogInterval = millis(5'000);

/** The most that the kernel receives for all clients before it is read. */
std::size_t receivedBytes(const async::SocketAccount &sockets)
{
    return sockets.mostOfClients() * async::MaxReceivedBytes;
}

async::SocketAccount &limitedSockets(async::EventLoop &loop, const MachineResources &machine)
{
    loop.sockets().setLimit(socketsOf(machine));
    return loop.sockets();
}

} // namespace

async::ServerLimits messageLimits()
{
    async::ServerLimits limits;
    limits.message_.bodyBytes_ = MaxMessageBodyBytes;
    return limits;
}

ClientBounds::ClientBounds(async::EventLoop &loop, const MachineResources &machine, Met met)
    : loop_(loop)
    , memory_(machine, receivedBytes(limitedSockets(loop, machine)))
    , met_(std::move(met))
{
    async::prepareAllocator();
    loop_.memory().setLimit(memory_.limit());
    logEvent(LogLevel::Info, "client_limits",
             {{"memory_bytes", loop_.memory().limit()}, {"sockets", loop_.sockets().limit()}});
}

void ClientBounds::observe(TimePoint now)
{
    watchMemory(now);
    logLimitsMet(now);
}

void ClientBounds::watchMemory(TimePoint now)
{
    if (now < nextMemoryCheck_) {
        return;
    }
    nextMemoryCheck_ = now + MemoryInterval;
    const std::size_t held = loop_.memory().held();
    const auto resident = async::residentBytes();
    if (resident && memory_.observe(*resident, held, now)) {
        async::returnFreeMemory();
        memory_.observe(async::residentBytes().value_or(*resident), held, now);
    }
    loop_.memory().setLimit(memory_.limit());
}

/** One line in a while for all clients: a flood of them is no flood of lines. */
void ClientBounds::logLimitsMet(TimePoint now)
{
    if (now < nextLog_) {
        return;
    }
    nextLog_ = now + LogInterval;
    std::string met;
    for (const EnumName<async::ClientLimit> &limit : async::ClientLimitNames) {
        const std::uint64_t count = met_(limit.value_);
        std::uint64_t &logged = logged_[limit.value_];
        if (count > logged) {
            met += (met.empty() ? "" : ",") + std::string(limit.name_) + ":"
                   + std::to_string(count - logged);
            logged = count;
        }
    }
    if (!met.empty()) {
        logEvent(LogLevel::Warning, "client_limits_met",
                 {{"met", met},
                  {"held_bytes", loop_.memory().held()},
                  {"limit_bytes", loop_.memory().limit()},
                  {"sockets", loop_.sockets().open()}});
    }
}

void ClientBounds::addMetrics(observe::Metrics &metrics) const
{
    for (const EnumName<async::ClientLimit> &limit : async::ClientLimitNames) {
        metrics.countTo("client_limits_met_total", observe::metricLabel("limit", limit.name_),
                        met_(limit.value_));
    }
    for (const EnumName<async::SocketUse> &use : async::SocketUseNames) {
        metrics.gauge("sockets", static_cast<double>(loop_.sockets().open(use.value_)),
                      observe::metricLabel("use", use.name_));
    }
    metrics.gauge("client_bytes", static_cast<double>(loop_.memory().held()));
    metrics.gauge("client_bytes_peak", static_cast<double>(loop_.memory().peak()));
    metrics.gauge("client_bytes_limit", static_cast<double>(loop_.memory().limit()));
}

} // namespace almondridge::gateway
