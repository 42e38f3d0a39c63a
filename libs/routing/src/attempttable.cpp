#include "attempttable.h"

#include <algorithm>

namespace almondridge::routing {
namespace {

constexpr Duration SweepInterval = millis(1'000);
/** A response may still arrive after its deadline. */
constexpr Duration DeadlineGrace = millis(30'000);
/** For an attempt without a deadline. */
constexpr Duration DefaultLifetime = millis(600'000);

} // namespace

Attempt &AttemptTable::add(const AttemptId &id, TimePoint deadline, TimePoint now)
{
    Attempt &attempt = attempts_[id];
    attempt = Attempt {};
    attempt.number_ = ++lastNumber_;
    attempt.sentAt_ = now;
    attempt.expiresAt_ =
        deadline == TimePoint {} ? now + DefaultLifetime : std::max(deadline, now) + DeadlineGrace;
    return attempt;
}

Attempt *AttemptTable::find(const AttemptId &id)
{
    const auto found = attempts_.find(id);
    return found == attempts_.end() ? nullptr : &found->second;
}

std::vector<Attempt> AttemptTable::takeExpired(TimePoint now)
{
    std::vector<Attempt> expired;
    if (now < nextSweep_) {
        return expired;
    }
    nextSweep_ = now + SweepInterval;
    std::erase_if(attempts_, [&](auto &entry) {
        if (entry.second.expiresAt_ > now) {
            return false;
        }
        expired.push_back(std::move(entry.second));
        return true;
    });
    return expired;
}

} // namespace almondridge::routing
