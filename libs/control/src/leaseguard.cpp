#include "almondridge/control/leaseguard.h"

#include <atomic>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <memory>
#include <sys/socket.h>
#include <unistd.h>

// glibc before 2.38 has the member but not the name that timer_create(2) documents.
#ifndef sigev_notify_thread_id
#    define sigev_notify_thread_id _sigev_un._tid
#endif

namespace almondridge::control {
namespace {

constexpr int NoSocket = -1;

/** The socket that the handler shuts down; belongs to the thread that the timer signals. */
thread_local constinit std::atomic<int> guardedSocket = NoSocket;
static_assert(std::atomic<int>::is_always_lock_free, "the handler may not take a lock");

int lapseSignal()
{
    constexpr int OffsetInRange = 3;
    return SIGRTMIN + OffsetInRange;
}

/** Calls only shutdown(), which is async-signal-safe. */
void onLapse(int /*signal*/)
{
    const int savedErrno = errno;
    const int socket = guardedSocket.load(std::memory_order_relaxed);
    if (socket != NoSocket) {
        ::shutdown(socket, SHUT_RDWR);
    }
    errno = savedErrno;
}

/** SA_RESTART avoids EINTR in libraries; calls on the socket end anyway after its shutdown. */
bool installHandler()
{
    struct sigaction action = {};
    action.sa_handler = onLapse;
    action.sa_flags = SA_RESTART;
    sigemptyset(&action.sa_mask);
    return ::sigaction(lapseSignal(), &action, nullptr) == 0;
}

/** The handler would never run in a thread that inherited a mask which blocks the signal. */
bool unblockSignal()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, lapseSignal());
    return ::pthread_sigmask(SIG_UNBLOCK, &set, nullptr) == 0;
}

bool createTimer(timer_t &timer)
{
    sigevent event = {};
    event.sigev_notify = SIGEV_THREAD_ID;
    event.sigev_signo = lapseSignal();
    event.sigev_notify_thread_id = ::gettid();
    return ::timer_create(CLOCK_BOOTTIME, &event, &timer) == 0;
}

itimerspec absoluteTime(TimePoint deadline)
{
    // A zero time would disarm the timer instead of firing it at once.
    const Duration sinceBoot = std::max(deadline.time_since_epoch(), Duration(1));
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(sinceBoot);
    itimerspec when = {};
    when.it_value.tv_sec = seconds.count();
    when.it_value.tv_nsec = (sinceBoot - seconds).count();
    return when;
}

} // namespace

LeaseGuard::LeaseGuard(timer_t timer) noexcept
    : timer_(timer)
{ }

LeaseGuard::~LeaseGuard()
{
    ::timer_delete(timer_);
}

Result<LeaseGuard *> LeaseGuard::ofThisThread()
{
    thread_local std::unique_ptr<LeaseGuard> guard;
    if (guard) {
        return guard.get();
    }
    static const bool installed = installHandler();
    timer_t timer {};
    if (!installed || !unblockSignal() || !createTimer(timer)) {
        return fail(ErrorKind::Unavailable,
                    std::string("no timer for the lease guard: ") + std::strerror(errno),
                    "raise the process's limit of pending signals (RLIMIT_SIGPENDING)");
    }
    guard.reset(new LeaseGuard(timer));
    return guard.get();
}

void LeaseGuard::arm(int socket, TimePoint deadline) noexcept
{
    guardedSocket.store(socket, std::memory_order_relaxed);
    std::atomic_signal_fence(std::memory_order_seq_cst);
    const itimerspec when = absoluteTime(deadline);
    if (::timer_settime(timer_, TIMER_ABSTIME, &when, nullptr) != 0) {
        ::shutdown(socket, SHUT_RDWR); // No order may be sent without the guard.
    }
}

void LeaseGuard::disarm() noexcept
{
    // Clear the socket first: its descriptor may be reused by another connection after close.
    guardedSocket.store(NoSocket, std::memory_order_relaxed);
    std::atomic_signal_fence(std::memory_order_seq_cst);
    const itimerspec never = {};
    ::timer_settime(timer_, 0, &never, nullptr);
}

GuardedSocket::GuardedSocket(LeaseGuard &guard, int socket, TimePoint deadline) noexcept
    : guard_(guard)
{
    guard_.arm(socket, deadline);
}

GuardedSocket::~GuardedSocket()
{
    guard_.disarm();
}

} // namespace almondridge::control
