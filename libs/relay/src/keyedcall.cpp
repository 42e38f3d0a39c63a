#include "keyedcall.h"

#include <algorithm>
#include <array>
#include <utility>

namespace almondridge::relay {
namespace {

constexpr Duration ComeBackAfter = millis(1'000);
/** How long a claim may take, by rule: a numbered first attempt need not wait for the log. */
constexpr std::array<Duration, 3> LongestWaits {millis(2'000), millis(500), millis(2'000)};

Refusal refusalOf(KeyVerdict verdict, TimePoint now)
{
    Refusal refusal;
    refusal.status_ = 409;
    if (verdict == KeyVerdict::SayUnknown) {
        refusal.code_ = "outcome_unknown";
        refusal.message_ = "a request with this key was begun before and has no known outcome";
        refusal.remedy_ = "ask again with the same key after Retry-After; it is never run again";
        refusal.outcome_ = Outcome::Unknown;
        refusal.retryAt_ = now + ComeBackAfter;
    } else if (verdict == KeyVerdict::SayNotRun) {
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
        refusal.retryAt_ = now + ComeBackAfter;
    }
    return refusal;
}

} // namespace

KeyedCall::KeyedCall(KeyClaims &claims, std::optional<CallerKey> key, RequestId request)
    : claims_(claims)
    , key_(std::move(key))
    , request_(std::move(request))
{ }

bool KeyedCall::looksUpOnly() const noexcept
{
    return key_ && key_->rule_ == KeyRule::LaterAttempt;
}

ClaimAnswer KeyedCall::ask(TimePoint deadline)
{
    const Duration longest = LongestWaits[static_cast<std::size_t>(key_->rule_)];
    const TimePoint until = std::min(deadline, BootClock::now() + longest);
    return looksUpOnly() ? claims_.lookUp(key_->scoped_, until)
                         : claims_.claim(key_->scoped_, request_, until);
}

std::optional<RepeatAnswer> KeyedCall::begin(TimePoint deadline)
{
    if (!key_) {
        return std::nullopt;
    }
    const ClaimAnswer answer = ask(deadline);
    RepeatAnswer repeat;
    repeat.verdict_ = judgeKey(key_->rule_, answer);
    if (repeat.verdict_ == KeyVerdict::Run) {
        running_ = true;
        return std::nullopt;
    }
    if (repeat.verdict_ == KeyVerdict::AnswerStored) {
        repeat.status_ = answer.httpStatus_;
        repeat.stored_ = readStoredAnswer(answer.body_);
    } else {
        repeat.refusal_ = refusalOf(repeat.verdict_, BootClock::now());
    }
    return repeat;
}

void KeyedCall::end(int status, const StoredAnswer &answer)
{
    if (std::exchange(running_, false)) {
        claims_.finish(key_->scoped_, request_, status,
                       status > 0 ? writeStoredAnswer(answer) : std::string());
    }
}

} // namespace almondridge::relay
