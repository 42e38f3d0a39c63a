/**
 * What is measured of one run.
 */
#pragma once

#include "day.h"

#include <boost/histogram.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace almondridge::mix {

/** Seconds, in buckets of five per cent. */
class Latencies
{
public:
    Latencies();

    void add(double seconds, double count = 1);
    void add(const Latencies &other);
    /** Upper edge of the bucket below which this share lies; 0 without samples. */
    double quantile(double share) const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram =
        boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<double>>;
    Histogram histogram_;
};

struct RoleChangeMark
{
    double seconds_ = 0;
    int engine_ = 0;
    fleet::EngineRole from_ = fleet::EngineRole::Mixed;
    fleet::EngineRole to_ = fleet::EngineRole::Mixed;
    std::string reason_;
};

/** One slot of the time line of a day. */
struct TimeSlot
{
    double useful_ = 0;      ///< Whole answers within their deadline.
    double prefillWork_ = 0; ///< Engine-seconds asked for.
    double decodeWork_ = 0;
    std::array<double, 3> engines_ {}; ///< In service, by role, at the slot's end.
};

inline constexpr double SlotSeconds = 5;

struct Measures
{
    double seconds_ = 0;
    std::uint64_t requests_ = 0;
    std::uint64_t useful_ = 0;
    std::uint64_t refused_ = 0;
    std::uint64_t late_ = 0;
    std::uint64_t moved_ = 0; ///< Streams moved to another engine for a planned change.
    double wastedTokens_ = 0;
    Latencies firstToken_;
    Latencies interToken_;
    std::vector<RoleChangeMark> changes_;
    std::vector<TimeSlot> slots_;

    double goodput() const { return static_cast<double>(useful_) / seconds_; }
    TimeSlot &slotAt(double seconds);
};

} // namespace almondridge::mix
