/**
 * How many tokens are asked for, per model, and how long answers turn out to be.
 */
#pragma once

#include "almondridge/relay/relay.h"

#include <map>
#include <mutex>
#include <vector>

namespace almondridge::relay {

class DemandCounter
{
public:
    /** The answer's expected length for a limit of maxTokens, from the latest answers' shares. */
    std::int64_t expectedOutput(const ModelId &model, std::int64_t maxTokens) const;
    /** A request was offered, also when it is refused: the planner weighs demand, not work done. */
    void onRequest(const ModelId &model, std::int64_t promptTokens, std::int64_t expectedOutput);
    /** An answer is whole. Corrects what was expected of it. */
    void onCompleted(const ModelId &model, std::int64_t expectedOutput, std::int64_t outputTokens,
                     std::int64_t maxTokens);
    /** Tokens that an engine had in its cache and did not prefill. */
    void onCacheHit(const ModelId &model, std::int64_t tokens);

    std::vector<ModelDemand> take();

private:
    struct Model
    {
        double prefillTokens_ = 0;
        double decodeTokens_ = 0;
        double outputShare_ = 1.0; ///< Of max_tokens, exponentially averaged.
    };

    mutable std::mutex mutex_;
    std::map<ModelId, Model> models_;
};

} // namespace almondridge::relay
