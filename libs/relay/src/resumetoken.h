/**
 * Resume tokens: all that an instance needs to go on with another instance's stream, signed with
 * the key that the entry instances share.
 */
#pragma once

#include "modelrequest.h"

#include "almondridge/base/error.h"
#include "almondridge/relay/machine.h"

#include <string>
#include <string_view>

namespace almondridge::relay {

struct ResumeToken
{
    StreamLocation location_;
    Api api_ = Api::Completions;
    ModelId model_;
    AccountId account_;       ///< Only this account may use it.
    std::string requestHash_; ///< SHA-256 of the prompt, so that it is not continued by another.
    std::string responseId_;  ///< The "id" of the answer's events.
    std::int64_t createdSeconds_ = 0;
    std::int64_t maxTokens_ = 0;
    bool includeUsage_ = false;
};

std::string serializeResumeToken(const ResumeToken &token, std::string_view sharedKey);
/** InvalidInput when it is not of ours. */
Result<ResumeToken> parseResumeToken(std::string_view text, std::string_view sharedKey);

} // namespace almondridge::relay
