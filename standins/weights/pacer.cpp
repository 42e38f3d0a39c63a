#include "weights/pacer.h"

#include <algorithm>

namespace almondridge::standins {
namespace {

/** Bytes that count as none: rounding of the shares. */
constexpr double NoBytes = 0.5;

std::size_t unfinished(const std::map<Pacer::FetchId, double> &left)
{
    return static_cast<std::size_t>(std::count_if(
        left.begin(), left.end(), [](const auto &entry) { return entry.second > NoBytes; }));
}

} // namespace

void Pacer::setRate(double bytesPerSecond, TimePoint now)
{
    advance(now);
    rate_ = bytesPerSecond;
}

Pacer::FetchId Pacer::begin(std::int64_t bytes, TimePoint now)
{
    advance(now);
    const FetchId id = nextId_++;
    left_[id] = static_cast<double>(bytes);
    return id;
}

bool Pacer::finished(FetchId fetch, TimePoint now)
{
    advance(now);
    const auto found = left_.find(fetch);
    if (found == left_.end()) {
        return true;
    }
    if (found->second > NoBytes) {
        return false;
    }
    left_.erase(found);
    return true;
}

void Pacer::abandon(FetchId fetch, TimePoint now)
{
    advance(now);
    left_.erase(fetch);
}

TimePoint Pacer::estimatedEnd(FetchId fetch) const
{
    const auto found = left_.find(fetch);
    if (found == left_.end()) {
        return last_;
    }
    const auto sharers = static_cast<double>(std::max<std::size_t>(unfinished(left_), 1));
    const double seconds = std::max(found->second, 0.0) * sharers / rate_;
    return last_ + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

void Pacer::advance(TimePoint now)
{
    // Step by step: when a fetch ends, the share of the others grows.
    double seconds = std::max(toSeconds(now - last_), 0.0);
    last_ = std::max(last_, now);
    for (std::size_t sharers = unfinished(left_); sharers > 0 && seconds > 0;
         sharers = unfinished(left_)) {
        double least = -1;
        for (const auto &[id, bytes] : left_) {
            if (bytes > NoBytes && (least < 0 || bytes < least)) {
                least = bytes;
            }
        }
        const double share = rate_ / static_cast<double>(sharers);
        const double span = std::min(seconds, least / share);
        for (auto &[id, bytes] : left_) {
            bytes -= bytes > NoBytes ? span * share : 0;
        }
        seconds -= span;
    }
}

} // namespace almondridge::standins
