/**
 * Idempotency of one call: claims its key, responds to duplicates, and stores its outcome.
 */
#pragma once

#include "idempotencykey.h"
#include "refusal.h"

#include "almondridge/base/time.h"
#include "almondridge/relay/relay.h"

#include <optional>
#include <string>

namespace almondridge::relay {

/** The response to a request that must not run because of its key. */
struct DuplicateResponse
{
    KeyDecision keyDecision_ = KeyDecision::ReplyUnknown;
    int status_ = 0;                    ///< For ReplayStored.
    StoredResponse stored_ {};          ///< For ReplayStored.
    std::optional<Refusal> refusal_ {}; ///< For the other decisions.
};

/** The key of one call. Without a key, every call runs and nothing is stored. */
class KeyedCall
{
public:
    KeyedCall(KeyClaims &claims, std::optional<IdempotencyKey> key, RequestId request);

    /** Whether this call only looks its key up and never runs, so that it needs no admission. */
    bool isLookupOnly() const noexcept;
    /** Claims or looks up the key. nullopt: the call may run. */
    std::optional<DuplicateResponse> begin(TimePoint deadline);
    /** Stores the outcome of a call that ran: an HTTP status, StoredUnknown or StoredNotRun. */
    void end(int status, const StoredResponse &response);

private:
    ClaimResult claimOrLookUp(TimePoint deadline);

    KeyClaims &claims_;
    std::optional<IdempotencyKey> key_;
    RequestId request_;
    bool storesOutcome_ = false; ///< begin() let the call run.
};

} // namespace almondridge::relay
