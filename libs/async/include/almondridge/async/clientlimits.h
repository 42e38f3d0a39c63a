/** The limits of clients at a server, and how often they were met. */
#pragma once

#include "almondridge/base/enumnames.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace almondridge::async {

/** What the kernel is asked to receive of a client before it is read. */
inline constexpr std::size_t ReceiveBufferBytes = 16'384;
/** What it receives at most: it doubles the number that it is given. */
inline constexpr std::size_t MaxReceivedBytes = 2 * ReceiveBufferBytes;

/** Why a server refused a client or closed its connection to keep its bounds. */
enum class ClientLimit {
    Head,         ///< Head, line of a chunk or trailers over the limit: 431.
    Body,         ///< Body over the limit: 413.
    Malformed,    ///< No request: 400.
    Time,         ///< The request was not received in time: 408.
    MemoryRead,   ///< No memory for a request that was being received: 503.
    MemoryCall,   ///< No memory to pass a request on: 503.
    Unread,       ///< An answer that the client doesn't read, when memory was short.
    StreamUnread, ///< The same of a stream in progress.
    UnreadTime,   ///< An answer of which the client has read nothing for too long.
    Sockets,      ///< An idle or stalled connection, for a new one.
    NoSocket,     ///< A new connection when no other could yield.
};

inline constexpr std::array<EnumName<ClientLimit>, 11> ClientLimitNames {{
    {ClientLimit::Head, "head"},
    {ClientLimit::Body, "body"},
    {ClientLimit::Malformed, "malformed"},
    {ClientLimit::Time, "time"},
    {ClientLimit::MemoryRead, "memory-read"},
    {ClientLimit::MemoryCall, "memory-call"},
    {ClientLimit::Unread, "unread"},
    {ClientLimit::StreamUnread, "stream-unread"},
    {ClientLimit::UnreadTime, "unread-time"},
    {ClientLimit::Sockets, "sockets"},
    {ClientLimit::NoSocket, "no-socket"},
}};

/** Clients that met a limit, by cause. */
class ClientLimitCounters
{
public:
    void count(ClientLimit limit) { ++counts_.at(static_cast<std::size_t>(limit)); }
    std::uint64_t count(ClientLimit limit) const
    {
        return counts_.at(static_cast<std::size_t>(limit));
    }

private:
    std::array<std::uint64_t, ClientLimitNames.size()> counts_ {};
};

} // namespace almondridge::async
