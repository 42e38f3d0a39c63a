/**
 * A thread with a stack of default size that runs functions for the thread that owns it.
 *
 * CivetWeb's workers have stacks of 100 KiB, of which a handler can use 77 KiB. Handlers that parse
 * JSON and have read buffers on the stack overflow it and crash. A companion thread has the
 * system's default stack size, of which only the touched pages use memory.
 */
#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace almondridge::net {

class CompanionThread
{
public:
    CompanionThread();
    ~CompanionThread();
    CompanionThread(const CompanionThread &) = delete;
    CompanionThread &operator=(const CompanionThread &) = delete;

    /** Runs function on the companion thread and waits for it to return. It must not throw. */
    void run(const std::function<void()> &function);

private:
    void work();

    std::mutex mutex_;
    std::condition_variable changed_;
    const std::function<void()> *function_ = nullptr;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace almondridge::net
