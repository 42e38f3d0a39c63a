/**
 * The log stand-in's HTTP side.
 */
#pragma once

#include "almondridge/net/httpserver.h"

#include <memory>

namespace almondridge::standins {

/** A running log service. */
class LogServer
{
public:
    /** Unavailable when the port is taken. workers bounds the calls served at once. */
    static Result<LogServer> start(const net::Address &listen, int workers);

    LogServer(LogServer &&) noexcept;
    LogServer &operator=(LogServer &&) noexcept;
    ~LogServer();

    std::uint16_t port() const noexcept;

private:
    struct State;
    explicit LogServer(std::unique_ptr<State> state) noexcept;

    std::unique_ptr<State> state_;
};

} // namespace almondridge::standins
