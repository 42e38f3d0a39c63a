/**
 * What requests cost the engines of one service, learnt from those that were served. Pure.
 *
 * Engines differ from deployment to deployment in how fast they read, how long their answers are
 * and how many they generate at once; nothing of that is told beforehand, and a figure that fits
 * one deployment costs the next one half of what its engines could do.
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
    /** What is assumed before the first request. */
    static const RequestCosts &assumed();

    /** A prompt was read by an engine that had nothing else to read, in this time. */
    void onUncontendedPrefill(std::int64_t tokens, double milliseconds);
    /** Until so many tokens are read by an engine that has nothing else to read. */
    double prefillMillis(std::int64_t tokens) const;
    /** What reading them takes from the engine's other prompts. */
    double prefillComputeMillis(std::int64_t tokens) const;

    /** A request of a route was generated; from its first event to its last one. */
    void onGenerated(const std::string &route, double milliseconds);
    double generateMillis(const std::string &route) const;
    /** The same of a request of any route. */
    double meanGenerateMillis() const;

private:
    /** Sums of a least-squares line through recent reads; old ones fade. */
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
    std::unordered_map<std::string, double> generateMillis_; ///< Milliseconds by route.
    double meanGenerateMillis_ = 0;                          ///< 0: none yet.
};

} // namespace almondridge::gateway
