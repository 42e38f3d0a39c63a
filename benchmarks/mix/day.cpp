#include "day.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace almondridge::mix {
namespace {

constexpr std::array<ClassShape, ClassTotal> Shapes {{
    {6'000, 40, 6},
    {1'500, 150, 10},
    {700, 500, 30},
}};

constexpr double SizeDeviation = 0.35; ///< Of the logarithm of prompt and output tokens.
constexpr double NoiseStepSeconds = 2; ///< The noise holds this long.
constexpr double NoiseMemory = 0.7;    ///< Correlation of one noise step with the next.

/** Weights of LongRead, Exchange, Summary. */
constexpr std::array<double, ClassTotal> Ordinary {0.10, 0.60, 0.30};
constexpr std::array<double, ClassTotal> Reading {0.75, 0.20, 0.05};
constexpr std::array<double, ClassTotal> Writing {0.02, 0.30, 0.68};
constexpr std::array<double, ClassTotal> MoreReading {0.25, 0.50, 0.25};
constexpr std::array<double, ClassTotal> MoreWriting {0.00, 0.20, 0.80};

class TraceMaker
{
public:
    TraceMaker(const Day &day, std::uint64_t seed)
        : day_(day)
        , random_(seed)
    { }

    Trace make()
    {
        double at = 0;
        for (const Phase &phase : day_.phases_) {
            trace_.phaseStarts_.push_back(at);
            const double length =
                phase.seconds_ * (1 + day_.phaseJitter_ * (2 * uniform_(random_) - 1));
            fill(phase, at, at + length);
            at += length;
        }
        trace_.seconds_ = at;
        return std::move(trace_);
    }

private:
    void fill(const Phase &phase, double from, double until)
    {
        const planner::RoleRates work = meanWork(phase);
        const double perSecond = phase.load_ * day_.engines() / (work.prefill_ + work.decode_);
        double at = from;
        while (at < until) {
            stepNoise(at);
            const std::array<double, ClassTotal> weights = noisyWeights(phase);
            const double sum = weights[0] + weights[1] + weights[2];
            at += -std::log(1 - uniform_(random_)) / (perSecond * sum);
            trace_.requests_.push_back(request(weights, at));
        }
    }

    std::array<double, ClassTotal> noisyWeights(const Phase &phase) const
    {
        std::array<double, ClassTotal> weights = phase.weights_;
        for (std::size_t index = 0; index < ClassTotal; ++index) {
            weights[index] *= std::exp(noise_[index] - day_.noise_ * day_.noise_ / 2);
        }
        return weights;
    }

    void stepNoise(double at)
    {
        while (noiseUntil_ <= at) {
            noiseUntil_ += NoiseStepSeconds;
            const double fresh = std::sqrt(1 - NoiseMemory * NoiseMemory) * day_.noise_;
            for (double &noise : noise_) {
                noise = NoiseMemory * noise + fresh * normal_(random_);
            }
        }
    }

    int size(int mean)
    {
        const double factor =
            std::exp(SizeDeviation * normal_(random_) - SizeDeviation * SizeDeviation / 2);
        return std::max(1, static_cast<int>(mean * factor));
    }

    Request request(const std::array<double, ClassTotal> &weights, double at)
    {
        double pick = uniform_(random_) * (weights[0] + weights[1] + weights[2]);
        std::size_t index = 0;
        while (index + 1 < ClassTotal && pick >= weights[index]) {
            pick -= weights[index];
            ++index;
        }
        const ClassShape &shape = Shapes[index];
        const int entries = day_.domains_ * day_.entriesPerDomain_;
        return {atSeconds(at),
                atSeconds(at + shape.deadlineSeconds_),
                static_cast<RequestClass>(index),
                size(shape.promptTokens_),
                size(shape.outputTokens_),
                static_cast<int>(uniform_(random_) * entries)};
    }

    const Day &day_;
    std::mt19937_64 random_;
    std::uniform_real_distribution<double> uniform_ {0, 1};
    std::normal_distribution<double> normal_ {0, 1};
    std::array<double, ClassTotal> noise_ {};
    double noiseUntil_ = 0;
    Trace trace_;
};

} // namespace

const ClassShape &shapeOf(RequestClass requestClass)
{
    return Shapes[static_cast<std::size_t>(requestClass)];
}

double Day::seconds() const
{
    double sum = 0;
    for (const Phase &phase : phases_) {
        sum += phase.seconds_;
    }
    return sum;
}

planner::RoleRates meanWork(const Phase &phase)
{
    planner::RoleRates work;
    for (std::size_t index = 0; index < ClassTotal; ++index) {
        work.prefill_ += phase.weights_[index] * Shapes[index].promptTokens_
                         / busyRates(fleet::EngineRole::Prefill).prefill_;
        work.decode_ += phase.weights_[index] * Shapes[index].outputTokens_
                        / busyRates(fleet::EngineRole::Decode).decode_;
    }
    return work;
}

Trace makeTrace(const Day &day, std::uint64_t seed)
{
    return TraceMaker(day, seed).make();
}

TimePoint atSeconds(double seconds)
{
    return TimePoint {} + spanOf(seconds);
}

Duration spanOf(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

double secondsAt(TimePoint time)
{
    return toSeconds(time.time_since_epoch());
}

Day kaarnaDay()
{
    return {
        "kaarna",
        "Kaarna: a morning burst of long reads, then rosters written out",
        3,
        7,
        3,
        2,
        {{100, 0.60, Ordinary}, {140, 0.80, Reading}, {140, 0.80, Writing}, {100, 0.60, Ordinary}},
        0.1,
        0};
}

Day lagonDay()
{
    return {"lagon",
            "Lagon: steady load with sudden swings",
            4,
            5,
            2,
            1,
            {{90, 0.85, MoreWriting},
             {120, 0.76, MoreReading},
             {90, 0.76, MoreWriting},
             {150, 0.85, MoreReading},
             {110, 0.76, MoreWriting}},
            0.3,
            0};
}

Day noiseDay()
{
    return {
        "noise", "Noise: the mix jitters, nothing shifts", 4, 5, 2, 1, {{500, 0.60, Ordinary}}, 0,
        0.35};
}

} // namespace almondridge::mix
