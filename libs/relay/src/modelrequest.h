/**
 * A caller's request to a model: parsing, validation, and the body sent to an engine.
 */
#pragma once

#include "almondridge/base/error.h"
#include "almondridge/base/ids.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace almondridge::relay {

/** The completion API that a request uses. */
enum class Api { Completions, Chat };

inline constexpr std::array<EnumName<Api>, 2> ApiNames {{
    {Api::Completions, "completions"},
    {Api::Chat, "chat"},
}};

/** The request path, the same for callers and engines. */
std::string_view pathOf(Api api) noexcept;

/** A validated request to a model. */
struct ModelRequest
{
    Api api_ = Api::Completions;
    ModelId model_;
    std::string promptText_; ///< For a chat, the messages' texts joined by spaces.
    std::int64_t maxTokens_ = 0;
    bool stream_ = false;
    bool includeUsage_ = false;
    std::string resumeText_; ///< Text that the caller received before it resumed.
    nlohmann::json body_;    ///< The JSON body without resume_text.
};

/** Parses and validates a body. InvalidInput lists every invalid field. */
Result<ModelRequest> parseModelRequest(Api api, std::string_view body);

/** State of earlier attempts that an attempt adds to the request. */
struct AttemptState
{
    std::string_view deliveredText_;
    std::int64_t deliveredTokens_ = 0;
    nlohmann::json kvTransfer_ {}; ///< KV transfer parameters of a prefill engine, or null.
};

/** The body for an engine; always requests a stream with usage, so that it can be resumed. */
std::string engineBody(const ModelRequest &request, const AttemptState &state);
/** The body for an engine that only prefills and transfers its KV cache. */
std::string prefillBody(const ModelRequest &request, std::string_view deliveredText);

} // namespace almondridge::relay
