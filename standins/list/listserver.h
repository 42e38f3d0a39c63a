/**
 * The instance list stand-in: shows what was set, later.
 */
#pragma once

#include "almondridge/net/httpserver.h"

#include <memory>

namespace almondridge::standins {

/** A running instance list. */
class ListServer
{
public:
    /** Unavailable when the port is taken. workers bounds the calls served at once. */
    static Result<ListServer> start(const net::Address &listen, int workers);

    ListServer(ListServer &&) noexcept;
    ListServer &operator=(ListServer &&) noexcept;
    ~ListServer();

    std::uint16_t port() const noexcept;

private:
    struct State;
    explicit ListServer(std::unique_ptr<State> state) noexcept;

    std::unique_ptr<State> state_;
};

} // namespace almondridge::standins
