#include "almondridge/control/orderplan.h"
#include "almondridge/control/leasekeeper.h"

#include <boost/test/unit_test.hpp>

using namespace almondridge;
using namespace almondridge::control;
using fleet::EngineRole;
using fleet::Fencing;

namespace {

const DomainId Domain("ebene");
constexpr Fence Mine = 40;
constexpr Fence Theirs = 30;

EndpointId engineId(int number)
{
    return EndpointId("e" + std::to_string(number));
}

/** A domain with engines that are as the file wants them, and its plan under a lease. */
struct Bench
{
    explicit Bench(int engines, Fencing fencing = Fencing::Checks)
    {
        fleet_.models_[ModelId("m")] = {ModelId("m"), "1", {}, 1'000};
        for (int number = 1; number <= engines; ++number) {
            fleet::Endpoint endpoint;
            endpoint.id_ = engineId(number);
            endpoint.domain_ = Domain;
            endpoint.fencing_ = fencing;
            endpoint.model_ = ModelId("m");
            fleet_.endpoints_[endpoint.id_] = endpoint;
            engines_[endpoint.id_] = {
                {ModelId("m"), "1", {}, EngineRole::Mixed, true}, EnginePhase::Ready, 0, Theirs, 1};
        }
        apply();
        hold(TimePoint());
    }
    void apply() { plan_.setFleet(std::make_shared<const fleet::Fleet>(fleet_), now_); }
    void hold(TimePoint firstOrderToIgnoring) { plan_.hold(Mine, firstOrderToIgnoring, now_); }
    void wantRole(int number, EngineRole role)
    {
        roles_[engineId(number)] = role;
        plan_.setRoles(roles_, now_);
    }
    EngineState &engine(int number) { return engines_[engineId(number)]; }

    /** Reads the engine and steps; announcements are made and noted, up to another step. */
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
    /** Carries out an order step as far as the answer; the engine takes it when taken is set. */
    void order(int number, const EngineStep &step, SendResult result, bool taken)
    {
        BOOST_REQUIRE(step.kind_ == StepKind::Order);
        place(number, Mine, step.target_);
        plan_.onSending(engineId(number));
        plan_.onSent(engineId(number), result, now_);
        if (taken) {
            engine(number).target_ = step.target_;
            engine(number).fence_ = Mine;
        }
    }
    void place(int number, Fence fence, const EngineTarget &target)
    {
        open_[engineId(number)] = {++offset_, {Domain, fence, offset_, engineId(number), target}};
    }
    /** Expects the step to settle the open intent so, and does it. */
    void settle(int number, OrderOutcome outcome)
    {
        const EngineStep settling = step(number);
        BOOST_REQUIRE(settling.kind_ == StepKind::Settle);
        BOOST_TEST((settling.outcome_ == outcome));
        plan_.onSettled(engineId(number), settling.outcome_, now_);
        open_.erase(engineId(number));
    }
    /** Orders the drain that a change begins with. */
    void drain(int number)
    {
        const EngineStep step = this->step(number);
        BOOST_REQUIRE(!step.target_.admit_);
        order(number, step, SendResult::Answered, true);
        settle(number, OrderOutcome::Done);
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

// A booking request would be cut, because an engine changes its role under it.
// A long request runs when the change is planned; the drain takes as long as the request.
// Cause: a deadline that ends the wait, or a change before the engine refuses new work.
BOOST_AUTO_TEST_CASE(aChangeWaitsForALongRequestHoweverLongItTakes)
{
    Bench bench(1);
    bench.engine(1).running_ = 1;
    bench.wantRole(1, EngineRole::Decode);
    bench.drain(1);
    BOOST_TEST((bench.announced_ == std::vector {Availability::Draining}));
    bench.now_ += millis(3'600'000);
    BOOST_TEST(bench.waits(1));
    bench.engine(1).running_ = 0;
    const EngineStep change = bench.step(1);
    BOOST_TEST((change.target_.role_ == EngineRole::Decode));
    BOOST_TEST(change.target_.admit_);
    bench.order(1, change, SendResult::Answered, true);
    bench.engine(1).phase_ = EnginePhase::Changing;
    BOOST_TEST(bench.waits(1));
    bench.engine(1).phase_ = EnginePhase::Ready;
    bench.settle(1, OrderOutcome::Done);
    BOOST_TEST(bench.waits(1));
    BOOST_TEST((bench.plan_.takeNews().at(engineId(1)) == Availability::Open));
}

BOOST_AUTO_TEST_CASE(noMoreEnginesAreAwayAtOnceThanThePolicyAllows)
{
    Bench bench(3);
    BOOST_TEST((bench.waits(1) && bench.waits(2) && bench.waits(3)));
    bench.wantRole(1, EngineRole::Decode);
    bench.wantRole(2, EngineRole::Decode);
    bench.drain(1);
    BOOST_TEST(bench.waits(2));
    bench.order(1, bench.step(1), SendResult::Answered, true);
    BOOST_TEST(bench.waits(2));
    bench.settle(1, OrderOutcome::Done);
    BOOST_TEST(bench.waits(1));
    bench.drain(2);
}

// A domain would lose two engines at a time although its policy allows one.
// The holder dies while it has one engine away; its successor plans the change of another.
// Cause: counting only the engines that one has sent away oneself.
BOOST_AUTO_TEST_CASE(aSuccessorCountsTheEnginesThatItFindsAway)
{
    Bench bench(2);
    bench.wantRole(1, EngineRole::Decode);
    bench.engine(2).phase_ = EnginePhase::Changing;
    BOOST_TEST(bench.waits(1)); // The other was not looked at yet.
    BOOST_TEST(bench.waits(2));
    BOOST_TEST(bench.waits(1));
    bench.engine(2).phase_ = EnginePhase::Ready;
    BOOST_TEST(bench.waits(2));
    bench.drain(1);
}

// An engine would stand idle although nothing is under way at it.
// A holder announced its drain and died; the successor has another engine to change first.
// Cause: a successor that announces only what it works on.
BOOST_AUTO_TEST_CASE(anEngineThatWaitsForItsTurnIsAnnouncedAsOpen)
{
    Bench bench(2);
    bench.wantRole(1, EngineRole::Decode);
    bench.engine(2).phase_ = EnginePhase::Changing;
    BOOST_TEST((bench.waits(2) && bench.waits(1)));
    BOOST_TEST((bench.plan_.takeNews().at(engineId(1)) == Availability::Open));
}

BOOST_AUTO_TEST_CASE(aBrokenEngineKeepsNoOtherFromBeingChanged)
{
    Bench bench(2);
    bench.wantRole(1, EngineRole::Decode);
    bench.wantRole(2, EngineRole::Decode);
    BOOST_TEST(bench.waits(2));
    bench.drain(1);
    bench.plan_.onUnreadable(engineId(1), bench.now_);
    BOOST_TEST(bench.waits(2));
    bench.now_ += millis(30'000);
    bench.drain(2);
}

// A caller would wait on an engine that has no model.
// The engine crashes in the middle of a change and comes back in an unclear state.
// Cause: taking an accepted order for a done one.
BOOST_AUTO_TEST_CASE(anEngineThatCrashedInAChangeGetsNoRequestsUntilItsStateIsKnown)
{
    Bench bench(1);
    bench.wantRole(1, EngineRole::Decode);
    bench.drain(1);
    bench.order(1, bench.step(1), SendResult::Answered, true);
    bench.plan_.onUnreadable(engineId(1), bench.now_);
    BOOST_TEST((bench.stepUnread(1).availability_ == Availability::Unclear));
    bench.engine(1).phase_ = EnginePhase::Unclear;
    bench.settle(1, OrderOutcome::Unclear);
    BOOST_TEST((bench.announced_.back() == Availability::Unclear));
    bench.now_ += millis(1'000);
    BOOST_REQUIRE((bench.step(1).kind_ == StepKind::AskWeights));
    bench.plan_.onWeights({}, bench.now_);
    const EngineStep known = bench.step(1);
    BOOST_TEST((known.target_.role_ == EngineRole::Decode));
    bench.order(1, known, SendResult::Answered, true);
    BOOST_TEST((bench.plan_.withheld().at(engineId(1)) == Availability::Unclear));
    bench.engine(1).phase_ = EnginePhase::Ready;
    bench.settle(1, OrderOutcome::Done);
    BOOST_TEST(bench.waits(1));
    BOOST_TEST(bench.plan_.withheld().empty());
}

// An engine would get two orders that differ, the older one last.
// A holder is paused right after it sent; its successor reads the state before the order arrives.
// Cause: taking a state for final while the order of the holder before is on its way.
BOOST_AUTO_TEST_CASE(aSuccessorWaitsOutAnOrderThatIsOutstanding)
{
    Bench bench(1);
    const TimePoint arrivedBy = bench.now_ + millis(5'000);
    bench.hold(arrivedBy);
    EngineTarget ordered = bench.engine(1).target_;
    ordered.role_ = EngineRole::Prefill;
    bench.place(1, Theirs, ordered);
    BOOST_TEST(bench.waits(1));
    BOOST_TEST((bench.announced_ == std::vector {Availability::Unclear}));
    bench.now_ = arrivedBy - millis(1);
    BOOST_TEST(bench.waits(1));
    bench.now_ = arrivedBy;
    bench.settle(1, OrderOutcome::Refused);
}

BOOST_AUTO_TEST_CASE(aSuccessorSettlesAtOnceWhatTheEngineHasDone)
{
    Bench bench(1);
    bench.hold(bench.now_ + millis(5'000));
    bench.place(1, Theirs, bench.engine(1).target_);
    bench.settle(1, OrderOutcome::Done);
}

BOOST_AUTO_TEST_CASE(anEngineThatIgnoresFencesGetsNoOrderBeforeTheOldOnesHaveArrived)
{
    for (const Fencing fencing : {Fencing::Checks, Fencing::Ignores}) {
        Bench bench(1, fencing);
        bench.hold(bench.now_ + millis(5'000));
        bench.wantRole(1, EngineRole::Decode);
        const bool waits = bench.waits(1);
        BOOST_TEST(waits == (fencing == Fencing::Ignores));
        bench.now_ += millis(5'000);
        bench.drain(1);
        BOOST_TEST((bench.step(1).target_.role_ == EngineRole::Decode));
    }
}

// A request would be cut: the engine, found drained, admits again just before it is changed.
// The holder before had drained it, then ordered it to admit, and that order arrives late.
// Cause: relying on a drain that an older order can undo.
BOOST_AUTO_TEST_CASE(aDrainOfTheHolderBeforeIsOrderedAnewUnderTheOwnFence)
{
    Bench bench(1);
    bench.hold(bench.now_ + millis(5'000));
    bench.wantRole(1, EngineRole::Decode);
    bench.engine(1).target_.admit_ = false;
    bench.drain(1);
    BOOST_TEST((bench.step(1).target_.role_ == EngineRole::Decode));
}

// An order would be sent twice, or never.
// The acknowledgement of an intent is lost; the intent shows up in the log, its order unsent.
// Cause: taking an intent in the log for an order on its way.
BOOST_AUTO_TEST_CASE(anIntentWhoseAcknowledgementWasLostIsClosedAndNotSent)
{
    Bench bench(1);
    bench.wantRole(1, EngineRole::Decode);
    const EngineStep drain = bench.step(1);
    bench.place(1, Mine, drain.target_);
    bench.settle(1, OrderOutcome::Refused);
}

// An engine would take an order after another one that was sent later.
// The connection breaks after an order left; the engine is paused with it in its buffer.
// Cause: taking a state read before the bound, or through a pause, for final.
BOOST_AUTO_TEST_CASE(anOrderWithoutAnAnswerIsWaitedOutFromTheLastFailedRead)
{
    Bench bench(1);
    bench.wantRole(1, EngineRole::Decode);
    bench.order(1, bench.step(1), SendResult::Unknown, false);
    BOOST_TEST(bench.waits(1));
    BOOST_TEST(!bench.plan_.mayRelease(bench.now_));
    bench.now_ += millis(OrderNetworkBoundMillis - 1);
    bench.plan_.onUnreadable(engineId(1), bench.now_);
    bench.now_ += millis(OrderNetworkBoundMillis - 1);
    BOOST_TEST(bench.waits(1));
    bench.now_ += millis(1);
    bench.settle(1, OrderOutcome::Refused);
    BOOST_TEST(bench.plan_.mayRelease(bench.now_));
}

BOOST_AUTO_TEST_CASE(anOrderIsNotSentWhenTheEngineCrashedAfterItsIntent)
{
    Bench bench(1);
    bench.wantRole(1, EngineRole::Decode);
    const EngineStep drain = bench.step(1);
    BOOST_TEST(bench.plan_.stillWants(engineId(1), drain.target_, bench.now_));
    bench.engine(1).phase_ = EnginePhase::Unclear;
    bench.plan_.onState(engineId(1), bench.engine(1), bench.now_);
    BOOST_TEST(!bench.plan_.stillWants(engineId(1), drain.target_, bench.now_));
}

BOOST_AUTO_TEST_CASE(anEndpointThatLeavesIsAnnouncedBeforeItIsReadAndOnlyDrained)
{
    Bench bench(1);
    bench.fleet_.models_[ModelId("m")].version_ = "2";
    bench.apply();
    bench.plan_.setLeaving({engineId(1)}, bench.now_);
    BOOST_TEST(!bench.plan_.wantsState(engineId(1)));
    BOOST_TEST((bench.stepUnread(1).availability_ == Availability::Leaving));
    const EngineStep drain = bench.step(1);
    EngineTarget expected = bench.engine(1).target_;
    expected.admit_ = false;
    BOOST_TEST((drain.target_ == expected));
    bench.order(1, drain, SendResult::Answered, true);
    bench.settle(1, OrderOutcome::Done);
    BOOST_TEST(bench.waits(1));
    bench.plan_.setLeaving({}, bench.now_);
    bench.fleet_.models_[ModelId("m")].version_ = "1";
    bench.apply();
    BOOST_TEST(bench.step(1).target_.admit_);
}

// An engine would take no orders any more after it was moved to another failure domain.
// The file moves it while an order of its old domain is open; nobody there reads it again.
// Cause: an intent is closed by its own domain only, and only for engines of the file.
BOOST_AUTO_TEST_CASE(theOpenIntentOfAnEngineThatWasMovedIsClosedByItsOldDomain)
{
    Bench bench(1);
    bench.place(1, Theirs, bench.engine(1).target_);
    BOOST_TEST(bench.plan_.orphans(bench.open_, bench.now_).empty());
    bench.fleet_.endpoints_[engineId(1)].domain_ = DomainId("elsewhere");
    bench.apply();
    BOOST_TEST(bench.plan_.orphans(bench.open_, bench.now_).empty());
    bench.now_ += millis(OrderNetworkBoundMillis);
    const auto outcomes = bench.plan_.orphans(bench.open_, bench.now_);
    BOOST_REQUIRE(outcomes.size() == 1U);
    BOOST_TEST((outcomes[0].outcome_ == OrderOutcome::Unclear));
    bench.open_[engineId(1)].intent_.domain_ = DomainId("elsewhere");
    BOOST_TEST(bench.plan_.orphans(bench.open_, bench.now_).empty());
    bench.fleet_.endpoints_[engineId(1)].domain_ = Domain;
    bench.wantRole(1, EngineRole::Decode);
    bench.apply();
    BOOST_TEST(bench.waits(1));
}

BOOST_AUTO_TEST_CASE(anEngineThatIsAsWantedIsReadSeldomUnlessAsked)
{
    Bench bench(20);
    BOOST_TEST(bench.plan_.takeDue(bench.now_).size() == 20U);
    for (int number = 1; number <= 20; ++number) {
        BOOST_TEST(bench.waits(number));
        bench.plan_.finish(engineId(number), bench.now_);
    }
    bench.now_ += millis(9'999);
    BOOST_TEST(bench.plan_.takeDue(bench.now_).empty());
    bench.plan_.lookAt(engineId(7), bench.now_);
    BOOST_TEST((bench.plan_.takeDue(bench.now_) == std::vector {engineId(7)}));
}

BOOST_AUTO_TEST_CASE(aHolderIsBlindOnceAllItsEnginesWereTriedInVain)
{
    Bench bench(2);
    bench.plan_.onUnreadable(engineId(1), bench.now_);
    BOOST_TEST(!bench.plan_.seesNoEngine());
    bench.plan_.onUnreadable(engineId(2), bench.now_);
    BOOST_TEST(bench.plan_.seesNoEngine());
    BOOST_TEST(bench.waits(1));
    BOOST_TEST(!bench.plan_.seesNoEngine());
}

BOOST_AUTO_TEST_CASE(loadsArePacedByTheWeightStore)
{
    Bench bench(3);
    bench.fleet_.policy_.maxAwayPerDomain_ = 3;
    bench.fleet_.models_[ModelId("m")] = {ModelId("m"), "2", {}, 1'000};
    bench.apply();
    bench.plan_.onWeights(store::WeightStoreStatus {20.0, 0}, bench.now_);
    for (const int number : {1, 2, 3}) { // All are looked at first.
        bench.plan_.onState(engineId(number), bench.engine(number), bench.now_);
    }
    bench.drain(1); // 1,000 bytes at 20 a second: two are done within 120 s, three are not.
    bench.drain(2);
    BOOST_TEST(bench.waits(3));
    bench.plan_.onWeights(std::nullopt, bench.now_);
    BOOST_TEST(bench.waits(3));
}

BOOST_AUTO_TEST_CASE(wantedRolesCountWithinTheFilesBounds)
{
    Bench bench(3);
    bench.fleet_.roleBounds_.push_back({Domain, ModelId("m"), 0, 1, 0, 3});
    const WantedRoles roles {{engineId(1), EngineRole::Prefill},
                             {engineId(2), EngineRole::Prefill},
                             {engineId(3), EngineRole::Decode},
                             {EndpointId("gone"), EngineRole::Decode}};
    const auto targets = wantedTargets(bench.fleet_, Domain, roles, {});
    BOOST_REQUIRE(targets.size() == 3U);
    BOOST_TEST((targets.at(engineId(1)).role_ == EngineRole::Prefill));
    BOOST_TEST((targets.at(engineId(2)).role_ == EngineRole::Mixed));
    BOOST_TEST((targets.at(engineId(3)).role_ == EngineRole::Decode));
    BOOST_TEST(wantedTargets(bench.fleet_, Domain, roles, {engineId(1)}).count(engineId(1)) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
