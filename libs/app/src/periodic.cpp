#include "periodic.h"

#include "almondridge/base/log.h"

namespace almondridge::app {

Periodic::Periodic(Duration interval, std::function<void()> function)
    : interval_(interval)
    , function_(std::move(function))
    , thread_([this] { run(); })
{ }

Periodic::~Periodic()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    condition_.notify_all();
    thread_.join();
}

void Periodic::wake()
{
    {
        const std::lock_guard lock(mutex_);
        woken_ = true;
    }
    condition_.notify_all();
}

void Periodic::run()
{
    for (;;) {
        try {
            function_();
        } catch (const std::exception &failure) {
            logEvent(LogLevel::Error, "app.periodic-failed", {{"why", failure.what()}});
        }
        std::unique_lock lock(mutex_);
        const auto next = std::chrono::steady_clock::now() + interval_;
        condition_.wait_until(lock, next, [this] { return stopping_ || woken_; });
        woken_ = false;
        if (stopping_) {
            return;
        }
    }
}

} // namespace almondridge::app
