/**
 * Cost model of the requests of one service, learned from requests that were served. No I/O and no
 * clock.
 *
 * Prefill speed, answer length and batch size differ between deployments and are not configured. A
 * constant that fits one deployment costs another one half of its engines' capacity.
 */
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

namespace almondridge::gateway {

class RequestCosts
{
public:
    RequestCosts();
    /** The costs that are assumed before the first request. */
    static const RequestCosts &assumed();

    /** Adds a sample: the prefill time of a prompt on an engine with an empty prefill queue. */
    void onUncontendedPrefill(std::int64_t tokens, double milliseconds);
    /** Prefill time of this many tokens on an engine with an empty queue, with fixed costs. */
    double prefillMillis(std::int64_t tokens) const;
    /**
     * Compute time of the prefill alone: the time by which it delays the engine's other prompts.
     */
    double prefillComputeMillis(std::int64_t tokens) const;

    /** Adds a sample: the time from the first to the last event of a request of this route. */
    void onGenerated(const std::string &route, double milliseconds);
    /** Mean time from the first to the last event of a request of this route. */
    double generateMillis(const std::string &route) const;
    /** As generateMillis(), over all routes. */
    double meanGenerateMillis() const;

private:
    /** Sums of a least-squares fit of time over tokens; the weight of old samples decays. */
    struct LeastSquares
    {
        double weight_ = 0;
        double tokens_ = 0;
        double millis_ = 0;
        double tokensSquared_ = 0;
        double tokensMillis_ = 0;
        void add(double tokens, double milliseconds, double weight);
        void decay(double factor);
    };

    void fit();

    LeastSquares prefillSamples_;
    double millisPerToken_ = 0;
    double fixedMillis_ = 0;
    std::unordered_map<std::string, double> generateMillis_; ///< By route.
    double meanGenerateMillis_ = 0;                          ///< 0: no sample yet.
};

} // namespace almondridge::gateway
