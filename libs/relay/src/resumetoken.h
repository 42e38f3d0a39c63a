/**
 * Resume tokens hold what an instance needs to resume a stream of another instance. They are signed
 * with the key that the entry instances share.
 */
#pragma once

#include "modelrequest.h"

#include "almondridge/base/error.h"
#include "almondridge/relay/machine.h"

#include <string>
#include <string_view>

namespace almondridge::relay {

/** The signed fields. */
struct ResumeToken
{
    StreamLocation location_;
    Api api_ = Api::Completions;
    ModelId model_;
    AccountId account_; ///< Only this account may use it.
    std::string
        requestHash_; ///< Hex SHA-256 of the prompt; a continuation must have the same prompt.
    std::string responseId_; ///< The "id" of the response's events.
    std::int64_t createdSeconds_ = 0;
    std::int64_t maxTokens_ = 0;
    bool includeUsage_ = false;
};

/** Signs the token and encodes it for headers and paths. */
std::string serializeResumeToken(const ResumeToken &token, std::string_view sharedKey);
/** Verifies the signature and parses the token. InvalidInput when it is not valid. */
Result<ResumeToken> parseResumeToken(std::string_view text, std::string_view sharedKey);

} // namespace almondridge::relay
