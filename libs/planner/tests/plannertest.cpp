#include "almondridge/planner/planner.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <map>

using namespace almondridge;
using namespace almondridge::planner;
using fleet::EngineRole;

namespace {

const ModelId Matching {"matching"};
const DomainId Pasila {"pasila"};
constexpr Duration Tick = millis(1'000);
constexpr Duration Away = millis(5'000);

/** What one engine of a role carries; the demands below are multiples of these. */
constexpr double PrefillRate = 20'000;
constexpr double DecodeRate = 2'000;

/** Demand that keeps so many engines of each role busy. */
struct Load
{
    double prefillEngines_ = 0;
    double decodeEngines_ = 0;
};

constexpr Load Reading {4.4, 1.6};
constexpr Load Writing {1.6, 4.4};

/** A failure domain of engines that do as they are told, and one planner. */
class Domain
{
public:
    explicit Domain(const std::vector<EngineRole> &roles, fleet::Policy policy = defaultPolicy())
        : planner_(Planner::Builder().domain(Pasila).roleChangeDuration(Away).build())
    {
        fleet_.policy_ = policy;
        applyFleet();
        planner_.onRates(Matching, EngineRole::Prefill, {PrefillRate, PrefillRate / 1'000});
        planner_.onRates(Matching, EngineRole::Decode, {DecodeRate / 10, DecodeRate});
        planner_.onRates(Matching, EngineRole::Mixed, {PrefillRate * 0.45, DecodeRate * 0.4});
        for (const EngineRole role : roles) {
            engines_.push_back({EndpointId("e" + std::to_string(engines_.size())), Matching, role,
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

    /** One second: demand comes in, the planner plans, engines whose change is over come back. */
    void tick(const Load &load)
    {
        now_ += Tick;
        observe(load);
        obey(planner_.plan(engines_, now_));
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
            {Matching, load.prefillEngines_ * PrefillRate, load.decodeEngines_ * DecodeRate}, now_);
    }

    void obey(const Plan &plan)
    {
        last_ = plan;
        for (EngineView &engine : engines_) {
            if (!engine.available_ && !broken(engine) && now_ - engine.lastChange_ >= Away) {
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
        mostAway_ = std::max(mostAway_, awayCount());
    }

    EngineView &view(const EndpointId &id)
    {
        return *std::find_if(engines_.begin(), engines_.end(),
                             [&](const EngineView &engine) { return engine.engine_ == id; });
    }

    bool broken(const EngineView &engine) const
    {
        return std::find(broken_.begin(), broken_.end(), engine.engine_) != broken_.end();
    }

    int awayCount() const
    {
        return static_cast<int>(
            std::count_if(engines_.begin(), engines_.end(), [&](const EngineView &engine) {
                return !engine.available_ && !broken(engine);
            }));
    }

    int count(EngineRole role) const
    {
        return static_cast<int>(
            std::count_if(engines_.begin(), engines_.end(),
                          [&](const EngineView &engine) { return engine.role_ == role; }));
    }

    int mostChangesOfOneEngine() const
    {
        std::map<EndpointId, int> changes;
        int most = 0;
        for (const RoleChange &change : changes_) {
            most = std::max(most, ++changes[change.engine_]);
        }
        return most;
    }

    fleet::Fleet fleet_;
    Planner planner_;
    TimePoint now_ {std::chrono::hours(10)};
    std::vector<EngineView> engines_;
    std::vector<EndpointId> broken_;
    std::vector<RoleChange> changes_;
    Plan last_;
    int mostAway_ = 0;
};

std::vector<EngineRole> roles(int prefill, int decode, int mixed)
{
    std::vector<EngineRole> all(static_cast<std::size_t>(prefill), EngineRole::Prefill);
    all.insert(all.end(), static_cast<std::size_t>(decode), EngineRole::Decode);
    all.insert(all.end(), static_cast<std::size_t>(mixed), EngineRole::Mixed);
    return all;
}

/** Repeatable jitter between -1 and 1 that changes every few seconds. */
double jitter(int second)
{
    return std::sin(second * 1.7) * 0.6 + std::sin(second * 0.31) * 0.4;
}

bool says(const std::string &text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PlannerStories)

// A mediator would see sessions wait while an engine is away for nothing.
// The mix of reads and answers jitters by a third around a mean that the roles can carry.
// Cause: taking the last seconds for a new mix.
BOOST_AUTO_TEST_CASE(noiseChangesNoRole)
{
    Domain domain(roles(3, 3, 1));
    for (int second = 0; second < 1'200; ++second) {
        const double noise = 0.33 * jitter(second);
        domain.tick({2.6 * (1 + noise), 2.6 * (1 - noise)});
    }
    BOOST_TEST(domain.changes_.empty());
    BOOST_TEST(says(domain.last_.declined_, "rule=gain-below-cost"));
}

// An organiser would see matches come late all morning.
// The morning's long reads begin and stay; the roles are those of the evening before.
// Cause: no role follows the mix, or engines get there through several changes each.
BOOST_AUTO_TEST_CASE(aRealShiftMovesEachEngineOnceAtMost)
{
    Domain domain(roles(2, 5, 0));
    domain.run(120, Writing);
    domain.run(120, Reading);
    BOOST_TEST(domain.mostChangesOfOneEngine() == 1);
    BOOST_TEST(domain.count(EngineRole::Prefill) >= 4);
    const std::size_t changes = domain.changes_.size();
    domain.run(300, Reading);
    BOOST_TEST(domain.changes_.size() == changes);
    for (const char *part :
         {"rule=goodput", "gain_s=", "cost_s=", "horizon_s=", "prefill_phase="}) {
        BOOST_TEST(says(domain.changes_.front().reason_, part));
    }
}

// A caller would see the domain slow all day, with always some engine away.
// Reads and answers take turns every twelve seconds, faster than a change of roles pays back.
// Cause: expecting each turn to last.
BOOST_AUTO_TEST_CASE(demandThatTurnsFasterThanAChangePaysBackIsNotFollowed)
{
    Domain domain(roles(3, 3, 1));
    domain.run(60, {2.5, 2.5});
    for (int turn = 0; turn < 50; ++turn) {
        domain.run(12, turn % 2 == 0 ? Load {3.6, 1.4} : Load {1.4, 3.6});
    }
    BOOST_TEST(domain.changes_.size() <= 2U);
}

BOOST_AUTO_TEST_CASE(aHigherWeightMakesFewerChanges)
{
    std::vector<std::size_t> changes;
    for (const double weight : {0.3, 10.0, 1'000.0}) {
        fleet::Policy policy = Domain::defaultPolicy();
        policy.roleChangeWeight_ = weight;
        Domain domain(roles(2, 5, 0), policy);
        for (int phase = 0; phase < 6; ++phase) {
            domain.run(90, phase % 2 == 0 ? Writing : Load {2.5, 3.3});
        }
        changes.push_back(domain.changes_.size());
    }
    BOOST_TEST(changes[0] > 0U);
    BOOST_TEST(changes[1] <= changes[0]);
    BOOST_TEST(changes[2] == 0U);
}

// A caller would see half of a small domain away at once.
// A large shift wants five engines to change, and the file allows one away.
// Cause: starting all changes that pay, together.
BOOST_AUTO_TEST_CASE(neverMoreEnginesAwayThanTheFileAllows)
{
    for (const int most : {1, 2}) {
        fleet::Policy policy = Domain::defaultPolicy();
        policy.maxAwayPerDomain_ = most;
        Domain domain(roles(1, 6, 0), policy);
        domain.run(60, Writing);
        domain.run(120, Reading);
        BOOST_TEST(domain.mostAway_ == most);
        BOOST_TEST(domain.changes_.size() >= 3U);
    }
}

// A caller would see two engines away where the file allows one.
// The lease changes hands while an engine is away for a change.
// Cause: the new holder's planner knows only of the changes that it asked for itself.
BOOST_AUTO_TEST_CASE(aChangeOfAFormerLeaseHolderCountsAsAway)
{
    fleet::Policy policy = Domain::defaultPolicy();
    policy.maxAwayPerDomain_ = 1;
    Domain domain(roles(1, 6, 0), policy);
    domain.run(20, {0.8, 4});
    domain.engines_[6].available_ = false;
    domain.engines_[6].lastChange_ = domain.now_;
    const Plan plan = domain.planner_.plan(domain.engines_, domain.now_);
    BOOST_TEST(plan.changes_.empty());
    BOOST_TEST(says(plan.declined_, "rule=max-away away=1 most=1"));
}

// An operator would see an engine that never changes roles again.
// An engine crashes in the middle of its change and stays unclear for good.
// Cause: waiting for that change to be seen done before any other may start.
BOOST_AUTO_TEST_CASE(aChangeThatIsNeverSeenDoneIsGivenUp)
{
    fleet::Policy policy = Domain::defaultPolicy();
    policy.maxAwayPerDomain_ = 1;
    Domain domain(roles(1, 6, 0), policy);
    domain.run(60, Writing);
    while (domain.changes_.empty()) {
        domain.tick(Reading);
    }
    domain.broken_.push_back(domain.changes_.front().engine_);
    domain.run(120, Reading);
    BOOST_TEST(domain.changes_.size() > 1U);
}

// An operator would see an engine change roles twice within the time that the file forbids.
// The mix shifts and shifts back within the minimum dwell. Domain::obey() checks every change.
BOOST_AUTO_TEST_CASE(noEngineChangesTwiceWithinItsDwell)
{
    fleet::Policy policy = Domain::defaultPolicy();
    policy.minimumDwellMillis_ = 300'000;
    policy.roleChangeWeight_ = 0;
    Domain domain(roles(2, 5, 0), policy);
    for (int phase = 0; phase < 8; ++phase) {
        domain.run(70, phase % 2 == 0 ? Writing : Reading);
    }
    BOOST_TEST(domain.changes_.size() >= 2U);
}

// An engine would be ordered to two roles at once.
// The bounds allow one more prefill engine, and two decode engines are worth more as mixed ones.
// Cause: choosing the engines of each kind of move for itself.
BOOST_AUTO_TEST_CASE(aPlanNamesEachEngineOnce)
{
    fleet::Policy policy = Domain::defaultPolicy();
    policy.maxAwayPerDomain_ = 3;
    Domain domain(roles(2, 5, 0), policy);
    domain.fleet_.roleBounds_.push_back({Pasila, Matching, 1, 3, 2, 5});
    domain.applyFleet();
    domain.run(60, Writing);
    while (domain.changes_.empty()) {
        domain.tick(Reading);
    }
    BOOST_TEST(domain.changes_.size() == 3U);
    BOOST_TEST(domain.mostChangesOfOneEngine() == 1);
}

BOOST_AUTO_TEST_CASE(theBoundsOfTheFileHoldWhateverTheDemand)
{
    Domain domain(roles(2, 5, 0));
    domain.fleet_.roleBounds_.push_back({Pasila, Matching, 1, 3, 2, 5});
    domain.fleet_.roleBounds_.push_back({DomainId("vantaa"), Matching, 7, 7, 0, 0});
    domain.applyFleet();
    domain.run(60, Writing);
    domain.run(200, Reading);
    BOOST_TEST(domain.count(EngineRole::Prefill) == 3);
    BOOST_TEST(domain.count(EngineRole::Decode) >= 2);
}

// An operator would see an applied file not in force.
// A file is applied whose bounds the present roles break, while the demand is served in full.
// Cause: weighing a change that the file asks for by its gain in goodput.
BOOST_AUTO_TEST_CASE(rolesOutOfBoundsAreBroughtBackWithoutAnyGain)
{
    fleet::Policy policy = Domain::defaultPolicy();
    policy.roleChangeWeight_ = 1'000;
    Domain domain(roles(3, 4, 0), policy);
    domain.run(60, {1, 1});
    BOOST_TEST(domain.changes_.empty());
    domain.fleet_.roleBounds_.push_back({Pasila, Matching, 5, 7, 0, 7});
    domain.applyFleet();
    domain.run(30, {1, 1});
    BOOST_TEST(domain.count(EngineRole::Prefill) == 5);
    BOOST_TEST(domain.changes_.size() == 2U);
    BOOST_TEST(says(domain.changes_.front().reason_, "rule=bounds"));
}

// An operator would see roles changed on what was true before the outage.
// The domain's entries stop telling their demand; engines and lease are well.
// Cause: planning on for the last demand that was seen.
BOOST_AUTO_TEST_CASE(staleDemandFreezesTheRoles)
{
    Domain domain(roles(2, 5, 0));
    domain.run(60, Writing);
    domain.now_ += millis(11'000);
    const Plan plan = domain.planner_.plan(domain.engines_, domain.now_);
    BOOST_TEST(plan.changes_.empty());
    BOOST_TEST(plan.declined_ == "model=matching rule=stale-demand");
}

// A caller would see the last engines of a domain taken away as well.
// More than half of the engines are gone at once, and what is left is far too little.
// Cause: reading a failure as a shift of the mix.
BOOST_AUTO_TEST_CASE(manyUnavailableEnginesFreezeTheRoles)
{
    Domain domain(roles(2, 5, 0));
    domain.run(60, Writing);
    for (int engine = 0; engine < 4; ++engine) {
        domain.engines_[engine].available_ = false;
        domain.broken_.push_back(domain.engines_[engine].engine_);
    }
    domain.run(60, Reading);
    BOOST_TEST(domain.changes_.empty());
    BOOST_TEST(says(domain.last_.declined_, "rule=engines-unavailable available=3 engines=7"));
}

BOOST_AUTO_TEST_CASE(nothingIsPlannedBeforeDemandWasSeenForAWhile)
{
    Domain domain(roles(2, 5, 0));
    BOOST_TEST(domain.planner_.plan(domain.engines_, domain.now_).declined_
               == "model=matching rule=warming");
    domain.run(10, Reading);
    BOOST_TEST(domain.changes_.empty());
    Planner fresh = Planner::Builder().build();
    BOOST_TEST(fresh.plan(domain.engines_, domain.now_).declined_ == "rule=no-fleet");
}

// An operator would see engines change roles over night, and again in the morning.
// Demand drops to nothing and comes back hours later with the mix it had.
// Cause: dividing by a demand of nothing, or planning for it.
BOOST_AUTO_TEST_CASE(demandOfNothingKeepsTheRoles)
{
    Domain domain(roles(2, 5, 0));
    domain.run(120, Writing);
    domain.run(3'600, {0, 0});
    domain.run(120, Writing);
    BOOST_TEST(domain.changes_.empty());
    domain.run(60, Reading);
    BOOST_TEST(!domain.changes_.empty());
}

BOOST_AUTO_TEST_CASE(modelsShareTheAwayBoundAndThePressingOneGoesFirst)
{
    const ModelId calm {"calm"};
    fleet::Policy policy = Domain::defaultPolicy();
    policy.maxAwayPerDomain_ = 1;
    Domain domain(roles(1, 6, 0), policy);
    for (int engine = 0; engine < 4; ++engine) {
        domain.engines_.push_back({EndpointId("c" + std::to_string(engine)), calm,
                                   engine < 2 ? EngineRole::Prefill : EngineRole::Decode, true,
                                   domain.now_ - millis(3'600'000)});
    }
    Plan plan;
    for (int second = 0; second < 60 && plan.changes_.empty(); ++second) {
        domain.now_ += Tick;
        domain.observe(Reading);
        domain.planner_.onDemand({calm, 2.2 * PrefillRate, 1.7 * DecodeRate}, domain.now_);
        plan = domain.planner_.plan(domain.engines_, domain.now_);
    }
    BOOST_TEST(plan.changes_.size() == 1U);
    BOOST_TEST(domain.view(plan.changes_.front().engine_).model_ == Matching);
}

BOOST_AUTO_TEST_SUITE_END()
