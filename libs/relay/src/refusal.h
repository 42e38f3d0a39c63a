/**
 * Error responses to callers: status, outcome, remedy, and when to retry.
 */
#pragma once

#include "almondridge/admission/admission.h"
#include "almondridge/base/error.h"
#include "almondridge/net/http.h"
#include "almondridge/relay/machine.h"

#include <optional>
#include <string>

namespace almondridge::relay {

/** An error response. */
struct Refusal
{
    int status_ = 500;
    std::string code_;
    std::string message_;
    std::string remedy_;
    Outcome outcome_ = Outcome::NotRun;
    std::optional<TimePoint> retryAt_ {}; ///< Empty: a retry would fail the same way.
    std::vector<FieldError> fields_ {};   ///< Invalid fields of the request.
};

/** For a request that the state machine refused. */
Refusal refusalFor(const Refuse &refuse);
/** For a request that admission refused. */
Refusal refusalFor(const admission::Decision &decision);
/** For an error: NotRun when the request is invalid or incomplete, Unknown for internal errors. */
Refusal refusalFor(const Error &error);

/** The JSON error body described in docs/PROTOCOLS.md. */
std::string errorBody(const Refusal &refusal, TimePoint now);
/** X-Outcome, and Retry-After (whole seconds, rounded up) when retryAt_ is set. */
net::Headers refusalHeaders(const Refusal &refusal, TimePoint now);

} // namespace almondridge::relay
