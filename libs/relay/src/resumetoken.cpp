#include "resumetoken.h"

#include "digest.h"

#include <nlohmann/json.hpp>

namespace almondridge::relay {
namespace {

using nlohmann::json;

/** Separates these signatures from those of peer messages, which use the same key. */
constexpr std::string_view SigningContext = "almondridge resume token\n";

std::string signatureOf(std::string_view payload, std::string_view sharedKey)
{
    return hmacSha256(sharedKey, std::string(SigningContext) + std::string(payload));
}

boost::leaf::error_id invalidToken()
{
    return fail(ErrorKind::InvalidInput, "the resume token is not valid",
                "use X-Resume-Token of the answer's headers as it was sent");
}

} // namespace

std::string serializeResumeToken(const ResumeToken &token, std::string_view sharedKey)
{
    const json fields = {
        token.location_.endpoint_.value(),
        token.location_.attempt_.value(),
        token.location_.base_,
        nameOf(ApiNames, token.api_),
        token.model_.value(),
        token.account_.value(),
        token.requestHash_,
        token.responseId_,
        token.createdSeconds_,
        token.maxTokens_,
        token.includeUsage_,
    };
    const std::string payload = fields.dump();
    return toBase64Url(payload) + "." + toBase64Url(signatureOf(payload, sharedKey));
}

Result<ResumeToken> parseResumeToken(std::string_view text, std::string_view sharedKey)
{
    const std::size_t dot = text.find('.');
    if (dot == std::string_view::npos) {
        return invalidToken();
    }
    const auto payload = fromBase64Url(text.substr(0, dot));
    const auto signature = fromBase64Url(text.substr(dot + 1));
    if (!payload || !signature
        || !constantTimeEqual(*signature, signatureOf(*payload, sharedKey))) {
        return invalidToken();
    }
    // The signature shows that an entry instance wrote the fields, so their types are right.
    const json fields = json::parse(*payload);
    ResumeToken token;
    token.location_.endpoint_ = EndpointId(fields.at(0).get<std::string>());
    token.location_.attempt_ = AttemptId(fields.at(1).get<std::string>());
    token.location_.base_ = fields.at(2).get<std::int64_t>();
    token.api_ = valueOf(ApiNames, fields.at(3).get<std::string>()).value_or(Api::Completions);
    token.model_ = ModelId(fields.at(4).get<std::string>());
    token.account_ = AccountId(fields.at(5).get<std::string>());
    token.requestHash_ = fields.at(6).get<std::string>();
    token.responseId_ = fields.at(7).get<std::string>();
    token.createdSeconds_ = fields.at(8).get<std::int64_t>();
    token.maxTokens_ = fields.at(9).get<std::int64_t>();
    token.includeUsage_ = fields.at(10).get<bool>();
    return token;
}

} // namespace almondridge::relay
