#include "load/plan.h"

#include <algorithm>
#include <cmath>

namespace almondridge::standins {
namespace {

/** Spread of the sizes, as the sigma of a log-normal distribution. */
constexpr double SizeSigma = 0.5;
/** No size is larger than this many means. */
constexpr double LargestOverMean = 8;

void appendWords(std::string &text, const std::string &stem, std::int64_t count)
{
    for (std::int64_t word = 0; word < count; ++word) {
        text += text.empty() ? "" : " ";
        text += stem + std::to_string(word);
    }
}

} // namespace

PromptText promptOf(const PlannedCall &call)
{
    PromptText prompt;
    appendWords(prompt.shared_, "p" + std::to_string(call.prefix_) + ".", call.prefixTokens_);
    appendWords(prompt.own_, call.ownStem_ + ".", call.ownTokens_);
    return prompt;
}

PromptDigest digestOf(const PromptText &prompt)
{
    return digestPrompt(prompt.shared_ + " " + prompt.own_);
}

Plan::Plan(const LoadOptions &options)
    : options_(options)
    , random_(options.seed_)
    , phaseEnd_(options.phases_.front().seconds_)
{ }

std::optional<PlannedCall> Plan::next()
{
    const double wait = -std::log(1 - uniform()) / options_.phases_[phase_].rate_;
    atSeconds_ += wait;
    while (atSeconds_ >= phaseEnd_) {
        // Arrivals have no memory: the next phase begins anew at its start.
        if (++phase_ == options_.phases_.size()) {
            return std::nullopt;
        }
        atSeconds_ = phaseEnd_ - std::log(1 - uniform()) / options_.phases_[phase_].rate_;
        phaseEnd_ += options_.phases_[phase_].seconds_;
    }
    const PhaseOptions &phase = options_.phases_[phase_];
    PlannedCall call;
    ++count_;
    call.id_ = options_.runName_ + "-" + std::to_string(count_);
    call.ownStem_ = "l" + std::to_string(options_.seed_) + "-" + std::to_string(count_);
    call.atSeconds_ = atSeconds_;
    call.phase_ = phase_;
    call.kind_ = chooseKind();
    call.firstEntry_ = static_cast<std::size_t>(random_()) % options_.entries_.size();
    if (!options_.models_.empty()) {
        call.model_ = options_.models_[random_() % options_.models_.size()];
    }
    call.chat_ = uniform() < options_.chatShare_;
    call.prefix_ =
        static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(options_.prefixes_));
    const std::int64_t promptTokens = sizeAround(phase.promptTokens_);
    call.prefixTokens_ = static_cast<std::int64_t>(options_.prefixShare_ * phase.promptTokens_);
    call.prefixTokens_ = std::min(call.prefixTokens_, promptTokens - 1);
    call.ownTokens_ = promptTokens - call.prefixTokens_;
    call.outputTokens_ = sizeAround(phase.outputTokens_);
    return call;
}

double Plan::uniform()
{
    return std::uniform_real_distribution<double>(0, 1)(random_);
}

std::int64_t Plan::sizeAround(double mean)
{
    // The mean of exp(N(-s^2/2, s)) is 1.
    std::normal_distribution<double> normal(-SizeSigma * SizeSigma / 2, SizeSigma);
    const double size = std::min(mean * std::exp(normal(random_)), mean * LargestOverMean);
    return std::max<std::int64_t>(std::llround(size), 1);
}

CallKind Plan::chooseKind()
{
    const double drawn = uniform();
    if (drawn < options_.serviceShare_) {
        return CallKind::Service;
    }
    return drawn < options_.serviceShare_ + options_.streamedShare_ ? CallKind::Streamed
                                                                    : CallKind::Whole;
}

} // namespace almondridge::standins
