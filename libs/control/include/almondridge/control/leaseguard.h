/**
 * Shuts down an order's socket when the lease expires, even while the process is paused.
 *
 * It guards against a thread that checks its lease, is paused until after the expiry, resumes and
 * sends the prepared order; no check in user code is close enough to the send. The guard is a
 * kernel timer that signals the sending thread: the signal is pending when the thread resumes,
 * and the kernel runs the handler, which shuts down the socket, before the next instruction.
 */
#pragma once

#include "almondridge/base/error.h"
#include "almondridge/base/time.h"

#include <ctime>

namespace almondridge::control {

/** A thread's timer. Created once per thread that sends orders and used only by that thread. */
class LeaseGuard
{
public:
    /**
     * Returns the calling thread's guard. Error Unavailable when the kernel provides no timer; no
     * order may be sent then.
     */
    static Result<LeaseGuard *> ofThisThread();

    ~LeaseGuard();
    LeaseGuard(const LeaseGuard &) = delete;
    LeaseGuard &operator=(const LeaseGuard &) = delete;

private:
    friend class GuardedSocket;
    explicit LeaseGuard(timer_t timer) noexcept;
    void arm(int socket, TimePoint deadline) noexcept;
    void disarm() noexcept;

    timer_t timer_;
};

/**
 * Guards a socket during its own lifetime: nothing can be sent on the socket after deadline.
 * Construct it first, then compare the clock with the deadline, then send. One at a time per
 * thread; destroy it before closing the socket.
 */
class GuardedSocket
{
public:
    GuardedSocket(LeaseGuard &guard, int socket, TimePoint deadline) noexcept;
    ~GuardedSocket();
    GuardedSocket(const GuardedSocket &) = delete;
    GuardedSocket &operator=(const GuardedSocket &) = delete;

private:
    LeaseGuard &guard_;
};

} // namespace almondridge::control
