#include "noteworth.h"

#include <algorithm>
#include <cstdlib>

namespace almondridge::gateway {
namespace {

/** Tokens at one engine, and requests at all of those that generate, that are worth a note. */
struct Worth
{
    std::int64_t tokens_;
    int uses_;
};
constexpr Worth WorthOfFew {2'000, 3};
constexpr Worth WorthOfMany {500, 1};
/** A failure that others do not know of yet. */
constexpr double FailureWorthTelling = 0.9;

template <typename Map>
bool anyFailureIsNew(const Map &now, const Map &before)
{
    return std::any_of(now.begin(), now.end(), [&](const auto &entry) {
        const auto found = before.find(entry.first);
        const double known = found != before.end() ? found->second : 0;
        return entry.second - known >= FailureWorthTelling;
    });
}

template <typename Map>
std::int64_t greatestGrowth(const Map &now, const Map &before)
{
    std::int64_t greatest = 0;
    for (const auto &[id, value] : now) {
        const auto found = before.find(id);
        const std::int64_t known = found != before.end() ? found->second.all() : 0;
        greatest = std::max<std::int64_t>(greatest, std::abs(value.all() - known));
    }
    return greatest;
}

template <typename Map>
std::int64_t sumOfGrowth(const Map &now, const Map &before)
{
    std::int64_t sum = 0;
    for (const auto &[id, value] : now) {
        const auto found = before.find(id);
        const std::int64_t known = found != before.end() ? found->second.all() : 0;
        sum += std::abs(value.all() - known);
    }
    return sum;
}

} // namespace

bool isWorthANote(const LoadReport &note, const LoadReport &last, FleetSize size)
{
    if (note.mayLead_ != last.mayLead_ || note.leads_ != last.leads_
        || note.unreached_ != last.unreached_ || anyFailureIsNew(note.failures_, last.failures_)) {
        return true;
    }
    const Worth &worth = size == FleetSize::Few ? WorthOfFew : WorthOfMany;
    const std::int64_t tokens = std::max(greatestGrowth(note.queued_, last.queued_),
                                         greatestGrowth(last.queued_, note.queued_));
    const std::int64_t uses = std::max(sumOfGrowth(note.slotUse_, last.slotUse_),
                                       sumOfGrowth(last.slotUse_, note.slotUse_));
    return tokens >= worth.tokens_ || uses >= worth.uses_;
}

} // namespace almondridge::gateway
