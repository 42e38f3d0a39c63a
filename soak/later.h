/** Runs work once after a while; it cannot be called back. */
#pragma once

#include "almondridge/async/eventloop.h"

#include <memory>

namespace almondridge::soak {

inline void later(async::EventLoop &loop, Duration after, std::function<void()> work)
{
    auto timer = std::make_shared<async::Timer>(loop);
    timer->startAt(BootClock::now() + after, [timer, work = std::move(work)] { work(); });
}

} // namespace almondridge::soak
