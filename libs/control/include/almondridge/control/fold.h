/**
 * The fold of the control log: the same prefix gives every reader the same state and verdicts.
 * Pure: no clock, socket or thread inside.
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
    Rejected,  ///< Its condition did not hold.
    Duplicate, ///< Already folded: an older offset, or the same apply id again.
    Malformed, ///< No record of ours.
};

inline constexpr std::array<EnumName<Verdict>, 4> VerdictNames {{
    {Verdict::Accepted, "accepted"},
    {Verdict::Rejected, "rejected"},
    {Verdict::Duplicate, "duplicate"},
    {Verdict::Malformed, "malformed"},
}};

/** The configuration in force. */
struct AcceptedFleet
{
    Revision revision_ = 0;
    std::shared_ptr<const fleet::Fleet> fleet_; ///< Null before the first apply.
    std::string text_;
    std::string operator_;
};

/** A failure domain's lease as the log has it. Who still counts on it is LeaseKeeper's matter. */
struct LeaseState
{
    DomainId domain_;
    InstanceId holder_;
    Fence fence_ = 0;          ///< Offset of the accepted claim.
    LogOffset lastRecord_ = 0; ///< Claim or latest renewal; what a claim must name as previous.
    std::int64_t termMillis_ = 0;
    bool released_ = false;
};

/** An order that may be under way. */
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

/** When a key was claimed, for forgetting it. */
struct ClaimAge
{
    std::int64_t wallMillis_ = 0;
    std::string key_;
};

/** What folding one record did. */
struct FoldStep
{
    LogOffset offset_ = 0;
    Verdict verdict_ = Verdict::Rejected;
    Record record_ {};
    std::string reason_;   ///< For rejected records: what was in force instead.
    std::string recordId_; ///< The id that the record's writer gave it, if any.
    bool jumped_ = false;  ///< A snapshot took the fold over records that were not seen.
};

class Fold
{
public:
    /**
     * A key's claim is forgotten when a newer claim's wall time is more than the horizon after
     * it; from then on a claim that old is refused. All instances need the same horizon.
     */
    explicit Fold(std::int64_t keyHorizonMillis);

    /**
     * Folds the record at the next offset. An offset below next() is a duplicate and changes
     * nothing; an offset beyond next() is only taken when the record is a snapshot that covers
     * what is wanted next. next() is then the offset after what the snapshot covers, which may
     * lie before the snapshot itself. The caller asks canFold() first.
     */
    FoldStep fold(const store::LogRecord &record);
    bool canFold(const store::LogRecord &record) const;

    /** The offset that is wanted next. 1 in an empty fold. */
    LogOffset next() const noexcept { return next_; }
    /** False until the first record or snapshot: such a reader neither applies nor claims. */
    bool knowsAnything() const noexcept { return next_ > 1; }

    const AcceptedFleet &fleet() const noexcept { return fleet_; }
    /** Null when the domain never had a lease. */
    const LeaseState *lease(const DomainId &domain) const noexcept;
    const std::map<EndpointId, OpenIntent> &openIntents() const noexcept { return openIntents_; }
    /**
     * Highest sequence that a lease in force used for an engine; 0 when none was. An intent that
     * was rejected because another was open has used its sequence as well.
     */
    std::uint64_t lastSequence(const EndpointId &engine) const noexcept;
    /** The last target whose order is known to be done; null when none is, and after an order
     * whose outcome is unclear. */
    const EngineTarget *lastDone(const EndpointId &engine) const noexcept;
    /** Null when the key has no claim within the horizon. */
    const KeyClaim *claim(const std::string &key) const noexcept;
    /** Claims with a wall time before this are forgotten and refused. */
    std::int64_t horizonStart() const noexcept;
    /** The revision that an apply with this id made; 0 when it made none, or long ago. */
    Revision appliedRevision(const std::string &applyId) const noexcept;

    /** The whole state, for a SnapshotRecord. */
    std::string snapshot() const;
    /** Takes over a snapshot's state when it is newer than this one. Protocol when malformed. */
    Result<bool> restore(LogOffset through, const std::string &state);

private:
    friend struct FoldState;
    struct Ruling;

    FoldStep foldNext(const store::LogRecord &record);
    FoldStep foldSnapshotAhead(const store::LogRecord &record);
    Ruling judge(const ApplyRecord &record, LogOffset offset);
    Ruling judge(const LeaseClaimRecord &record, LogOffset offset);
    Ruling judge(const LeaseRenewRecord &record, LogOffset offset);
    Ruling judge(const IntentRecord &record, LogOffset offset);
    Ruling judge(const OutcomeRecord &record, LogOffset offset);
    Ruling judge(const KeyClaimRecord &record, LogOffset offset);
    Ruling judge(const KeyOutcomeRecord &record, LogOffset offset);
    Ruling judge(const SnapshotRecord &record, LogOffset offset);
    bool inForce(const DomainId &domain, Fence fence) const noexcept;
    void rememberApply(const std::string &applyId, Revision revision);
    void forgetOldClaims();

    std::int64_t keyHorizonMillis_;
    LogOffset next_ = 1;
    AcceptedFleet fleet_;
    std::map<std::string, Revision> applies_; ///< Accepted apply ids, the latest ones.
    std::map<DomainId, LeaseState> leases_;
    std::map<EndpointId, OpenIntent> openIntents_;
    std::map<EndpointId, std::uint64_t> lastSequence_;
    std::map<EndpointId, EngineTarget> lastDone_;
    std::map<std::string, KeyClaim> claims_; ///< May hold some from before the horizon.
    std::deque<ClaimAge> claimAges_;         ///< In log order.
    std::int64_t newestClaimMillis_ = 0;
};

} // namespace almondridge::control
