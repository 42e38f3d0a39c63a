#include "companionthread.h"

namespace almondridge::net {

CompanionThread::CompanionThread()
    : thread_([this] { work(); })
{ }

CompanionThread::~CompanionThread()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    thread_.join();
}

void CompanionThread::run(const std::function<void()> &function)
{
    std::unique_lock lock(mutex_);
    function_ = &function;
    changed_.notify_all();
    changed_.wait(lock, [this] { return function_ == nullptr; });
}

void CompanionThread::work()
{
    std::unique_lock lock(mutex_);
    for (;;) {
        changed_.wait(lock, [this] { return stopping_ || function_ != nullptr; });
        if (function_ == nullptr) {
            return;
        }
        const std::function<void()> &function = *function_;
        lock.unlock();
        function();
        lock.lock();
        function_ = nullptr;
        changed_.notify_all();
    }
}

} // namespace almondridge::net
