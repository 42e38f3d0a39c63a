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
struct DuplicateResponse
{
    KeyDecision keyDecision_ = KeyDecision::ReplyUnknown;
    int status_ = 0;                    ///< With ReplayStored.
    StoredResponse stored_ {};          ///< With ReplayStored.
    std::optional<Refusal> refusal_ {}; ///< With the others.
};

class KeyedCall
{
public:
    /** Without a key every call runs and nothing is kept. */
    KeyedCall(KeyClaims &claims, std::optional<IdempotencyKey> key, RequestId request);

    /** Whether this call may only look up, so that nothing needs to be admitted for it. */
    bool isLookupOnly() const noexcept;
    /** nullopt: the call may run, and its key is claimed as its rule demands. */
    std::optional<DuplicateResponse> begin(TimePoint deadline);
    /** Keeps the outcome of a call that ran; StoredUnknown and StoredNotRun included. */
    void end(int status, const StoredResponse &answer);

private:
    ClaimAnswer claimOrLookUp(TimePoint deadline);

    KeyClaims &claims_;
    std::optional<IdempotencyKey> key_;
    RequestId request_;
    bool running_ = false;
};

} // namespace almondridge::relay
