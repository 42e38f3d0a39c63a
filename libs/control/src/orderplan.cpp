#include "almondridge/control/orderplan.h"

#include "almondridge/control/leasekeeper.h"
#include "orderpace.h"

#include <algorithm>

namespace almondridge::control {

OrderPlan::OrderPlan(DomainId domain)
    : domain_(std::move(domain))
{ }

OrderPlan::Entry *OrderPlan::find(const EndpointId &id) noexcept
{
    const auto found = entries_.find(id);
    return found == entries_.end() ? nullptr : &found->second;
}

const OrderPlan::Entry *OrderPlan::find(const EndpointId &id) const noexcept
{
    const auto found = entries_.find(id);
    return found == entries_.end() ? nullptr : &found->second;
}

void OrderPlan::setFleet(std::shared_ptr<const fleet::Fleet> fleet, TimePoint now)
{
    fleet_ = std::move(fleet);
    std::map<EndpointId, Entry> kept;
    for (const auto &[id, endpoint] : fleet_->endpoints_) {
        if (endpoint.domain_ != domain_) {
            continue;
        }
        Entry *known = find(id);
        const bool same = known != nullptr && known->endpoint_.address_ == endpoint.address_;
        Entry &entry = kept[id];
        if (same) {
            entry = std::move(*known);
        }
        entry.endpoint_ = endpoint;
    }
    for (const auto &[id, entry] : entries_) {
        if (kept.count(id) == 0 && entry.announced_) {
            pendingAnnouncements_[id] = Availability::Leaving;
        }
    }
    entries_ = std::move(kept);
    refreshTargets(now);
}

void OrderPlan::setRoles(WantedRoles roles, TimePoint now)
{
    roles_ = std::move(roles);
    refreshTargets(now);
}

void OrderPlan::setLeaving(std::set<EndpointId> leaving, TimePoint now)
{
    leaving_ = std::move(leaving);
    refreshTargets(now);
}

/** Makes endpoints due at once whose target changed. */
void OrderPlan::refreshTargets(TimePoint now)
{
    if (!fleet_) {
        return;
    }
    const auto targets = wantedTargets(*fleet_, domain_, roles_, leaving_);
    for (auto &[id, entry] : entries_) {
        const auto target = targets.find(id);
        std::optional<EngineTarget> wanted;
        if (target != targets.end()) {
            wanted = target->second;
        }
        const bool leaving = entry.endpoint_.leaving_ || leaving_.count(id) != 0;
        if (wanted != entry.wanted_ || leaving != entry.leaving_) {
            entry.wanted_ = std::move(wanted);
            entry.leaving_ = leaving;
            entry.hasLoadSlot_ = false;
            entry.nextCheck_ = now;
            entry.nextOrder_ = now;
        }
    }
}

void OrderPlan::onLeaseAcquired(Fence fence, TimePoint firstUnfencedOrder, TimePoint now)
{
    fence_ = fence;
    firstUnfencedOrder_ = firstUnfencedOrder;
    pendingAnnouncements_.clear();
    orphanedSince_.clear();
    storeStatusUntil_.reset();
    for (auto &[id, entry] : entries_) {
        Entry fresh;
        fresh.endpoint_ = std::move(entry.endpoint_);
        fresh.wanted_ = std::move(entry.wanted_);
        fresh.leaving_ = entry.leaving_;
        fresh.inProgress_ = entry.inProgress_;
        fresh.nextCheck_ = now;
        entry = std::move(fresh);
    }
}

void OrderPlan::onLeaseLost()
{
    fence_.reset();
    pendingAnnouncements_.clear();
}

std::vector<EndpointId> OrderPlan::takeDue(TimePoint now)
{
    std::vector<EndpointId> due;
    if (!fence_) {
        return due;
    }
    for (auto &[id, entry] : entries_) {
        if (!entry.inProgress_ && now >= entry.nextCheck_) {
            entry.inProgress_ = true;
            due.push_back(id);
        }
    }
    return due;
}

void OrderPlan::finish(const EndpointId &id, TimePoint now)
{
    if (Entry *entry = find(id)) {
        entry->inProgress_ = false;
        entry->nextCheck_ = std::max(entry->nextCheck_, now + MinCheckInterval);
    }
}

void OrderPlan::requestCheck(const EndpointId &id, TimePoint now)
{
    if (Entry *entry = find(id)) {
        const TimePoint soonest = std::max(now, entry->readAt_ + MinSteadyCheckInterval);
        entry->nextCheck_ = std::min(entry->nextCheck_, soonest);
    }
}

const fleet::Endpoint *OrderPlan::endpoint(const EndpointId &id) const noexcept
{
    const Entry *entry = find(id);
    return entry != nullptr ? &entry->endpoint_ : nullptr;
}

bool OrderPlan::wantsState(const EndpointId &id) const noexcept
{
    const Entry *entry = find(id);
    if (entry == nullptr || entry->endpoint_.kind_ != fleet::EndpointKind::Engine) {
        return false;
    }
    // Announce that an endpoint leaves before a read, which may take long.
    return !entry->leaving_ || entry->announced_ == Availability::Leaving;
}

void OrderPlan::onState(const EndpointId &id, const EngineState &state, TimePoint readAt)
{
    if (Entry *entry = find(id)) {
        entry->state_ = state;
        entry->readAt_ = readAt;
        entry->readAttempted_ = true;
        entry->unreadable_ = 0;
    }
}

void OrderPlan::onUnreadable(const EndpointId &id, TimePoint now)
{
    Entry *entry = find(id);
    if (entry == nullptr) {
        return;
    }
    entry->readAttempted_ = true;
    entry->state_.reset();
    if (entry->unreadable_++ == 0) {
        entry->unreadableSince_ = now;
    }
    // A paused engine may have an order in its receive buffer and accept it when it resumes, so
    // each failed read restarts the wait for such an order.
    entry->unansweredUntil_ = now + millis(OrderNetworkBoundMillis);
}

void OrderPlan::onAnnounced(const EndpointId &id, Availability availability)
{
    if (Entry *entry = find(id)) {
        entry->announced_ = availability;
    }
}

void OrderPlan::onSending(const EndpointId &id)
{
    if (Entry *entry = find(id)) {
        entry->answerUnknown_ = true;
    }
}

void OrderPlan::onSent(const EndpointId &id, SendResult result, TimePoint now)
{
    Entry *entry = find(id);
    if (entry == nullptr) {
        return;
    }
    entry->answerUnknown_ = result == SendResult::Unknown;
    entry->unansweredUntil_ = now + millis(OrderNetworkBoundMillis);
    entry->ordered_ = entry->ordered_ || result == SendResult::Answered;
}

void OrderPlan::onIntentClosed(const EndpointId &id, OrderOutcome outcome, TimePoint now)
{
    Entry *entry = find(id);
    if (entry == nullptr) {
        return;
    }
    entry->answerUnknown_ = false;
    const bool done = outcome == OrderOutcome::Done;
    // After a finished drain keep the load slot for the load that follows.
    const bool loadAhead = done && entry->wanted_ && entry->state_
                           && needsLoad(entry->state_->target_, *entry->wanted_);
    if (entry->hasLoadSlot_ && !loadAhead) {
        entry->hasLoadSlot_ = false;
        wakeNextWaiting(now);
    }
    entry->failedOrders_ = done ? 0 : entry->failedOrders_ + 1;
    entry->nextOrder_ = now + orderBackoff(entry->failedOrders_);
}

void OrderPlan::onNotRecorded(const EndpointId &id, TimePoint now)
{
    if (Entry *entry = find(id)) {
        entry->nextCheck_ = now + RecordRetryDelay;
    }
}

std::vector<OutcomeRecord>
OrderPlan::outcomesOfOrphanedIntents(const std::map<EndpointId, OpenIntent> &open, TimePoint now)
{
    std::vector<OutcomeRecord> outcomes;
    std::map<LogOffset, TimePoint> since;
    for (const auto &[id, item] : open) {
        if (!fence_ || item.intent_.domain_ != domain_ || find(id) != nullptr) {
            continue;
        }
        const auto known = orphanedSince_.find(item.offset_);
        const TimePoint seen = known == orphanedSince_.end() ? now : known->second;
        since[item.offset_] = seen;
        if (now >= firstUnfencedOrder_ && now >= seen + millis(OrderNetworkBoundMillis)) {
            outcomes.push_back({domain_, *fence_, item.offset_, id, OrderOutcome::Unclear});
        }
    }
    orphanedSince_ = std::move(since);
    return outcomes;
}

void OrderPlan::onStoreStatus(std::optional<store::WeightStoreStatus> status, TimePoint now)
{
    storeStatus_ = status;
    storeStatusUntil_ = now + StoreStatusInterval;
}

Availabilities OrderPlan::takePendingAnnouncements()
{
    Availabilities news;
    news.swap(pendingAnnouncements_);
    return news;
}

Availabilities OrderPlan::withheld() const
{
    Availabilities withheld;
    for (const auto &[id, entry] : entries_) {
        if (fence_ && entry.announced_ && *entry.announced_ != Availability::Open) {
            withheld[id] = *entry.announced_;
        }
    }
    return withheld;
}

bool OrderPlan::mayRelease(TimePoint now) const noexcept
{
    return std::none_of(entries_.begin(), entries_.end(), [&](const auto &item) {
        const Entry &entry = item.second;
        return entry.inProgress_ || (entry.answerUnknown_ && now < entry.unansweredUntil_);
    });
}

bool OrderPlan::allEnginesUnreadable() const noexcept
{
    int engines = 0;
    for (const auto &[id, entry] : entries_) {
        if (entry.endpoint_.kind_ != fleet::EndpointKind::Engine || entry.leaving_) {
            continue;
        }
        ++engines;
        if (!entry.readAttempted_ || entry.state_) {
            return false;
        }
    }
    return engines > 0;
}

std::map<EndpointId, std::string> OrderPlan::progress() const
{
    std::map<EndpointId, std::string> lines;
    for (const auto &[id, entry] : entries_) {
        std::string line = "target=\"" + (entry.wanted_ ? describe(*entry.wanted_) : "") + "\"";
        line += " phase=";
        line += entry.state_ ? nameOf(EnginePhaseNames, entry.state_->phase_) : "unread";
        line += " availability=";
        line += entry.announced_ ? nameOf(AvailabilityNames, *entry.announced_) : "untold";
        line += " waits=\"" + entry.waitsFor_ + "\"";
        lines[id] = std::move(line);
    }
    return lines;
}

/** Makes the next engine that waits for a slot due at once. */
void OrderPlan::wakeNextWaiting(TimePoint now) noexcept
{
    for (auto &[id, entry] : entries_) {
        if (entry.waitsForSlot_) {
            entry.waitsForSlot_ = false;
            entry.nextCheck_ = now;
            return;
        }
    }
}

TimePoint OrderPlan::nextSteadyCheck(TimePoint now) const noexcept
{
    const auto engines = static_cast<std::int64_t>(entries_.size());
    return now + std::max(MinSteadyCheckInterval, millis(1'000) * engines / SteadyReadsPerSecond);
}

} // namespace almondridge::control
