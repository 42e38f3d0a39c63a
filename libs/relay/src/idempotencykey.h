/**
 * Idempotency keys of callers: a key alone, or a key with attempt numbers, and what each permits
 * when the control log is unavailable. docs/REQUESTS.md states what a caller must guarantee for
 * each kind.
 */
#pragma once

#include "almondridge/base/error.h"
#include "almondridge/base/ids.h"
#include "almondridge/relay/relay.h"

#include <optional>
#include <string>
#include <string_view>

namespace almondridge::relay {

/** When a request with a key may be executed. */
enum class KeyRule {
    Claim,        ///< Key without attempt number: runs only after its claim is in the log.
    FirstAttempt, ///< X-Attempt 1: claims if the log is available, and runs also if it is not.
    LaterAttempt, ///< X-Attempt 2 and up: looks the key up and never runs.
};

/** A caller's idempotency key. */
struct IdempotencyKey
{
    KeyRule rule_ = KeyRule::Claim;
    std::string scopedKey_; ///< The key with its account, scope and kind; unique across them.
};

/** What to do with a request that has a key. */
enum class KeyDecision {
    Run,
    ReplayStored,
    ReplyUnknown,        ///< It may have run; it is never run again.
    ReplyNotRun,         ///< It did not run and will not run under this key.
    ReplyLogUnavailable, ///< Not run, because the control log is unavailable.
};

inline constexpr std::array<EnumName<KeyDecision>, 5> KeyDecisionNames {{
    {KeyDecision::Run, "run"},
    {KeyDecision::ReplayStored, "answer-stored"},
    {KeyDecision::ReplyUnknown, "unknown"},
    {KeyDecision::ReplyNotRun, "not-run"},
    {KeyDecision::ReplyLogUnavailable, "log-out"},
}};

/** The request headers that form the key. */
struct KeyHeaders
{
    std::string_view key_;     ///< Idempotency-Key
    std::string_view attempt_; ///< X-Attempt
};

/**
 * Parses the key; nullopt without one. InvalidInput for a malformed key or attempt number, or for
 * an attempt number without a key.
 */
Result<std::optional<IdempotencyKey>>
parseIdempotencyKey(const KeyHeaders &headers, const AccountId &account, std::string_view scope);

/** Decides by the result of the claim, or of the look-up for LaterAttempt. */
KeyDecision decideByKey(KeyRule rule, const ClaimResult &claim) noexcept;

/** Stored in place of an HTTP status when there is no response of an endpoint. */
inline constexpr int StoredUnknown = 0;
inline constexpr int StoredNotRun = -1;

/** The response stored with a key. */
struct StoredResponse
{
    std::string contentType_;
    std::string body_;
    bool hasBody_ = false; ///< False: the body was too large, or not UTF-8, and was omitted.
};

/** Larger bodies are omitted: the log handles several hundred appends per second in total. */
inline constexpr std::size_t MaxStoredBodyBytes = 4'096;

/** JSON form; omits the body when it is over MaxStoredBodyBytes or not UTF-8. */
std::string serializeStoredResponse(const StoredResponse &response);
/** Empty for text that is not a JSON object. */
StoredResponse parseStoredResponse(std::string_view text);

} // namespace almondridge::relay
