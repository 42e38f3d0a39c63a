#include "engine/scheduler.h"

#include <algorithm>

namespace almondridge::standins {
namespace {

/** Steps that end within this time of each other are handled in one round. */
constexpr Duration RoundTime = std::chrono::microseconds(500);
constexpr Duration IdleWait = std::chrono::seconds(1);

} // namespace

Scheduler::~Scheduler()
{
    {
        const std::lock_guard guard(lock_);
        stopping_ = true;
    }
    woken_.notify_all();
    if (thread_.joinable()) {
        thread_.join();
    }
}

void Scheduler::start(std::vector<Engine *> engines)
{
    engines_ = std::move(engines);
    thread_ = std::thread([this] { run(); });
}

void Scheduler::wake()
{
    {
        const std::lock_guard guard(lock_);
        wakeAsked_ = true;
    }
    woken_.notify_one();
}

void Scheduler::run()
{
    std::unique_lock guard(lock_);
    while (!stopping_) {
        wakeAsked_ = false;
        guard.unlock();
        const std::optional<TimePoint> due = advanceDue();
        guard.lock();
        const TimePoint now = BootClock::now();
        const Duration wait = due ? std::max(*due - now, RoundTime) : IdleWait;
        woken_.wait_for(guard, wait, [&] { return wakeAsked_ || stopping_; });
    }
}

std::optional<TimePoint> Scheduler::advanceDue()
{
    std::optional<TimePoint> next;
    for (Engine *const engine : engines_) {
        std::optional<TimePoint> due = engine->nextDue();
        if (due && *due <= BootClock::now()) {
            engine->advance();
            due = engine->nextDue();
        }
        if (due) {
            next = std::min(next.value_or(*due), *due);
        }
    }
    return next;
}

} // namespace almondridge::standins
