/**
 * Callers that keep their connections open until the instance behind them is gone, and check
 * every answer.
 */
#pragma once

#include "instances.h"

#include "almondridge/async/httpclient.h"

#include <random>

namespace almondridge::soak {

class Callers
{
public:
    Callers(async::EventLoop &loop, Ledger &ledger,
            std::vector<std::unique_ptr<InstanceProcess>> &instances, std::uint64_t seed);

    /** Sends one request of each kind, each to an instance that is ready. */
    void sendRound();
    /** Sends a request, no two alike, whose prompt has the part that crashes endpoints. */
    void sendCrashingPart();
    /** Sends the request that crashes endpoints, always the same but for its id. */
    void sendCrashing();
    /** Asks an instance directly for the route that configuration `version` added. */
    void probeConfig(InstanceProcess &instance, int version);
    std::size_t open() const noexcept { return open_; }
    /** All instances have just ended: none knows where the streams of before began. */
    void onOriginsLost() { originsLostAt_ = BootClock::now(); }
    /** Where entries name starts, an instance doubts the versions of what it reads at its own. */
    void setEntriesNameStarts(bool named) { entriesNameStarts_ = named; }
    /** Whether violations of a cut are counted: not while a fault strikes. */
    void setCalm(bool calm) { calm_ = calm; }

private:
    void sendToCrash(std::string_view target, const std::string &parts, const std::string &body);
    struct Asked;

    std::vector<InstanceProcess *> readyInstances() const;
    /** body: of the request that is sent once more; empty: a new one. */
    void send(Kind kind, InstanceProcess &instance, const std::string &body = {});
    void send(const std::shared_ptr<Asked> &asked, const std::string &headers);
    void repeat(const Asked &asked);
    /** Closes the connection of a stream that has brought its first event, and takes it up. */
    void leave(const std::shared_ptr<Asked> &asked);
    /** Asks any instance for the rest of a stream that was cut, once one is ready. */
    void takeUp(const Asked &cut);
    void takeUpLater(const std::shared_ptr<Asked> &cut, Duration after);
    /** Whether the instance can't know yet which version an endpoint has. */
    bool doubtsVersions(const InstanceProcess &instance) const;
    /** Counts whether the stream went on, if some instance may know where it began. */
    void recordTakenUp(const Asked &asked, bool wentOn);
    void onEnd(const std::shared_ptr<Asked> &asked);
    void onFailed(const std::shared_ptr<Asked> &asked, async::ExchangeFailure failure);
    void checkStream(Asked &asked, bool whole);

    async::EventLoop &loop_;
    Ledger &ledger_;
    std::vector<std::unique_ptr<InstanceProcess>> &instances_;
    async::HttpClient client_;
    std::mt19937_64 random_;
    std::uint64_t next_ = 1;
    std::uint64_t seed_;
    std::size_t open_ = 0;
    bool calm_ = true;
    bool entriesNameStarts_ = false;
    TimePoint originsLostAt_ {};
    std::map<std::string, int> seenVersion_; ///< By instance and lifetime.
};

} // namespace almondridge::soak
