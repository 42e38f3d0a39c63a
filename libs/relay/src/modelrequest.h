/**
 * A caller's request to a model: reading, checking, and writing it for an engine.
 */
#pragma once

#include "almondridge/base/error.h"
#include "almondridge/base/ids.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace almondridge::relay {

enum class Api { Completions, Chat };

inline constexpr std::array<EnumName<Api>, 2> ApiNames {{
    {Api::Completions, "completions"},
    {Api::Chat, "chat"},
}};

/** The path of the calls, the same towards callers and engines. */
std::string_view pathOf(Api api) noexcept;

struct ModelRequest
{
    Api api_ = Api::Completions;
    ModelId model_;
    std::string promptText_; ///< Of a chat: the messages' texts joined by one space.
    std::int64_t maxTokens_ = 0;
    bool stream_ = false;
    bool includeUsage_ = false;
    std::string resumeText_; ///< Delivered before; the caller goes on from there.
    nlohmann::json body_;    ///< As sent, but for resume_text.
};

/** InvalidInput with every wrong field. */
Result<ModelRequest> parseModelRequest(Api api, std::string_view body);

/** What one sending to an engine adds to the request. */
struct AttemptState
{
    std::string_view deliveredText_;
    std::int64_t deliveredTokens_ = 0;
    nlohmann::json kvTransfer_ {}; ///< From a prefill engine; null: none.
};

/** The body for an engine: always streamed and with usage, so that it can be resumed. */
std::string engineBody(const ModelRequest &request, const AttemptState &state);
/** The body for an engine that only prefills and hands the KV cache over. */
std::string prefillBody(const ModelRequest &request, std::string_view deliveredText);

} // namespace almondridge::relay
