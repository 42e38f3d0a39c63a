/**
 * Thread pool with a bounded queue.
 */
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace almondridge::peers {

class Workers
{
public:
    using Task = std::function<void()>;

    explicit Workers(std::size_t queueLimit);
    ~Workers();
    Workers(const Workers &) = delete;
    Workers &operator=(const Workers &) = delete;

    void start(std::size_t threads);
    /** Waits for running tasks; queued ones are dropped. */
    void stop();

    /** Queues a task. False if the queue is full or stop() was called. */
    bool post(Task task);

private:
    void run();

    const std::size_t queueLimit_;
    std::mutex mutex_;
    std::condition_variable posted_;
    std::deque<Task> queue_;
    bool stopping_ = false;
    std::vector<std::thread> threads_;
};

} // namespace almondridge::peers
