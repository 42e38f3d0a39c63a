#include "engine/kvexports.h"

#include <numeric>

namespace almondridge::standins {

std::string KvExports::add(const KvExport &exported)
{
    std::string ticket = "kv-" + std::to_string(nextTicket_++);
    exports_[ticket] = exported;
    return ticket;
}

std::optional<KvExport> KvExports::take(const std::string &ticket, TimePoint now)
{
    expire(now);
    const auto found = exports_.extract(ticket);
    if (found.empty()) {
        return std::nullopt;
    }
    return found.mapped();
}

void KvExports::expire(TimePoint now)
{
    std::erase_if(exports_, [&](const auto &entry) { return entry.second.expiresAt_ <= now; });
}

std::int64_t KvExports::heldTokens() const
{
    return std::accumulate(
        exports_.begin(), exports_.end(), std::int64_t {0},
        [](std::int64_t sum, const auto &entry) { return sum + entry.second.tokens_; });
}

} // namespace almondridge::standins
