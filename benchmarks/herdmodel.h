/**
 * A seeded event-driven queueing model of entries and engines. Engines read prompts one after the
 * other, keep the last packs (shared prompt prefixes) in their cache, and tell their load every
 * 250 ms, which entries learn after the lag.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace almondridge::herd {

/** What engines say of their reading speed, in tokens a second. */
constexpr double ToldRate = 20'000;
constexpr double TokenSeconds = 0.03;
constexpr std::size_t BlockTokens = 16;

/** What stands still between the policies of one comparison. */
struct Scenario
{
    const char *name_;
    double lagSeconds_;
    bool sharedPacks_;
    bool wrongReports_;        ///< Two engines at 0.4 of the told rate, one that always tells idle.
    double requestsPerEngine_; ///< A second.
    std::size_t engines_ = 20;
    std::size_t entries_ = 9;
    std::size_t packs_ = 160;
    bool stalls_ = false; ///< Every few seconds one engine stops reading for a while.
};

/** Stands for no shared pack. */
constexpr std::size_t NoPack = SIZE_MAX;

struct SimRequest
{
    std::size_t entry_ = 0;
    std::size_t pack_ = NoPack;
    std::int64_t packTokens_ = 0;
    std::int64_t promptTokens_ = 0;
    std::int64_t outputTokens_ = 0;
    double arrivedAt_ = 0;
    std::size_t engine_ = 0;
    std::int64_t cachedTokens_ = 0;
    std::vector<std::uint64_t> hashes_;
};

struct SimReport
{
    double stamp_ = 0;
    std::int64_t prefillTokensWaiting_ = 0;
    int running_ = 0;
    int waiting_ = 0;
};

/** A way of choosing. One object serves all entries and keeps their knowledge apart. */
class Policy
{
public:
    virtual ~Policy() = default;
    virtual std::size_t choose(const SimRequest &request, std::size_t number, double now,
                               std::uint64_t random) = 0;
    virtual void onReport(std::size_t, std::size_t, const SimReport &, double) { }
    virtual void onCacheEvent(std::size_t, const std::vector<std::uint64_t> &, bool, double, double)
    { }
    virtual bool wantsCacheEvents() const { return false; }
    virtual void onFirstToken(const SimRequest &, std::size_t, double) { }
    virtual void onFinished(const SimRequest &, std::size_t, double) { }
};

/** Figures of one run. */
struct Outcome
{
    double median_ = 0;
    double percentile95_ = 0;
    double withinAim_ = 0;
};

/** Runs one policy over one seeded sequence of requests. */
Outcome simulate(const Scenario &scenario, Policy &policy, std::uint64_t seed);

} // namespace almondridge::herd
