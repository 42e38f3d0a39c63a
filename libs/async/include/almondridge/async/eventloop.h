/**
 * The one thread on which all sockets and timers of an instance run, and timers that are safe to
 * drop. Nothing here locks: every call is made on the loop's thread.
 */
#pragma once

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
    /** Runs until stop(). */
    void run();
    void stop();
    /** Runs work later, on the loop's thread and outside of the caller's stack. */
    void post(std::function<void()> work);

private:
    boost::asio::io_context context_;
};

/** Calls its function once at a point in time, unless stopped or destroyed before. */
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
