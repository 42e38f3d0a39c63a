#include "almondridge/control/orderplan.h"
#include "almondridge/control/leasekeeper.h"

#include <boost/test/unit_test.hpp>

using namespace almondridge;
using namespace almondridge::control;
using fleet::EngineRole;
using fleet::Fencing;

namespace {

const DomainId Domain("ebene");
constexpr Fence OwnFence = 40;
constexpr Fence PreviousFence = 30;

EndpointId engineId(int number)
{
    return EndpointId("e" + std::to_string(number));
}

/** A domain with engines in their target state, and its plan with a held lease. */
struct PlanFixture
{
    explicit PlanFixture(int engines, Fencing fencing = Fencing::Checks)
    {
        fleet_.models_[ModelId("m")] = {ModelId("m"), "1", {}, 1'000};
        for (int number = 1; number <= engines; ++number) {
            fleet::Endpoint endpoint;
            endpoint.id_ = engineId(number);
            endpoint.domain_ = Domain;
            endpoint.fencing_ = fencing;
            endpoint.model_ = ModelId("m");
            fleet_.endpoints_[endpoint.id_] = endpoint;
            engines_[endpoint.id_] = {{ModelId("m"), "1", {}, EngineRole::Mixed, true},
                                      EnginePhase::Ready,
                                      0,
                                      PreviousFence,
                                      1};
        }
        apply();
        onLeaseAcquired(TimePoint());
    }
    void apply() { plan_.setFleet(std::make_shared<const fleet::Fleet>(fleet_), now_); }
    void onLeaseAcquired(TimePoint firstUnfencedOrder)
    {
        plan_.onLeaseAcquired(OwnFence, firstUnfencedOrder, now_);
    }
    void wantRole(int number, EngineRole role)
    {
        roles_[engineId(number)] = role;
        plan_.setRoles(roles_, now_);
    }
    EngineState &engine(int number) { return engines_[engineId(number)]; }

    /** Reads the engine and computes steps; records announcements until another step follows. */
    EngineStep step(int number)
    {
        for (;;) {
            plan_.onState(engineId(number), engine(number), now_);
            EngineStep step = stepUnread(number);
            if (step.kind_ != StepKind::Announce) {
                return step;
            }
            announced_.push_back(step.availability_);
            plan_.onAnnounced(engineId(number), step.availability_);
        }
    }
    EngineStep stepUnread(int number)
    {
        const auto open = open_.find(engineId(number));
        return plan_.step(engineId(number), open == open_.end() ? nullptr : &open->second, now_);
    }
    /** Executes an order step with the given result; the engine accepts it if taken is true. */
    void order(int number, const EngineStep &step, SendResult result, bool accepted)
    {
        BOOST_REQUIRE(step.kind_ == StepKind::Order);
        place(number, OwnFence, step.target_);
        plan_.onSending(engineId(number));
        plan_.onSent(engineId(number), result, now_);
        if (accepted) {
            engine(number).target_ = step.target_;
            engine(number).fence_ = OwnFence;
        }
    }
    void place(int number, Fence fence, const EngineTarget &target)
    {
        open_[engineId(number)] = {++offset_, {Domain, fence, offset_, engineId(number), target}};
    }
    /** Expects a step that closes the open intent with this outcome, and executes it. */
    void closeIntent(int number, OrderOutcome outcome)
    {
        const EngineStep closing = step(number);
        BOOST_REQUIRE(closing.kind_ == StepKind::CloseIntent);
        BOOST_TEST((closing.outcome_ == outcome));
        plan_.onIntentClosed(engineId(number), closing.outcome_, now_);
        open_.erase(engineId(number));
    }
    /** Orders the drain at the start of a change. */
    void drain(int number)
    {
        const EngineStep step = this->step(number);
        BOOST_REQUIRE(!step.target_.admit_);
        order(number, step, SendResult::Answered, true);
        closeIntent(number, OrderOutcome::Done);
    }
    bool waits(int number) { return step(number).kind_ == StepKind::Wait; }

    fleet::Fleet fleet_;
    OrderPlan plan_ {Domain};
    WantedRoles roles_;
    TimePoint now_ {millis(1'000'000)};
    std::map<EndpointId, EngineState> engines_;
    std::map<EndpointId, OpenIntent> open_;
    std::vector<Availability> announced_;
    LogOffset offset_ = 100;
};

} // namespace

BOOST_AUTO_TEST_SUITE(Plan)

// A running request would be aborted by a planned change if the drain had a deadline, or if the
// change were ordered before the engine rejects new requests.
BOOST_AUTO_TEST_CASE(aChangeWaitsForALongRequestHoweverLongItTakes)
{
    PlanFixture fixture(1);
    fixture.engine(1).running_ = 1;
    fixture.wantRole(1, EngineRole::Decode);
    fixture.drain(1);
    BOOST_TEST((fixture.announced_ == std::vector {Availability::Draining}));
    fixture.now_ += millis(3'600'000);
    BOOST_TEST(fixture.waits(1));
    fixture.engine(1).running_ = 0;
    const EngineStep change = fixture.step(1);
    BOOST_TEST((change.target_.role_ == EngineRole::Decode));
    BOOST_TEST(change.target_.admit_);
    fixture.order(1, change, SendResult::Answered, true);
    fixture.engine(1).phase_ = EnginePhase::Changing;
    BOOST_TEST(fixture.waits(1));
    fixture.engine(1).phase_ = EnginePhase::Ready;
    fixture.closeIntent(1, OrderOutcome::Done);
    BOOST_TEST(fixture.waits(1));
    BOOST_TEST((fixture.plan_.takePendingAnnouncements().at(engineId(1)) == Availability::Open));
}

BOOST_AUTO_TEST_CASE(noMoreEnginesAreAwayAtOnceThanThePolicyAllows)
{
    PlanFixture fixture(3);
    BOOST_TEST((fixture.waits(1) && fixture.waits(2) && fixture.waits(3)));
    fixture.wantRole(1, EngineRole::Decode);
    fixture.wantRole(2, EngineRole::Decode);
    fixture.drain(1);
    BOOST_TEST(fixture.waits(2));
    fixture.order(1, fixture.step(1), SendResult::Answered, true);
    BOOST_TEST(fixture.waits(2));
    fixture.closeIntent(1, OrderOutcome::Done);
    BOOST_TEST(fixture.waits(1));
    fixture.drain(2);
}

// Two engines would be away although the policy allows one, when a holder dies with one engine away
// and its successor counts only the engines that it drained itself.
BOOST_AUTO_TEST_CASE(aSuccessorCountsTheEnginesThatItFindsAway)
{
    PlanFixture fixture(2);
    fixture.wantRole(1, EngineRole::Decode);
    fixture.engine(2).phase_ = EnginePhase::Changing;
    BOOST_TEST(fixture.waits(1)); // The other engine was not read yet.
    BOOST_TEST(fixture.waits(2));
    BOOST_TEST(fixture.waits(1));
    fixture.engine(2).phase_ = EnginePhase::Ready;
    BOOST_TEST(fixture.waits(2));
    fixture.drain(1);
}

// An engine would stay unused when a holder announced its drain and died, and the successor
// announces only the engine that it changes first.
BOOST_AUTO_TEST_CASE(anEngineThatWaitsForItsTurnIsAnnouncedAsOpen)
{
    PlanFixture fixture(2);
    fixture.wantRole(1, EngineRole::Decode);
    fixture.engine(2).phase_ = EnginePhase::Changing;
    BOOST_TEST((fixture.waits(2) && fixture.waits(1)));
    BOOST_TEST((fixture.plan_.takePendingAnnouncements().at(engineId(1)) == Availability::Open));
}

BOOST_AUTO_TEST_CASE(aBrokenEngineDoesNotBlockChangesOfOthers)
{
    PlanFixture fixture(2);
    fixture.wantRole(1, EngineRole::Decode);
    fixture.wantRole(2, EngineRole::Decode);
    BOOST_TEST(fixture.waits(2));
    fixture.drain(1);
    fixture.plan_.onUnreadable(engineId(1), fixture.now_);
    BOOST_TEST(fixture.waits(2));
    fixture.now_ += millis(30'000);
    fixture.drain(2);
}

// Requests would go to an engine without a model when it crashes during a change and an accepted
// order is taken for a completed one.
BOOST_AUTO_TEST_CASE(anEngineThatCrashedInAChangeGetsNoRequestsUntilItsStateIsKnown)
{
    PlanFixture fixture(1);
    fixture.wantRole(1, EngineRole::Decode);
    fixture.drain(1);
    fixture.order(1, fixture.step(1), SendResult::Answered, true);
    fixture.plan_.onUnreadable(engineId(1), fixture.now_);
    BOOST_TEST((fixture.stepUnread(1).availability_ == Availability::Unclear));
    fixture.engine(1).phase_ = EnginePhase::Unclear;
    fixture.closeIntent(1, OrderOutcome::Unclear);
    BOOST_TEST((fixture.announced_.back() == Availability::Unclear));
    fixture.now_ += millis(1'000);
    BOOST_REQUIRE((fixture.step(1).kind_ == StepKind::ReadStoreStatus));
    fixture.plan_.onStoreStatus({}, fixture.now_);
    const EngineStep known = fixture.step(1);
    BOOST_TEST((known.target_.role_ == EngineRole::Decode));
    fixture.order(1, known, SendResult::Answered, true);
    BOOST_TEST((fixture.plan_.withheld().at(engineId(1)) == Availability::Unclear));
    fixture.engine(1).phase_ = EnginePhase::Ready;
    fixture.closeIntent(1, OrderOutcome::Done);
    BOOST_TEST(fixture.waits(1));
    BOOST_TEST(fixture.plan_.withheld().empty());
}

// An engine would get the older of two orders last, when a holder is paused right after a send and
// its successor reads the state before that order arrives.
BOOST_AUTO_TEST_CASE(aSuccessorWaitsForAnOutstandingOrder)
{
    PlanFixture fixture(1);
    const TimePoint arrivedBy = fixture.now_ + millis(5'000);
    fixture.onLeaseAcquired(arrivedBy);
    EngineTarget ordered = fixture.engine(1).target_;
    ordered.role_ = EngineRole::Prefill;
    fixture.place(1, PreviousFence, ordered);
    BOOST_TEST(fixture.waits(1));
    BOOST_TEST((fixture.announced_ == std::vector {Availability::Unclear}));
    fixture.now_ = arrivedBy - millis(1);
    BOOST_TEST(fixture.waits(1));
    fixture.now_ = arrivedBy;
    fixture.closeIntent(1, OrderOutcome::Refused);
}

BOOST_AUTO_TEST_CASE(aSuccessorClosesAnIntentAtOnceWhenTheOrderIsDone)
{
    PlanFixture fixture(1);
    fixture.onLeaseAcquired(fixture.now_ + millis(5'000));
    fixture.place(1, PreviousFence, fixture.engine(1).target_);
    fixture.closeIntent(1, OrderOutcome::Done);
}

BOOST_AUTO_TEST_CASE(anEngineThatIgnoresFencesGetsNoOrderBeforeTheOldOnesHaveArrived)
{
    for (const Fencing fencing : {Fencing::Checks, Fencing::Ignores}) {
        PlanFixture fixture(1, fencing);
        fixture.onLeaseAcquired(fixture.now_ + millis(5'000));
        fixture.wantRole(1, EngineRole::Decode);
        const bool waits = fixture.waits(1);
        BOOST_TEST(waits == (fencing == Fencing::Ignores));
        fixture.now_ += millis(5'000);
        fixture.drain(1);
        BOOST_TEST((fixture.step(1).target_.role_ == EngineRole::Decode));
    }
}

// A request would be aborted when the previous holder drained the engine and then ordered it to
// admit again, and that delayed order arrives just before the change.
BOOST_AUTO_TEST_CASE(aDrainOfThePreviousHolderIsOrderedAgain)
{
    PlanFixture fixture(1);
    fixture.onLeaseAcquired(fixture.now_ + millis(5'000));
    fixture.wantRole(1, EngineRole::Decode);
    fixture.engine(1).target_.admit_ = false;
    fixture.drain(1);
    BOOST_TEST((fixture.step(1).target_.role_ == EngineRole::Decode));
}

// An order would be sent twice or never when an intent's acknowledgement is lost: the intent
// appears in the log, but its order was not sent.
BOOST_AUTO_TEST_CASE(anIntentWhoseAcknowledgementWasLostIsClosedAndNotSent)
{
    PlanFixture fixture(1);
    fixture.wantRole(1, EngineRole::Decode);
    const EngineStep drain = fixture.step(1);
    fixture.place(1, OwnFence, drain.target_);
    fixture.closeIntent(1, OrderOutcome::Refused);
}

// An engine would accept an order after a later one, when the connection breaks after the send, the
// engine is paused with the order in its buffer, and a state read too early is taken for final.
BOOST_AUTO_TEST_CASE(anUnansweredOrderIsAwaitedFromTheLastFailedRead)
{
    PlanFixture fixture(1);
    fixture.wantRole(1, EngineRole::Decode);
    fixture.order(1, fixture.step(1), SendResult::Unknown, false);
    BOOST_TEST(fixture.waits(1));
    BOOST_TEST(!fixture.plan_.mayRelease(fixture.now_));
    fixture.now_ += millis(OrderNetworkBoundMillis - 1);
    fixture.plan_.onUnreadable(engineId(1), fixture.now_);
    fixture.now_ += millis(OrderNetworkBoundMillis - 1);
    BOOST_TEST(fixture.waits(1));
    fixture.now_ += millis(1);
    fixture.closeIntent(1, OrderOutcome::Refused);
    BOOST_TEST(fixture.plan_.mayRelease(fixture.now_));
}

BOOST_AUTO_TEST_CASE(anOrderIsNotSentWhenTheEngineCrashedAfterItsIntent)
{
    PlanFixture fixture(1);
    fixture.wantRole(1, EngineRole::Decode);
    const EngineStep drain = fixture.step(1);
    BOOST_TEST(fixture.plan_.stillWantsOrder(engineId(1), drain.target_, fixture.now_));
    fixture.engine(1).phase_ = EnginePhase::Unclear;
    fixture.plan_.onState(engineId(1), fixture.engine(1), fixture.now_);
    BOOST_TEST(!fixture.plan_.stillWantsOrder(engineId(1), drain.target_, fixture.now_));
}

BOOST_AUTO_TEST_CASE(anEndpointThatLeavesIsAnnouncedBeforeItIsReadAndOnlyDrained)
{
    PlanFixture fixture(1);
    fixture.fleet_.models_[ModelId("m")].version_ = "2";
    fixture.apply();
    fixture.plan_.setLeaving({engineId(1)}, fixture.now_);
    BOOST_TEST(!fixture.plan_.wantsState(engineId(1)));
    BOOST_TEST((fixture.stepUnread(1).availability_ == Availability::Leaving));
    const EngineStep drain = fixture.step(1);
    EngineTarget expected = fixture.engine(1).target_;
    expected.admit_ = false;
    BOOST_TEST((drain.target_ == expected));
    fixture.order(1, drain, SendResult::Answered, true);
    fixture.closeIntent(1, OrderOutcome::Done);
    BOOST_TEST(fixture.waits(1));
    fixture.plan_.setLeaving({}, fixture.now_);
    fixture.fleet_.models_[ModelId("m")].version_ = "1";
    fixture.apply();
    BOOST_TEST(fixture.step(1).target_.admit_);
}

// An engine would get no more orders when a file moves it to another failure domain during an
// order: only the old domain may close the intent, and it no longer reads the engine.
BOOST_AUTO_TEST_CASE(theOpenIntentOfAnEngineThatWasMovedIsClosedByItsOldDomain)
{
    PlanFixture fixture(1);
    fixture.place(1, PreviousFence, fixture.engine(1).target_);
    BOOST_TEST(fixture.plan_.outcomesOfOrphanedIntents(fixture.open_, fixture.now_).empty());
    fixture.fleet_.endpoints_[engineId(1)].domain_ = DomainId("elsewhere");
    fixture.apply();
    BOOST_TEST(fixture.plan_.outcomesOfOrphanedIntents(fixture.open_, fixture.now_).empty());
    fixture.now_ += millis(OrderNetworkBoundMillis);
    const auto outcomes = fixture.plan_.outcomesOfOrphanedIntents(fixture.open_, fixture.now_);
    BOOST_REQUIRE(outcomes.size() == 1U);
    BOOST_TEST((outcomes[0].outcome_ == OrderOutcome::Unclear));
    fixture.open_[engineId(1)].intent_.domain_ = DomainId("elsewhere");
    BOOST_TEST(fixture.plan_.outcomesOfOrphanedIntents(fixture.open_, fixture.now_).empty());
    fixture.fleet_.endpoints_[engineId(1)].domain_ = Domain;
    fixture.wantRole(1, EngineRole::Decode);
    fixture.apply();
    BOOST_TEST(fixture.waits(1));
}

BOOST_AUTO_TEST_CASE(anEngineInItsTargetStateIsReadRarelyUnlessRequested)
{
    PlanFixture fixture(20);
    BOOST_TEST(fixture.plan_.takeDue(fixture.now_).size() == 20U);
    for (int number = 1; number <= 20; ++number) {
        BOOST_TEST(fixture.waits(number));
        fixture.plan_.finish(engineId(number), fixture.now_);
    }
    fixture.now_ += millis(9'999);
    BOOST_TEST(fixture.plan_.takeDue(fixture.now_).empty());
    fixture.plan_.requestCheck(engineId(7), fixture.now_);
    BOOST_TEST((fixture.plan_.takeDue(fixture.now_) == std::vector {engineId(7)}));
}

BOOST_AUTO_TEST_CASE(allEnginesAreUnreadableOnceEachReadHasFailed)
{
    PlanFixture fixture(2);
    fixture.plan_.onUnreadable(engineId(1), fixture.now_);
    BOOST_TEST(!fixture.plan_.allEnginesUnreadable());
    fixture.plan_.onUnreadable(engineId(2), fixture.now_);
    BOOST_TEST(fixture.plan_.allEnginesUnreadable());
    BOOST_TEST(fixture.waits(1));
    BOOST_TEST(!fixture.plan_.allEnginesUnreadable());
}

BOOST_AUTO_TEST_CASE(loadsAreLimitedByTheWeightStore)
{
    PlanFixture fixture(3);
    fixture.fleet_.policy_.maxAwayPerDomain_ = 3;
    fixture.fleet_.models_[ModelId("m")] = {ModelId("m"), "2", {}, 1'000};
    fixture.apply();
    fixture.plan_.onStoreStatus(store::WeightStoreStatus {20.0, 0}, fixture.now_);
    for (const int number : {1, 2, 3}) { // All are looked at first.
        fixture.plan_.onState(engineId(number), fixture.engine(number), fixture.now_);
    }
    fixture.drain(1); // 1,000 bytes at 20 B/s: two loads take 100 s, three exceed 120 s.
    fixture.drain(2);
    BOOST_TEST(fixture.waits(3));
    fixture.plan_.onStoreStatus(std::nullopt, fixture.now_);
    BOOST_TEST(fixture.waits(3));
}

BOOST_AUTO_TEST_CASE(wantedRolesCountWithinTheFilesBounds)
{
    PlanFixture fixture(3);
    fixture.fleet_.roleBounds_.push_back({Domain, ModelId("m"), 0, 1, 0, 3});
    const WantedRoles roles {{engineId(1), EngineRole::Prefill},
                             {engineId(2), EngineRole::Prefill},
                             {engineId(3), EngineRole::Decode},
                             {EndpointId("gone"), EngineRole::Decode}};
    const auto targets = wantedTargets(fixture.fleet_, Domain, roles, {});
    BOOST_REQUIRE(targets.size() == 3U);
    BOOST_TEST((targets.at(engineId(1)).role_ == EngineRole::Prefill));
    BOOST_TEST((targets.at(engineId(2)).role_ == EngineRole::Mixed));
    BOOST_TEST((targets.at(engineId(3)).role_ == EngineRole::Decode));
    BOOST_TEST(wantedTargets(fixture.fleet_, Domain, roles, {engineId(1)}).count(engineId(1))
               == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
