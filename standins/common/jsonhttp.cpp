#include "common/jsonhttp.h"

#include <charconv>
#include <civetweb.h>
#include <sys/socket.h>

namespace almondridge::standins {
namespace {

constexpr std::size_t MaxBodyBytes = std::size_t {64} * 1'024 * 1'024;
constexpr std::int64_t BodyMillis = 30'000;
constexpr std::string_view JsonType = "application/json";

} // namespace

Result<Json> readJson(net::ServerExchange &exchange)
{
    BOOST_LEAF_AUTO(text, exchange.readBody(MaxBodyBytes, BootClock::now() + millis(BodyMillis)));
    if (text.empty()) {
        return Json::object();
    }
    Json body = Json::parse(text, nullptr, false);
    if (body.is_discarded()) {
        return fail(ErrorKind::InvalidInput, "the body is no JSON", "send a JSON object");
    }
    return body;
}

bool respondJson(net::ServerExchange &exchange, int status, const Json &body,
                 const net::Headers &extra)
{
    return exchange.respond(status, JsonType, body.dump(), extra);
}

bool respondError(net::ServerExchange &exchange, int status, std::string_view code,
                  std::string_view message, const net::Headers &extra)
{
    return respondJson(exchange, status, {{"error", {{"code", code}, {"message", message}}}},
                       extra);
}

void answerOrRefuse(net::ServerExchange &exchange, const std::function<Result<void>()> &function)
{
    tryOr([&] { return function(); },
          [&](const Error &error) {
              if (!exchange.answered()) {
                  respondError(exchange, 400, nameOf(ErrorKindNames, error.kind_), describe(error));
              }
          });
}

std::int64_t queryNumber(const net::ServerExchange &exchange, std::string_view name,
                         std::int64_t fallback)
{
    const std::string text = exchange.queryValue(name);
    std::int64_t number = fallback;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    return error == std::errc() ? number : fallback;
}

std::string decodePath(std::string_view path)
{
    std::string decoded(path.size() + 1, '\0');
    const int size = mg_url_decode(path.data(), static_cast<int>(path.size()), decoded.data(),
                                   static_cast<int>(decoded.size()), 0);
    decoded.resize(static_cast<std::size_t>(std::max(size, 0)));
    return decoded;
}

void closeWithoutAnswer(net::ServerExchange &exchange)
{
    // CivetWeb would answer 500 for a handler that says nothing; on a socket that is shut down
    // that answer goes nowhere.
    exchange.closeAfterAnswer();
    const int descriptor = exchange.callerSocket();
    if (descriptor >= 0) {
        ::shutdown(descriptor, SHUT_RDWR);
    }
}

} // namespace almondridge::standins
