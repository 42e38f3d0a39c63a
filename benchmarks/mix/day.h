/**
 * A day in small: phases of demand, and the requests that a seed makes of them.
 */
#pragma once

#include "almondridge/base/time.h"
#include "engine.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace almondridge::mix {

/** Kinds of request: a long read, a short exchange, a summary written out. */
enum class RequestClass { LongRead, Exchange, Summary };

inline constexpr std::size_t ClassTotal = 3;

/** Mean sizes in tokens, and the time after which the answer is worth nothing. */
struct ClassShape
{
    int promptTokens_ = 0;
    int outputTokens_ = 0;
    double deadlineSeconds_ = 0;
};

const ClassShape &shapeOf(RequestClass requestClass);

/** A stretch of the day with one mix. */
struct Phase
{
    double seconds_ = 0;
    double load_ = 0; ///< Work as a share of what dedicated engines could do at their full rate.
    std::array<double, ClassTotal> weights_ {}; ///< Requests of each class.
};

struct Day
{
    std::string name_;
    std::string title_;
    int domains_ = 0;
    int enginesPerDomain_ = 0;
    int entriesPerDomain_ = 0;
    int maxAway_ = 1;
    std::vector<Phase> phases_; ///< The same for each seed unless jitter_ says otherwise.
    double phaseJitter_ = 0;    ///< Phases last their length times 1 -+ this.
    double noise_ = 0;          ///< Deviation of the class weights' logarithm, changing quickly.

    double seconds() const;
    int engines() const { return domains_ * enginesPerDomain_; }
};

/** One request as its caller knows it. */
struct Request
{
    TimePoint arrival_ {};
    TimePoint deadline_ {};
    RequestClass class_ = RequestClass::Exchange;
    int promptTokens_ = 0;
    int outputTokens_ = 0;
    int entry_ = 0;
};

/** What one seed makes of a day. */
struct Trace
{
    std::vector<Request> requests_;   ///< By arrival.
    std::vector<double> phaseStarts_; ///< Seconds.
    double seconds_ = 0;
};

/** Engine-seconds of dedicated engines that a mean request of these weights takes. */
planner::RoleRates meanWork(const Phase &phase);

Trace makeTrace(const Day &day, std::uint64_t seed);

TimePoint atSeconds(double seconds);
Duration spanOf(double seconds);
double secondsAt(TimePoint time);

Day kaarnaDay();
Day lagonDay();
Day noiseDay();

} // namespace almondridge::mix
