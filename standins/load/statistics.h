/**
 * Counts and times of a run, in all and for each phase.
 */
#pragma once

#include "common/fieldtable.h"
#include "load/callresult.h"

#include <boost/histogram.hpp>
#include <mutex>

namespace almondridge::standins {

/** A distribution of milliseconds, exact to about one part in a hundred. */
class TimeDistribution
{
public:
    TimeDistribution();

    void add(double millis);
    /** The value that share of all values do not exceed; 0 without values. */
    double quantile(double share) const;
    /** {"count","p50","p95","p99"}. */
    Json show() const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram = decltype(boost::histogram::make_histogram(std::declval<Axis>()));

    Histogram histogram_;
    std::uint64_t count_ = 0;
};

struct CallCounts
{
    std::int64_t asked_ = 0;
    std::int64_t whole_ = 0;
    std::int64_t notRun_ = 0;
    std::int64_t unknown_ = 0;
    std::int64_t rejected_ = 0;
    std::int64_t unreached_ = 0;
    std::int64_t lost_ = 0;
    std::int64_t wrong_ = 0;
    std::int64_t late_ = 0;          ///< Of the whole ones.
    std::int64_t clientLimited_ = 0; ///< Not asked: too many were in flight.
    std::int64_t tokens_ = 0;
    std::int64_t resumes_ = 0;
    std::int64_t failovers_ = 0;
    std::int64_t repetitions_ = 0;
};

/** Not thread-safe. */
class CallStatistics
{
public:
    void add(CallKind kind, const CallResult &result);
    void addClientLimited() { ++counts_.clientLimited_; }
    const CallCounts &counts() const noexcept { return counts_; }
    double firstTokenP95() const { return firstToken_.quantile(0.95); }
    /** Everything, with rates over the given time. */
    Json show(double seconds) const;

private:
    void count(const CallResult &result, CallCounts &counts);

    CallCounts counts_;
    std::array<CallCounts, CallKindNames.size()> byKind_ {};
    TimeDistribution firstToken_; ///< Of streamed answers.
    TimeDistribution interToken_;
    TimeDistribution whole_;
};

/** Thread-safe. */
class RunStatistics
{
public:
    explicit RunStatistics(const std::vector<PhaseOptions> &phases);

    void add(const PlannedCall &call, const CallResult &result);
    void addClientLimited(const PlannedCall &call);
    /** One line on how the run goes. */
    std::string progressLine(double seconds, int inFlight) const;
    Json show() const;

private:
    mutable std::mutex lock_;
    std::vector<PhaseOptions> options_;
    CallStatistics all_;
    std::vector<CallStatistics> phases_;
};

} // namespace almondridge::standins
