#include "idempotencykey.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>

namespace almondridge::relay {
namespace {

using nlohmann::json;

constexpr std::size_t MaxKeyBytes = 256;

using DecisionRow = std::array<KeyDecision, 4>;

/** By KeyRule, then by ClaimStatus: Claimed, Finished, Unknown, LogUnavailable. */
constexpr std::array<DecisionRow, 3> Decisions {{
    {KeyDecision::Run, KeyDecision::ReplayStored, KeyDecision::ReplyUnknown,
     KeyDecision::ReplyLogUnavailable},
    // The only rule that runs without a claim. It is safe because later attempts never run: one
    // that finds no claim after a log outage replies "unknown" and does not assume "never ran".
    {KeyDecision::Run, KeyDecision::ReplayStored, KeyDecision::ReplyUnknown, KeyDecision::Run},
    {KeyDecision::ReplyUnknown, KeyDecision::ReplayStored, KeyDecision::ReplyUnknown,
     KeyDecision::ReplyUnknown},
}};

bool isPrintable(std::string_view text)
{
    return std::all_of(text.begin(), text.end(),
                       [](char character) { return character > ' ' && character < 0x7f; });
}

Result<int> parseAttempt(std::string_view text)
{
    int attempt = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), attempt);
    if (error != std::errc() || end != text.data() + text.size() || attempt < 1) {
        return fail(ErrorKind::InvalidInput, "X-Attempt is no attempt number",
                    "count the attempts of one key from 1");
    }
    return attempt;
}

} // namespace

Result<std::optional<IdempotencyKey>>
parseIdempotencyKey(const KeyHeaders &headers, const AccountId &account, std::string_view scope)
{
    if (headers.key_.empty() && !headers.attempt_.empty()) {
        return fail(ErrorKind::InvalidInput, "X-Attempt came without Idempotency-Key",
                    "send both, or neither");
    }
    if (headers.key_.empty()) {
        return std::optional<IdempotencyKey>();
    }
    if (headers.key_.size() > MaxKeyBytes || !isPrintable(headers.key_)) {
        return fail(ErrorKind::InvalidInput, "Idempotency-Key is too long or has odd letters",
                    "use at most 256 printable ASCII letters without spaces");
    }
    IdempotencyKey key;
    std::string_view kind = "claimed";
    if (!headers.attempt_.empty()) {
        BOOST_LEAF_AUTO(attempt, parseAttempt(headers.attempt_));
        key.rule_ = attempt == 1 ? KeyRule::FirstAttempt : KeyRule::LaterAttempt;
        kind = "numbered";
    }
    // A JSON list keeps the parts apart: "a/b" + "c" must not equal "a" + "b/c".
    key.scopedKey_ = json {account.value(), scope, kind, headers.key_}.dump(
        -1, ' ', false, json::error_handler_t::replace);
    return std::optional<IdempotencyKey>(std::move(key));
}

KeyDecision decideByKey(KeyRule rule, const ClaimResult &claim) noexcept
{
    const KeyDecision decision =
        Decisions[static_cast<std::size_t>(rule)][static_cast<std::size_t>(claim.status_)];
    if (decision != KeyDecision::ReplayStored) {
        return decision;
    }
    if (claim.httpStatus_ == StoredNotRun) {
        return KeyDecision::ReplyNotRun;
    }
    return claim.httpStatus_ == StoredUnknown ? KeyDecision::ReplyUnknown : decision;
}

std::string serializeStoredResponse(const StoredResponse &response)
{
    const json withBody = {{"type", response.contentType_}, {"body", response.body_}};
    std::string text = withBody.dump(-1, ' ', false, json::error_handler_t::ignore);
    // A body that does not survive the round trip, such as bytes that are not UTF-8, is omitted.
    if (response.body_.size() <= MaxStoredBodyBytes
        && parseStoredResponse(text).body_ == response.body_) {
        return text;
    }
    return json {{"type", response.contentType_}}.dump(-1, ' ', false,
                                                       json::error_handler_t::ignore);
}

StoredResponse parseStoredResponse(std::string_view text)
{
    const json stored = json::parse(text, nullptr, false);
    if (!stored.is_object()) {
        return {};
    }
    StoredResponse response;
    response.contentType_ = stored.value("type", "");
    response.hasBody_ = stored.contains("body");
    response.body_ = stored.value("body", "");
    return response;
}

} // namespace almondridge::relay
