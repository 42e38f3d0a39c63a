/**
 * A thread pool that starts jobs in the order in which they were added.
 */
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace almondridge::control {

class WorkerPool
{
public:
    using Job = std::function<void()>;

    ~WorkerPool() { finish(); }

    void start(int workers);
    void add(Job job);
    /** Runs the queued jobs, then ends the threads. */
    void finish();

private:
    void run();

    std::mutex mutex_;
    std::condition_variable wake_;
    std::deque<Job> jobs_;
    bool finishing_ = false;
    std::vector<std::thread> threads_;
};

} // namespace almondridge::control
