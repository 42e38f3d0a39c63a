/**
 * The sockets of a process by their use. Each use has a part of the limit that the others can't
 * take, so that clients leave sockets for endpoints, other instances and the ready address.
 */
#pragma once

#include "almondridge/base/enumnames.h"

#include <array>
#include <cstddef>

namespace almondridge::async {

enum class SocketUse {
    Outgoing, ///< To endpoints, other instances and the store.
    Callers,
    Requests, ///< Other instances that forward requests.
    Messages, ///< Other instances' messages, and whoever reads metrics.
    Ready,    ///< Whoever asks whether this instance is ready.
};

inline constexpr std::array<EnumName<SocketUse>, 5> SocketUseNames {{
    {SocketUse::Outgoing, "outgoing"},
    {SocketUse::Callers, "callers"},
    {SocketUse::Requests, "requests"},
    {SocketUse::Messages, "messages"},
    {SocketUse::Ready, "ready"},
}};

class SocketAccount
{
public:
    /** 0: without a limit. */
    void setLimit(std::size_t sockets) { limit_ = sockets; }
    std::size_t limit() const noexcept { return limit_; }
    std::size_t open(SocketUse use) const { return open_.at(static_cast<std::size_t>(use)); }
    std::size_t open() const;
    /** Whether another socket of that use leaves the others their parts. */
    bool mayOpen(SocketUse use) const;
    /** The most sockets that clients of all kinds can have open. */
    std::size_t mostOfClients() const;

private:
    friend class OpenSocket;

    std::size_t partOf(SocketUse use) const;

    std::size_t limit_ = 0;
    std::array<std::size_t, SocketUseNames.size()> open_ {};
};

/** Counts a socket as open while it lives. */
class OpenSocket
{
public:
    OpenSocket(SocketAccount &account, SocketUse use)
        : account_(account)
        , use_(use)
    {
        ++account_.open_.at(static_cast<std::size_t>(use_));
    }
    ~OpenSocket() { close(); }
    OpenSocket(const OpenSocket &) = delete;
    OpenSocket &operator=(const OpenSocket &) = delete;

    void close()
    {
        if (isOpen_) {
            isOpen_ = false;
            --account_.open_.at(static_cast<std::size_t>(use_));
        }
    }

private:
    SocketAccount &account_;
    SocketUse use_;
    bool isOpen_ = true;
};

} // namespace almondridge::async
