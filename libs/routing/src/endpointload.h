/**
 * What this entry knows of one endpoint's load: the last report, its own dispatches since then,
 * and how its first tokens compared with the estimates.
 */
#pragma once

#include "almondridge/routing/ablation.h"
#include "almondridge/routing/router.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace almondridge::routing {

/** What an endpoint without a usable report is assumed to be like: the median of its group. */
struct TypicalLoad
{
    double prefillTokensPerSecond_ = 8'000; ///< Until any engine has told its rate.
    double decodeTokensPerSecond_ = 30;
    double prefillTokensAhead_ = 0;
    double outstanding_ = 0; ///< Requests, as services report them.
    double reportWorth_ = 1; ///< See ReportReliability.
};

/** What an engine's report said beyond the typical load, and what a dispatch then met. */
struct ReportOutcome
{
    double reportedSeconds_ = 0;
    double observedSeconds_ = 0;
};

/** What the estimate needs to know of a request. */
struct Demand
{
    std::int64_t uncachedTokens_ = 0;
    std::int64_t kvTokens_ = 0; ///< Prompt and expected output.
    std::int64_t outputTokens_ = 0;
};

/** Settings that hold for all endpoints. */
struct LoadRules
{
    Duration staleAfter_ {};
    Mechanisms mechanisms_;
};

class EndpointLoad
{
public:
    /** False when the report is older than the one known, and ignored. */
    bool onReport(const LoadReport &report, TimePoint now);
    /** Forgets what was measured on a configuration that no longer holds. */
    void reset();

    /** rawSeconds: the uncorrected estimate it was dispatched on. */
    void onDispatched(std::uint64_t attempt, const Demand &demand, double rawSeconds, TimePoint now,
                      const LoadRules &rules, const TypicalLoad &typical);
    /** Nothing when there was no report to compare with. */
    std::optional<ReportOutcome> onFirstToken(std::uint64_t attempt, TimePoint now);
    void onFinished(std::uint64_t attempt);

    /** Whether the last report may still be believed. */
    bool reportIsFresh(TimePoint now, const LoadRules &rules) const;
    /** Prompt tokens to be read before a new request's own. */
    double prefillTokensAhead(TimePoint now, const LoadRules &rules,
                              const TypicalLoad &typical) const;
    /** Prompt tokens that the report counts as waiting and that are not this entry's own. */
    double reportedByOthers(const LoadRules &rules) const;
    /** Requests begun and not ended, for services. */
    double outstanding(TimePoint now, const LoadRules &rules, const TypicalLoad &typical) const;
    /** KV cache in use or under way, as a share of what there is; streams when not told. */
    double writingShare(TimePoint now, const LoadRules &rules, const TypicalLoad &typical) const;
    /** Seconds to the first token before correction by this entry's own observations. */
    double rawSeconds(const Demand &demand, TimePoint now, const LoadRules &rules,
                      const TypicalLoad &typical) const;
    /** Seconds to the first token. */
    double correctedSeconds(double rawSeconds, TimePoint now, const LoadRules &rules) const;

    double prefillRate(const TypicalLoad &typical) const;
    double decodeRate(const TypicalLoad &typical) const;
    std::optional<fleet::EngineRole> reportedRole() const;
    bool admits() const { return !reported_ || admits_; }
    std::size_t ownDispatches() const { return own_.size(); }

private:
    /** A dispatch of this entry that has not ended. */
    struct OwnDispatch
    {
        std::uint64_t attempt_ = 0;
        TimePoint sentAt_ {};
        TimePoint firstTokenAt_ = TimePoint::max();
        std::int64_t prefillTokens_ = 0;
        std::int64_t kvTokens_ = 0;
        double estimatedSeconds_ = 0;
        double reportedSeconds_ = 0; ///< Reported wait beyond the typical one.
        double typicalSeconds_ = 0;  ///< The estimate, had the report been the typical one.
        bool hadReport_ = false;
    };

    /** Sums of observed and estimated seconds, both fading with each observation and with time. */
    struct Observed
    {
        double observedSeconds_ = 0;
        double estimatedSeconds_ = 0;
        TimePoint at_ {};
    };

    std::vector<OwnDispatch>::iterator findOwn(std::uint64_t attempt);
    void observe(double observedSeconds, double estimatedSeconds, TimePoint now);
    double fade(TimePoint now) const;
    double overdueRatio(TimePoint now) const;
    double kvRoomSeconds(const Demand &demand, TimePoint now, const LoadRules &rules,
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
    std::vector<OwnDispatch> own_; ///< In the order of dispatch.
    Observed observed_;
};

} // namespace almondridge::routing
