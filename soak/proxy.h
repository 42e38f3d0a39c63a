/**
 * A TCP proxy on loopback between an instance and what it talks to: it delays, resets, silences
 * or cuts one way, from outside of both.
 */
#pragma once

#include "almondridge/async/connection.h"
#include "almondridge/base/enumnames.h"

#include <deque>
#include <list>

namespace almondridge::soak {

enum class LinkFault { None, Delay, Reset, Silence, OneWay };

inline constexpr std::array<EnumName<LinkFault>, 5> LinkFaultNames {{
    {LinkFault::None, "none"},
    {LinkFault::Delay, "delay"},
    {LinkFault::Reset, "reset"},
    {LinkFault::Silence, "silence"},
    {LinkFault::OneWay, "one-way"},
}};

class Proxy
{
public:
    Proxy(async::EventLoop &loop, net::Address target);

    net::Address address() const { return {"127.0.0.1", port_}; }
    /** Reset breaks what is open; connections that were silenced stay silent for good. */
    void setFault(LinkFault fault);
    /** Closes what is open and refuses what comes: the target has crashed. */
    void shut();

private:
    struct Pair
    {
        std::shared_ptr<async::Connection> near_;
        std::shared_ptr<async::Connection> far_;
        bool dead_ = false;                  ///< Silenced for good: the ends do not learn of it.
        bool ends_ = false;                  ///< Once nothing is delayed any more.
        std::deque<std::string> outward_ {}; ///< Delayed, in the order in which they came.
        std::deque<std::string> inward_ {};

        async::Connection &to(bool outward) const { return outward ? *far_ : *near_; }
        std::deque<std::string> &delayed(bool outward) { return outward ? outward_ : inward_; }
    };

    void accept();
    void join(const std::shared_ptr<Pair> &pair);
    void pass(const std::shared_ptr<Pair> &pair, bool outward);
    /** Passes on what has been delayed for longest. */
    void passDelayed(const std::shared_ptr<Pair> &pair, bool outward);
    void end(const std::shared_ptr<Pair> &pair);

    async::EventLoop &loop_;
    net::Address target_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::uint16_t port_ = 0;
    LinkFault fault_ = LinkFault::None;
    std::list<std::shared_ptr<Pair>> pairs_;
};

} // namespace almondridge::soak
