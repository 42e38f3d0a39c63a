#include "herdpolicies.h"

#include <string>

namespace almondridge::herd {
namespace {

using namespace routing;

TimePoint at(double seconds)
{
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)));
}

EndpointId engineId(std::size_t engine)
{
    return EndpointId("e" + std::to_string(engine));
}

class RoundRobin : public Policy
{
public:
    explicit RoundRobin(const Scenario &scenario)
        : engines_(scenario.engines_)
        , entries_(scenario.entries_)
        , next_(scenario.entries_)
    { }

    std::size_t choose(const SimRequest &request, std::size_t, double, std::uint64_t) override
    {
        // Entries start at different engines.
        return (next_[request.entry_]++ + request.entry_ * engines_ / entries_) % engines_;
    }

private:
    std::size_t engines_;
    std::size_t entries_;
    std::vector<std::size_t> next_;
};

/** Believes the last report, of all engines or of two random ones. */
class ByReport : public Policy
{
public:
    ByReport(const Scenario &scenario, std::size_t candidates)
        : candidates_(candidates)
        , engines_(scenario.engines_)
        , known_(scenario.entries_, std::vector<std::int64_t>(scenario.engines_))
    { }

    std::size_t choose(const SimRequest &request, std::size_t, double,
                       std::uint64_t random) override
    {
        const auto &known = known_[request.entry_];
        std::size_t best = random % engines_;
        for (std::size_t step = 1; step < candidates_; ++step) {
            const std::size_t other =
                candidates_ == engines_ ? (random + step) % engines_
                                        : (best + 1 + (random >> 32U) % (engines_ - 1)) % engines_;
            best = known[other] < known[best] ? other : best;
        }
        return best;
    }
    void onReport(std::size_t entry, std::size_t engine, const SimReport &report, double) override
    {
        known_[entry][engine] = report.prefillTokensWaiting_;
    }

private:
    std::size_t candidates_;
    std::size_t engines_;
    std::vector<std::vector<std::int64_t>> known_;
};

class OurRouters : public Policy
{
public:
    OurRouters(const Scenario &scenario, const std::function<void(Router::Builder &)> &change)
    {
        auto fleet = std::make_shared<fleet::Fleet>();
        for (std::size_t engine = 0; engine < scenario.engines_; ++engine) {
            fleet::Endpoint endpoint;
            endpoint.id_ = engineId(engine);
            endpoint.domain_ = DomainId("d");
            endpoint.model_ = ModelId("m");
            fleet->endpoints_[endpoint.id_] = endpoint;
        }
        for (std::size_t entry = 0; entry < scenario.entries_; ++entry) {
            Router::Builder builder;
            builder.domain(DomainId("d"));
            change(builder);
            routers_.push_back(builder.build());
            routers_.back().setFleet(fleet);
        }
    }

    std::size_t choose(const SimRequest &request, std::size_t number, double now,
                       std::uint64_t random) override
    {
        RouteQuery query;
        query.model_ = ModelId("m");
        query.prefixHashes_ = request.hashes_;
        query.promptTokens_ = request.promptTokens_;
        query.outputTokens_ = request.outputTokens_;
        query.deadline_ = at(now + 60);
        query.random_ = random;
        Router &router = routers_[request.entry_];
        const EndpointId endpoint = router.choose(query, at(now))->endpoint_;
        router.onDispatched(attempt(number), endpoint, query, at(now));
        return std::stoul(endpoint.value().substr(1));
    }
    void onReport(std::size_t entry, std::size_t engine, const SimReport &told, double now) override
    {
        LoadReport report;
        report.endpoint_ = engineId(engine);
        report.stamp_ = at(told.stamp_);
        report.running_ = told.running_;
        report.waiting_ = told.waiting_;
        report.prefillTokensWaiting_ = told.prefillTokensWaiting_;
        report.prefillTokensPerSecond_ = ToldRate;
        report.decodeTokensPerSecond_ = 1 / TokenSeconds;
        routers_[entry].onReport(report, at(now));
    }
    bool wantsCacheEvents() const override { return true; }
    void onCacheEvent(std::size_t engine, const std::vector<std::uint64_t> &hashes, bool cached,
                      double stamp, double now) override
    {
        for (Router &router : routers_) {
            for (const std::uint64_t hash : hashes) {
                router.onCacheEvent({engineId(engine), hash, cached, at(stamp)}, at(now));
            }
        }
    }
    void onFirstToken(const SimRequest &request, std::size_t number, double now) override
    {
        routers_[request.entry_].onFirstToken(attempt(number), request.cachedTokens_, at(now));
    }
    void onFinished(const SimRequest &request, std::size_t number, double now) override
    {
        routers_[request.entry_].onFinished(attempt(number), true, at(now));
    }

private:
    static AttemptId attempt(std::size_t number) { return AttemptId(std::to_string(number)); }

    std::vector<Router> routers_;
};

} // namespace

std::unique_ptr<Policy> makeRoundRobin(const Scenario &scenario)
{
    return std::make_unique<RoundRobin>(scenario);
}

std::unique_ptr<Policy> makeByReport(const Scenario &scenario, std::size_t candidates)
{
    return std::make_unique<ByReport>(scenario, candidates);
}

std::unique_ptr<Policy> makeRouters(const Scenario &scenario,
                                    const std::function<void(routing::Router::Builder &)> &change)
{
    return std::make_unique<OurRouters>(scenario, change);
}

} // namespace almondridge::herd
