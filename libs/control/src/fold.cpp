#include "almondridge/control/fold.h"

#include "almondridge/fleet/fleetfile.h"

#include <algorithm>

namespace almondridge::control {
namespace {

/** Number of apply ids kept; an older duplicate is rejected because of its base revision. */
constexpr std::size_t RememberedApplies = 512;

/** The value under key, or a value-initialised one. */
template <typename Map, typename Key>
typename Map::mapped_type valueOr(const Map &map, const Key &key) noexcept
{
    const auto found = map.find(key);
    return found == map.end() ? typename Map::mapped_type {} : found->second;
}

/** The entry under key, or null. */
template <typename Map, typename Key>
const typename Map::mapped_type *findIn(const Map &map, const Key &key) noexcept
{
    const auto found = map.find(key);
    return found == map.end() ? nullptr : &found->second;
}

} // namespace

struct Fold::Evaluation
{
    static Evaluation accept() { return {Verdict::Accepted, {}}; }
    static Evaluation reject(std::string reason) { return {Verdict::Rejected, std::move(reason)}; }

    Verdict verdict_ = Verdict::Rejected;
    std::string reason_;
};

Fold::Fold(std::int64_t keyHorizonMillis)
    : keyHorizonMillis_(keyHorizonMillis)
{ }

bool Fold::canFold(const store::LogRecord &record) const
{
    if (record.offset_ <= next_) {
        return true;
    }
    const auto decoded = capture([&] { return decodeRecord(record.body_); });
    const Record *body = std::get_if<Record>(&decoded);
    const auto *snapshot = body == nullptr ? nullptr : std::get_if<SnapshotRecord>(body);
    return snapshot != nullptr && snapshot->through_ >= next_
           && snapshot->through_ < record.offset_;
}

FoldStep Fold::fold(const store::LogRecord &record)
{
    if (record.offset_ < next_) {
        return {record.offset_, Verdict::Duplicate, {}, "this offset was folded before", {}, false};
    }
    return record.offset_ == next_ ? foldNext(record) : foldSnapshotAhead(record);
}

FoldStep Fold::foldNext(const store::LogRecord &record)
{
    ++next_;
    FoldStep step;
    step.offset_ = record.offset_;
    auto decoded = capture([&] { return decodeIdentified(record.body_); });
    if (const Error *error = std::get_if<Error>(&decoded)) {
        step.verdict_ = Verdict::Malformed;
        step.reason_ = error->message_;
        return step;
    }
    auto &identified = std::get<IdentifiedRecord>(decoded);
    step.record_ = std::move(identified.record_);
    step.recordId_ = std::move(identified.id_);
    Evaluation evaluation =
        std::visit([&](const auto &body) { return evaluate(body, record.offset_); }, step.record_);
    step.verdict_ = evaluation.verdict_;
    step.reason_ = std::move(evaluation.reason_);
    return step;
}

FoldStep Fold::foldSnapshotAhead(const store::LogRecord &record)
{
    FoldStep step;
    step.offset_ = record.offset_;
    step.reason_ = "offset " + std::to_string(next_) + " must be folded first";
    auto decoded = capture([&] { return decodeRecord(record.body_); });
    Record *body = std::get_if<Record>(&decoded);
    if (body == nullptr || !std::holds_alternative<SnapshotRecord>(*body)) {
        return step;
    }
    step.record_ = std::move(*body);
    const auto &snapshot = std::get<SnapshotRecord>(step.record_);
    if (snapshot.through_ >= record.offset_) {
        return step;
    }
    const auto restored = capture([&] { return restore(snapshot.through_, snapshot.state_); });
    if (const Error *error = std::get_if<Error>(&restored)) {
        step.verdict_ = Verdict::Malformed;
        step.reason_ = error->message_;
        return step;
    }
    step.skippedRecords_ = std::get<bool>(restored);
    step.verdict_ = step.skippedRecords_ ? Verdict::Accepted : Verdict::Rejected;
    next_ += next_ == record.offset_ ? 1 : 0;
    return step;
}

const LeaseState *Fold::lease(const DomainId &domain) const noexcept
{
    return findIn(leases_, domain);
}

std::uint64_t Fold::lastSequence(const EndpointId &engine) const noexcept
{
    return valueOr(lastSequence_, engine);
}

const EngineTarget *Fold::lastDone(const EndpointId &engine) const noexcept
{
    return findIn(lastDone_, engine);
}

const KeyClaim *Fold::claim(const std::string &key) const noexcept
{
    const KeyClaim *found = findIn(claims_, key);
    return found != nullptr && found->wallMillis_ >= horizonStart() ? found : nullptr;
}

std::int64_t Fold::horizonStart() const noexcept
{
    return newestClaimMillis_ - keyHorizonMillis_;
}

Revision Fold::appliedRevision(const std::string &applyId) const noexcept
{
    return valueOr(applies_, applyId);
}

bool Fold::isCurrentLease(const DomainId &domain, Fence fence) const noexcept
{
    const LeaseState *state = lease(domain);
    return state != nullptr && !state->released_ && state->fence_ == fence;
}

Fold::Evaluation Fold::evaluate(const ApplyRecord &record, LogOffset offset)
{
    if (const Revision earlier = appliedRevision(record.applyId_); earlier != 0) {
        return {Verdict::Duplicate, "accepted before as revision " + std::to_string(earlier)};
    }
    if (record.base_ != fleet_.revision_) {
        return Evaluation::reject("revision " + std::to_string(fleet_.revision_) + " by '"
                                  + fleet_.operator_ + "' is in force, not "
                                  + std::to_string(record.base_));
    }
    auto parsed = capture([&] { return fleet::parseFleet(record.fleetText_); });
    if (const Error *error = std::get_if<Error>(&parsed)) {
        return Evaluation::reject("not a fleet file: " + describe(*error));
    }
    auto fleet = std::make_shared<const fleet::Fleet>(std::move(std::get<fleet::Fleet>(parsed)));
    fleet_ = {offset, std::move(fleet), record.fleetText_, record.operator_};
    rememberApply(record.applyId_, offset);
    return Evaluation::accept();
}

void Fold::rememberApply(const std::string &applyId, Revision revision)
{
    if (applyId.empty()) {
        return;
    }
    applies_[applyId] = revision;
    if (applies_.size() > RememberedApplies) {
        applies_.erase(std::min_element(
            applies_.begin(), applies_.end(),
            [](const auto &left, const auto &right) { return left.second < right.second; }));
    }
}

Fold::Evaluation Fold::evaluate(const LeaseClaimRecord &record, LogOffset offset)
{
    const LeaseState current = valueOr(leases_, record.domain_);
    if (record.previous_ != current.lastRecord_) {
        return Evaluation::reject("the lease is at record " + std::to_string(current.lastRecord_)
                                  + ", held by '" + current.holder_.value() + "'");
    }
    if (record.termMillis_ <= 0) {
        return Evaluation::reject("the lease term is not positive");
    }
    leases_[record.domain_] = {record.domain_, record.holder_,     offset,
                               offset,         record.termMillis_, false};
    return Evaluation::accept();
}

Fold::Evaluation Fold::evaluate(const LeaseRenewRecord &record, LogOffset offset)
{
    // No lease is current after a release. Otherwise a renewal that was sent before the release
    // and is appended late would revive a lease that its holder no longer uses.
    if (!isCurrentLease(record.domain_, record.fence_)) {
        return Evaluation::reject("fence " + std::to_string(record.fence_) + " is not in force");
    }
    LeaseState &state = leases_[record.domain_];
    if (state.holder_ != record.holder_) {
        return Evaluation::reject("the lease is held by '" + state.holder_.value() + "'");
    }
    state.lastRecord_ = offset;
    state.released_ = record.release_;
    return Evaluation::accept();
}

Fold::Evaluation Fold::evaluate(const IntentRecord &record, LogOffset offset)
{
    if (!isCurrentLease(record.domain_, record.fence_)) {
        return Evaluation::reject("fence " + std::to_string(record.fence_) + " is not in force");
    }
    std::uint64_t &last = lastSequence_[record.engine_];
    if (record.sequence_ <= last) {
        return Evaluation::reject("sequence " + std::to_string(last) + " was used before");
    }
    // The sequence number is used up even when another intent is open. Otherwise a retry of this
    // record after a lost acknowledgement could be accepted once the other intent is closed,
    // although the holder was told that this one is rejected; the engine would then keep an open
    // intent that no instance works on.
    last = record.sequence_;
    if (const OpenIntent *open = findIn(openIntents_, record.engine_)) {
        return Evaluation::reject("the intent at " + std::to_string(open->offset_) + " is open");
    }
    openIntents_[record.engine_] = {offset, record};
    return Evaluation::accept();
}

Fold::Evaluation Fold::evaluate(const OutcomeRecord &record, LogOffset)
{
    if (!isCurrentLease(record.domain_, record.fence_)) {
        return Evaluation::reject("fence " + std::to_string(record.fence_) + " is not in force");
    }
    const auto open = openIntents_.find(record.engine_);
    if (open == openIntents_.end() || open->second.offset_ != record.intent_) {
        return Evaluation::reject("no intent is open at " + std::to_string(record.intent_));
    }
    // Only the lease holder of the intent's own domain may close it: the holder of another domain
    // cannot know whether the order is still in progress.
    if (open->second.intent_.domain_ != record.domain_) {
        return Evaluation::reject("the intent belongs to another failure domain");
    }
    if (record.outcome_ == OrderOutcome::Done) {
        lastDone_[record.engine_] = std::move(open->second.intent_.target_);
    } else if (record.outcome_ == OrderOutcome::Unclear) {
        lastDone_.erase(record.engine_);
    }
    openIntents_.erase(open);
    return Evaluation::accept();
}

Fold::Evaluation Fold::evaluate(const KeyClaimRecord &record, LogOffset)
{
    // A delayed append could arrive after the key's first claim was dropped. Accepting it would
    // run the request a second time, so its own wall time is checked against the horizon.
    if (record.wallMillis_ < horizonStart()) {
        return Evaluation::reject("the claim is older than the horizon");
    }
    if (const KeyClaim *earlier = claim(record.key_)) {
        return Evaluation::reject("claimed by request '" + earlier->request_.value() + "'");
    }
    claims_[record.key_] = {record.request_, record.instance_, record.wallMillis_, false, 0, {}};
    claimAges_.push_back({record.wallMillis_, record.key_});
    newestClaimMillis_ = std::max(newestClaimMillis_, record.wallMillis_);
    dropExpiredClaims();
    return Evaluation::accept();
}

/**
 * Claims are queued in log order, not by wall time, so one that is out of order is dropped a
 * little late. claim() hides expired claims until then.
 */
void Fold::dropExpiredClaims()
{
    while (!claimAges_.empty() && claimAges_.front().wallMillis_ < horizonStart()) {
        const auto found = claims_.find(claimAges_.front().key_);
        // The key may have been claimed again in the meantime.
        if (found != claims_.end() && found->second.wallMillis_ < horizonStart()) {
            claims_.erase(found);
        }
        claimAges_.pop_front();
    }
}

Fold::Evaluation Fold::evaluate(const KeyOutcomeRecord &record, LogOffset)
{
    const KeyClaim *found = claim(record.key_);
    if (found == nullptr || found->request_ != record.request_) {
        return Evaluation::reject("the request does not hold the claim");
    }
    if (found->finished_) {
        return Evaluation::reject("the key already has an outcome");
    }
    KeyClaim &finished = claims_[record.key_];
    finished.finished_ = true;
    finished.status_ = record.status_;
    finished.body_ = record.body_;
    return Evaluation::accept();
}

Fold::Evaluation Fold::evaluate(const SnapshotRecord &record, LogOffset offset)
{
    // This reader has already folded everything that the snapshot covers.
    return record.through_ < offset
               ? Evaluation::accept()
               : Evaluation::reject("the snapshot covers offsets after its own");
}

} // namespace almondridge::control
