/**
 * A thread with an epoll loop for sockets, deadlines and tasks posted by other threads.
 */
#pragma once

#include "almondridge/base/time.h"
#include "connection.h"

#include <cstdint>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace almondridge::peers {

/** Readiness of a watched socket. */
struct Readiness
{
    bool readable_ = false; ///< Data, end of file or an error is available.
    bool writable_ = false;
};

/** Callbacks of an EventLoop, called on its thread. */
class LoopHandler
{
public:
    virtual ~LoopHandler() = default;
    /** token: as passed to watch(). It may have been unwatched in the same round of events. */
    virtual void ready(std::uint64_t token, Readiness readiness) = 0;
    /** Called after each round of events. Returns the time by which to call it again. */
    virtual TimePoint advance(TimePoint now) = 0;
};

class EventLoop
{
public:
    using Task = std::function<void()>;

    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    void start(LoopHandler &handler);
    /** Runs tasks that are already posted, then ends the thread. */
    void stop();

    /** Runs task on the loop's thread. Tasks posted after stop() are dropped. Thread-safe. */
    void post(Task task);

    /** These must be called on the loop's thread or before start(). */
    void watch(int descriptor, std::uint64_t token, bool wantsWrite);
    void updateWatch(int descriptor, std::uint64_t token, bool wantsWrite);
    void unwatch(int descriptor);

private:
    void run(LoopHandler &handler);
    bool runTasks();
    void wait(LoopHandler &handler, TimePoint deadline);

    OwnedDescriptor poll_;
    OwnedDescriptor wakeUp_;
    std::mutex mutex_;
    std::vector<Task> tasks_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace almondridge::peers
