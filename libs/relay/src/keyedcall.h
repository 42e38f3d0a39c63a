/**
 * The claim, the answer of a repeat, and the stored outcome of one call with a key.
 */
#pragma once

#include "idempotencykey.h"
#include "refusal.h"

#include "almondridge/base/time.h"
#include "almondridge/relay/relay.h"

#include <optional>
#include <string>

namespace almondridge::relay {

/** What a repeat gets instead of a run. */
struct RepeatAnswer
{
    KeyVerdict verdict_ = KeyVerdict::SayUnknown;
    int status_ = 0;                    ///< With AnswerStored.
    StoredAnswer stored_ {};            ///< With AnswerStored.
    std::optional<Refusal> refusal_ {}; ///< With the others.
};

class KeyedCall
{
public:
    /** Without a key every call runs and nothing is kept. */
    KeyedCall(KeyClaims &claims, std::optional<CallerKey> key, RequestId request);

    /** Whether this call may only look up, so that nothing needs to be admitted for it. */
    bool looksUpOnly() const noexcept;
    /** nullopt: the call may run, and its key is claimed as its rule demands. */
    std::optional<RepeatAnswer> begin(TimePoint deadline);
    /** Keeps the outcome of a call that ran; StoredUnknown and StoredNotRun included. */
    void end(int status, const StoredAnswer &answer);

private:
    ClaimAnswer ask(TimePoint deadline);

    KeyClaims &claims_;
    std::optional<CallerKey> key_;
    RequestId request_;
    bool running_ = false;
};

} // namespace almondridge::relay
