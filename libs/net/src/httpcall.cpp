#include "almondridge/net/httpcall.h"

#include "almondridge/net/httpexchange.h"

namespace almondridge::net {
namespace {

constexpr std::size_t MaxAnswerBytes = 16'777'216;

} // namespace

Result<Response> httpCall(const Address &address, const Request &request, TimePoint deadline)
{
    BOOST_LEAF_AUTO(exchange, HttpExchange::connect(address, deadline));
    BOOST_LEAF_CHECK(exchange.send(request, deadline));
    BOOST_LEAF_AUTO(head, exchange.readHead(deadline));
    Response response;
    response.status_ = head.status_;
    response.headers_ = std::move(head.headers_);
    BOOST_LEAF_ASSIGN(response.body_, exchange.readRest(deadline, MaxAnswerBytes));
    return response;
}

} // namespace almondridge::net
