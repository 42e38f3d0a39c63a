/**
 * Fetches that share one rate evenly. Pure: time is passed in.
 */
#pragma once

#include "almondridge/base/time.h"

#include <cstdint>
#include <map>

namespace almondridge::standins {

/** Not thread-safe; the server holds it under one lock. */
class Pacer
{
public:
    using FetchId = std::uint64_t;

    /** Takes effect from now on. Bytes per second of the whole store, above zero. */
    void setRate(double bytesPerSecond, TimePoint now);
    double rate() const noexcept { return rate_; }

    FetchId begin(std::int64_t bytes, TimePoint now);
    /** Whether the fetch has got all its bytes; it is forgotten then. */
    bool finished(FetchId fetch, TimePoint now);
    /** Takes out a fetch before its end. */
    void abandon(FetchId fetch, TimePoint now);
    /** When the fetch ends if nothing else begins. */
    TimePoint estimatedEnd(FetchId fetch) const;

    std::size_t running() const noexcept { return left_.size(); }

private:
    /** Gives every fetch its share of the time since the last call. */
    void advance(TimePoint now);

    double rate_ = 1e9;
    TimePoint last_ {};
    std::map<FetchId, double> left_; ///< Bytes left.
    FetchId nextId_ = 1;
};

} // namespace almondridge::standins
