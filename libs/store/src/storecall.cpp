#include "storecall.h"

#include "almondridge/net/httpexchange.h"

namespace almondridge::store {
namespace {

/** Limit in bytes; a page of 1,000 records and snapshots of the largest fleets are far below. */
constexpr std::size_t MaxResponseBytes = 256U << 20U;

/** Connects. Any failure is Unavailable, because nothing was sent. */
Result<net::HttpExchange> connect(const net::Address &address, TimePoint deadline)
{
    auto connected = capture([&] { return net::HttpExchange::connect(address, deadline); });
    if (Error *error = std::get_if<Error>(&connected)) {
        error->kind_ = ErrorKind::Unavailable;
        return fail(std::move(*error));
    }
    return std::move(std::get<net::HttpExchange>(connected));
}

} // namespace

Result<PlatformResponse> storeCall(const net::Address &address, const net::Request &request,
                                   TimePoint deadline)
{
    BOOST_LEAF_AUTO(exchange, connect(address, deadline));
    BOOST_LEAF_CHECK(exchange.send(request, deadline));
    BOOST_LEAF_AUTO(head, exchange.readHead(deadline));
    BOOST_LEAF_AUTO(body, exchange.readRest(deadline, MaxResponseBytes));
    PlatformResponse answer;
    answer.status_ = head.status_;
    answer.retryAfter_ = net::headerValue(head.headers_, "Retry-After");
    answer.body_ = Json::parse(body, nullptr, false);
    return answer;
}

boost::leaf::error_id failedStatus(const std::string &source, const PlatformResponse &answer)
{
    const std::string message = source + " answered " + std::to_string(answer.status_);
    if (answer.status_ == 429) {
        const std::string when =
            answer.retryAfter_.empty() ? "later" : "in " + answer.retryAfter_ + " s";
        return fail(ErrorKind::Overloaded, message + ": over its rate", "try again " + when);
    }
    if (answer.status_ == 503) {
        return fail(ErrorKind::Unavailable, message + ": in an outage",
                    "try again when the platform is back");
    }
    if (answer.status_ >= 500) {
        return fail(ErrorKind::Interrupted, message, "find out the effect before sending again");
    }
    return fail(ErrorKind::Protocol, message,
                "check that the settings name the right address for it");
}

boost::leaf::error_id protocolError(const std::string &source, const std::string &what)
{
    return fail(ErrorKind::Protocol, source + ": " + what,
                "check that the settings name the right address and that its version fits");
}

} // namespace almondridge::store
