/**
 * Parses the events of an engine's stream.
 */
#pragma once

#include "modelrequest.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace almondridge::relay {

/** Token counts that an engine reports. */
struct TokenUsage
{
    std::int64_t promptTokens_ = 0;
    std::int64_t completionTokens_ = 0;
    std::int64_t cachedTokens_ = -1; ///< -1: not reported.
};

/** Kind of an event. */
enum class EngineEventKind {
    Tokens, ///< Carries the text of count_ tokens.
    Other,  ///< A chat role, finish reason or usage without tokens.
    Done,   ///< End of a complete stream.
    Failed, ///< The engine reports an error.
};

/** A parsed event. */
struct EngineEvent
{
    EngineEventKind kind_ = EngineEventKind::Other;
    std::int64_t offset_ = 0; ///< Of its first token in the engine's stream.
    std::int64_t count_ = 0;
    std::string text_;
    std::string finishReason_; ///< Empty: not finished.
    std::optional<TokenUsage> usage_;
    nlohmann::json body_;
};

/** Parses the data of one event; nullopt when it is not a valid engine event. */
std::optional<EngineEvent> parseEngineEvent(Api api, std::string_view data);

/** The error in a response body of an engine; members are empty where it has none. */
struct EngineError
{
    std::string code_;
    std::string message_;
};

EngineError parseEngineError(std::string_view body);

} // namespace almondridge::relay
