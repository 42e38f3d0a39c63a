/**
 * Decides the next step of the lease holder for each endpoint of its failure domain: announce,
 * drain, order, close an intent or wait. It receives events and the time, and returns steps.
 *
 * Each step is computed from the engine's current state, the open intent in the log and the
 * current fleet file. No other state has to survive, so a successor continues where the previous
 * holder stopped.
 */
#pragma once

#include "almondridge/base/time.h"
#include "almondridge/control/enginetargets.h"
#include "almondridge/control/fold.h"
#include "almondridge/control/ordergate.h"
#include "almondridge/store/store.h"

#include <memory>
#include <optional>

namespace almondridge::control {

/** Whether instances may send new requests to an endpoint. */
enum class Availability {
    Open,
    Draining, ///< Drained before a planned change or removal.
    Changing, ///< The engine is carrying out a change.
    Unclear,  ///< The engine's state is unknown.
    Leaving,  ///< The endpoint is to be removed.
};

inline constexpr std::array<EnumName<Availability>, 5> AvailabilityNames {{
    {Availability::Open, "open"},
    {Availability::Draining, "draining"},
    {Availability::Changing, "changing"},
    {Availability::Unclear, "unclear"},
    {Availability::Leaving, "leaving"},
}};

using Availabilities = std::map<EndpointId, Availability>;

enum class StepKind {
    Wait,            ///< Do nothing until the endpoint is due again.
    Announce,        ///< Announce availability_ to all instances, then compute the next step.
    ReadStoreStatus, ///< Read the weight store's status, then compute the next step.
    CloseIntent,     ///< Append outcome_ for the open intent at offset intent_.
    Order,           ///< Append an intent for target_, read the state again, send the order.
};

struct EngineStep
{
    StepKind kind_ = StepKind::Wait;
    std::string reason_ {}; ///< Why this step was chosen, for the timeline.
    Availability availability_ = Availability::Open;
    EngineTarget target_ {};
    LogOffset intent_ = 0;
    OrderOutcome outcome_ = OrderOutcome::Done;
};

/** The result of sending an order. */
enum class SendResult {
    Answered, ///< The engine accepted it.
    Refused,  ///< It has no effect, now or later.
    Unknown,  ///< It may take effect until OrderNetworkBoundMillis from now.
};

class OrderPlan
{
public:
    explicit OrderPlan(DomainId domain);

    void setFleet(std::shared_ptr<const fleet::Fleet> fleet, TimePoint now);
    const std::shared_ptr<const fleet::Fleet> &fleet() const noexcept { return fleet_; }
    void setRoles(WantedRoles roles, TimePoint now);
    /** Sets the endpoints that the platform marks as leaving, in addition to the file's. */
    void setLeaving(std::set<EndpointId> leaving, TimePoint now);

    /** A lease was acquired: discards all states read and announcements made before. */
    void onLeaseAcquired(Fence fence, TimePoint firstUnfencedOrder, TimePoint now);
    /** The lease is no longer held, or is about to be released. */
    void onLeaseLost();
    std::optional<Fence> fence() const noexcept { return fence_; }

    /** Returns the endpoints that are due; each is reserved for the caller until finish(). */
    std::vector<EndpointId> takeDue(TimePoint now);
    void finish(const EndpointId &id, TimePoint now);
    /** Makes an endpoint due soon, but at most once a second. */
    void requestCheck(const EndpointId &id, TimePoint now);

    /** Null when the current fleet file no longer lists it in this domain. */
    const fleet::Endpoint *endpoint(const EndpointId &id) const noexcept;
    /** Whether the endpoint's state has to be read before calling step(). */
    bool wantsState(const EndpointId &id) const noexcept;
    /** Computes the next step; open is the engine's open intent in the log, or null. */
    EngineStep step(const EndpointId &id, const OpenIntent *open, TimePoint now);
    /** Whether an order for target is still wanted after its intent was accepted. */
    bool stillWantsOrder(const EndpointId &id, const EngineTarget &target, TimePoint now);

    /** The engine's state was read; readAt is a time before the read was sent. */
    void onState(const EndpointId &id, const EngineState &state, TimePoint readAt);
    void onUnreadable(const EndpointId &id, TimePoint now);
    void onAnnounced(const EndpointId &id, Availability availability);
    /** An order is about to be sent. The order of an own intent without this call was not sent. */
    void onSending(const EndpointId &id);
    void onSent(const EndpointId &id, SendResult result, TimePoint now);
    void onIntentClosed(const EndpointId &id, OrderOutcome outcome, TimePoint now);
    /** A record was not accepted: the log is unreachable, or another holder has the lease. */
    void onNotRecorded(const EndpointId &id, TimePoint now);
    /** The weight store's status; nullopt when it did not answer, loads then run one at a time. */
    void onStoreStatus(std::optional<store::WeightStoreStatus> status, TimePoint now);

