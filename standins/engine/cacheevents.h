/**
 * What an engine tells of its prefix cache: late and with gaps. Pure: time is passed in.
 */
#pragma once

#include "almondridge/base/time.h"
#include "engine/prefixcache.h"

#include <cstdint>
#include <deque>
#include <vector>

namespace almondridge::standins {

/** A cache change with its number; a number that is missing was lost. */
struct CacheEvent
{
    std::uint64_t sequence_ = 0;
    CacheChange change_;
    std::int64_t stampMillis_ = 0; ///< By the wall clock.
    TimePoint since_ {};
};

struct CacheEventPage
{
    std::uint64_t next_ = 1; ///< Ask from here on the next time.
    std::vector<CacheEvent> events_;
};

/** Not thread-safe. Keeps the last MaxEvents. */
class CacheEvents
{
public:
    static constexpr std::size_t MaxEvents = 10'000;

    /** The same seed loses the same events. */
    explicit CacheEvents(std::uint64_t seed);

    /** Numbers a change. One that is lost takes a number and is never shown. */
    void add(const CacheChange &change, double lossShare, TimePoint now, std::int64_t wallMillis);
    /** Events with a number from since on that happened until the given time. */
    CacheEventPage read(std::uint64_t since, TimePoint until) const;
    /** Numbers begin at 1 again, as after a crash. */
    void reset();

private:
    std::deque<CacheEvent> events_;
    std::uint64_t next_ = 1;
    std::uint64_t chance_; ///< State of the generator that loses events.
};

} // namespace almondridge::standins
