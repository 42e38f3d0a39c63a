#include "histogramseries.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace almondridge::observe {
namespace {

constexpr double FirstEdge = 0.000'1; // seconds
constexpr double LastEdge = 120.0;    // seconds
/** Six bins for each factor of ten: each edge is 1.48 times the previous one. */
constexpr unsigned BinCount = 36;

} // namespace

std::string numberText(double value)
{
    std::array<char, 32> text {};
    const auto [end, error] = std::to_chars(text.data(), text.data() + text.size(), value);
    return {text.data(), end};
}

void printSample(std::string &out, std::string_view name, std::string_view suffix,
                 std::string_view labels, std::string_view value)
{
    out += name;
    out += suffix;
    if (!labels.empty()) {
        out += '{';
        out += labels;
        out += '}';
    }
    out += ' ';
    out += value;
    out += '\n';
}

HistogramSeries::HistogramSeries()
    : bins_(std::make_tuple(Axis(BinCount, FirstEdge, LastEdge)), Storage())
{ }

void HistogramSeries::add(double seconds)
{
    if (!std::isfinite(seconds)) {
        return;
    }
    const double sample = std::max(seconds, 0.0);
    bins_(sample);
    sum_ += sample;
}

void HistogramSeries::print(std::string &out, std::string_view name, std::string_view labels) const
{
    const std::string prefix = labels.empty() ? std::string() : std::string(labels) + ",";
    std::uint64_t total = 0;
    const auto printBucket = [&](const std::string &edge) {
        printSample(out, name, "_bucket", prefix + "le=\"" + edge + "\"", std::to_string(total));
    };
    const Axis &axis = bins_.axis();
    // Bin -1 has the samples below the first edge.
    for (int bin = -1; bin < axis.size(); ++bin) {
        total += bins_.at(bin);
        printBucket(numberText(axis.value(bin + 1)));
    }
    total += bins_.at(axis.size());
    printBucket("+Inf");
    printSample(out, name, "_sum", labels, numberText(sum_));
    printSample(out, name, "_count", labels, std::to_string(total));
}

} // namespace almondridge::observe
