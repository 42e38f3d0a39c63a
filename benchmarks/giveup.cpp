/**
 * giveup [TRIES]: how long the kernel keeps sending an order that is not acknowledged.
 *
 * A socket filter on the engine's end drops all segments, as a broken network path would. The
 * order's end has the user timeout that orders have. Measured from the send to the error; then
 * the filter goes, and nothing may arrive. Exit status 1 when the bound that successors wait for
 * was missed, or something arrived.
 */
#include "almondridge/control/leasekeeper.h"
#include "almondridge/net/httpexchange.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <linux/filter.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace almondridge;
using namespace almondridge::control;

namespace {

constexpr int DefaultTries = 10;
constexpr int LateArrivalMillis = 2'000;

struct GiveUp
{
    std::int64_t millis_ = 0;
    bool arrived_ = false;
};

void dropEverything(int socket)
{
    sock_filter nothing = {BPF_RET | BPF_K, 0, 0, 0};
    const sock_fprog program = {1, &nothing};
    ::setsockopt(socket, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program);
}

bool becomesReady(int socket, short events, int timeoutMillis)
{
    pollfd entry = {socket, events, 0};
    return ::poll(&entry, 1, timeoutMillis) > 0;
}

GiveUp measure(int listener, const net::Address &address)
{
    const TimePoint never = BootClock::now() + millis(60'000);
    auto connection = net::HttpExchange::connect(address, never).value();
    const int engine = ::accept(listener, nullptr, nullptr);
    dropEverything(engine);
    const unsigned int timeout = OrderUserTimeoutMillis;
    const int socket = connection.socketDescriptor();
    ::setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof timeout);
    const TimePoint sent = BootClock::now();
    connection.send({"POST", "/engine/orders", {}, "{}"}, never).value();
    becomesReady(socket, 0, 60'000);
    GiveUp result;
    result.millis_ = toMillis(BootClock::now() - sent);
    ::setsockopt(engine, SOL_SOCKET, SO_DETACH_FILTER, nullptr, 0);
    result.arrived_ = becomesReady(engine, POLLIN, LateArrivalMillis);
    ::close(engine);
    return result;
}

net::Address listenOn(int listener)
{
    sockaddr_in bound {};
    bound.sin_family = AF_INET;
    bound.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof bound;
    (void) ::bind(listener, reinterpret_cast<const sockaddr *>(&bound), size);
    ::listen(listener, SOMAXCONN);
    ::getsockname(listener, reinterpret_cast<sockaddr *>(&bound), &size);
    return {"127.0.0.1", ntohs(bound.sin_port)};
}

} // namespace

int main(int argc, char **argv)
{
    const int tries = argc > 1 ? std::atoi(argv[1]) : DefaultTries;
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const net::Address address = listenOn(listener);
    std::int64_t longest = 0;
    int arrived = 0;
    for (int number = 0; number < tries; ++number) {
        const GiveUp result = measure(listener, address);
        longest = std::max(longest, result.millis_);
        arrived += result.arrived_ ? 1 : 0;
    }
    std::printf("tries %d  given up after at most %lld ms (bound %lld ms)  arrived later %d\n",
                tries, static_cast<long long>(longest),
                static_cast<long long>(OrderNetworkBoundMillis), arrived);
    const bool held = longest < OrderNetworkBoundMillis && arrived == 0;
    return held ? EXIT_SUCCESS : EXIT_FAILURE;
}
