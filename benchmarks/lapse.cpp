/**
 * lapse [PAUSES]: counts orders that arrive after their lease lapsed while the sender was paused.
 *
 * A child process sends orders as fast as it can, each under a lease of some milliseconds. This
 * process stops the child (SIGSTOP) at a random point, waits until the lease has lapsed, and lets
 * it go on (SIGCONT). An order whose bytes arrive after that is late. The first two ways check
 * the clock only, the third is the product's sender with its guard. Exit status 1 when the
 * guarded sender was late once.
 */
#include "almondridge/control/ordergate.h"
#include "almondridge/net/httpexchange.h"

#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <netinet/in.h>
#include <random>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

using namespace almondridge;
using namespace almondridge::control;

namespace {

constexpr std::int64_t TermMillis = 20;
constexpr std::int64_t AnswerMillis = 2'000;
constexpr int DefaultPauses = 300;

const std::string Answer = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
const std::string State = R"({"target":{"model":"m","version":"1","adapters":[],"role":"mixed",)"
                          R"("admit":true},"phase":"ready","running":0,"fence":1,"sequence":1})";

/** The engine's side: takes one connection after the other and counts what comes. */
class OrderSink
{
public:
    OrderSink()
        : listener_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        (void) ::bind(listener_, reinterpret_cast<const sockaddr *>(&address), sizeof address);
        ::listen(listener_, SOMAXCONN);
    }
    ~OrderSink()
    {
        ::shutdown(listener_, SHUT_RDWR);
        if (thread_.joinable()) {
            thread_.join();
        }
        ::close(listener_);
    }
    OrderSink(const OrderSink &) = delete;
    OrderSink &operator=(const OrderSink &) = delete;

    /** Only after the fork: the child must not inherit half of a thread. */
    void start()
    {
        thread_ = std::thread([this] { serve(); });
    }
    net::Address address() const
    {
        sockaddr_in bound {};
        socklen_t size = sizeof bound;
        ::getsockname(listener_, reinterpret_cast<sockaddr *>(&bound), &size);
        return {"127.0.0.1", ntohs(bound.sin_port)};
    }
    std::int64_t orders() const { return orders_; }
    std::int64_t connections() const { return connections_; }

private:
    void serve()
    {
        for (;;) {
            const int socket = ::accept(listener_, nullptr, nullptr);
            if (socket < 0) {
                return;
            }
            answer(socket);
            ::close(socket);
            ++connections_;
        }
    }
    void answer(int socket)
    {
        std::array<char, 4'096> bytes {};
        if (::recv(socket, bytes.data(), bytes.size(), 0) <= 0) {
            return;
        }
        ++orders_;
        const std::string text =
            Answer + "Content-Length: " + std::to_string(State.size()) + "\r\n\r\n" + State;
        ::send(socket, text.data(), text.size(), MSG_NOSIGNAL);
    }

    int listener_;
    std::thread thread_;
    std::atomic<std::int64_t> orders_ = 0;
    std::atomic<std::int64_t> connections_ = 0;
};

/** Sends one order under a lease until deadline; true when a connection was made. */
using SendOrder = bool (*)(const net::Address &, TimePoint);

void exchange(net::HttpExchange &connection)
{
    const TimePoint answerBy = BootClock::now() + millis(AnswerMillis);
    const net::Request order {"POST", "/engine/orders", {}, State};
    capture([&]() -> Result<void> {
        BOOST_LEAF_CHECK(connection.send(order, answerBy));
        BOOST_LEAF_CHECK(connection.readHead(answerBy));
        BOOST_LEAF_CHECK(connection.readRest(answerBy, State.size()));
        return {};
    });
}

bool checkConnectSend(const net::Address &address, TimePoint deadline)
{
    if (BootClock::now() >= deadline) {
        return false;
    }
    auto connection =
        net::HttpExchange::connect(address, BootClock::now() + millis(AnswerMillis)).value();
    exchange(connection);
    return true;
}

bool connectCheckSend(const net::Address &address, TimePoint deadline)
{
    auto connection =
        net::HttpExchange::connect(address, BootClock::now() + millis(AnswerMillis)).value();
    if (BootClock::now() < deadline) {
        exchange(connection);
    }
    return true;
}

