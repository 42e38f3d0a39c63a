#include "almondridge/net/httpcall.h"

#include <array>
#include <civetweb.h>
#include <memory>

namespace almondridge::net {
namespace {

constexpr std::size_t MaxAnswerBytes = 16'777'216;

struct ConnectionCloser
{
    void operator()(mg_connection *connection) const { mg_close_connection(connection); }
};
using ConnectionPtr = std::unique_ptr<mg_connection, ConnectionCloser>;

std::string requestText(const Address &address, const Request &request)
{
    std::string text = request.method_ + " " + request.path_ + " HTTP/1.1\r\n";
    text += "Host: " + toString(address) + "\r\nConnection: close\r\n";
    text += "Content-Length: " + std::to_string(request.body_.size()) + "\r\n";
    for (const Header &header : request.headers_) {
        text += header.name_ + ": " + header.value_ + "\r\n";
    }
    return text + "\r\n" + request.body_;
}

Result<void> sendRequest(mg_connection *connection, const std::string &text)
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const int written = mg_write(connection, text.data() + sent, text.size() - sent);
        if (written <= 0) {
            return fail(ErrorKind::Interrupted, "the connection broke while sending",
                        "find out the effect before sending again");
        }
        sent += static_cast<std::size_t>(written);
    }
    return {};
}

Result<std::string> readBody(mg_connection *connection, TimePoint deadline)
{
    std::string body;
    std::array<char, 16'384> buffer {};
    for (;;) {
        const int got = mg_read(connection, buffer.data(), buffer.size());
        if (got < 0 || (got > 0 && BootClock::now() >= deadline)) {
            return fail(ErrorKind::Interrupted, "the answer ended early or late",
                        "find out the effect before sending again");
        }
        if (got == 0) {
            return body;
        }
        if (body.size() + static_cast<std::size_t>(got) > MaxAnswerBytes) {
            return fail(ErrorKind::Interrupted, "the answer is longer than any that is expected",
                        "find out the effect before sending again");
        }
        body.append(buffer.data(), static_cast<std::size_t>(got));
    }
}

} // namespace

Result<Response> httpCall(const Address &address, const Request &request, TimePoint deadline)
{
    std::array<char, 256> reason {};
    const ConnectionPtr connection(
        mg_connect_client(address.ip_.c_str(), address.port_, 0, reason.data(), reason.size()));
    if (!connection) {
        return fail(ErrorKind::Unavailable, toString(address) + ": " + reason.data(),
                    "check that the other side runs at this address");
    }
    BOOST_LEAF_CHECK(sendRequest(connection.get(), requestText(address, request)));
    const auto wait = static_cast<int>(millisUntil(deadline, BootClock::now()));
    if (mg_get_response(connection.get(), reason.data(), reason.size(), wait) < 0) {
        return fail(ErrorKind::Interrupted, toString(address) + ": " + reason.data(),
                    "find out the effect before sending again");
    }
    const mg_response_info *info = mg_get_response_info(connection.get());
    Response response;
    response.status_ = info->status_code;
    for (int index = 0; index < info->num_headers; ++index) {
        response.headers_.push_back(
            {info->http_headers[index].name, info->http_headers[index].value});
    }
    BOOST_LEAF_ASSIGN(response.body_, readBody(connection.get(), deadline));
    if (info->content_length >= 0
        && response.body_.size() != static_cast<std::size_t>(info->content_length)) {
        return fail(ErrorKind::Interrupted, toString(address) + ": the answer ended early",
                    "find out the effect before sending again");
    }
    return response;
}

} // namespace almondridge::net
