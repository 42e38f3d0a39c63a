#include "almondridge/planner/planner.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <map>

using namespace almondridge;
using namespace almondridge::planner;
using fleet::EngineRole;

namespace {

const ModelId TestModel {"matching"};
const DomainId LocalDomain {"pasila"};
constexpr Duration Tick = millis(1'000);
constexpr Duration ChangeDuration = millis(5'000);

/** Tokens per second of a dedicated engine; demands below are multiples of these. */
constexpr double PrefillRate = 20'000;
constexpr double DecodeRate = 2'000;

/** Demand per second, as the number of busy dedicated engines of each role. */
struct Load
{
    double prefillEngines_ = 0;
    double decodeEngines_ = 0;
};

constexpr Load PrefillHeavy {4.4, 1.6};
constexpr Load DecodeHeavy {1.6, 4.4};

/** Simulates a failure domain whose engines carry out the changes of one planner. */
class TestDomain
{
public:
    explicit TestDomain(const std::vector<EngineRole> &roles,
                        fleet::Policy policy = defaultPolicy())
        : planner_(
            Planner::Builder().domain(LocalDomain).roleChangeDuration(ChangeDuration).build())
    {
        fleet_.policy_ = policy;
        applyFleet();
        planner_.onRates(TestModel, EngineRole::Prefill, {PrefillRate, PrefillRate / 1'000});
        planner_.onRates(TestModel, EngineRole::Decode, {DecodeRate / 10, DecodeRate});
        planner_.onRates(TestModel, EngineRole::Mixed, {PrefillRate * 0.45, DecodeRate * 0.4});
        for (const EngineRole role : roles) {
            engines_.push_back({EndpointId("e" + std::to_string(engines_.size())), TestModel, role,
                                true, now_ - millis(3'600'000)});
        }
    }

    static fleet::Policy defaultPolicy()
    {
        fleet::Policy policy;
        policy.roleChangeWeight_ = 1;
        policy.maxAwayPerDomain_ = 2;
        return policy;
    }

    void applyFleet() { planner_.setFleet(std::make_shared<const fleet::Fleet>(fleet_)); }

    /** One second: reports demand, plans, and ends changes that have taken long enough. */
    void tick(const Load &load)
    {
        now_ += Tick;
        observe(load);
        applyPlan(planner_.plan(engines_, now_));
    }

    void run(int seconds, const Load &load)
    {
        for (int second = 0; second < seconds; ++second) {
            tick(load);
        }
    }

    void observe(const Load &load)
    {
        planner_.onDemand(
            {TestModel, load.prefillEngines_ * PrefillRate, load.decodeEngines_ * DecodeRate},
            now_);
    }

    void applyPlan(const Plan &plan)
    {
        lastPlan_ = plan;
        for (EngineView &engine : engines_) {
            if (!engine.available_ && !hasFailed(engine)
                && now_ - engine.lastChange_ >= ChangeDuration) {
                engine.available_ = true;
            }
        }
        for (const RoleChange &change : plan.changes_) {
            EngineView &engine = view(change.engine_);
            BOOST_TEST(engine.available_);
            BOOST_TEST((now_ - engine.lastChange_ >= millis(fleet_.policy_.minimumDwellMillis_)));
            engine.role_ = change.to_;
            engine.available_ = false;
            engine.lastChange_ = now_;
            changes_.push_back(change);
        }
        maxAway_ = std::max(maxAway_, awayCount());
    }

    EngineView &view(const EndpointId &id)
    {
        return *std::find_if(engines_.begin(), engines_.end(),
                             [&](const EngineView &engine) { return engine.engine_ == id; });
    }

    bool hasFailed(const EngineView &engine) const
    {
        return std::find(failed_.begin(), failed_.end(), engine.engine_) != failed_.end();
    }

    int awayCount() const
    {
        return static_cast<int>(
            std::count_if(engines_.begin(), engines_.end(), [&](const EngineView &engine) {
                return !engine.available_ && !hasFailed(engine);
            }));
    }

    int count(EngineRole role) const
    {
        return static_cast<int>(
            std::count_if(engines_.begin(), engines_.end(),
                          [&](const EngineView &engine) { return engine.role_ == role; }));
    }

    int maxChangesPerEngine() const
    {
        std::map<EndpointId, int> changes;
        int maxChanges = 0;
        for (const RoleChange &change : changes_) {
            maxChanges = std::max(maxChanges, ++changes[change.engine_]);
        }
        return maxChanges;
    }

    fleet::Fleet fleet_;
    Planner planner_;
    TimePoint now_ {std::chrono::hours(10)};
    std::vector<EngineView> engines_;
    std::vector<EndpointId> failed_;
    std::vector<RoleChange> changes_;
    Plan lastPlan_;
    int maxAway_ = 0;
};

std::vector<EngineRole> roles(int prefill, int decode, int mixed)
{
    std::vector<EngineRole> all(static_cast<std::size_t>(prefill), EngineRole::Prefill);
    all.insert(all.end(), static_cast<std::size_t>(decode), EngineRole::Decode);
    all.insert(all.end(), static_cast<std::size_t>(mixed), EngineRole::Mixed);
    return all;
}

/** Deterministic jitter between -1 and 1 that varies within seconds. */
double jitter(int second)
{
    return std::sin(second * 1.7) * 0.6 + std::sin(second * 0.31) * 0.4;
}

bool contains(const std::string &text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RolePlanning)

// Noise in the mix, a third around a mean that the roles can serve, must not be taken for a shift:
// engines would be unavailable for changes without any gain.
BOOST_AUTO_TEST_CASE(noiseCausesNoRoleChange)
{
    TestDomain domain(roles(3, 3, 1));
    for (int second = 0; second < 1'200; ++second) {
        const double noise = 0.33 * jitter(second);
        domain.tick({2.6 * (1 + noise), 2.6 * (1 - noise)});
    }
    BOOST_TEST(domain.changes_.empty());
    BOOST_TEST(contains(domain.lastPlan_.declined_, "rule=gain-below-cost"));
}

// After a lasting shift to long prompts, roles must follow the mix; otherwise responses are late
// from then on. No engine may need more than one change to get there.
BOOST_AUTO_TEST_CASE(aLastingShiftChangesEachEngineAtMostOnce)
{
    TestDomain domain(roles(2, 5, 0));
    domain.run(120, DecodeHeavy);
    domain.run(120, PrefillHeavy);
    BOOST_TEST(domain.maxChangesPerEngine() == 1);
    BOOST_TEST(domain.count(EngineRole::Prefill) >= 4);
    const std::size_t changes = domain.changes_.size();
    domain.run(300, PrefillHeavy);
    BOOST_TEST(domain.changes_.size() == changes);
    for (const char *part :
         {"rule=goodput", "gain_s=", "cost_s=", "horizon_s=", "prefill_phase="}) {
        BOOST_TEST(contains(domain.changes_.front().reason_, part));
    }
}

// The mix alternates every twelve seconds, faster than a role change pays back. Expecting each
// phase to last would keep some engine in a change, and the domain slow, all the time.
BOOST_AUTO_TEST_CASE(demandThatAlternatesFasterThanAChangePaysBackIsNotFollowed)
{
    TestDomain domain(roles(3, 3, 1));
    domain.run(60, {2.5, 2.5});
    for (int turn = 0; turn < 50; ++turn) {
        domain.run(12, turn % 2 == 0 ? Load {3.6, 1.4} : Load {1.4, 3.6});
    }
    BOOST_TEST(domain.changes_.size() <= 2U);
}

BOOST_AUTO_TEST_CASE(aHigherRoleChangeWeightCausesFewerChanges)
{
    std::vector<std::size_t> changes;
    for (const double weight : {0.3, 10.0, 1'000.0}) {
        fleet::Policy policy = TestDomain::defaultPolicy();
        policy.roleChangeWeight_ = weight;
        TestDomain domain(roles(2, 5, 0), policy);
        for (int phase = 0; phase < 6; ++phase) {
            domain.run(90, phase % 2 == 0 ? DecodeHeavy : Load {2.5, 3.3});
        }
        changes.push_back(domain.changes_.size());
    }
    BOOST_TEST(changes[0] > 0U);
    BOOST_TEST(changes[1] <= changes[0]);
    BOOST_TEST(changes[2] == 0U);
}

// A large shift justifies five changes. Starting them together would make most of a small domain
// unavailable, although the configuration allows only one or two engines at a time.
BOOST_AUTO_TEST_CASE(neverMoreEnginesAwayThanConfigured)
{
    for (const int maxAway : {1, 2}) {
        fleet::Policy policy = TestDomain::defaultPolicy();
        policy.maxAwayPerDomain_ = maxAway;
        TestDomain domain(roles(1, 6, 0), policy);
        domain.run(60, DecodeHeavy);
        domain.run(120, PrefillHeavy);
        BOOST_TEST(domain.maxAway_ == maxAway);
        BOOST_TEST(domain.changes_.size() >= 3U);
    }
}

// The lease changes hands while an engine changes its role. The new holder's planner has not
// planned that change, but must count it, or two engines are away where one is allowed.
BOOST_AUTO_TEST_CASE(aChangeByThePreviousLeaseHolderCountsAsAway)
{
    fleet::Policy policy = TestDomain::defaultPolicy();
    policy.maxAwayPerDomain_ = 1;
    TestDomain domain(roles(1, 6, 0), policy);
    domain.run(20, {0.8, 4});
    domain.engines_[6].available_ = false;
    domain.engines_[6].lastChange_ = domain.now_;
    const Plan plan = domain.planner_.plan(domain.engines_, domain.now_);
    BOOST_TEST(plan.changes_.empty());
    BOOST_TEST(contains(plan.declined_, "rule=max-away away=1 most=1"));
}

// An engine that crashes during its role change never completes it. Waiting for it forever would
// block all further changes.
BOOST_AUTO_TEST_CASE(aChangeThatNeverCompletesTimesOut)
{
    fleet::Policy policy = TestDomain::defaultPolicy();
    policy.maxAwayPerDomain_ = 1;
    TestDomain domain(roles(1, 6, 0), policy);
    domain.run(60, DecodeHeavy);
    while (domain.changes_.empty()) {
        domain.tick(PrefillHeavy);
    }
    domain.failed_.push_back(domain.changes_.front().engine_);
    domain.run(120, PrefillHeavy);
    BOOST_TEST(domain.changes_.size() > 1U);
}

// The mix shifts and shifts back within the minimum dwell time, in which no engine may change
// twice. TestDomain::applyPlan() checks every change.
BOOST_AUTO_TEST_CASE(noEngineChangesTwiceWithinTheMinimumDwell)
{
    fleet::Policy policy = TestDomain::defaultPolicy();
    policy.minimumDwellMillis_ = 300'000;
    policy.roleChangeWeight_ = 0;
    TestDomain domain(roles(2, 5, 0), policy);
    for (int phase = 0; phase < 8; ++phase) {
        domain.run(70, phase % 2 == 0 ? DecodeHeavy : PrefillHeavy);
    }
    BOOST_TEST(domain.changes_.size() >= 2U);
}

// The bounds allow one more prefill engine, and two decode engines are more useful as mixed ones.
// If each kind of move chose its engines separately, one engine would be ordered to two roles.
BOOST_AUTO_TEST_CASE(aPlanContainsEachEngineOnce)
{
    fleet::Policy policy = TestDomain::defaultPolicy();
    policy.maxAwayPerDomain_ = 3;
    TestDomain domain(roles(2, 5, 0), policy);
    domain.fleet_.roleBounds_.push_back({LocalDomain, TestModel, 1, 3, 2, 5});
    domain.applyFleet();
    domain.run(60, DecodeHeavy);
    while (domain.changes_.empty()) {
        domain.tick(PrefillHeavy);
    }
    BOOST_TEST(domain.changes_.size() == 3U);
    BOOST_TEST(domain.maxChangesPerEngine() == 1);
}

BOOST_AUTO_TEST_CASE(configuredBoundsHoldForAnyDemand)
{
    TestDomain domain(roles(2, 5, 0));
    domain.fleet_.roleBounds_.push_back({LocalDomain, TestModel, 1, 3, 2, 5});
    domain.fleet_.roleBounds_.push_back({DomainId("vantaa"), TestModel, 7, 7, 0, 0});
    domain.applyFleet();
    domain.run(60, DecodeHeavy);
    domain.run(200, PrefillHeavy);
    BOOST_TEST(domain.count(EngineRole::Prefill) == 3);
    BOOST_TEST(domain.count(EngineRole::Decode) >= 2);
}

// New bounds that the current roles violate must be enforced although all demand is served: such
// changes have no gain in goodput and would otherwise never be made.
BOOST_AUTO_TEST_CASE(boundViolationsAreCorrectedWithoutAnyGain)
{
    fleet::Policy policy = TestDomain::defaultPolicy();
    policy.roleChangeWeight_ = 1'000;
    TestDomain domain(roles(3, 4, 0), policy);
    domain.run(60, {1, 1});
    BOOST_TEST(domain.changes_.empty());
    domain.fleet_.roleBounds_.push_back({LocalDomain, TestModel, 5, 7, 0, 7});
    domain.applyFleet();
    domain.run(30, {1, 1});
    BOOST_TEST(domain.count(EngineRole::Prefill) == 5);
    BOOST_TEST(domain.changes_.size() == 2U);
    BOOST_TEST(contains(domain.changes_.front().reason_, "rule=bounds"));
}

// All instances of the domain stop reporting demand while engines and lease work. Roles must not be
// changed for the demand of before the outage.
BOOST_AUTO_TEST_CASE(staleDemandKeepsTheRoles)
{
    TestDomain domain(roles(2, 5, 0));
    domain.run(60, DecodeHeavy);
    domain.now_ += millis(11'000);
    const Plan plan = domain.planner_.plan(domain.engines_, domain.now_);
    BOOST_TEST(plan.changes_.empty());
    BOOST_TEST(plan.declined_ == "model=matching rule=stale-demand");
}

// More than half of the engines fail at once. Taking the outage for a shift of the mix would make
// the remaining engines unavailable as well.
BOOST_AUTO_TEST_CASE(manyUnavailableEnginesKeepTheRoles)
{
    TestDomain domain(roles(2, 5, 0));
    domain.run(60, DecodeHeavy);
    for (int engine = 0; engine < 4; ++engine) {
        domain.engines_[engine].available_ = false;
        domain.failed_.push_back(domain.engines_[engine].engine_);
    }
    domain.run(60, PrefillHeavy);
    BOOST_TEST(domain.changes_.empty());
    BOOST_TEST(
        contains(domain.lastPlan_.declined_, "rule=engines-unavailable available=3 engines=7"));
}

BOOST_AUTO_TEST_CASE(nothingIsPlannedDuringWarmup)
{
    TestDomain domain(roles(2, 5, 0));
    BOOST_TEST(domain.planner_.plan(domain.engines_, domain.now_).declined_
               == "model=matching rule=warming");
    domain.run(10, PrefillHeavy);
    BOOST_TEST(domain.changes_.empty());
    Planner fresh = Planner::Builder().build();
    BOOST_TEST(fresh.plan(domain.engines_, domain.now_).declined_ == "rule=no-fleet");
}

// Demand drops to zero and returns hours later with the same mix. Planning for zero demand, or
// dividing by it, would change roles twice.
BOOST_AUTO_TEST_CASE(zeroDemandKeepsTheRoles)
{
    TestDomain domain(roles(2, 5, 0));
    domain.run(120, DecodeHeavy);
    domain.run(3'600, {0, 0});
    domain.run(120, DecodeHeavy);
    BOOST_TEST(domain.changes_.empty());
    domain.run(60, PrefillHeavy);
    BOOST_TEST(!domain.changes_.empty());
}

BOOST_AUTO_TEST_CASE(modelsShareTheAwayLimitAndTheLargerGainGoesFirst)
{
    const ModelId steadyModel {"calm"};
    fleet::Policy policy = TestDomain::defaultPolicy();
    policy.maxAwayPerDomain_ = 1;
    TestDomain domain(roles(1, 6, 0), policy);
    for (int engine = 0; engine < 4; ++engine) {
        domain.engines_.push_back({EndpointId("c" + std::to_string(engine)), steadyModel,
                                   engine < 2 ? EngineRole::Prefill : EngineRole::Decode, true,
                                   domain.now_ - millis(3'600'000)});
    }
    Plan plan;
    for (int second = 0; second < 60 && plan.changes_.empty(); ++second) {
        domain.now_ += Tick;
        domain.observe(PrefillHeavy);
        domain.planner_.onDemand({steadyModel, 2.2 * PrefillRate, 1.7 * DecodeRate}, domain.now_);
        plan = domain.planner_.plan(domain.engines_, domain.now_);
    }
    BOOST_TEST(plan.changes_.size() == 1U);
    BOOST_TEST(domain.view(plan.changes_.front().engine_).model_ == TestModel);
}

BOOST_AUTO_TEST_SUITE_END()
