#include "keyedcall.h"

#include <algorithm>
#include <array>
#include <utility>

namespace almondridge::relay {
namespace {

constexpr Duration DefaultRetryDelay = millis(1'000);
/** By KeyRule. A numbered first attempt also runs without the log, so it waits less. */
constexpr std::array<Duration, 3> ClaimTimeouts {millis(2'000), millis(500), millis(2'000)};

Refusal refusalOf(KeyDecision decision, TimePoint now)
{
    Refusal refusal;
    refusal.status_ = 409;
    if (decision == KeyDecision::ReplyUnknown) {
        refusal.code_ = "outcome_unknown";
        refusal.message_ = "a request with this key was begun before and has no known outcome";
        refusal.remedy_ = "ask again with the same key after Retry-After; it is never run again";
        refusal.outcome_ = Outcome::Unknown;
        refusal.retryAt_ = now + DefaultRetryDelay;
    } else if (decision == KeyDecision::ReplyNotRun) {
        refusal.code_ = "key_not_run";
        refusal.message_ = "the request with this key was not run and will not be";
        refusal.remedy_ = "send the request under a new Idempotency-Key";
    } else {
        refusal.status_ = 503;
        refusal.code_ = "log_unreachable";
        refusal.message_ = "this try was not run: the claim of its key could not be written; what "
                           "an earlier try came to is not known here";
        refusal.remedy_ = "send the request again after Retry-After, or number its attempts with "
                          "X-Attempt from the first one on";
        refusal.retryAt_ = now + DefaultRetryDelay;
    }
    return refusal;
}

} // namespace

KeyedCall::KeyedCall(KeyClaims &claims, std::optional<IdempotencyKey> key, RequestId request)
    : claims_(claims)
    , key_(std::move(key))
    , request_(std::move(request))
{ }

bool KeyedCall::isLookupOnly() const noexcept
{
    return key_ && key_->rule_ == KeyRule::LaterAttempt;
}

ClaimResult KeyedCall::claimOrLookUp(TimePoint deadline)
{
    const Duration timeout = ClaimTimeouts[static_cast<std::size_t>(key_->rule_)];
    const TimePoint until = std::min(deadline, BootClock::now() + timeout);
    return isLookupOnly() ? claims_.lookUp(key_->scopedKey_, until)
                          : claims_.claim(key_->scopedKey_, request_, until);
}

std::optional<DuplicateResponse> KeyedCall::begin(TimePoint deadline)
{
    if (!key_) {
        return std::nullopt;
    }
    const ClaimResult claim = claimOrLookUp(deadline);
    DuplicateResponse duplicate;
    duplicate.keyDecision_ = decideByKey(key_->rule_, claim);
    if (duplicate.keyDecision_ == KeyDecision::Run) {
        storesOutcome_ = true;
        return std::nullopt;
    }
    if (duplicate.keyDecision_ == KeyDecision::ReplayStored) {
        duplicate.status_ = claim.httpStatus_;
        duplicate.stored_ = parseStoredResponse(claim.body_);
    } else {
        duplicate.refusal_ = refusalOf(duplicate.keyDecision_, BootClock::now());
    }
    return duplicate;
}

void KeyedCall::end(int status, const StoredResponse &response)
{
    if (std::exchange(storesOutcome_, false)) {
        claims_.finish(key_->scopedKey_, request_, status,
                       status > 0 ? serializeStoredResponse(response) : std::string());
    }
}

} // namespace almondridge::relay
