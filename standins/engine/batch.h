/**
 * The time model of continuous batching. A step gives every decoding job a token and spends a
 * budget of prompt tokens on jobs that are not through with their prompt; it takes longer the
 * more prompt tokens it reads and the more jobs decode. Pure: time is passed in.
 */
#pragma once

#include "almondridge/base/time.h"
#include "engine/prefixcache.h"
#include "engine/role.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace almondridge::standins {

using JobId = std::uint64_t;

/** One request to the batch. */
struct Job
{
    JobId id_ = 0;
    int priority_ = 0; ///< Higher goes first.
    std::int64_t promptTokens_ = 0;
    std::int64_t maxTokens_ = 0;
    std::vector<std::uint64_t> prefixHashes_ {};
    bool kvImported_ = false;              ///< Its prompt needs no prefill.
    TimePoint readyAt_ {};                 ///< Not started before: its KV cache is on its way.
    std::optional<TimePoint> deadline_ {}; ///< Dropped after it.
};

/** The speed of an engine in its present role. */
struct BatchRates
{
    double prefillTokensPerSecond_ = 0; ///< While nothing decodes.
    double decodeTokensPerSecond_ = 0;  ///< Of a full batch together, while nothing prefills.
    int maxBatch_ = 0;                  ///< Jobs in a step.
    std::int64_t chunkTokens_ = 0;      ///< Most prompt tokens of one step.
    std::int64_t kvCapacityTokens_ = 0; ///< What the jobs of a batch may need together.
};

/** What a step did. */
struct StepOutcome
{
    std::vector<JobId> started_;  ///< Jobs taken from the queue into the batch.
    std::vector<JobId> tokens_;   ///< Jobs that got one more token.
    std::vector<JobId> finished_; ///< Those of them that got their last.
    std::vector<JobId> dropped_;  ///< Jobs whose deadline passed; they are out.
    std::int64_t prefillTokens_ = 0;
};

/** Where a job stands. */
struct JobProgress
{
    bool started_ = false; ///< Taken from the queue into the batch.
    std::int64_t cachedTokens_ = 0;
    std::int64_t produced_ = 0;
};

/** The load as an engine reports it. */
struct BatchLoad
{
    int running_ = 0;
    int waiting_ = 0;
    std::int64_t prefillTokensWaiting_ = 0;
    std::int64_t kvUsedTokens_ = 0;
};

/** Not thread-safe. Times already come scaled. */
class Batch
{
public:
    Batch(const BatchRates &rates, PrefixCache &cache);

    /** Takes effect with the next step. */
    void setRates(const BatchRates &rates) { rates_ = rates; }
    const BatchRates &rates() const noexcept { return rates_; }

    void add(Job job);
    /** Takes a job out, also in the middle of a step. nullopt when it is not there. */
    std::optional<JobProgress> remove(JobId job);
    /** Takes all jobs out. */
    void clear();

    std::optional<JobProgress> progress(JobId job) const;
    BatchLoad load() const;
    /** When advance() has something to do; nullopt when there are no jobs. */
    std::optional<TimePoint> nextDue() const;
    /** Ends the step that is over at now and begins the next. At most one step a call. */
    StepOutcome advance(TimePoint now);

    /** How long a step with this much work takes. */
    Duration stepTime(std::int64_t prefillTokens, int decoding) const;

private:
    struct ActiveJob
    {
        Job job_;
        std::int64_t cachedTokens_ = 0;
        std::int64_t prefillLeft_ = 0;
        std::int64_t produced_ = 0;
        std::int64_t prefillInStep_ = 0;
        bool decodesInStep_ = false;

        std::int64_t reservedTokens() const { return job_.promptTokens_ + job_.maxTokens_; }
    };

    void endStep(StepOutcome &outcome);
    void beginStep(TimePoint start);
    void dropLate(TimePoint now, StepOutcome &outcome);
    void admitWaiting(TimePoint now, StepOutcome &outcome);
    void activate(Job job);
    void giveToken(ActiveJob &active, StepOutcome &outcome);
    std::int64_t reservedTokens() const;

    BatchRates rates_;
    PrefixCache &cache_;
    std::vector<Job> waiting_;      ///< In the order in which they start.
    std::vector<ActiveJob> active_; ///< In the order in which they started.
    std::optional<TimePoint> stepEnd_;
};

} // namespace almondridge::standins
