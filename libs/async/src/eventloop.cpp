#include "almondridge/async/eventloop.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace almondridge::async {

EventLoop::EventLoop()
    : context_(1)
{ }

void EventLoop::run()
{
    const auto guard = boost::asio::make_work_guard(context_);
    context_.run();
}

void EventLoop::stop()
{
    context_.stop();
}

void EventLoop::post(std::function<void()> work)
{
    boost::asio::post(context_, std::move(work));
}

struct Timer::State
{
    explicit State(EventLoop &loop)
        : timer_(loop.context())
    { }

    boost::asio::steady_timer timer_;
    std::uint64_t starts_ = 0; ///< Detects expiries that were queued before a restart.
};

Timer::Timer(EventLoop &loop)
    : state_(std::make_shared<State>(loop))
{ }

Timer::Timer(Timer &&) noexcept = default;
Timer &Timer::operator=(Timer &&) noexcept = default;

Timer::~Timer()
{
    stop();
}

void Timer::startAt(TimePoint when, std::function<void()> onTime)
{
    const std::uint64_t start = ++state_->starts_;
    state_->timer_.expires_after(std::max(Duration::zero(), when - BootClock::now()));
    state_->timer_.async_wait([weak = std::weak_ptr<State>(state_), start,
                               onTime = std::move(onTime)](const boost::system::error_code &) {
        const std::shared_ptr<State> state = weak.lock();
        if (state != nullptr && state->starts_ == start) {
            onTime();
        }
    });
}

void Timer::stop()
{
    if (state_ != nullptr) {
        ++state_->starts_;
        state_->timer_.cancel();
    }
}

} // namespace almondridge::async
