/**
 * A thread that runs a function periodically until it is destroyed.
 */
#pragma once

#include "almondridge/base/time.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace almondridge::app {

class Periodic
{
public:
    /** Runs function immediately and then again each time interval has passed since it returned. */
    Periodic(Duration interval, std::function<void()> function);
    ~Periodic();
    Periodic(const Periodic &) = delete;
    Periodic &operator=(const Periodic &) = delete;

    /** Runs the function now instead of at the end of the interval. */
    void wake();

private:
    void run();

    const Duration interval_;
    const std::function<void()> function_;
    std::mutex mutex_;
    std::condition_variable condition_;
    bool stopping_ = false;
    bool woken_ = false;
    std::thread thread_;
};

} // namespace almondridge::app
