/**
 * What the holder of a failure domain's lease does next about each endpoint: announce, drain,
 * order, settle or wait. Pure: events and time go in, steps come out.
 *
 * A step is worked out anew from what the engine says now, from the open intent in the log and
 * from the file in force. Nothing else has to survive, so a successor goes on where the holder
 * before it stopped.
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

/** Whether entries may send new work to an endpoint. */
enum class Availability {
    Open,
    Draining, ///< A planned change or removal is ahead.
    Changing,
    Unclear, ///< Its state is not known.
    Leaving,
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
    Wait,       ///< Nothing until the endpoint is due again.
    Announce,   ///< Tell availability_ to all entries, then step again.
    AskWeights, ///< Read the weight store's status, then step again.
    Settle,     ///< Close intent_ with outcome_.
    Order,      ///< Intent for target_, read the state again, send.
};

struct EngineStep
{
    StepKind kind_ = StepKind::Wait;
    std::string reason_ {}; ///< The rule behind it, for the time line.
    Availability availability_ = Availability::Open;
    EngineTarget target_ {};
    LogOffset intent_ = 0;
    OrderOutcome outcome_ = OrderOutcome::Done;
};

/** What is known of an order after it was sent. */
enum class SendResult {
    Answered, ///< The engine took it.
    Refused,  ///< It was not taken and never will be.
    Unknown,  ///< It may be taken now, or until OrderNetworkBoundMillis from now.
};

class OrderPlan
{
public:
    explicit OrderPlan(DomainId domain);

    void setFleet(std::shared_ptr<const fleet::Fleet> fleet, TimePoint now);
    const std::shared_ptr<const fleet::Fleet> &fleet() const noexcept { return fleet_; }
    void setRoles(WantedRoles roles, TimePoint now);
    /** Endpoints that the platform's list shows as leaving, besides those of the file. */
    void setLeaving(std::set<EndpointId> leaving, TimePoint now);

    /** A lease begins: all that was known or announced before counts for nothing. */
    void hold(Fence fence, TimePoint firstOrderToIgnoring, TimePoint now);
    void drop();
    std::optional<Fence> fence() const noexcept { return fence_; }

    /** The endpoints to look at now; each is the caller's until finish(). */
    std::vector<EndpointId> takeDue(TimePoint now);
    void finish(const EndpointId &id, TimePoint now);
    /** Makes an endpoint due soon, though not more often than once a second. */
    void lookAt(const EndpointId &id, TimePoint now);

    /** Null when the file in force no longer has it. */
    const fleet::Endpoint *endpoint(const EndpointId &id) const noexcept;
    /** Whether step() needs a state read for this purpose, and by nobody else. */
    bool wantsState(const EndpointId &id) const noexcept;
    /** open: the engine's open intent in the log, null when there is none. */
    EngineStep step(const EndpointId &id, const OpenIntent *open, TimePoint now);
    /** Whether an order for target is still right, after its intent was accepted. */
    bool stillWants(const EndpointId &id, const EngineTarget &target, TimePoint now);

    /** readAt is a point before the state was asked for. */
    void onState(const EndpointId &id, const EngineState &state, TimePoint readAt);
    void onUnreadable(const EndpointId &id, TimePoint now);
    void onAnnounced(const EndpointId &id, Availability availability);
    /** An order is about to leave. An own intent without this was never sent. */
    void onSending(const EndpointId &id);
    void onSent(const EndpointId &id, SendResult result, TimePoint now);
    void onSettled(const EndpointId &id, OrderOutcome outcome, TimePoint now);
    /** A record for it was not accepted: the log is slow, out, or has another holder. */
    void onNotRecorded(const EndpointId &id, TimePoint now);
    /** nullopt: the store did not answer; loads then go one at a time. */
    void onWeights(std::optional<store::WeightStoreStatus> status, TimePoint now);

    bool hasNews() const noexcept { return !news_.empty(); }
    /**
     * Outcomes for open intents of engines that the file no longer has here. Nobody reads such an
     * engine any more; left open, its intent would keep it from orders for good once it is back,
     * or in another failure domain.
     */
    std::vector<OutcomeRecord> orphans(const std::map<EndpointId, OpenIntent> &open, TimePoint now);

