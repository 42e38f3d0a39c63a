#include "almondridge/control/leaseguard.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace almondridge;
using namespace almondridge::control;

namespace {

/** Two connected sockets: the sender's and the engine's. */
struct SocketPair
{
    SocketPair() { ::socketpair(AF_UNIX, SOCK_STREAM, 0, ends_.data()); }
    ~SocketPair()
    {
        ::close(ends_[0]);
        ::close(ends_[1]);
    }
    bool send() const { return ::send(ends_[0], "order", 5, MSG_NOSIGNAL) == 5; }
    /** Reads the received bytes; returns 0 at the end of the connection. */
    ssize_t receive() const
    {
        std::array<char, 16> bytes {};
        return ::recv(ends_[1], bytes.data(), bytes.size(), MSG_DONTWAIT);
    }
    /** Waits until the sender's socket was shut down. */
    bool waitForCut() const
    {
        pollfd entry {ends_[0], POLLRDHUP, 0};
        int ready = -1;
        while ((ready = ::poll(&entry, 1, 20'000)) < 0) { }
        return ready == 1;
    }
    std::array<int, 2> ends_ {};
};

LeaseGuard &guard()
{
    return *LeaseGuard::ofThisThread().value();
}

} // namespace

BOOST_AUTO_TEST_SUITE(Guard)

// An engine would accept an order of an expired lease when the holder checks its lease, is paused
// past the expiry, and resumes right before the send.
BOOST_AUTO_TEST_CASE(nothingIsSentWhenTheLeaseExpiresBetweenCheckAndSend)
{
    const SocketPair sockets;
    const GuardedSocket guarded(guard(), sockets.ends_[0], BootClock::now() + millis(20));
    BOOST_REQUIRE(sockets.waitForCut()); // Stands for the pause.
    BOOST_TEST(!sockets.send());
    BOOST_TEST(sockets.receive() == 0);
}

BOOST_AUTO_TEST_CASE(aDeadlineInThePastShutsTheSocketDownAtOnce)
{
    for (const TimePoint deadline : {TimePoint(), BootClock::now() - millis(1)}) {
        const SocketPair sockets;
        const GuardedSocket guarded(guard(), sockets.ends_[0], deadline);
        BOOST_REQUIRE(sockets.waitForCut());
        BOOST_TEST(!sockets.send());
    }
}

BOOST_AUTO_TEST_CASE(aSocketIsLeftAloneOnceItsGuardIsGone)
{
    const SocketPair unguarded;
    const SocketPair guarded;
    {
        const GuardedSocket early(guard(), unguarded.ends_[0], BootClock::now() + millis(20));
    }
    const GuardedSocket later(guard(), guarded.ends_[0], BootClock::now() + millis(40));
    BOOST_REQUIRE(guarded.waitForCut());
    BOOST_TEST(unguarded.send());
    BOOST_TEST(unguarded.receive() == 5);
}

// The guard would not work in a thread started by one that blocks all signals, for example to wait
// for SIGTERM: a blocked signal stays pending and its handler never runs.
BOOST_AUTO_TEST_CASE(aThreadThatInheritsABlockedSignalIsGuarded)
{
    sigset_t all;
    sigset_t before;
    sigfillset(&all);
    ::pthread_sigmask(SIG_SETMASK, &all, &before);
    std::thread sender([] {
        const SocketPair sockets;
        const GuardedSocket guarded(guard(), sockets.ends_[0], BootClock::now() + millis(20));
        BOOST_TEST(sockets.waitForCut());
        BOOST_TEST(!sockets.send());
    });
    ::pthread_sigmask(SIG_SETMASK, &before, nullptr);
    sender.join();
}

BOOST_AUTO_TEST_CASE(aThreadThatWaitsForAnAnswerOnTheCutSocketGoesOn)
{
    const SocketPair sockets;
    const GuardedSocket guarded(guard(), sockets.ends_[0], BootClock::now() + millis(20));
    pollfd answer {sockets.ends_[0], POLLIN, 0};
    while (::poll(&answer, 1, 20'000) < 0) { }
    BOOST_REQUIRE(answer.revents != 0);
    char byte = 0;
    BOOST_TEST(::recv(sockets.ends_[0], &byte, 1, MSG_DONTWAIT) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
