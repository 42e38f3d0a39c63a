/**
 * A request for an answer, as its body and headers say it.
 */
#pragma once

#include "almondridge/net/http.h"
#include "engine/streamtable.h"

#include "common/fieldtable.h"

#include <optional>

namespace almondridge::standins {

/** Where a decode engine fetches the KV cache of a prompt. */
struct KvSource
{
    net::Address address_;
    std::string ticket_;
};

struct GenerationRequest
{
    std::string attempt_;
    int priority_ = 0;
    std::optional<std::int64_t> deadlineWallMillis_ {};
    AnswerShape shape_;
    PromptDigest prompt_;
    std::int64_t maxTokens_ = DefaultMaxTokens;
    bool exportsKv_ = false;              ///< A decode engine will want the KV cache.
    std::optional<KvSource> kvSource_ {}; ///< A prefill engine has the KV cache.
    bool kvImported_ = false;             ///< It was there and is on its way.
};

/** Reads a body of /v1/completions, or of /v1/chat/completions. InvalidInput. */
Result<GenerationRequest> readGeneration(const Json &body, bool chat);

} // namespace almondridge::standins
