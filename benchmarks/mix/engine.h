/**
 * The time model of one engine: steps that each give every running stream one token and prefill
 * one chunk. How its constants are chosen stands in docs/PLANNING.md.
 */
#pragma once

#include "almondridge/base/time.h"
#include "almondridge/fleet/fleet.h"
#include "almondridge/planner/planner.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace almondridge::mix {

/** Index of a request of the run. */
using RequestIndex = std::uint32_t;

/** What a role allows in one step. */
struct RoleLimits
{
    int batch_ = 0;       ///< Streams that get a token.
    int chunkTokens_ = 0; ///< Prompt tokens prefilled beside them.
};

RoleLimits limitsOf(fleet::EngineRole role);
/** Seconds of a step with this batch and chunk. */
double stepSeconds(int batch, int chunkTokens);
/** What an engine of the role does when it always has both kinds of work. */
planner::RoleRates busyRates(fleet::EngineRole role);

/** What is still to do of a request at one engine. */
struct WorkPart
{
    RequestIndex request_ = 0;
    int tokens_ = 0; ///< Prompt tokens to prefill, or output tokens to decode.
    bool prefill_ = false;
    bool started_ = false; ///< Has had a token from here.
};

/** What a step brought about. */
struct StepOutcome
{
    int batch_ = 0;
    double seconds_ = 0;
    std::vector<RequestIndex> prefilled_;
    std::vector<RequestIndex> firstTokens_;
    std::vector<RequestIndex> finished_;
};

/** What an engine reports, with the time when it was true. */
struct EngineReport
{
    TimePoint stamp_ {};
    int running_ = 0;
    int waiting_ = 0;
    std::int64_t prefillTokensWaiting_ = 0;
    double prefillTokensPerSecond_ = 0; ///< Over the steps that prefilled; 0: none yet.
    double streamTokensPerSecond_ = 0;  ///< Of one stream; 0: none yet.
    fleet::EngineRole role_ = fleet::EngineRole::Mixed;
};

class Engine
{
public:
    explicit Engine(fleet::EngineRole role)
        : role_(role)
    { }

    fleet::EngineRole role() const noexcept { return role_; }
    void setRole(fleet::EngineRole role);

    void addPrefill(RequestIndex request, int tokens);
    /** The stream wants this many more tokens. */
    void addDecode(RequestIndex request, int tokens);
    /** Takes the request off wherever it is; nullopt when it is not here. */
    std::optional<WorkPart> remove(RequestIndex request);
    /** Takes everything off. */
    std::vector<WorkPart> drain();

    bool hasWork() const noexcept;
    bool stepping() const noexcept { return stepping_; }
    /** Composes a step and gives its length. */
    double beginStep();
    StepOutcome endStep();

    int running() const noexcept { return static_cast<int>(running_.size()); }
    int waiting() const noexcept;
    std::int64_t prefillTokensWaiting() const noexcept { return prefillTokens_; }
    EngineReport report(TimePoint now) const;

private:
    void fillBatch();
    void prefillChunk(StepOutcome &outcome);
    void decodeOnce(StepOutcome &outcome);
    void measureRates(int batch);

    fleet::EngineRole role_;
    std::deque<WorkPart> prefill_;
    std::deque<WorkPart> waitingDecode_;
    std::vector<WorkPart> running_;
    std::int64_t prefillTokens_ = 0;
    bool stepping_ = false;
    int stepChunk_ = 0;
    double stepSeconds_ = 0;
    double prefillRate_ = 0; ///< Exponentially averaged over steps, as is streamRate_.
    double streamRate_ = 0;
};

} // namespace almondridge::mix
