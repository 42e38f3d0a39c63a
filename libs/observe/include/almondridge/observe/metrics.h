/**
 * Counters, gauges and histograms of one process, in the Prometheus text format.
 */
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace almondridge::observe {

/** A label as key="value", with the value escaped. Several are joined by commas. */
std::string metricLabel(std::string_view key, std::string_view value);

/** All metrics of a process, sharded by name; each shard has its own lock. Thread-safe. */
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /** Raises a counter to a total that is kept elsewhere and never falls. */
    void countTo(std::string_view name, std::string_view labels, std::uint64_t total);
    /** Adds to a counter. labels are in the printed form, as in kind="unknown". */
    void count(std::string_view name, std::string_view labels = {}, std::uint64_t by = 1);
    /** Sets a gauge. */
    void gauge(std::string_view name, double value, std::string_view labels = {});
    /** Adds a sample in seconds to a histogram with logarithmic buckets. */
    void observeSeconds(std::string_view name, double seconds, std::string_view labels = {});

    /** The value of a counter; 0 if it doesn't exist. */
    std::uint64_t counter(std::string_view name, std::string_view labels = {}) const;

    /** All metrics in Prometheus text format. */
    std::string prometheusText() const;

private:
    struct Shard;
    Shard &shardOf(std::string_view name) const;

    static constexpr std::size_t ShardCount = 8;
    std::array<std::unique_ptr<Shard>, ShardCount> shards_;
};

} // namespace almondridge::observe
