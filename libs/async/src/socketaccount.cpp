#include "almondridge/async/socketaccount.h"

#include <algorithm>
#include <numeric>

namespace almondridge::async {
namespace {

struct SocketPart
{
    SocketUse use_;
    std::size_t sixtyFourths_; ///< Of the limit.
    std::size_t least_;
};

constexpr std::size_t SixtyFourths = 64;

/** Each call has a client's socket and one to an endpoint, so that these get half of all. */
constexpr std::array<SocketPart, 5> SocketParts {{
    {SocketUse::Outgoing, 34, 8},
    {SocketUse::Callers, 16, 8},
    {SocketUse::Requests, 4, 2},
    {SocketUse::Messages, 4, 4},
    {SocketUse::Ready, 1, 4},
}};

} // namespace

std::size_t SocketAccount::partOf(SocketUse use) const
{
    const SocketPart &part = SocketParts.at(static_cast<std::size_t>(use));
    return std::max(part.least_, limit_ * part.sixtyFourths_ / SixtyFourths);
}

std::size_t SocketAccount::open() const
{
    return std::accumulate(open_.begin(), open_.end(), std::size_t {0});
}

bool SocketAccount::mayOpen(SocketUse use) const
{
    if (limit_ == 0 || open(use) < partOf(use)) {
        return true;
    }
    std::size_t taken = 0;
    for (const SocketPart &part : SocketParts) {
        taken += part.use_ == use ? open(use) : std::max(open(part.use_), partOf(part.use_));
    }
    return taken < limit_;
}

std::size_t SocketAccount::mostOfClients() const
{
    const std::size_t outgoing = partOf(SocketUse::Outgoing);
    return limit_ > outgoing ? limit_ - outgoing : 0;
}

} // namespace almondridge::async
