/**
 * What a caller is told when its request is not answered: status, outcome, remedy, and when to
 * come back.
 */
#pragma once

#include "almondridge/admission/admission.h"
#include "almondridge/base/error.h"
#include "almondridge/net/http.h"
#include "almondridge/relay/machine.h"

#include <optional>
#include <string>

namespace almondridge::relay {

struct Refusal
{
    int status_ = 500;
    std::string code_;
    std::string message_;
    std::string remedy_;
    Outcome outcome_ = Outcome::NotRun;
    std::optional<TimePoint> retryAt_ {}; ///< Empty: a later try would end the same.
    std::vector<FieldError> fields_ {};
};

/** For what the machine gave up on. */
Refusal refusalFor(const Refuse &refuse);
/** For what admission refused. */
Refusal refusalFor(const admission::Decision &decision);
/** For a request that could not be read or is wrong: not run. Faults of our own: unknown. */
Refusal refusalFor(const Error &error);

/** The error body of docs/PROTOCOLS.md. */
std::string errorBody(const Refusal &refusal, TimePoint now);
/** X-Outcome, and Retry-After when coming back is worth it. */
net::Headers refusalHeaders(const Refusal &refusal, TimePoint now);

} // namespace almondridge::relay
