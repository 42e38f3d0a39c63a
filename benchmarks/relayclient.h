/**
 * The client of bench relay: streams kept open for a turn, and what they came to.
 */
#pragma once

#include "almondridge/base/time.h"
#include "almondridge/net/http.h"

#include <chrono>
#include <vector>

namespace almondridge::bench {

constexpr std::int64_t StreamDeadlineMillis = 30'000;

/** Whether the clients begin over the length of a stream, as callers do, or all at once. */
enum class Start { Spread, Together };

/** How a number of concurrent streams is run. */
struct Load
{
    int streams_ = 1;
    int tokens_ = 64;             ///< In each answer.
    double tokensPerStream_ = 60; ///< Aimed at, in a second.
    Start start_ = Start::Spread;

    /** When a client begins its first stream. */
    std::chrono::duration<double> startOf(int client) const
    {
        const double share = start_ == Start::Spread ? 1.0 * client / streams_ : 0;
        return std::chrono::duration<double>(share * tokens_ / tokensPerStream_);
    }
};

/** What streams of one way came to, over all turns. */
struct Tally
{
    std::vector<double> firstTokenMillis_;
    std::int64_t tokens_ = 0;
    std::int64_t streams_ = 0;
    std::int64_t broken_ = 0;
    double seconds_ = 0;
    double entryCpuSeconds_ = 0;

    /** Of the times to the first token. */
    double quantile(double share);
    double tokensPerSecond() const { return static_cast<double>(tokens_) / seconds_; }
};

/** Keeps streams open against addresses, spread evenly, until the turn is over. */
void runTurn(const std::vector<net::Address> &addresses, const Load &load, double seconds,
             Tally &tally);

} // namespace almondridge::bench
