/**
 * The load of one endpoint as this instance knows it: the last report, the requests that this
 * instance has sent since, and how observed first-token times compared with the estimates.
 */
#pragma once

#include "almondridge/routing/ablation.h"
#include "almondridge/routing/router.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace almondridge::routing {

/** Medians over a group of endpoints, assumed for an endpoint without a usable report. */
struct TypicalLoad
{
    double prefillTokensPerSecond_ = 8'000; ///< Until an engine reports its rate.
    double decodeTokensPerSecond_ = 30;
    double prefillTokensAhead_ = 0; ///< Prompt tokens queued for prefill.
    double outstanding_ = 0;        ///< Running and waiting requests; used for services.
    double reportWeight_ = 1;       ///< See ReportReliability::weight().
};

/** How far the wait of one dispatch exceeded the typical wait, as reported and as observed. */
struct ReportOutcome
{
    double reportedExcessSeconds_ = 0;
    double observedExcessSeconds_ = 0;
};

/** The work that a request makes for an engine, in tokens. */
struct RequestCost
{
    std::int64_t uncachedTokens_ = 0;
    std::int64_t kvTokens_ = 0; ///< Prompt and expected output.
    std::int64_t outputTokens_ = 0;
};

/** Settings that apply to all endpoints. */
struct LoadRules
{
    Duration staleAfter_ {}; ///< Reports older than this are ignored.
    Mechanisms mechanisms_;
};

/** Combines the reports of one endpoint with the dispatches of this instance. */
class EndpointLoad
{
public:
    /** Returns false, and ignores the report, if it is older than the last one. */
    bool onReport(const LoadReport &report, TimePoint now);
    /** Discards measurements; call when the endpoint's configuration has changed. */
    void reset();

    /** rawSeconds: the estimated time to first token before correction. */
    void onDispatched(std::uint64_t attempt, const RequestCost &cost, double rawSeconds,
                      TimePoint now, const LoadRules &rules, const TypicalLoad &typical);
    /** Returns nullopt if there was no fresh report at dispatch to compare with. */
    std::optional<ReportOutcome> onFirstToken(std::uint64_t attempt, TimePoint now);
    void onFinished(std::uint64_t attempt);

    /** Whether the last report is recent enough to be used. */
    bool reportIsFresh(TimePoint now, const LoadRules &rules) const;
    /** Prompt tokens that the engine has to prefill before those of a new request. */
    double prefillTokensAhead(TimePoint now, const LoadRules &rules,
                              const TypicalLoad &typical) const;
    /** Waiting prompt tokens in the last report, without those that this instance sent. */
    double reportedTokensOfOthers(const LoadRules &rules) const;
    /** Unfinished requests; used for services. */
    double outstanding(TimePoint now, const LoadRules &rules, const TypicalLoad &typical) const;
    /**
     * Used part of the KV cache, including requests not yet reported. May exceed 1. Based on the
     * number of streams if the engine does not report its KV capacity.
     */
    double kvUtilization(TimePoint now, const LoadRules &rules, const TypicalLoad &typical) const;
    /** Estimated time to first token, before correction by observed first-token times. */
    double rawSeconds(const RequestCost &cost, TimePoint now, const LoadRules &rules,
                      const TypicalLoad &typical) const;
    /** The estimate rawSeconds, corrected by observed and overdue first tokens. */
    double correctedSeconds(double rawSeconds, TimePoint now, const LoadRules &rules) const;

    /** Tokens per second as reported, else the typical rate. */
    double prefillRate(const TypicalLoad &typical) const;
    /** Tokens per second of one stream as reported, else the typical rate. */
    double decodeRate(const TypicalLoad &typical) const;
    std::optional<fleet::EngineRole> reportedRole() const;
    bool admits() const { return !reported_ || admits_; }
    std::size_t ownDispatches() const { return ownDispatches_.size(); }

private:
    /** An unfinished request that this instance sent. */
    struct OwnDispatch
    {
        std::uint64_t attempt_ = 0;
        TimePoint sentAt_ {};
        TimePoint firstTokenAt_ = TimePoint::max();
        std::int64_t prefillTokens_ = 0;
        std::int64_t kvTokens_ = 0;
        double estimatedSeconds_ = 0;
        double reportedExcessSeconds_ = 0; ///< Reported wait minus the typical wait.
        double typicalSeconds_ = 0;        ///< The estimate if the report had been typical.
        bool hadFreshReport_ = false;
    };

    /** Sums of observed and estimated times that decay with each observation and with time. */
    struct FirstTokenStats
    {
        double observedSeconds_ = 0;
        double estimatedSeconds_ = 0;
        TimePoint updatedAt_ {};
    };

    std::vector<OwnDispatch>::iterator findDispatch(std::uint64_t attempt);
    void observe(double observedSeconds, double estimatedSeconds, TimePoint now);
    double decay(TimePoint now) const;
    double overdueRatio(TimePoint now) const;
    double kvWaitSeconds(const RequestCost &cost, TimePoint now, const LoadRules &rules,
                         const TypicalLoad &typical) const;

    TimePoint stamp_ {};
    std::int64_t prefillTokensWaiting_ = 0;
    std::int64_t kvUsedTokens_ = 0;
    std::int64_t kvCapacityTokens_ = 0;
    double prefillTokensPerSecond_ = 0;
    double decodeTokensPerSecond_ = 0;
    int running_ = 0;
    int waiting_ = 0;
    fleet::EngineRole role_ = fleet::EngineRole::Mixed;
    bool admits_ = true;
    bool reported_ = false;
    std::vector<OwnDispatch> ownDispatches_; ///< In order of dispatch.
    FirstTokenStats firstTokenStats_;
};

} // namespace almondridge::routing
