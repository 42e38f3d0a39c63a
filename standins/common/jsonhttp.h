/**
 * JSON bodies on the server side, and the errors of the stand-ins.
 */
#pragma once

#include "almondridge/net/httpserver.h"
#include "common/fieldtable.h"

namespace almondridge::standins {

/** The request's body. InvalidInput when it is no JSON; an empty body is an empty object. */
Result<Json> readJson(net::ServerExchange &exchange);

/** Answers with a JSON body. False when the caller is gone. */
bool respondJson(net::ServerExchange &exchange, int status, const Json &body,
                 const net::Headers &extra = {});

/** Answers {"error":{"code","message"}}. */
bool respondError(net::ServerExchange &exchange, int status, std::string_view code,
                  std::string_view message, const net::Headers &extra = {});

/** Runs function, which answers itself, and answers 400 when it fails with an Error. */
void answerOrRefuse(net::ServerExchange &exchange, const std::function<Result<void>()> &function);

/** The decoded query field as a number; fallback when it is missing or no number. */
std::int64_t queryNumber(const net::ServerExchange &exchange, std::string_view name,
                         std::int64_t fallback);

/**
 * Closes the caller's connection without an answer, as a process does that dies. The caller
 * cannot tell whether its request had an effect.
 */
void closeWithoutAnswer(net::ServerExchange &exchange);

} // namespace almondridge::standins
