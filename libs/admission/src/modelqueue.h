/**
 * Admission state of one model: reported capacity, limit on outstanding tokens and the queue.
 */
#pragma once

#include "fairqueue.h"
#include "tokenwindow.h"

namespace almondridge::admission {

/** The router's estimate for a model; expires. */
struct Capacity
{
    Duration firstTokenWait_ {};
    double tokensPerSecond_ = 0;
    double spareShare_ = 0;
    TimePoint reportedAt_ {};
    TimePoint validUntil_ {}; ///< From then on the capacity is unknown.
};

/** The queue of one model, with estimates of its capacity. */
class ModelQueue
{
public:
    void onCapacity(Duration firstTokenWait, double tokensPerSecond, double spareShare,
                    TimePoint now);
    /** Counts the tokens of a finished request, to estimate the rate if none is reported. */
    void onFinished(std::int64_t tokens, TimePoint now);

    bool capacityKnown(TimePoint now) const { return now < capacity_.validUntil_; }
    /** Whether the last report, not yet expired, says that no engine can serve the model. */
    bool hasNoCapacity(TimePoint now) const
    {
        return capacityKnown(now) && capacity_.tokensPerSecond_ <= 0;
    }
    /** Tokens per second as reported, else as recently finished; 0 if both are unknown. */
    double tokensPerSecond(TimePoint now) const;
    /**
     * Expected time to first token at the endpoints. Zero if unknown; admission then depends only
     * on the limit on outstanding tokens.
     */
    Duration firstTokenWait(TimePoint now) const;
    /** When a queued request will miss its first-token deadline; nullopt: never. */
    std::optional<TimePoint> refusalTime(TimePoint latestFirstToken) const;
    /** Time to serve the tokens; zero if the rate is unknown. */
    Duration timeFor(double tokens, TimePoint now) const;

    FairQueue queue_;
    TokenWindow window_;

private:
    Capacity capacity_;
    double finishedTokensPerSecond_ = 0; ///< Exponentially smoothed.
    std::int64_t finishedTokens_ = 0;    ///< Since intervalStart_.
    TimePoint intervalStart_ {};
};

} // namespace almondridge::admission
