/**
 * Windows of the wall clock, in which the requests of each client account are counted.
 */
#pragma once

#include "almondridge/base/ids.h"

#include <cstdint>
#include <map>

namespace almondridge::usage {

/** Index of a window: window k begins k window lengths after the Unix epoch. */
using Window = std::int64_t;

/** Number of requests by client account. */
using AccountCounts = std::map<AccountId, std::uint64_t>;

/** The window that contains a time. unixMillis: milliseconds since the Unix epoch. */
constexpr Window windowAt(std::int64_t unixMillis, std::int64_t windowMillis) noexcept
{
    return unixMillis / windowMillis;
}

/** The end of the window (exclusive), in milliseconds since the Unix epoch. */
constexpr std::int64_t windowEndMillis(Window window, std::int64_t windowMillis) noexcept
{
    return (window + 1) * windowMillis;
}

} // namespace almondridge::usage
