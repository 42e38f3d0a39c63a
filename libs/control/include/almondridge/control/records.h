/**
 * The records of the control log. Each record names the state that it was written against, so
 * every reader computes the same verdict and a duplicate or late append is rejected.
 */
#pragma once

#include "almondridge/base/error.h"
#include "almondridge/base/ids.h"
#include "almondridge/fleet/fleet.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace almondridge::control {

/** The complete desired state of an engine; ordering it twice is idempotent. */
struct EngineTarget
{
    ModelId model_;
    std::string version_;
    std::vector<std::string> adapters_; ///< "id@version", sorted.
    fleet::EngineRole role_ = fleet::EngineRole::Mixed;
    bool admit_ = true; ///< False: reject new requests as not run and finish running ones.

    friend bool operator==(const EngineTarget &, const EngineTarget &) = default;
};

/** A fleet file written against a base revision. Accepted when base is the current revision. */
struct ApplyRecord
{
    Revision base_ = 0;
    std::string fleetText_;
    std::string operator_; ///< Who applied the file, for audits.
    std::string applyId_;  ///< Identifies this apply when it is retried.
};

/** Claims a lease. Accepted when previous is the domain's current lease record (0: none yet). */
struct LeaseClaimRecord
{
    DomainId domain_;
    InstanceId holder_;
    LogOffset previous_ = 0;
    std::int64_t termMillis_ = 0;
};

/** Renews or releases the lease with this fence. Accepted while that lease is the current one. */
struct LeaseRenewRecord
{
    DomainId domain_;
    InstanceId holder_;
    Fence fence_ = 0;
    bool release_ = false; ///< Releases the lease: a successor may claim it without waiting.
};

/** Announces an order. Accepted under the current lease; one open intent per engine. */
struct IntentRecord
{
    DomainId domain_;
    Fence fence_ = 0;
    std::uint64_t sequence_ = 0;
    EndpointId engine_;
    EngineTarget target_;
};

enum class OrderOutcome { Done, Refused, Unclear };

inline constexpr std::array<EnumName<OrderOutcome>, 3> OrderOutcomeNames {{
    {OrderOutcome::Done, "done"},
    {OrderOutcome::Refused, "refused"},
    {OrderOutcome::Unclear, "unclear"},
}};

/** Closes an intent. Accepted under the current lease, for the engine's open intent. */
struct OutcomeRecord
{
    DomainId domain_;
    Fence fence_ = 0;
    LogOffset intent_ = 0;
    EndpointId engine_;
    OrderOutcome outcome_ = OrderOutcome::Done;
};

/** Claims an idempotency key. Accepted when the key has no claim yet within the horizon. */
struct KeyClaimRecord
{
    std::string key_; ///< Client account and idempotency key.
    RequestId request_;
    InstanceId instance_;
    std::int64_t wallMillis_ = 0;
};

/** The outcome of a claimed key. Accepted once, from the request that holds the claim. */
struct KeyOutcomeRecord
{
    std::string key_;
    RequestId request_;
    int status_ = 0; ///< HTTP status; 0: unknown, -1: not run.
    std::string body_;
};

/** The folded state up to and including an offset. Ignored by readers with newer state. */
struct SnapshotRecord
{
    LogOffset through_ = 0;
    std::string state_;
};

using Record = std::variant<ApplyRecord, LeaseClaimRecord, LeaseRenewRecord, IntentRecord,
                            OutcomeRecord, KeyClaimRecord, KeyOutcomeRecord, SnapshotRecord>;

/** The record's "kind" in its JSON form, for example "lease-claim". */
std::string_view kindOf(const Record &record) noexcept;

/**
 * Encodes a record as JSON, the body of a log append. The recordId lets the writer recognise its
 * own append when the acknowledgement is lost; it has no influence on the verdict.
 */
std::string encodeRecord(const Record &record, const std::string &recordId = {});
/** Decodes a body. Error Protocol when it is not a control record. */
Result<Record> decodeRecord(std::string_view body);

/** A record with the id assigned by its writer; the id may be empty. */
struct IdentifiedRecord
{
    std::string id_;
    Record record_;
};

/** Like decodeRecord(), and also returns the id. */
Result<IdentifiedRecord> decodeIdentified(std::string_view body);

} // namespace almondridge::control
