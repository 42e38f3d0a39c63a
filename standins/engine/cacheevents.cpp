#include "engine/cacheevents.h"

namespace almondridge::standins {
namespace {

/** The next number of a splitmix64 sequence, as a share of 1. */
double nextShare(std::uint64_t &state)
{
    state += 0x9e3779b97f4a7c15;
    std::uint64_t mixed = state;
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111eb;
    mixed ^= mixed >> 31;
    return static_cast<double>(mixed >> 11) * 0x1.0p-53;
}

} // namespace

CacheEvents::CacheEvents(std::uint64_t seed)
    : chance_(seed)
{ }

void CacheEvents::add(const CacheChange &change, double lossShare, TimePoint now,
                      std::int64_t wallMillis)
{
    const std::uint64_t sequence = next_++;
    if (nextShare(chance_) < lossShare) {
        return;
    }
    events_.push_back({sequence, change, wallMillis, now});
    if (events_.size() > MaxEvents) {
        events_.pop_front();
    }
}

CacheEventPage CacheEvents::read(std::uint64_t since, TimePoint until) const
{
    CacheEventPage page;
    page.next_ = std::min(std::max<std::uint64_t>(since, 1), next_);
    for (const CacheEvent &event : events_) {
        if (event.since_ > until) {
            break;
        }
        if (event.sequence_ >= since) {
            page.events_.push_back(event);
            page.next_ = event.sequence_ + 1;
        }
    }
    return page;
}

void CacheEvents::reset()
{
    events_.clear();
    next_ = 1;
}

} // namespace almondridge::standins
