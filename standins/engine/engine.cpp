#include "engine/engine.h"

namespace almondridge::standins {

Engine::Engine(EngineSettings settings, std::function<void()> wake)
    : core_(std::move(settings))
    , wake_(std::move(wake))
{ }

Engine::Notifier::~Notifier()
{
    engine_.tokens_.notify_all();
    engine_.wake_();
}

std::optional<StreamStart> Engine::attach(StreamId id)
{
    const std::lock_guard guard(lock_);
    const Stream *const stream = core_.stream(id);
    if (stream == nullptr) {
        return std::nullopt;
    }
    core_.addReader(id);
    return StreamStart {id, stream->attempt_, stream->shape_, stream->prompt_, stream->maxTokens_};
}

void Engine::detach(StreamId id)
{
    const std::lock_guard guard(lock_);
    core_.removeReader(id, Moment::now());
}

StreamView Engine::waitForTokens(StreamId id, std::int64_t have, TimePoint until)
{
    std::unique_lock guard(lock_);
    for (;;) {
        const Stream *const stream = core_.stream(id);
        if (stream == nullptr) {
            return {};
        }
        const TimePoint now = BootClock::now();
        if (stream->produced_ > have || isOver(stream->status_) || now >= until) {
            return {stream->produced_, stream->cachedTokens_, stream->status_, stream->kvTicket_};
        }
        tokens_.wait_for(guard, until - now);
    }
}

std::optional<TimePoint> Engine::nextDue()
{
    const std::lock_guard guard(lock_);
    return core_.nextDue();
}

void Engine::advance()
{
    {
        const std::lock_guard guard(lock_);
        core_.advance(Moment::now());
    }
    tokens_.notify_all();
}

} // namespace almondridge::standins