    /** Announcements that no order waits for, to be made together. */
    Availabilities takeNews();
    /** What entries have been told under this lease and is not Open. */
    Availabilities withheld() const;
    /** Whether no order of this lease may still be on its way to an engine. */
    bool mayRelease(TimePoint now) const noexcept;
    /** Whether there are engines, and none could be read under this lease when last tried. */
    bool seesNoEngine() const noexcept;
    /** One line each: target, phase and what is waited for. */
    std::map<EndpointId, std::string> progress() const;

private:
    struct Entry
    {
        fleet::Endpoint endpoint_;
        std::optional<EngineTarget> wanted_;
        bool leaving_ = false;

        bool taken_ = false;
        bool looked_ = false; ///< Read, or found unreadable, under this lease.
        TimePoint nextLook_ {};
        std::string waitsFor_;

        std::optional<EngineState> state_;
        TimePoint readAt_ {};
        int unreadable_ = 0; ///< Reads that failed in a row.
        TimePoint unreadableSince_ {};

        std::optional<Availability> told_;
        bool slot_ = false;       ///< Takes part in the engines that may be away at once.
        bool loading_ = false;    ///< Takes part in the loads that the weight store bears.
        bool wantsShare_ = false; ///< Waits for one of the two.

        bool answerUnknown_ = false;
        TimePoint settleAfter_ {}; ///< Until then an order without an answer may be taken.
        bool ordered_ = false;     ///< Took an order of this lease, so older ones are refused.
        int failedOrders_ = 0;     ///< In a row.
        TimePoint nextOrder_ {};
    };

    using Decision = EngineStep (OrderPlan::*)(Entry &, TimePoint);
    using Settlement = EngineStep (OrderPlan::*)(Entry &, const OpenIntent &, TimePoint);

    Entry *find(const EndpointId &id) noexcept;
    const Entry *find(const EndpointId &id) const noexcept;
    void refreshTargets(TimePoint now);
    TimePoint steadyLook(TimePoint now) const noexcept;

    EngineStep nextStep(Entry &entry, const OpenIntent *open, TimePoint now);
    EngineStep decide(Entry &entry, TimePoint now);
    EngineStep decideReady(Entry &entry, TimePoint now);
    EngineStep decideChanging(Entry &entry, TimePoint now);
    EngineStep decideUnclear(Entry &entry, TimePoint now);
    EngineStep change(Entry &entry, TimePoint now);
    EngineStep inSync(Entry &entry, TimePoint now);
    EngineStep order(Entry &entry, EngineTarget target, std::string reason, TimePoint now);
    std::optional<EngineStep> waitForShares(Entry &entry, TimePoint now);
    std::optional<EngineStep> waitForLoad(Entry &entry, TimePoint now);

    EngineStep settle(Entry &entry, const OpenIntent &open, TimePoint now);
    EngineStep settleReady(Entry &entry, const OpenIntent &open, TimePoint now);
    EngineStep settleChanging(Entry &entry, const OpenIntent &open, TimePoint now);
    EngineStep settleUnclear(Entry &entry, const OpenIntent &open, TimePoint now);
    bool mayStillBeTaken(const Entry &entry, const OpenIntent &open) const noexcept;
    TimePoint settleTime(const Entry &entry, const OpenIntent &open) const noexcept;

    std::optional<EngineStep> tell(Entry &entry, Availability availability);
    void addNews(Entry &entry, Availability availability);
    void wakeNext(TimePoint now) noexcept;
    bool broken(const Entry &entry, TimePoint now) const noexcept;
    bool away(const Entry &entry, TimePoint now) const noexcept;
    bool slotFree(TimePoint now) const noexcept;
    bool loadFree(const Entry &entry, TimePoint now) const noexcept;
    bool drained(const Entry &entry) const noexcept;

    DomainId domain_;
    std::shared_ptr<const fleet::Fleet> fleet_;
    WantedRoles roles_;
    std::set<EndpointId> leaving_;
    std::optional<Fence> fence_;
    TimePoint firstOrderToIgnoring_ {};
    std::map<EndpointId, Entry> entries_;
    Availabilities news_;
    std::map<LogOffset, TimePoint> orphanSince_;
    std::optional<store::WeightStoreStatus> weights_;
    std::optional<TimePoint> weightsUntil_; ///< When the status has to be asked for again.
};

} // namespace almondridge::control
