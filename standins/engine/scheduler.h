/**
 * The thread that ends and begins the steps of a shard of engines.
 */
#pragma once

#include "engine/engine.h"

#include <condition_variable>
#include <mutex>
#include <thread>
#include <vector>

namespace almondridge::standins {

/** Runs from start() until it is destroyed. */
class Scheduler
{
public:
    Scheduler() = default;
    Scheduler(const Scheduler &) = delete;
    Scheduler &operator=(const Scheduler &) = delete;
    ~Scheduler();

    /** The engines must outlive this object. */
    void start(std::vector<Engine *> engines);
    /** Something may be due earlier. */
    void wake();

private:
    void run();
    /** Advances what is due; when the next thing is, if any. */
    std::optional<TimePoint> advanceDue();

    std::vector<Engine *> engines_;
    std::mutex lock_;
    std::condition_variable woken_;
    bool wakeAsked_ = false;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace almondridge::standins
