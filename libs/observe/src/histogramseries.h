/**
 * A histogram of durations in seconds with logarithmic buckets, printed as Prometheus buckets.
 */
#pragma once

#include <boost/histogram.hpp>
#include <cstdint>
#include <string>
#include <string_view>

namespace almondridge::observe {

/** The shortest text that parses to the same number. */
std::string numberText(double value);
/** Prints one line: name and suffix, labels in braces, value. */
void printSample(std::string &out, std::string_view name, std::string_view suffix,
                 std::string_view labels, std::string_view value);

class HistogramSeries
{
public:
    HistogramSeries();

    /** Adds a sample. Negative values count as 0; NaN and infinity are ignored. */
    void add(double seconds);
    void print(std::string &out, std::string_view name, std::string_view labels) const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Storage = boost::histogram::dense_storage<std::uint64_t>;

    boost::histogram::histogram<std::tuple<Axis>, Storage> bins_;
    double sum_ = 0.0;
};

} // namespace almondridge::observe