bool sendGuarded(const net::Address &address, TimePoint deadline)
{
    static const std::unique_ptr<EngineOrders> orders = makeHttpEngineOrders();
    fleet::Endpoint engine;
    engine.address_ = net::toString(address);
    const TimePoint answerBy = BootClock::now() + millis(AnswerMillis);
    const auto sent = capture([&] { return orders->send(engine, {}, deadline, answerBy); });
    const auto *error = std::get_if<Error>(&sent);
    return error == nullptr || error->kind_ != ErrorKind::TimedOut;
}

struct Way
{
    const char *name_;
    SendOrder send_;
};
constexpr std::array<Way, 3> Ways {{{"check, connect, send", checkConnectSend},
                                    {"connect, check, send", connectCheckSend},
                                    {"guarded", sendGuarded}}};

/** The child: one round of orders for each deadline that comes in. */
[[noreturn]] void sendRounds(SendOrder send, const net::Address &address, int deadlines, int done)
{
    std::int64_t nanos = 0;
    while (::read(deadlines, &nanos, sizeof nanos) == sizeof nanos) {
        const TimePoint deadline {Duration(nanos)};
        while (BootClock::now() < deadline) {
            send(address, deadline);
        }
        ::write(done, &nanos, sizeof nanos);
    }
    std::_Exit(0);
}

struct Tally
{
    int pauses_ = 0;
    int late_ = 0;
    std::int64_t orders_ = 0;
};

class Stopper
{
public:
    Stopper(pid_t child, int deadlines, int done, const OrderSink &sink)
        : child_(child)
        , deadlines_(deadlines)
        , done_(done)
        , sink_(sink)
    { }

    void pauseOnce(Tally &tally)
    {
        const TimePoint deadline = BootClock::now() + millis(TermMillis);
        const std::int64_t nanos = deadline.time_since_epoch().count();
        ::write(deadlines_, &nanos, sizeof nanos);
        std::this_thread::sleep_for(std::chrono::microseconds(moment_(random_)));
        ::kill(child_, SIGSTOP);
        ::waitpid(child_, nullptr, WUNTRACED);
        const bool before = BootClock::now() < deadline;
        std::this_thread::sleep_for(deadline - BootClock::now() + millis(TermMillis / 2));
        const std::int64_t arrived = sink_.orders();
        ::kill(child_, SIGCONT);
        std::int64_t answer = 0;
        ::read(done_, &answer, sizeof answer);
        // The child has closed all it opened; what it sent late is counted once the sink is idle.
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
        if (before) {
            ++tally.pauses_;
            tally.late_ += sink_.orders() > arrived ? 1 : 0;
        }
        tally.orders_ = sink_.orders();
    }

private:
    static constexpr int EarliestMicros = 2'000;
    static constexpr int LatestMicros = 16'000;

    pid_t child_;
    int deadlines_;
    int done_;
    const OrderSink &sink_;
    std::mt19937 random_ {20'261};
    std::uniform_int_distribution<int> moment_ {EarliestMicros, LatestMicros};
};

Tally measure(const Way &way, int pauses)
{
    OrderSink sink;
    std::array<int, 2> deadlines {};
    std::array<int, 2> done {};
    if (::pipe(deadlines.data()) != 0 || ::pipe(done.data()) != 0) {
        std::abort();
    }
    const pid_t child = ::fork();
    if (child == 0) {
        ::close(deadlines[1]);
        sendRounds(way.send_, sink.address(), deadlines[0], done[1]);
    }
    sink.start();
    Tally tally;
    Stopper stopper(child, deadlines[1], done[0], sink);
    for (int round = 0; round < pauses; ++round) {
        stopper.pauseOnce(tally);
    }
    ::close(deadlines[1]);
    ::waitpid(child, nullptr, 0);
    for (const int end : {deadlines[0], done[0], done[1]}) {
        ::close(end);
    }
    return tally;
}

} // namespace

int main(int argc, char **argv)
{
    const int pauses = argc > 1 ? std::atoi(argv[1]) : DefaultPauses;
    bool guardedLate = false;
    for (const Way &way : Ways) {
        const Tally tally = measure(way, pauses);
        std::printf("%-22s pauses %d  late orders %d  orders in all %lld\n", way.name_,
                    tally.pauses_, tally.late_, static_cast<long long>(tally.orders_));
        guardedLate = way.send_ == sendGuarded && tally.late_ > 0;
    }
    return guardedLate ? EXIT_FAILURE : EXIT_SUCCESS;
}
