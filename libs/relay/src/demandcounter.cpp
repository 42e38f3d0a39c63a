#include "demandcounter.h"

#include <algorithm>
#include <cmath>

namespace almondridge::relay {
namespace {

/** Weight of one response in the moving average, which covers about the last twenty. */
constexpr double ResponseWeight = 0.05;

} // namespace

std::int64_t DemandCounter::expectedOutput(const ModelId &model, std::int64_t maxTokens) const
{
    const std::lock_guard lock(mutex_);
    const auto found = models_.find(model);
    const double share = found == models_.end() ? 1.0 : found->second.outputShare_;
    return std::max<std::int64_t>(std::llround(static_cast<double>(maxTokens) * share), 1);
}

void DemandCounter::onRequest(const ModelId &model, std::int64_t promptTokens,
                              std::int64_t expectedOutput)
{
    const std::lock_guard lock(mutex_);
    Model &demand = models_[model];
    demand.prefillTokens_ += static_cast<double>(promptTokens);
    demand.decodeTokens_ += static_cast<double>(expectedOutput);
}

void DemandCounter::onCompleted(const ModelId &model, std::int64_t expectedOutput,
                                std::int64_t outputTokens, std::int64_t maxTokens)
{
    const std::lock_guard lock(mutex_);
    Model &demand = models_[model];
    demand.decodeTokens_ += static_cast<double>(outputTokens - expectedOutput);
    const double share = static_cast<double>(outputTokens)
                         / static_cast<double>(std::max<std::int64_t>(maxTokens, 1));
    demand.outputShare_ += ResponseWeight * (std::min(share, 1.0) - demand.outputShare_);
}

void DemandCounter::onCacheHit(const ModelId &model, std::int64_t tokens)
{
    const std::lock_guard lock(mutex_);
    models_[model].prefillTokens_ -= static_cast<double>(tokens);
}

std::vector<ModelDemand> DemandCounter::take()
{
    const std::lock_guard lock(mutex_);
    std::vector<ModelDemand> samples;
    for (auto &[id, model] : models_) {
        // A correction can arrive after its expectation was reported. The negative rest is carried
        // over to the next call, since demand must not be negative.
        ModelDemand sample {id, std::max(model.prefillTokens_, 0.0),
                            std::max(model.decodeTokens_, 0.0)};
        model.prefillTokens_ = std::min(model.prefillTokens_, 0.0);
        model.decodeTokens_ = std::min(model.decodeTokens_, 0.0);
        samples.push_back(std::move(sample));
    }
    return samples;
}

} // namespace almondridge::relay
