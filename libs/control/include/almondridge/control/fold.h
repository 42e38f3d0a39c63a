/**
 * The deterministic state machine that applies ("folds") the records of the control log. Every
 * reader that has folded the same prefix has the same state and verdicts. Uses no clock, socket
 * or thread.
 */
#pragma once

#include "almondridge/control/records.h"
#include "almondridge/store/store.h"

#include <deque>
#include <map>
#include <memory>
#include <string>

namespace almondridge::control {

enum class Verdict {
    Accepted,
    Rejected,  ///< The record's condition did not hold.
    Duplicate, ///< Folded before: a lower offset, or an apply id that was accepted before.
    Malformed, ///< Not a control record.
};

inline constexpr std::array<EnumName<Verdict>, 4> VerdictNames {{
    {Verdict::Accepted, "accepted"},
    {Verdict::Rejected, "rejected"},
    {Verdict::Duplicate, "duplicate"},
    {Verdict::Malformed, "malformed"},
}};

/** The fleet configuration that was accepted last. */
struct AcceptedFleet
{
    Revision revision_ = 0;
    std::shared_ptr<const fleet::Fleet> fleet_; ///< Null before the first apply.
    std::string text_;
    std::string operator_;
};

/** A failure domain's lease as recorded in the log. LeaseKeeper tracks when it expires. */
struct LeaseState
{
    DomainId domain_;
    InstanceId holder_;
    Fence fence_ = 0;          ///< Offset of the accepted claim.
    LogOffset lastRecord_ = 0; ///< Claim or latest renewal; the next claim must name it.
    std::int64_t termMillis_ = 0;
    bool released_ = false;
};

/** An intent without an outcome yet: its order may be in progress. */
struct OpenIntent
{
    LogOffset offset_ = 0;
    IntentRecord intent_;
};

/** A claimed idempotency key. */
struct KeyClaim
{
    RequestId request_;
    InstanceId instance_;
    std::int64_t wallMillis_ = 0;
    bool finished_ = false;
    int status_ = 0;
    std::string body_;
};

/** When a key was claimed; decides when the claim is dropped. */
struct ClaimAge
{
    std::int64_t wallMillis_ = 0;
    std::string key_;
};

/** The result of folding one record. */
struct FoldStep
{
    LogOffset offset_ = 0;
    Verdict verdict_ = Verdict::Rejected;
    Record record_ {};
    std::string reason_;          ///< Why the record was not accepted.
    std::string recordId_;        ///< The id assigned by the record's writer; may be empty.
    bool skippedRecords_ = false; ///< A snapshot replaced records that were not read here.
};

class Fold
{
public:
    /**
     * A key's claim is dropped when a newer claim's wall time is more than the horizon later;
     * from then on, claims that old are rejected. All instances need the same horizon.
     */
    explicit Fold(std::int64_t keyHorizonMillis);

    /**
     * Folds the record at offset next(). A record with a lower offset is a duplicate and changes
     * nothing. A record with a higher offset is only folded when it is a snapshot that covers
     * next(); next() then becomes the offset after the covered range, which may be lower than
     * the snapshot's own offset. Call canFold() first.
     */
    FoldStep fold(const store::LogRecord &record);
    bool canFold(const store::LogRecord &record) const;

    /** The offset of the next record to fold; 1 in an empty fold. */
    LogOffset next() const noexcept { return next_; }
    /** False until the first record or snapshot was folded; until then nothing may be claimed. */
    bool hasState() const noexcept { return next_ > 1; }

    const AcceptedFleet &fleet() const noexcept { return fleet_; }
    /** The domain's latest lease; null when it never had one. */
    const LeaseState *lease(const DomainId &domain) const noexcept;
    const std::map<EndpointId, OpenIntent> &openIntents() const noexcept { return openIntents_; }
    /**
     * The highest sequence number used for the engine's intents; 0 when there were none. An
     * intent that was rejected because another one was open has used up its number as well.
     */
    std::uint64_t lastSequence(const EndpointId &engine) const noexcept;
    /** The target of the last order that is known to be done; null when there is none, and after
     * an order with an unclear outcome. */
    const EngineTarget *lastDone(const EndpointId &engine) const noexcept;
    /** The key's claim; null when it has none within the horizon. */
    const KeyClaim *claim(const std::string &key) const noexcept;
    /** Claims with an earlier wall time (ms since the epoch) are dropped and rejected. */
    std::int64_t horizonStart() const noexcept;
    /** The revision created by the apply with this id; 0 when unknown or no longer remembered. */
    Revision appliedRevision(const std::string &applyId) const noexcept;

    /** The whole state as JSON, for a SnapshotRecord. */
    std::string snapshot() const;
    /** Replaces the state by the snapshot's if that is newer. Error Protocol when malformed. */
    Result<bool> restore(LogOffset through, const std::string &state);

private:
    friend struct FoldState;
    struct Evaluation;

    FoldStep foldNext(const store::LogRecord &record);
    FoldStep foldSnapshotAhead(const store::LogRecord &record);
    Evaluation evaluate(const ApplyRecord &record, LogOffset offset);
    Evaluation evaluate(const LeaseClaimRecord &record, LogOffset offset);
    Evaluation evaluate(const LeaseRenewRecord &record, LogOffset offset);
    Evaluation evaluate(const IntentRecord &record, LogOffset offset);
    Evaluation evaluate(const OutcomeRecord &record, LogOffset offset);
    Evaluation evaluate(const KeyClaimRecord &record, LogOffset offset);
    Evaluation evaluate(const KeyOutcomeRecord &record, LogOffset offset);
    Evaluation evaluate(const SnapshotRecord &record, LogOffset offset);
    bool isCurrentLease(const DomainId &domain, Fence fence) const noexcept;
    void rememberApply(const std::string &applyId, Revision revision);
    void dropExpiredClaims();

    std::int64_t keyHorizonMillis_;
    LogOffset next_ = 1;
    AcceptedFleet fleet_;
    std::map<std::string, Revision> applies_; ///< The latest accepted apply ids.
    std::map<DomainId, LeaseState> leases_;
    std::map<EndpointId, OpenIntent> openIntents_;
    std::map<EndpointId, std::uint64_t> lastSequence_;
    std::map<EndpointId, EngineTarget> lastDone_;
    std::map<std::string, KeyClaim> claims_; ///< May hold some that are older than the horizon.
    std::deque<ClaimAge> claimAges_;         ///< In log order.
    std::int64_t newestClaimMillis_ = 0;
};

} // namespace almondridge::control
