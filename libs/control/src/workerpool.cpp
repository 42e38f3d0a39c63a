#include "workerpool.h"

namespace almondridge::control {

void WorkerPool::start(int workers)
{
    for (int index = 0; index < workers; ++index) {
        threads_.emplace_back([this] { run(); });
    }
}

void WorkerPool::add(Job job)
{
    {
        const std::scoped_lock lock(mutex_);
        jobs_.push_back(std::move(job));
    }
    wake_.notify_one();
}

void WorkerPool::finish()
{
    {
        const std::scoped_lock lock(mutex_);
        finishing_ = true;
    }
    wake_.notify_all();
    for (std::thread &thread : threads_) {
        thread.join();
    }
    threads_.clear();
}

void WorkerPool::run()
{
    std::unique_lock lock(mutex_);
    for (;;) {
        wake_.wait(lock, [this] { return finishing_ || !jobs_.empty(); });
        if (jobs_.empty()) {
            return;
        }
        const Job job = std::move(jobs_.front());
        jobs_.pop_front();
        lock.unlock();
        job();
        lock.lock();
    }
}

} // namespace almondridge::control
