#include "almondridge/control/leasekeeper.h"

#include <utility>

namespace almondridge::control {
namespace {

/** A lease is renewed after this fraction of its term, so two attempts may fail. */
constexpr int RenewalsPerTerm = 3;
/** Minimum wait between two attempts, as a fraction of the term; the backoff is added. */
constexpr int TriesPerTerm = 6;

/** A domain without any lease is treated like one with a released lease. */
LeaseState noLease()
{
    LeaseState none;
    none.released_ = true;
    return none;
}

} // namespace

LeaseKeeper::LeaseKeeper(InstanceId self, DomainId domain, std::int64_t termMillis,
                         std::int64_t marginMillis)
    : self_(std::move(self))
    , domain_(std::move(domain))
    , term_(millis(termMillis))
    , margin_(millis(marginMillis))
{ }

LeaseStep LeaseKeeper::next(const Fold &fold, TimePoint now, Record &record)
{
    // Without any folded record the current holder is unknown, for example when the log was
    // trimmed and has no snapshot.
    if (!fold.hasState()) {
        return LeaseStep::Wait;
    }
    return next(fold.lease(domain_), now, record);
}

LeaseStep LeaseKeeper::next(const LeaseState *current, TimePoint now, Record &record)
{
    dropIfExpired(now);
    onLeaseRead(current != nullptr ? *current : noLease(), now);
    if (fence_) {
        return nextRenewal(current, now, record);
    }
    if (now < nextTry_ || now < claimFrom_) {
        return LeaseStep::Wait;
    }
    record = LeaseClaimRecord {domain_, self_, *seenRecord_, toMillis(term_)};
    return LeaseStep::Claim;
}

LeaseStep LeaseKeeper::nextRenewal(const LeaseState *current, TimePoint now, Record &record) const
{
    const bool isOwnLease = current != nullptr && current->fence_ == *fence_;
    if (!isOwnLease || now < nextTry_) {
        return LeaseStep::Wait;
    }
    record = LeaseRenewRecord {domain_, self_, *fence_, false};
    return LeaseStep::Renew;
}

void LeaseKeeper::onAppending(const Record &record, TimePoint now)
{
    nextTry_ = now + term_ / TriesPerTerm + backoff_;
    appendingSince_ = now;
    const auto *renewal = std::get_if<LeaseRenewRecord>(&record);
    appending_ = renewal != nullptr ? Appending::Renewal : Appending::Claim;
    if (renewal != nullptr && renewal->release_) {
        // From here on a successor may read the release and send orders without waiting.
        fence_.reset();
    }
    const TimePoint waited = observedExpiry_ + millis(OrderNetworkBoundMillis) + margin_;
    pendingFirstUnfencedOrder_ = seenReleased_ ? TimePoint {} : waited;
}

/**
 * The term starts before the append, and the lease is held only once the verdict on this very
 * append is known. An identical record may be a delayed earlier attempt, or come from a previous
 * process with the same instance id; measuring the term of that record from this append would
 * hold the lease for longer than other instances wait.
 */
void LeaseKeeper::onVerdict(Verdict verdict, LogOffset offset, TimePoint now)
{
    dropIfExpired(now);
    const Appending appended = std::exchange(appending_, Appending::Nothing);
    if (verdict != Verdict::Accepted) {
        return;
    }
    if (appended == Appending::Claim) {
        fence_ = offset;
        firstUnfencedOrder_ = pendingFirstUnfencedOrder_;
    }
    if (appended == Appending::Nothing || !fence_) {
        return;
    }
    heldUntil_ = appendingSince_ + term_;
    nextTry_ = appendingSince_ + term_ / RenewalsPerTerm;
    // The lease has already expired if the verdict took longer than the term.
    dropIfExpired(now);
}

void LeaseKeeper::onFolded(const FoldStep &step) noexcept
{
    const auto *claim = std::get_if<LeaseClaimRecord>(&step.record_);
    const bool accepted = step.verdict_ == Verdict::Accepted;
    if (!accepted || claim == nullptr || claim->domain_ != domain_) {
        return;
    }
    if (fence_ && *fence_ != step.offset_) {
        fence_.reset();
    }
}

std::optional<LeaseRenewRecord> LeaseKeeper::release(TimePoint now) const
{
    if (!heldFence(now) || now < firstUnfencedOrder_) {
        return std::nullopt;
    }
    return LeaseRenewRecord {domain_, self_, *fence_, true};
}

std::optional<Fence> LeaseKeeper::heldFence(TimePoint now) const noexcept
{
    return fence_ && now < heldUntil_ ? fence_ : std::nullopt;
}

/**
 * An expired lease is never resumed, even if a delayed renewal is accepted: the holder was paused
 * or partitioned and has to claim the lease again like any other instance.
 */
void LeaseKeeper::dropIfExpired(TimePoint now) noexcept
{
    if (fence_ && now >= heldUntil_) {
        fence_.reset();
    }
}

void LeaseKeeper::onLeaseRead(const LeaseState &current, TimePoint now)
{
    if (seenRecord_ == current.lastRecord_) {
        return;
    }
    seenRecord_ = current.lastRecord_;
    seenReleased_ = current.released_;
    observedExpiry_ = current.released_ ? now : now + millis(current.termMillis_) + margin_;
    claimFrom_ = observedExpiry_ + backoff_;
}

} // namespace almondridge::control