    bool hasPendingAnnouncements() const noexcept { return !pendingAnnouncements_.empty(); }
    /**
     * Outcomes for open intents of engines that the fleet file no longer lists in this domain.
     * Such engines are no longer read. If the intent stayed open, the engine could never get an
     * order again after it returns or is moved to another failure domain.
     */
    std::vector<OutcomeRecord>
    outcomesOfOrphanedIntents(const std::map<EndpointId, OpenIntent> &open, TimePoint now);

    /** Returns and clears the pending announcements, which no order depends on. */
    Availabilities takePendingAnnouncements();
    /** The announced availabilities other than Open, for this lease. */
    Availabilities withheld() const;
    /** Whether no order sent under this lease can still reach an engine. */
    bool mayRelease(TimePoint now) const noexcept;
    /** Whether there are engines and the last read of each one failed under this lease. */
    bool allEnginesUnreadable() const noexcept;
    /** A status line for each endpoint: target, phase, availability and reason for waiting. */
    std::map<EndpointId, std::string> progress() const;

private:
    struct Entry
    {
        fleet::Endpoint endpoint_;
        std::optional<EngineTarget> wanted_;
        bool leaving_ = false;

        bool inProgress_ = false;
        bool readAttempted_ = false; ///< A read succeeded or failed under this lease.
        TimePoint nextCheck_ {};
        std::string waitsFor_;

        std::optional<EngineState> state_;
        TimePoint readAt_ {};
        int unreadable_ = 0; ///< Consecutive failed reads.
        TimePoint unreadableSince_ {};

        std::optional<Availability> announced_;
        bool hasChangeSlot_ = false; ///< Counts against the limit of engines away at once.
        bool hasLoadSlot_ = false;   ///< Counts against the concurrent loads of the weight store.
        bool waitsForSlot_ = false;  ///< Waits for either limit.

        bool answerUnknown_ = false;
        TimePoint unansweredUntil_ {}; ///< Until then an unanswered order may take effect.
        bool ordered_ = false; ///< Accepted an order of this lease, so it rejects older ones.
        int failedOrders_ = 0; ///< Consecutive failed orders.
        TimePoint nextOrder_ {};
    };

    using Decision = EngineStep (OrderPlan::*)(Entry &, TimePoint);
    using CloseDecision = EngineStep (OrderPlan::*)(Entry &, const OpenIntent &, TimePoint);

    Entry *find(const EndpointId &id) noexcept;
    const Entry *find(const EndpointId &id) const noexcept;
    void refreshTargets(TimePoint now);
    TimePoint nextSteadyCheck(TimePoint now) const noexcept;

    EngineStep nextStep(Entry &entry, const OpenIntent *open, TimePoint now);
    EngineStep decide(Entry &entry, TimePoint now);
    EngineStep decideReady(Entry &entry, TimePoint now);
    EngineStep decideChanging(Entry &entry, TimePoint now);
    EngineStep decideUnclear(Entry &entry, TimePoint now);
    EngineStep change(Entry &entry, TimePoint now);
    EngineStep inSync(Entry &entry, TimePoint now);
    EngineStep order(Entry &entry, EngineTarget target, std::string reason, TimePoint now);
    std::optional<EngineStep> waitForSlots(Entry &entry, TimePoint now);
    std::optional<EngineStep> waitForLoadSlot(Entry &entry, TimePoint now);

    EngineStep closeIntent(Entry &entry, const OpenIntent &open, TimePoint now);
    EngineStep closeIntentWhenReady(Entry &entry, const OpenIntent &open, TimePoint now);
    EngineStep closeIntentWhenChanging(Entry &entry, const OpenIntent &open, TimePoint now);
    EngineStep closeIntentWhenUnclear(Entry &entry, const OpenIntent &open, TimePoint now);
    bool mayStillTakeEffect(const Entry &entry, const OpenIntent &open) const noexcept;
    TimePoint closeTime(const Entry &entry, const OpenIntent &open) const noexcept;

    std::optional<EngineStep> announceIfChanged(Entry &entry, Availability availability);
    void queueAnnouncement(Entry &entry, Availability availability);
    void wakeNextWaiting(TimePoint now) noexcept;
    bool isBroken(const Entry &entry, TimePoint now) const noexcept;
    bool isAway(const Entry &entry, TimePoint now) const noexcept;
    bool changeSlotFree(TimePoint now) const noexcept;
    bool loadSlotFree(const Entry &entry, TimePoint now) const noexcept;
    bool isDrained(const Entry &entry) const noexcept;

    DomainId domain_;
    std::shared_ptr<const fleet::Fleet> fleet_;
    WantedRoles roles_;
    std::set<EndpointId> leaving_;
    std::optional<Fence> fence_;
    TimePoint firstUnfencedOrder_ {};
    std::map<EndpointId, Entry> entries_;
    Availabilities pendingAnnouncements_;
    std::map<LogOffset, TimePoint> orphanedSince_;
    std::optional<store::WeightStoreStatus> storeStatus_;
    std::optional<TimePoint> storeStatusUntil_; ///< When the status has to be read again.
};

} // namespace almondridge::control
