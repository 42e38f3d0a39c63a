#include "refusal.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace almondridge::relay {
namespace {

using nlohmann::json;

constexpr std::int64_t MillisPerSecond = 1'000;
constexpr int FirstServerStatus = 500;

/** Maps a reason to its error response. */
template <typename Reason>
struct RefusalRow
{
    Reason reason_;
    int status_;
    std::string_view code_;
    std::string_view message_;
    std::string_view remedy_;
};

constexpr std::string_view WaitRemedy = "send the request again after Retry-After";
constexpr std::string_view UnknownRemedy =
    "find out whether it took effect, or look it up by its Idempotency-Key";

constexpr std::array<RefusalRow<RefusalCause>, 8> CauseRows {{
    {RefusalCause::Admission, 503, "overloaded", "there is no room", WaitRemedy},
    {RefusalCause::NoEndpoint, 503, "no_endpoint", "no endpoint can take the request", WaitRemedy},
    {RefusalCause::RetryBudgetExhausted, 503, "no_retry_left",
     "an endpoint failed and too many requests are being retried", WaitRemedy},
    {RefusalCause::AttemptLimitReached, 503, "attempts_spent", "several endpoints failed",
     WaitRemedy},
    {RefusalCause::DeadlinePassed, 504, "deadline_passed", "the deadline of the request passed",
     "give the request a later deadline"},
    {RefusalCause::ConnectionLost, 502, "connection_lost",
     "the connection to the endpoint was lost and the request may not be sent twice",
     UnknownRemedy},
    {RefusalCause::ResponseInterrupted, 502, "answer_broken",
     "the endpoint failed in the middle of its answer", UnknownRemedy},
    {RefusalCause::StreamGone, 410, "stream_forgotten",
     "the engine does not have this stream any more",
     "post the request again with X-Resume-Token, X-Resume-Offset and the text so far in "
     "resume_text"},
}};

constexpr std::array<RefusalRow<admission::RefusalReason>, 6> AdmissionRows {{
    {admission::RefusalReason::None, 503, "overloaded", "there is no room", WaitRemedy},
    {admission::RefusalReason::DeadlineCannotBeMet, 503, "deadline_cannot_be_met",
     "the deadline cannot be met", "come back after Retry-After or give a later deadline"},
    {admission::RefusalReason::QueueFull, 503, "queue_full", "too many requests wait", WaitRemedy},
    {admission::RefusalReason::ShareExhausted, 429, "share_exhausted",
     "the account's share of the engines is in use", WaitRemedy},
    {admission::RefusalReason::NoCapacity, 503, "no_capacity", "all engines are full", WaitRemedy},
    {admission::RefusalReason::Stopping, 503, "stopping", "this instance is stopping",
     "send the request again; another instance takes it"},
}};

struct ErrorStatus
{
    ErrorKind kind_;
    int status_;
    std::string_view code_;
};

constexpr std::array<ErrorStatus, 9> ErrorStatuses {{
    {ErrorKind::InvalidInput, 400, "invalid_request"},
    {ErrorKind::NotFound, 404, "not_found"},
    {ErrorKind::Conflict, 409, "conflict"},
    {ErrorKind::Unauthorized, 401, "invalid_api_key"},
    {ErrorKind::Interrupted, 400, "body_incomplete"},
    {ErrorKind::TimedOut, 408, "body_too_slow"},
    {ErrorKind::Overloaded, 413, "body_too_large"},
    {ErrorKind::NoMemory, 503, "no_memory"},
    {ErrorKind::Trimmed, 410, "gone"},
}};

template <typename Table, typename Reason>
Refusal fromTable(const Table &table, Reason reason)
{
    const auto row = std::find_if(table.begin(), table.end(),
                                  [&](const auto &each) { return each.reason_ == reason; });
    Refusal refusal;
    refusal.status_ = row->status_;
    refusal.code_ = row->code_;
    refusal.message_ = row->message_;
    refusal.remedy_ = row->remedy_;
    return refusal;
}

std::int64_t millisToWait(const Refusal &refusal, TimePoint now)
{
    return std::max<std::int64_t>(millisUntil(*refusal.retryAt_, now), 1);
}

} // namespace

Refusal refusalFor(const Refuse &refuse)
{
    Refusal refusal = fromTable(CauseRows, refuse.cause_);
    refusal.outcome_ = refuse.outcome_;
    refusal.retryAt_ = refuse.retryAt_;
    return refusal;
}

Refusal refusalFor(const admission::Decision &decision)
{
    Refusal refusal = fromTable(AdmissionRows, decision.reason_);
    refusal.retryAt_ = decision.retryAt_;
    return refusal;
}

Refusal refusalFor(const Error &error)
{
    Refusal refusal;
    refusal.code_ = "internal";
    // An internal error may occur after the request was sent to an endpoint.
    refusal.outcome_ = Outcome::Unknown;
    refusal.message_ = error.message_;
    refusal.remedy_ = error.remedy_;
    refusal.fields_ = error.fields_;
    for (const ErrorStatus &row : ErrorStatuses) {
        if (row.kind_ == error.kind_) {
            refusal.status_ = row.status_;
            refusal.code_ = row.code_;
            refusal.outcome_ = Outcome::NotRun;
        }
    }
    return refusal;
}

std::string errorBody(const Refusal &refusal, TimePoint now)
{
    json error = {
        {"message", refusal.message_},
        {"type", refusal.status_ >= FirstServerStatus ? "server_error" : "invalid_request_error"},
        {"code", refusal.code_},
        {"outcome", nameOf(OutcomeNames, refusal.outcome_)},
        {"remedy", refusal.remedy_},
    };
    if (!refusal.fields_.empty()) {
        error["param"] = refusal.fields_.front().field_;
    }
    for (const FieldError &field : refusal.fields_) {
        error["fields"].push_back(
            {{"field", field.field_}, {"value", field.value_}, {"remedy", field.remedy_}});
    }
    if (refusal.retryAt_) {
        error["retry_after_ms"] = millisToWait(refusal, now);
    }
    // Messages may quote bytes of the request that are not valid UTF-8.
    return json {{"error", std::move(error)}}.dump(-1, ' ', false, json::error_handler_t::replace);
}

net::Headers refusalHeaders(const Refusal &refusal, TimePoint now)
{
    net::Headers headers {{"X-Outcome", std::string(nameOf(OutcomeNames, refusal.outcome_))}};
    if (refusal.retryAt_) {
        const std::int64_t wait = millisToWait(refusal, now);
        const std::int64_t seconds = (wait + MillisPerSecond - 1) / MillisPerSecond;
        headers.push_back({"Retry-After", std::to_string(seconds)});
    }
    return headers;
}

} // namespace almondridge::relay
