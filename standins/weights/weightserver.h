/**
 * The weight store stand-in: answers after the time that the bytes take at its rate.
 */
#pragma once

#include "almondridge/net/httpserver.h"

#include <memory>

namespace almondridge::standins {

/** A running weight store. */
class WeightServer
{
public:
    /** Unavailable when the port is taken. workers bounds the calls served at once. */
    static Result<WeightServer> start(const net::Address &listen, int workers);

    WeightServer(WeightServer &&) noexcept;
    WeightServer &operator=(WeightServer &&) noexcept;
    ~WeightServer();

    std::uint16_t port() const noexcept;

private:
    struct State;
    explicit WeightServer(std::unique_ptr<State> state) noexcept;

    std::unique_ptr<State> state_;
};

} // namespace almondridge::standins
