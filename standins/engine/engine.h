/**
 * One engine for many threads: the core under its own lock, and waiting for its tokens.
 */
#pragma once

#include "engine/enginecore.h"

#include <condition_variable>
#include <functional>
#include <mutex>

namespace almondridge::standins {

/** What a reader of a stream needs to know. */
struct StreamView
{
    std::int64_t produced_ = 0;
    std::int64_t cachedTokens_ = 0;
    StreamStatus status_ = StreamStatus::Lost;
    std::string kvTicket_ {};
};

/** What stays the same over a stream's life. */
struct StreamStart
{
    StreamId id_ = 0;
    std::string attempt_ {};
    AnswerShape shape_ {};
    TextHash prompt_ {};
    std::int64_t maxTokens_ = 0;
};

/** Thread-safe. Each engine is a shard of its own. */
class Engine
{
public:
    /** wake is called when nextDue() may have become earlier. */
    Engine(EngineSettings settings, std::function<void()> wake);

    /** Runs function on the core under the lock; then tells waiting readers and the scheduler. */
    template <typename Function>
    auto change(Function &&function)
    {
        const Notifier notifier(*this);
        const std::lock_guard guard(lock_);
        return function(core_);
    }

    /** Runs function on the core under the lock, for what changes nothing to wait for. */
    template <typename Function>
    auto look(Function &&function)
    {
        const std::lock_guard guard(lock_);
        return function(core_);
    }

    /** The unchanging part of a stream, and one reader more. nullopt: it is gone. */
    std::optional<StreamStart> attach(StreamId id);
    void detach(StreamId id);
    /** Waits until the stream has more tokens than have, is over, or until. */
    StreamView waitForTokens(StreamId id, std::int64_t have, TimePoint until);

    /** For the scheduler. */
    std::optional<TimePoint> nextDue();
    void advance();

private:
    /** Notifies after the lock is released, so that readers do not wake into it. */
    struct Notifier
    {
        explicit Notifier(Engine &engine)
            : engine_(engine)
        { }
        Notifier(const Notifier &) = delete;
        Notifier &operator=(const Notifier &) = delete;
        ~Notifier();

        Engine &engine_;
    };

    std::mutex lock_;
    std::condition_variable tokens_;
    EngineCore core_;
    std::function<void()> wake_;
};

} // namespace almondridge::standins
