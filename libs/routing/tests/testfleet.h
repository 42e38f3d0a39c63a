/** Test helpers: builds a small fleet and drives one router. */
#pragma once

#include "almondridge/routing/router.h"

#include <string>

namespace almondridge::routing {

inline TimePoint at(std::int64_t milliseconds)
{
    // Offset from the epoch, since TimePoint {} means "none" in some messages.
    return TimePoint {} + millis(1'000'000 + milliseconds);
}

inline EndpointId engine(int number, const std::string &domain = "d1")
{
    return EndpointId(domain + "-e" + std::to_string(number));
}

/** Builds a fleet of model "m" and service "booking"; the router is in domain d1. */
class TestFleet
{
public:
    TestFleet &engines(int count, const std::string &domain = "d1",
                       fleet::EngineRole role = fleet::EngineRole::Mixed)
    {
        for (int number = 0; number < count; ++number) {
            fleet::Endpoint endpoint;
            endpoint.id_ = engine(next_++, domain);
            endpoint.domain_ = DomainId(domain);
            endpoint.model_ = ModelId("m");
            endpoint.role_ = role;
            fleet_->endpoints_[endpoint.id_] = endpoint;
        }
        return *this;
    }
    TestFleet &services(int count)
    {
        for (int number = 0; number < count; ++number) {
            fleet::Endpoint endpoint;
            endpoint.id_ = EndpointId("s" + std::to_string(number));
            endpoint.domain_ = DomainId("d1");
            endpoint.kind_ = fleet::EndpointKind::Service;
            endpoint.service_ = ServiceId("booking");
            fleet_->endpoints_[endpoint.id_] = endpoint;
        }
        return *this;
    }
    fleet::Endpoint &at(const EndpointId &id) { return fleet_->endpoints_.at(id); }
    std::shared_ptr<const fleet::Fleet> get() const
    {
        return std::make_shared<fleet::Fleet>(*fleet_);
    }
    Router router() const
    {
        Router router = Router::Builder().domain(DomainId("d1")).build();
        router.setFleet(get());
        return router;
    }

private:
    std::shared_ptr<fleet::Fleet> fleet_ = std::make_shared<fleet::Fleet>();
    int next_ = 0;
};

inline LoadReport report(const EndpointId &endpoint, TimePoint stamp, std::int64_t tokensWaiting)
{
    LoadReport report;
    report.endpoint_ = endpoint;
    report.stamp_ = stamp;
    report.prefillTokensWaiting_ = tokensWaiting;
    report.prefillTokensPerSecond_ = 10'000;
    report.decodeTokensPerSecond_ = 30;
    return report;
}

inline RouteQuery prompt(std::int64_t tokens, std::vector<std::uint64_t> hashes = {})
{
    static std::uint64_t random = 0;
    RouteQuery query;
    query.model_ = ModelId("m");
    query.promptTokens_ = tokens;
    query.outputTokens_ = 50;
    query.prefixHashes_ = std::move(hashes);
    query.random_ = ++random;
    return query;
}

/** Block hashes of a new prompt: a prefix shared by prefixId, then blocks unique to the prompt. */
inline std::vector<std::uint64_t> promptHashes(std::uint64_t prefixId, std::size_t shared,
                                               std::size_t own)
{
    static std::uint64_t prompts = 0;
    ++prompts;
    std::vector<std::uint64_t> hashes;
    for (std::size_t block = 0; block < shared; ++block) {
        hashes.push_back((prefixId << 32U) + block);
    }
    for (std::size_t block = 0; block < own; ++block) {
        hashes.push_back((prompts << 44U) + block);
    }
    return hashes;
}

/** Records the dispatch of one attempt and returns its id. */
inline AttemptId dispatch(Router &router, const EndpointId &endpoint, const RouteQuery &query,
                          TimePoint now)
{
    static int attempts = 0;
    const AttemptId attempt("a" + std::to_string(++attempts));
    router.onDispatched(attempt, endpoint, query, now);
    return attempt;
}

/** Records an attempt that finishes with its first token. */
inline void completeAttempt(Router &router, const EndpointId &endpoint, const RouteQuery &query,
                            TimePoint sent, TimePoint firstToken, std::int64_t cachedTokens = -1)
{
    const AttemptId attempt = dispatch(router, endpoint, query, sent);
    router.onFirstToken(attempt, cachedTokens, firstToken);
    router.onFinished(attempt, true, firstToken);
}

/** How many of the choices select endpoint; nothing is dispatched. */
inline int countChoices(Router &router, const EndpointId &endpoint, const RouteQuery &query,
                        TimePoint now, int choices = 50)
{
    int count = 0;
    RouteQuery each = query;
    for (int choice = 0; choice < choices; ++choice) {
        each.random_ = query.random_ * 1'000 + static_cast<std::uint64_t>(choice);
        const std::optional<RouteChoice> chosen = router.choose(each, now);
        count += chosen && chosen->endpoint_ == endpoint ? 1 : 0;
    }
    return count;
}

} // namespace almondridge::routing
