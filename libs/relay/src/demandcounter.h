/**
 * Tokens requested per model, and the average length of responses.
 */
#pragma once

#include "almondridge/relay/relay.h"

#include <map>
#include <mutex>
#include <vector>

namespace almondridge::relay {

/** Thread-safe. */
class DemandCounter
{
public:
    /** Expected output tokens for a limit of maxTokens, from the share that responses used. */
    std::int64_t expectedOutput(const ModelId &model, std::int64_t maxTokens) const;
    /** Counts a request even if it is refused: the planner needs demand, not throughput. */
    void onRequest(const ModelId &model, std::int64_t promptTokens, std::int64_t expectedOutput);
    /** Replaces the expected output of a completed response with the actual one. */
    void onCompleted(const ModelId &model, std::int64_t expectedOutput, std::int64_t outputTokens,
                     std::int64_t maxTokens);
    /** Subtracts prompt tokens that an engine had cached and did not prefill. */
    void onCacheHit(const ModelId &model, std::int64_t tokens);

    /** Returns and resets the demand per model. */
    std::vector<ModelDemand> take();

private:
    struct Model
    {
        double prefillTokens_ = 0;
        double decodeTokens_ = 0;
        double outputShare_ = 1.0; ///< Output tokens / max_tokens, moving average.
    };

    mutable std::mutex mutex_;
    std::map<ModelId, Model> models_;
};

} // namespace almondridge::relay
