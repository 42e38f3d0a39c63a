/**
 * Single-threaded event loop for all sockets and timers of an instance, with the accounts of what
 * they take, and timers that may be destroyed at any time. Not thread-safe: all calls must be made
 * on the thread of the loop.
 */
#pragma once

#include "almondridge/async/memoryaccount.h"
#include "almondridge/async/socketaccount.h"
#include "almondridge/base/time.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace almondridge::async {

class EventLoop
{
public:
    EventLoop();

    boost::asio::io_context &context() noexcept { return context_; }
    MemoryAccount &memory() noexcept { return memory_; }
    SocketAccount &sockets() noexcept { return sockets_; }
    /** Runs until stop(). */
    void run();
    void stop();
    /** Queues work to run on the thread of the loop after the current handler has returned. */
    void post(std::function<void()> work);

private:
    // Before the context, whose handlers may own what is counted.
    MemoryAccount memory_;
    SocketAccount sockets_;
    boost::asio::io_context context_;
};

/** One-shot timer. Its function is not called after stop() or destruction. */
class Timer
{
public:
    explicit Timer(EventLoop &loop);
    Timer(Timer &&) noexcept;
    Timer &operator=(Timer &&) noexcept;
    ~Timer();

    void startAt(TimePoint when, std::function<void()> onTime);
    void stop();

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace almondridge::async
