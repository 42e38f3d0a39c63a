#include "almondridge/gateway/requestcosts.h"

#include <algorithm>

namespace almondridge::gateway {
namespace {

/** An engine of a large model reads a token in this time until reads have told otherwise. */
constexpr double AssumedMillisPerToken = 0.025;
/** And answers a read of nothing after this: a connection, a step and the way back. */
constexpr double AssumedFixedMillis = 20;
/** The assumption counts like so many reads, at two sizes that a prompt may have. */
constexpr double AssumedReads = 4;
constexpr double ShortPrompt = 500;
constexpr double LongPrompt = 8'000;
/**
 * What is kept of earlier reads at each new one: some hundred count. Engines change in seconds
 * (crashes, slow ones), and an instance sees some reads alone in each second.
 */
constexpr double KeptReads = 0.99;
/**
 * Weight of a read that took longer than usual. Another instance's prompt may have been read at
 * the same time, which its note told too late: at half of the load the plain mean said that
 * reading takes 1.6 times what it takes.
 */
constexpr double SlowReadWeight = 0.15;
/** Rates beyond these are measurements of something else: a stalled engine, or a cached prompt. */
constexpr double LeastMillisPerToken = 1.0 / 300;
constexpr double MostMillisPerToken = 0.2;
constexpr double MostFixedMillis = 200;

/** Until a route's first answer: 100 tokens at eight milliseconds. */
constexpr double AssumedGenerateMillis = 800;
/** How much one more answer counts; their lengths differ by some times. */
constexpr double GeneratedWeight = 0.05;
/** Routes that are remembered; a configuration with thousands of them serves few at a time. */
constexpr std::size_t MostRoutes = 1'024;

} // namespace

void RequestCosts::Line::add(double tokens, double milliseconds, double weight)
{
    weight_ += weight;
    tokens_ += weight * tokens;
    millis_ += weight * milliseconds;
    tokensSquared_ += weight * tokens * tokens;
    tokensMillis_ += weight * tokens * milliseconds;
}

void RequestCosts::Line::fade(double kept)
{
    weight_ *= kept;
    tokens_ *= kept;
    millis_ *= kept;
    tokensSquared_ *= kept;
    tokensMillis_ *= kept;
}

RequestCosts::RequestCosts()
{
    for (const double tokens : {ShortPrompt, LongPrompt}) {
        reads_.add(tokens, AssumedFixedMillis + AssumedMillisPerToken * tokens, AssumedReads / 2);
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
    const double spread = reads_.weight_ * reads_.tokensSquared_ - reads_.tokens_ * reads_.tokens_;
    if (spread <= 0) {
        return; // All of one size: the line before holds.
    }
    const double slope =
        (reads_.weight_ * reads_.tokensMillis_ - reads_.tokens_ * reads_.millis_) / spread;
    millisPerToken_ = std::clamp(slope, LeastMillisPerToken, MostMillisPerToken);
    const double fixed = (reads_.millis_ - millisPerToken_ * reads_.tokens_) / reads_.weight_;
    fixedMillis_ = std::clamp(fixed, 0.0, MostFixedMillis);
}

void RequestCosts::onUncontendedPrefill(std::int64_t tokens, double milliseconds)
{
    const auto count = static_cast<double>(tokens);
    const double longest = MostFixedMillis + MostMillisPerToken * count;
    if (tokens <= 0 || milliseconds <= 0 || milliseconds > longest) {
        return;
    }
    reads_.fade(KeptReads);
    reads_.add(count, milliseconds, milliseconds > prefillMillis(tokens) ? SlowReadWeight : 1);
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
    if (generated_.size() >= MostRoutes && !generated_.contains(route)) {
        generated_.clear();
    }
    meanGenerated_ = meanGenerated_ > 0
                         ? meanGenerated_ + GeneratedWeight * (milliseconds - meanGenerated_)
                         : milliseconds;
    const auto [place, added] = generated_.try_emplace(route, milliseconds);
    if (!added) {
        place->second += GeneratedWeight * (milliseconds - place->second);
    }
}

double RequestCosts::meanGenerateMillis() const
{
    return meanGenerated_ > 0 ? meanGenerated_ : AssumedGenerateMillis;
}

double RequestCosts::generateMillis(const std::string &route) const
{
    const auto found = generated_.find(route);
    return found != generated_.end() ? found->second : AssumedGenerateMillis;
}

} // namespace almondridge::gateway
