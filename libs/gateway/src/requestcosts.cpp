#include "almondridge/gateway/requestcosts.h"

#include <algorithm>

namespace almondridge::gateway {
namespace {

/** Prefill time per token of a large model's engine, assumed until there are samples. */
constexpr double AssumedMillisPerToken = 0.025;
/** Assumed time of an empty prefill: a connection, one step and the response. */
constexpr double AssumedFixedMillis = 20;
/** The assumption counts as much as this many samples, at two typical prompt sizes. */
constexpr double AssumedSamples = 4;
constexpr double ShortPrompt = 500;
constexpr double LongPrompt = 8'000;
/**
 * Weight decay of earlier samples at each new one, so that about a hundred count. Engines change
 * within seconds (crashes, slowdowns), and an instance gets some uncontended samples per second.
 */
constexpr double SampleDecay = 0.99;
/**
 * Weight of a sample that is slower than the current estimate: the engine may have prefilled a
 * prompt of another instance at the same time, whose load report came too late. With equal weights,
 * the estimate at half load was 1.6 times the real prefill time.
 */
constexpr double SlowSampleWeight = 0.15;
/** Times beyond these limits measure something else: a stalled engine, or a cached prompt. */
constexpr double MinMillisPerToken = 1.0 / 300;
constexpr double MaxMillisPerToken = 0.2;
constexpr double MaxFixedMillis = 200;

/** Used until a route's first sample: 100 tokens at eight milliseconds. */
constexpr double AssumedGenerateMillis = 800;
/** Smoothing factor of generation times; answer lengths differ by a factor of several. */
constexpr double GenerateSmoothing = 0.05;
/** Routes with a time of their own; of thousands of configured routes few are busy at a time. */
constexpr std::size_t MaxRoutes = 1'024;

} // namespace

void RequestCosts::LeastSquares::add(double tokens, double milliseconds, double weight)
{
    weight_ += weight;
    tokens_ += weight * tokens;
    millis_ += weight * milliseconds;
    tokensSquared_ += weight * tokens * tokens;
    tokensMillis_ += weight * tokens * milliseconds;
}

void RequestCosts::LeastSquares::decay(double factor)
{
    weight_ *= factor;
    tokens_ *= factor;
    millis_ *= factor;
    tokensSquared_ *= factor;
    tokensMillis_ *= factor;
}

RequestCosts::RequestCosts()
{
    for (const double tokens : {ShortPrompt, LongPrompt}) {
        prefillSamples_.add(tokens, AssumedFixedMillis + AssumedMillisPerToken * tokens,
                            AssumedSamples / 2);
    }
    fit();
}

const RequestCosts &RequestCosts::assumed()
{
    static const RequestCosts costs;
    return costs;
}

void RequestCosts::fit()
{
    const double spread = prefillSamples_.weight_ * prefillSamples_.tokensSquared_
                          - prefillSamples_.tokens_ * prefillSamples_.tokens_;
    if (spread <= 0) {
        return; // All samples are of one size: keeps the previous fit.
    }
    const double slope = (prefillSamples_.weight_ * prefillSamples_.tokensMillis_
                          - prefillSamples_.tokens_ * prefillSamples_.millis_)
                         / spread;
    millisPerToken_ = std::clamp(slope, MinMillisPerToken, MaxMillisPerToken);
    const double fixed = (prefillSamples_.millis_ - millisPerToken_ * prefillSamples_.tokens_)
                         / prefillSamples_.weight_;
    fixedMillis_ = std::clamp(fixed, 0.0, MaxFixedMillis);
}

void RequestCosts::onUncontendedPrefill(std::int64_t tokens, double milliseconds)
{
    const auto count = static_cast<double>(tokens);
    const double maxMillis = MaxFixedMillis + MaxMillisPerToken * count;
    if (tokens <= 0 || milliseconds <= 0 || milliseconds > maxMillis) {
        return;
    }
    prefillSamples_.decay(SampleDecay);
    prefillSamples_.add(count, milliseconds,
                        milliseconds > prefillMillis(tokens) ? SlowSampleWeight : 1);
    fit();
}

double RequestCosts::prefillMillis(std::int64_t tokens) const
{
    return fixedMillis_ + prefillComputeMillis(tokens);
}

double RequestCosts::prefillComputeMillis(std::int64_t tokens) const
{
    return millisPerToken_ * static_cast<double>(tokens);
}

void RequestCosts::onGenerated(const std::string &route, double milliseconds)
{
    if (generateMillis_.size() >= MaxRoutes && !generateMillis_.contains(route)) {
        generateMillis_.clear();
    }
    meanGenerateMillis_ =
        meanGenerateMillis_ > 0
            ? meanGenerateMillis_ + GenerateSmoothing * (milliseconds - meanGenerateMillis_)
            : milliseconds;
    const auto [place, added] = generateMillis_.try_emplace(route, milliseconds);
    if (!added) {
        place->second += GenerateSmoothing * (milliseconds - place->second);
    }
}

double RequestCosts::meanGenerateMillis() const
{
    return meanGenerateMillis_ > 0 ? meanGenerateMillis_ : AssumedGenerateMillis;
}

double RequestCosts::generateMillis(const std::string &route) const
{
    const auto found = generateMillis_.find(route);
    return found != generateMillis_.end() ? found->second : AssumedGenerateMillis;
}

} // namespace almondridge::gateway
