#include "workers.h"

namespace almondridge::peers {

Workers::Workers(std::size_t queueLimit)
    : queueLimit_(queueLimit)
{ }

Workers::~Workers()
{
    stop();
}

void Workers::start(std::size_t threads)
{
    for (std::size_t index = 0; index < threads; ++index) {
        threads_.emplace_back([this] { run(); });
    }
}

void Workers::stop()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
        queue_.clear();
    }
    posted_.notify_all();
    for (std::thread &thread : threads_) {
        thread.join();
    }
    threads_.clear();
}

bool Workers::post(Task task)
{
    {
        const std::lock_guard lock(mutex_);
        if (stopping_ || queue_.size() >= queueLimit_) {
            return false;
        }
        queue_.push_back(std::move(task));
    }
    posted_.notify_one();
    return true;
}

void Workers::run()
{
    std::unique_lock lock(mutex_);
    for (;;) {
        posted_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
        if (stopping_) {
            return;
        }
        const Task task = std::move(queue_.front());
        queue_.pop_front();
        lock.unlock();
        task();
        lock.lock();
    }
}

} // namespace almondridge::peers
