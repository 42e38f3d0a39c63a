/**
 * Idempotency keys of callers: their two kinds, and what may be done when the control log cannot
 * be asked. docs/REQUESTS.md has what a caller must promise for each.
 */
#pragma once

#include "almondridge/base/error.h"
#include "almondridge/base/ids.h"
#include "almondridge/relay/relay.h"

#include <optional>
#include <string>
#include <string_view>

namespace almondridge::relay {

enum class KeyRule {
    Claim,        ///< Key alone: runs only after its claim is in the log.
    FirstAttempt, ///< Numbered, 1: claims when the log can be reached, runs in either case.
    LaterAttempt, ///< Numbered, 2 and up: looks up, never runs.
};

struct IdempotencyKey
{
    KeyRule rule_ = KeyRule::Claim;
    std::string scopedKey_; ///< Unique over accounts, services and kinds of key.
};

enum class KeyDecision {
    Run,
    ReplayStored,
    ReplyUnknown,        ///< May have run; never run it again.
    ReplyNotRun,         ///< Did not run and will not under this key.
    ReplyLogUnavailable, ///< Not run, because the log could not be asked.
};

inline constexpr std::array<EnumName<KeyDecision>, 5> KeyDecisionNames {{
    {KeyDecision::Run, "run"},
    {KeyDecision::ReplayStored, "answer-stored"},
    {KeyDecision::ReplyUnknown, "unknown"},
    {KeyDecision::ReplyNotRun, "not-run"},
    {KeyDecision::ReplyLogUnavailable, "log-out"},
}};

/** The headers of one call that make its key. */
struct KeyHeaders
{
    std::string_view key_;     ///< Idempotency-Key
    std::string_view attempt_; ///< X-Attempt
};

/** nullopt without a key. InvalidInput: too long, or a number without a key. */
Result<std::optional<IdempotencyKey>>
parseIdempotencyKey(const KeyHeaders &headers, const AccountId &account, std::string_view scope);

/** What to do after the claim, or for LaterAttempt after the look-up, came to answer. */
KeyDecision decideByKey(KeyRule rule, const ClaimAnswer &answer) noexcept;

/** Statuses of a stored outcome that stand for no answer of an endpoint. */
inline constexpr int StoredUnknown = 0;
inline constexpr int StoredNotRun = -1;

/** An answer small enough to be kept with its key. */
struct StoredResponse
{
    std::string contentType_;
    std::string body_;
    bool whole_ = false; ///< False: the body was too large, or not UTF-8, and was left out.
};

/** Bodies over this are not kept: the log takes several hundred appends a second for all. */
inline constexpr std::size_t MaxStoredBodyBytes = 4'096;

std::string serializeStoredResponse(const StoredResponse &answer);
StoredResponse parseStoredResponse(std::string_view text);

} // namespace almondridge::relay
