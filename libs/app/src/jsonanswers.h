/**
 * JSON responses, including errors in the format that clients of model servers expect.
 */
#pragma once

#include "almondridge/base/error.h"
#include "almondridge/net/httpserver.h"

#include <nlohmann/json.hpp>

namespace almondridge::app {

inline constexpr std::string_view JsonType = "application/json";

bool answerJson(net::ServerExchange &exchange, int status, const nlohmann::json &body);
/** Returns {"error":{...}}; outcome says whether the call may have had an effect. */
nlohmann::json errorJson(const Error &error, std::string_view outcome = "not-run");
bool answerError(net::ServerExchange &exchange, int status, const Error &error,
                 std::string_view outcome = "not-run");

} // namespace almondridge::app
