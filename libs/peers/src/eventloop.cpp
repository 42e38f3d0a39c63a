#include "eventloop.h"

#include <algorithm>
#include <array>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <system_error>
#include <unistd.h>

namespace almondridge::peers {
namespace {

constexpr std::uint64_t WakeUpToken = 0;
constexpr int EventsPerWait = 256;
/** Limit of one wait: deadlines include time while suspended, epoll timeouts don't. */
constexpr std::int64_t MaxWaitMillis = 1'000;

epoll_event eventFor(std::uint64_t token, bool wantsWrite)
{
    epoll_event event {};
    event.events = EPOLLIN | (wantsWrite ? EPOLLOUT : 0U);
    event.data.u64 = token;
    return event;
}

void requireDescriptor(const OwnedDescriptor &descriptor, const char *what)
{
    if (!descriptor.valid()) {
        throw std::system_error(errno, std::generic_category(), what);
    }
}

} // namespace

EventLoop::EventLoop()
    : poll_(::epoll_create1(EPOLL_CLOEXEC))
    , wakeUp_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    requireDescriptor(poll_, "epoll_create1");
    requireDescriptor(wakeUp_, "eventfd");
    watch(wakeUp_.value(), WakeUpToken, false);
}

EventLoop::~EventLoop()
{
    stop();
}

void EventLoop::start(LoopHandler &handler)
{
    thread_ = std::thread([this, &handler] { run(handler); });
}

void EventLoop::stop()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    const std::uint64_t one = 1;
    [[maybe_unused]] const ssize_t wrote = ::write(wakeUp_.value(), &one, sizeof one);
    if (thread_.joinable()) {
        thread_.join();
    }
}

void EventLoop::post(Task task)
{
    bool first = false;
    {
        const std::lock_guard lock(mutex_);
        if (stopping_) {
            return;
        }
        first = tasks_.empty();
        tasks_.push_back(std::move(task));
    }
    if (first) {
        const std::uint64_t one = 1;
        [[maybe_unused]] const ssize_t wrote = ::write(wakeUp_.value(), &one, sizeof one);
    }
}

void EventLoop::watch(int descriptor, std::uint64_t token, bool wantsWrite)
{
    epoll_event event = eventFor(token, wantsWrite);
    ::epoll_ctl(poll_.value(), EPOLL_CTL_ADD, descriptor, &event);
}

void EventLoop::updateWatch(int descriptor, std::uint64_t token, bool wantsWrite)
{
    epoll_event event = eventFor(token, wantsWrite);
    ::epoll_ctl(poll_.value(), EPOLL_CTL_MOD, descriptor, &event);
}

void EventLoop::unwatch(int descriptor)
{
    ::epoll_ctl(poll_.value(), EPOLL_CTL_DEL, descriptor, nullptr);
}

void EventLoop::run(LoopHandler &handler)
{
    while (runTasks()) {
        wait(handler, handler.advance(BootClock::now()));
    }
}

/** Runs posted tasks. False if the loop must end. */
bool EventLoop::runTasks()
{
    std::vector<Task> tasks;
    bool stopping = false;
    {
        const std::lock_guard lock(mutex_);
        tasks.swap(tasks_);
        stopping = stopping_;
    }
    for (const Task &task : tasks) {
        task();
    }
    return !stopping;
}

void EventLoop::wait(LoopHandler &handler, TimePoint deadline)
{
    const TimePoint now = BootClock::now();
    // Add 1 ms, as a timeout rounded down would end before the deadline and cause spinning.
    const std::int64_t left = deadline <= now ? 0 : millisUntil(deadline, now) + 1;
    std::array<epoll_event, EventsPerWait> events {};
    const int count = ::epoll_wait(poll_.value(), events.data(), EventsPerWait,
                                   static_cast<int>(std::min(left, MaxWaitMillis)));
    for (int index = 0; index < count; ++index) {
        const epoll_event &event = events[static_cast<std::size_t>(index)];
        if (event.data.u64 == WakeUpToken) {
            std::uint64_t drained = 0;
            [[maybe_unused]] const ssize_t got = ::read(wakeUp_.value(), &drained, sizeof drained);
            continue;
        }
        const bool broken = (event.events & (EPOLLERR | EPOLLHUP)) != 0;
        handler.ready(event.data.u64, {broken || (event.events & EPOLLIN) != 0,
                                       broken || (event.events & EPOLLOUT) != 0});
    }
}

} // namespace almondridge::peers
