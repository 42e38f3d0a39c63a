/**
 * A thread that runs one function at a time for the thread that owns it.
 *
 * CivetWeb gives its workers stacks of 100 KiB, of which 77 KiB are left to a handler. Handlers
 * that parse JSON and keep read buffers overrun that, which shows as a crash in whatever writes to
 * the stack next. A companion has the system's usual stack, of which only the touched pages take
 * memory.
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

    /** Runs function on the companion and returns when it has ended. It must not throw. */
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
