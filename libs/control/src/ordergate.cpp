#include "almondridge/control/ordergate.h"

#include "almondridge/control/leaseguard.h"
#include "almondridge/control/leasekeeper.h"
#include "almondridge/net/httpexchange.h"
#include "enginejson.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace almondridge::control {
namespace {

constexpr std::size_t MaxStateBytes = 64UL * 1'024;
constexpr int StatusOk = 200;
constexpr int StatusConflict = 409;
constexpr int StatusLocked = 423;
constexpr int FirstServerError = 500;

/** Limits how long the kernel retransmits the bytes of an order. */
Result<void> boundRetransmission(int socket)
{
    const unsigned int bound = OrderUserTimeoutMillis;
    if (::setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &bound, sizeof bound) != 0) {
        return fail(ErrorKind::Unavailable,
                    std::string("no TCP_USER_TIMEOUT for an order: ") + std::strerror(errno),
                    "run on a kernel that has it; without it an order may arrive late");
    }
    return {};
}

boost::leaf::error_id refusal(const fleet::Endpoint &engine, const net::Response &answer)
{
    const std::string who = "engine " + engine.id_.value();
    if (answer.status_ == StatusConflict && errorCode(answer.body_) == "stale_fence") {
        return fail(ErrorKind::StaleFence, who + " has accepted an order of a later lease",
                    "stop sending orders; the domain has another holder");
    }
    if (answer.status_ == StatusLocked) {
        return fail(ErrorKind::Overloaded, who + " is busy with another change",
                    "read its state, and order again once it is ready");
    }
    if (answer.status_ >= FirstServerError) {
        return fail(ErrorKind::Interrupted,
                    who + " failed on an order with " + std::to_string(answer.status_),
                    "read its state before ordering again");
    }
    return fail(ErrorKind::Protocol,
                who + " refused an order with " + std::to_string(answer.status_),
                "check that the engine speaks the protocol of docs/PROTOCOLS.md");
}

Result<net::Response> readAnswer(net::HttpExchange &exchange, TimePoint deadline)
{
    BOOST_LEAF_AUTO(head, exchange.readHead(deadline));
    BOOST_LEAF_AUTO(body, exchange.readRest(deadline, MaxStateBytes));
    return net::Response {head.status_, std::move(head.headers_), std::move(body)};
}

/** After any failure once the order was sent, the engine may have accepted it. */
boost::leaf::error_id unknownEffect(const Error &error)
{
    return fail(ErrorKind::Interrupted, "an order was sent, then: " + error.message_,
                "read the engine's state before ordering again");
}

/** Sends the order on its own guarded connection and waits for the response. */
Result<net::Response> exchangeOrder(const net::Address &address, const net::Request &request,
                                    TimePoint sendUntil, TimePoint deadline)
{
    BOOST_LEAF_AUTO(guard, LeaseGuard::ofThisThread());
    BOOST_LEAF_AUTO(exchange, net::HttpExchange::connect(address, std::min(sendUntil, deadline)));
    BOOST_LEAF_CHECK(boundRetransmission(exchange.socketDescriptor()));
    const GuardedSocket guarded(*guard, exchange.socketDescriptor(), sendUntil);
    // Check after arming: if the process is paused from here on, the guard prevents the send.
    if (BootClock::now() >= sendUntil) {
        return fail(ErrorKind::TimedOut, "the lease expired before the order was sent",
                    "claim the lease again");
    }
    BOOST_LEAF_CHECK(exchange.send(request, std::min(sendUntil, deadline)));
    auto answer = capture([&] { return readAnswer(exchange, deadline); });
    if (const auto *error = std::get_if<Error>(&answer)) {
        return unknownEffect(*error);
    }
    return std::get<net::Response>(std::move(answer));
}

class HttpEngineOrders : public EngineOrders
{
public:
    Result<EngineState> readState(const fleet::Endpoint &engine, TimePoint deadline) override
    {
        BOOST_LEAF_AUTO(address, net::parseAddress(engine.address_));
        BOOST_LEAF_AUTO(exchange, net::HttpExchange::connect(address, deadline));
        BOOST_LEAF_CHECK(exchange.send({"GET", "/engine/state", {}, {}}, deadline));
        BOOST_LEAF_AUTO(answer, readAnswer(exchange, deadline));
        if (answer.status_ != StatusOk) {
            return fail(ErrorKind::Protocol,
                        "engine " + engine.id_.value() + " answered its state with "
                            + std::to_string(answer.status_),
                        "check that an engine runs at " + engine.address_);
        }
        return decodeEngineState(answer.body_);
    }

    Result<EngineState> send(const fleet::Endpoint &engine, const EngineOrder &order,
                             TimePoint sendUntil, TimePoint deadline) override
    {
        BOOST_LEAF_AUTO(address, net::parseAddress(engine.address_));
        const net::Request request {
            "POST", "/engine/orders", {{"Content-Type", "application/json"}}, encodeOrder(order)};
        BOOST_LEAF_AUTO(answer, exchangeOrder(address, request, sendUntil, deadline));
        if (answer.status_ != StatusOk) {
            return refusal(engine, answer);
        }
        auto state = capture([&] { return decodeEngineState(answer.body_); });
        if (const auto *error = std::get_if<Error>(&state)) {
            return unknownEffect(*error);
        }
        return std::get<EngineState>(std::move(state));
    }
};

} // namespace

std::unique_ptr<EngineOrders> makeHttpEngineOrders()
{
    return std::make_unique<HttpEngineOrders>();
}

} // namespace almondridge::control
