#include "jsonanswers.h"

namespace almondridge::app {
namespace {

constexpr int RetryAfterSeconds = 1;

std::string serialize(const nlohmann::json &json)
{
    // Messages may contain external input; dump() must not throw on invalid UTF-8.
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

bool answerJson(net::ServerExchange &exchange, int status, const nlohmann::json &body)
{
    return exchange.respond(status, JsonType, serialize(body));
}

nlohmann::json errorJson(const Error &error, std::string_view outcome)
{
    nlohmann::json fields = nlohmann::json::array();
    for (const FieldError &field : error.fields_) {
        fields.push_back(
            {{"field", field.field_}, {"value", field.value_}, {"remedy", field.remedy_}});
    }
    return {{"error",
             {{"message", error.message_},
              {"type", "almondridge_error"},
              {"code", nameOf(ErrorKindNames, error.kind_)},
              {"outcome", outcome},
              {"remedy", error.remedy_},
              {"fields", std::move(fields)}}}};
}

bool answerError(net::ServerExchange &exchange, int status, const Error &error,
                 std::string_view outcome)
{
    net::Headers headers {{"X-Outcome", std::string(outcome)}};
    if (status == 503 || status == 429) {
        headers.push_back({"Retry-After", std::to_string(RetryAfterSeconds)});
    }
    return exchange.respond(status, JsonType, serialize(errorJson(error, outcome)), headers);
}

} // namespace almondridge::app
