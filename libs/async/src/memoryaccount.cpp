#include "almondridge/async/memoryaccount.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace almondridge::async {
namespace {

/** Parts of the limit, by kind, in eighths. */
constexpr std::array<std::size_t, 3> EighthsOfKind {6, 7, 8};
constexpr std::size_t Eighths = 8;
/** A search among all clients that found nobody is repeated after this time, or so many bytes. */
constexpr Duration SearchInterval = millis(20);
constexpr std::size_t SearchBytes = 65'536;
/** A client that has passed too little for so long makes no progress. */
constexpr Duration StallTime = millis(250);
/** Window of the rate at which bytes are given back. */
constexpr Duration GivenBackWindow = millis(1'000);
constexpr std::int64_t MinRetryAfterMillis = 300;
constexpr std::int64_t MaxRetryAfterMillis = 3'000;
constexpr double MillisPerSecond = 1'000;

/** Bytes times the time without progress; 0 if there is progress. */
double stallOf(const YieldCandidate &candidate, TimePoint now)
{
    const Duration stalled = now - candidate.progressAt_;
    return stalled >= StallTime ? static_cast<double>(candidate.bytes_) * toSeconds(stalled) : 0;
}

} // namespace

bool yieldsBefore(const YieldCandidate &a, const YieldCandidate &b, TimePoint now)
{
    const double stallA = stallOf(a, now);
    const double stallB = stallOf(b, now);
    return std::make_tuple(-stallA, a.done_, b.bytes_)
           < std::make_tuple(-stallB, b.done_, a.bytes_);
}

std::size_t MemoryAccount::limitOf(YieldKind kind) const noexcept
{
    return limit_ / Eighths * EighthsOfKind.at(static_cast<std::size_t>(kind));
}

std::vector<std::pair<YieldCandidate, YieldSource *>> MemoryAccount::candidates(TimePoint now) const
{
    std::vector<std::pair<YieldCandidate, YieldSource *>> found;
    for (YieldSource *source : sources_) {
        std::vector<YieldCandidate> ofSource;
        source->addCandidates(ofSource);
        for (const YieldCandidate &candidate : ofSource) {
            found.emplace_back(candidate, source);
        }
    }
    std::sort(found.begin(), found.end(),
              [now](const auto &a, const auto &b) { return yieldsBefore(a.first, b.first, now); });
    return found;
}

void MemoryAccount::relieve(TimePoint now)
{
    if (!isShort() || (now < searchAgainAfter_ && held_ < searchAgainAt_)) {
        return;
    }
    const auto all = candidates(now);
    for (const EnumName<YieldKind> &kind : YieldKindNames) {
        for (const auto &[candidate, source] : all) {
            if (held_ <= limitOf(kind.value_)) {
                break;
            }
            if (candidate.kind_ == kind.value_) {
                source->yield(candidate.number_);
            }
        }
    }
    searchAgainAfter_ = now + SearchInterval;
    searchAgainAt_ = std::max(held_, limitOf(YieldKind::Large)) + SearchBytes;
}

bool MemoryAccount::makeRoom(std::size_t bytes, YieldKind kind, TimePoint now)
{
    const std::size_t most = limitOf(kind);
    if (limit_ == 0 || held_ + bytes <= most) {
        return true;
    }
    VainSearch &vain = vainSearches_.at(static_cast<std::size_t>(kind));
    if (vain.isRecent(bytes, now)) {
        return false;
    }
    const auto all = candidates(now);
    std::size_t yieldable = 0;
    for (const auto &[candidate, source] : all) {
        yieldable += candidate.kind_ <= kind ? candidate.bytes_ : 0;
    }
    if (held_ + bytes > most + yieldable) {
        vain = {bytes, now + SearchInterval};
        return false;
    }
    for (const auto &[candidate, source] : all) {
        if (held_ + bytes <= most) {
            break;
        }
        if (candidate.kind_ <= kind) {
            source->yield(candidate.number_);
        }
    }
    return held_ + bytes <= most;
}

std::int64_t MemoryAccount::millisUntilRoom(std::size_t bytes, TimePoint now)
{
    if (now >= windowStart_ + GivenBackWindow) {
        givenBackPerSecond_ = static_cast<double>(givenBack_ - givenBackBefore_)
                              / std::max(1.0, toSeconds(now - windowStart_));
        givenBackBefore_ = givenBack_;
        windowStart_ = now;
    }
    const std::size_t most = limitOf(YieldKind::Large);
    const std::size_t needed = held_ + bytes;
    const double missing = needed > most ? static_cast<double>(needed - most) : 0;
    if (givenBackPerSecond_ <= 0) {
        return MaxRetryAfterMillis;
    }
    return std::clamp(static_cast<std::int64_t>(missing / givenBackPerSecond_ * MillisPerSecond),
                      MinRetryAfterMillis, MaxRetryAfterMillis);
}

void MemoryAccount::change(std::size_t before, std::size_t after)
{
    held_ += after;
    held_ -= before;
    peak_ = std::max(peak_, held_);
    givenBack_ += before > after ? before - after : 0;
}

HeldBytes::HeldBytes(HeldBytes &&other) noexcept
    : account_(other.account_)
    , bytes_(std::exchange(other.bytes_, 0))
{ }

HeldBytes &HeldBytes::operator=(HeldBytes &&other) noexcept
{
    if (this != &other) {
        set(0);
        account_ = other.account_;
        bytes_ = std::exchange(other.bytes_, 0);
    }
    return *this;
}

void HeldBytes::set(std::size_t bytes)
{
    if (account_ != nullptr && bytes != bytes_) {
        account_->change(bytes_, bytes);
        bytes_ = bytes;
    }
}

} // namespace almondridge::async
