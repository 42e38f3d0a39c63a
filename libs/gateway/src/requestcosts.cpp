#include "almondridge/gateway/requestcosts.h"

#include <algorithm>

namespace almondridge::gateway {
namespace {

/** An engine of a large model reads a token in this time until reads have told otherwise. */
constexpr double AssumedMillisPerToken = 0.025;
/** And answers a read of nothing after this: a connection, a step and the way back. */
constexpr double AssumedFixedMillis = 20;
/** The assumption counts like so many reads, at two sizes that a prompt may have. */
constexpr double AssumedSamples = 4;
constexpr double ShortPrompt = 500;
constexpr double LongPrompt = 8'000;
/**
 * What is kept of earlier reads at each new one: some hundred count. Engines change in seconds
 * (crashes, slow ones), and an instance sees some reads alone in each second.
 */
constexpr double SampleDecay = 0.99;
/**
 * Weight of a read that took longer than usual. Another instance's prompt may have been read at
 * the same time, which its note told too late: at half of the load the plain mean said that
 * reading takes 1.6 times what it takes.
 */
constexpr double SlowSampleWeight = 0.15;
/** Rates beyond these are measurements of something else: a stalled engine, or a cached prompt. */
constexpr double MinMillisPerToken = 1.0 / 300;
constexpr double MaxMillisPerToken = 0.2;
constexpr double MaxFixedMillis = 200;

/** Until a route's first answer: 100 tokens at eight milliseconds. */
constexpr double AssumedGenerateMillis = 800;
/** How much one more answer counts; their lengths differ by some times. */
constexpr double GenerateSmoothing = 0.05;
/** Routes that are remembered; a configuration with thousands of them serves few at a time. */
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
        prefillSamples_.add(tokens, AssumedFixedMillis + AssumedMillisPerToken * tokens, AssumedSamples / 2);
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
    const double spread = prefillSamples_.weight_ * prefillSamples_.tokensSquared_ - prefillSamples_.tokens_ * prefillSamples_.tokens_;
    if (spread <= 0) {
        return; // All of one size: the line before holds.
    }
    const double slope =
        (prefillSamples_.weight_ * prefillSamples_.tokensMillis_ - prefillSamples_.tokens_ * prefillSamples_.millis_) / spread;
    millisPerToken_ = std::clamp(slope, MinMillisPerToken, MaxMillisPerToken);
    const double fixed = (prefillSamples_.millis_ - millisPerToken_ * prefillSamples_.tokens_) / prefillSamples_.weight_;
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
    prefillSamples_.add(count, milliseconds, milliseconds > prefillMillis(tokens) ? SlowSampleWeight : 1);
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
    meanGenerateMillis_ = meanGenerateMillis_ > 0
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
