/**
 * One event of an engine's stream, read.
 */
#pragma once

#include "modelrequest.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace almondridge::relay {

/** What an engine counted. */
struct TokenUsage
{
    std::int64_t promptTokens_ = 0;
    std::int64_t completionTokens_ = 0;
    std::int64_t cachedTokens_ = -1; ///< -1: not told.
};

enum class EngineEventKind {
    Tokens, ///< Carries text, and counts as count_ tokens.
    Other,  ///< The role of a chat, a finish reason, usage.
    Done,   ///< The stream is whole.
    Failed, ///< The engine says that it failed.
};

struct EngineEvent
{
    EngineEventKind kind_ = EngineEventKind::Other;
    std::int64_t offset_ = 0;
    std::int64_t count_ = 0;
    std::string text_;
    std::string finishReason_; ///< Empty: not finished.
    std::optional<TokenUsage> usage_;
    nlohmann::json body_;
};

/** nullopt: no event that an engine may send. */
std::optional<EngineEvent> parseEngineEvent(Api api, std::string_view data);

/** An engine's error body; empty where it says nothing. */
struct EngineError
{
    std::string code_;
    std::string message_;
};

EngineError parseEngineError(std::string_view body);

} // namespace almondridge::relay
