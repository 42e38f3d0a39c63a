#include "almondridge/observe/metrics.h"

#include "histogramseries.h"

#include <functional>

namespace almondridge::observe {
namespace {

/**
 * Limit on the label sets of one metric. Otherwise a label with values that callers choose could
 * exhaust the instance's memory, and the /metrics page would keep growing. Samples of further label
 * sets are added to a single overflow label set, so that totals stay correct.
 */
constexpr std::size_t MaxSeries = 10'000;
constexpr std::string_view OverflowLabels = R"(overflow="true")";

/** The values of one metric by label set. */
template <typename Value>
using Series = std::map<std::string, Value, std::less<>>;
/** Metrics by name. */
template <typename Value>
using Families = std::map<std::string, Series<Value>, std::less<>>;

template <typename Map>
typename Map::mapped_type &findOrInsert(Map &map, std::string_view key)
{
    const auto found = map.find(key);
    return found != map.end() ? found->second : map[std::string(key)];
}

template <typename Value>
Value &seriesValue(Families<Value> &families, std::string_view name, std::string_view labels)
{
    Series<Value> &series = findOrInsert(families, name);
    const bool full = series.size() >= MaxSeries && series.find(labels) == series.end();
    return findOrInsert(series, full ? OverflowLabels : labels);
}

void printValue(std::string &out, std::string_view name, std::string_view labels,
                std::uint64_t value)
{
    printSample(out, name, "", labels, std::to_string(value));
}

void printValue(std::string &out, std::string_view name, std::string_view labels, double value)
{
    printSample(out, name, "", labels, numberText(value));
}

void printValue(std::string &out, std::string_view name, std::string_view labels,
                const HistogramSeries &value)
{
    value.print(out, name, labels);
}

/** The text of each metric, by name. */
using Page = std::map<std::string, std::string>;

template <typename Value>
void printFamilies(Page &page, const Families<Value> &families, std::string_view type)
{
    for (const auto &[name, series] : families) {
        std::string &text = page[name];
        text += "# TYPE " + name + " " + std::string(type) + "\n";
        for (const auto &[labels, value] : series) {
            printValue(text, name, labels, value);
        }
    }
}

} // namespace

struct Metrics::Shard
{
    mutable std::mutex mutex_;
    Families<std::uint64_t> counters_;
    Families<double> gauges_;
    Families<HistogramSeries> histograms_;
};

Metrics::Metrics()
{
    for (std::unique_ptr<Shard> &shard : shards_) {
        shard = std::make_unique<Shard>();
    }
}

Metrics::~Metrics() = default;

Metrics::Shard &Metrics::shardOf(std::string_view name) const
{
    return *shards_[std::hash<std::string_view> {}(name) % ShardCount];
}

void Metrics::count(std::string_view name, std::string_view labels, std::uint64_t by)
{
    Shard &shard = shardOf(name);
    const std::lock_guard lock(shard.mutex_);
    seriesValue(shard.counters_, name, labels) += by;
}

void Metrics::countTo(std::string_view name, std::string_view labels, std::uint64_t total)
{
    Shard &shard = shardOf(name);
    const std::lock_guard lock(shard.mutex_);
    seriesValue(shard.counters_, name, labels) = total;
}

void Metrics::gauge(std::string_view name, double value, std::string_view labels)
{
    Shard &shard = shardOf(name);
    const std::lock_guard lock(shard.mutex_);
    seriesValue(shard.gauges_, name, labels) = value;
}

void Metrics::observeSeconds(std::string_view name, double seconds, std::string_view labels)
{
    Shard &shard = shardOf(name);
    const std::lock_guard lock(shard.mutex_);
    seriesValue(shard.histograms_, name, labels).add(seconds);
}

std::uint64_t Metrics::counter(std::string_view name, std::string_view labels) const
{
    const Shard &shard = shardOf(name);
    const std::lock_guard lock(shard.mutex_);
    const auto family = shard.counters_.find(name);
    if (family == shard.counters_.end()) {
        return 0;
    }
    const auto found = family->second.find(labels);
    return found == family->second.end() ? 0 : found->second;
}

std::string Metrics::prometheusText() const
{
    Page page;
    for (const std::unique_ptr<Shard> &shard : shards_) {
        const std::lock_guard lock(shard->mutex_);
        printFamilies(page, shard->counters_, "counter");
        printFamilies(page, shard->gauges_, "gauge");
        printFamilies(page, shard->histograms_, "histogram");
    }
    std::string text;
    for (const auto &[name, lines] : page) {
        text += lines;
    }
    return text;
}

std::string metricLabel(std::string_view key, std::string_view value)
{
    std::string text(key);
    text += "=\"";
    for (const char letter : value) {
        if (letter == '\n') {
            text += "\\n";
            continue;
        }
        if (letter == '"' || letter == '\\') {
            text += '\\';
        }
        text += letter;
    }
    return text + '"';
}

} // namespace almondridge::observe
