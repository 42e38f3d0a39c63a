#include "almondridge/control/keyclaims.h"

namespace almondridge::control {
namespace {

/** Limit in bytes: every instance keeps every outcome until the horizon. */
constexpr std::size_t MaxStoredBodyBytes = 16U << 10U;
/** How long storing an outcome is retried; if it fails, repeated requests get Unknown. */
constexpr std::int64_t StoreTimeoutMillis = 300'000;
/** The stored status of an unknown outcome. */
constexpr int UnknownStatus = 0;

KeyClaimAnswer answerWith(KeyClaimStatus status)
{
    return {status, UnknownStatus, {}};
}

KeyClaimAnswer answerOf(const KeyClaim &claim)
{
    if (!claim.finished_ || claim.status_ == UnknownStatus) {
        return answerWith(KeyClaimStatus::Unknown);
    }
    return {KeyClaimStatus::Finished, claim.status_, claim.body_};
}

} // namespace

LogKeyClaims::LogKeyClaims(ControlLog &log, InstanceId self)
    : log_(log)
    , self_(std::move(self))
{ }

KeyClaimAnswer LogKeyClaims::claim(const std::string &key, const RequestId &request,
                                   TimePoint deadline)
{
    if (std::optional<KeyClaimAnswer> earlier = lookUpFolded(key)) {
        return *std::move(earlier);
    }
    if (!log_.logReachable()) {
        return answerWith(KeyClaimStatus::LogOut);
    }
    const KeyClaimRecord record {key, request, self_, wallMillis()};
    const auto appended =
        capture([&] { return log_.append(record, deadline, OutagePolicy::Fail); });
    if (const Error *error = std::get_if<Error>(&appended)) {
        // Only Unavailable guarantees that this call did not append a claim.
        const bool nothing = error->kind_ == ErrorKind::Unavailable;
        return answerWith(nothing ? KeyClaimStatus::LogOut : KeyClaimStatus::Unknown);
    }
    if (std::get<AppendVerdict>(appended).verdict_ == Verdict::Accepted) {
        return answerWith(KeyClaimStatus::Claimed);
    }
    // A rejected claim of a key without a claim in the fold was older than the horizon. The key
    // may have been claimed and dropped since, so the request cannot be reported as not run.
    return lookUpFolded(key).value_or(answerWith(KeyClaimStatus::Unknown));
}

KeyClaimAnswer LogKeyClaims::lookUp(const std::string &key, TimePoint deadline)
{
    if (std::optional<KeyClaimAnswer> found = lookUpFolded(key)) {
        if (found->status_ == KeyClaimStatus::Finished || !log_.logReachable()) {
            return *std::move(found);
        }
    }
    tryOr([&] { return log_.catchUp(deadline); }, [](const Error &) {});
    return lookUpFolded(key).value_or(answerWith(KeyClaimStatus::Unknown));
}

void LogKeyClaims::finish(const std::string &key, const RequestId &request, int httpStatus,
                          const std::string &body)
{
    const bool tooLong = body.size() > MaxStoredBodyBytes;
    const KeyOutcomeRecord outcome {key, request, tooLong ? UnknownStatus : httpStatus,
                                    tooLong ? std::string() : body};
    log_.post(outcome, BootClock::now() + millis(StoreTimeoutMillis));
}

std::optional<KeyClaimAnswer> LogKeyClaims::lookUpFolded(const std::string &key) const
{
    return log_.read([&](const Fold &fold) -> std::optional<KeyClaimAnswer> {
        const KeyClaim *claim = fold.claim(key);
        return claim == nullptr ? std::nullopt : std::optional(answerOf(*claim));
    });
}

} // namespace almondridge::control
