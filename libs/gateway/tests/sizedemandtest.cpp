#include "almondridge/gateway/sizedemand.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <functional>

using namespace almondridge;
using namespace almondridge::gateway;

namespace {

constexpr std::int64_t StepMillis = 250;
constexpr int Found = 60;
constexpr int AtLeast = 8;
constexpr int AtMost = 120;
/** Longer than the time for which the need is bounded by the number found at the start. */
constexpr std::int64_t ObservedMillis = 60'000;

/** Demand at a time since the start. */
using Load = std::function<FleetDemand(std::int64_t millisSinceStart)>;

FleetDemand busy(double prefill, double decode = 0)
{
    return {{prefill, decode}, 0, true};
}

/** A crest of 3 s at the beginning of each 13 s. */
Load waves(double crest, double trough)
{
    return [=](std::int64_t now) { return busy(now % 13'000 < 3'000 ? crest : trough); };
}

struct Demand
{
    void run(std::int64_t forMillis, const Load &load)
    {
        for (const std::int64_t until = now_ + forMillis; now_ < until; now_ += StepMillis) {
            const int before = need();
            const bool hasChanged =
                demand_.observe(load(now_), bounds_, TimePoint {} + millis(1'000'000 + now_));
            BOOST_TEST(hasChanged == (need() != before));
            changes_ += hasChanged ? 1 : 0;
            lowest_ = std::min(lowest_, need());
        }
    }

    void run(std::int64_t forMillis, const FleetDemand &sample)
    {
        run(forMillis, [&](std::int64_t) { return sample; });
    }

    int need() const { return demand_.need().value_or(Found); }

    SizeDemand demand_;
    SizeBounds bounds_ {Found, AtLeast, AtMost};
    std::int64_t now_ = 0;
    int changes_ = 0;
    int lowest_ = Found;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SizeDemands, Demand)

// Load: a fifth of the capacity, steady. Guards against endpoints that are paid for and idle.
BOOST_AUTO_TEST_CASE(needFallsToWhatAFifthOfTheCapacityRequires)
{
    run(ObservedMillis, busy(9.0, 3.0));
    BOOST_TEST(need() == 40);
    BOOST_TEST(changes_ == 1);
    BOOST_TEST(demand_.peak().prefill_ == 9.0);
    BOOST_TEST(demand_.peak().decode_ == 3.0);
}

// Load: a twentieth of the capacity, steady. Guards against releasing endpoints before the highest
// crest has come.
BOOST_AUTO_TEST_CASE(mostEndpointsStayUntilTheDemandHasBeenObserved)
{
    run(5'750, busy(3));
    BOOST_TEST(need() == Found);
    run(33'000, busy(3));
    BOOST_TEST(need() == 36);
    run(20'000, busy(3));
    BOOST_TEST(need() == 10);
}

// Load: a hundredth of the capacity, steady. Guards against a need below the limits' minimum.
BOOST_AUTO_TEST_CASE(needStaysAboveTheMinimum)
{
    run(ObservedMillis, busy(0.6));
    BOOST_TEST(need() == AtLeast);
}

// Load: a crest of 12 engines for 3 s every 13 s, 2 engines between. Guards against releasing
// endpoints in each trough that the next crest needs.
BOOST_AUTO_TEST_CASE(needDoesNotFollowWaves)
{
    run(ObservedMillis, waves(12, 2));
    BOOST_TEST(need() == 40);
    const int before = changes_;
    run(120'000, waves(12, 2));
    BOOST_TEST(changes_ == before);
    BOOST_TEST(lowest_ == 40);
}

// Load: waves whose crests vary by a fifth. Guards against a need that goes up and down with them.
BOOST_AUTO_TEST_CASE(needIsSteadyUnderUnevenWaves)
{
    const Load uneven = [](std::int64_t now) {
        const double crest = now / 13'000 % 3 == 0 ? 12 : 9.6;
        return busy(now % 13'000 < 3'000 ? crest : 2);
    };
    run(78'000, uneven);
    const int before = changes_;
    run(117'000, uneven);
    // At most one reduction and one growth in each period of 39 s.
    BOOST_TEST(changes_ - before <= 6);
    BOOST_TEST(lowest_ >= 30);
    BOOST_TEST(need() <= 40);
}

// Load: demand that doubles after a minute. Guards against growth that waits for hysteresis.
BOOST_AUTO_TEST_CASE(needGrowsAtOnce)
{
    run(ObservedMillis, busy(9));
    BOOST_TEST(need() == 30);
    run(StepMillis, busy(18));
    BOOST_TEST(need() == 60);
}

// Load: 9 busy engines, and work of 6 engines refused. Guards against a shortage that persists
// because only admitted requests are counted.
BOOST_AUTO_TEST_CASE(refusedWorkCountsAsDemand)
{
    run(ObservedMillis, busy(9));
    run(StepMillis, FleetDemand {{9, 0}, 6, true});
    BOOST_TEST(need() == 50);
}

// Load: 50 engines of refused work. Guards against a need that no deployment can meet.
BOOST_AUTO_TEST_CASE(needStaysBelowTheMaximum)
{
    run(StepMillis, FleetDemand {{9, 0}, 50, true});
    BOOST_TEST(need() == AtMost);
}

// Load: demand that ends. Guards against releasing all endpoints at once, and against keeping them.
BOOST_AUTO_TEST_CASE(needShrinksInStepsAfterTheDemandHasEnded)
{
    run(ObservedMillis, busy(15));
    BOOST_TEST(need() == 50);
    run(40'000, busy(0));
    BOOST_TEST(need() == 50);
    run(10'000, busy(0));
    BOOST_TEST(need() >= 30);
    BOOST_TEST(need() <= 45);
    run(120'000, busy(0));
    BOOST_TEST(need() == AtLeast);
}

// Load: none yet. Guards against shrinking before the first request.
BOOST_AUTO_TEST_CASE(needIsUnknownWithoutTraffic)
{
    run(ObservedMillis, busy(0));
    BOOST_TEST(!demand_.need().has_value());
    bounds_.found_ = 0;
    run(ObservedMillis, busy(9));
    BOOST_TEST(!demand_.need().has_value());
}

// Load: 9 engines, of which an instance that is cut off sees 1 for two minutes. Guards against an
// order to shrink from a part of the demand.
BOOST_AUTO_TEST_CASE(incompleteSamplesDoNotShrinkTheNeed)
{
    run(ObservedMillis, busy(9));
    const int before = changes_;
    run(120'000, FleetDemand {{1, 0}, 0, false});
    BOOST_TEST(changes_ == before);
    BOOST_TEST(need() == 30);
    run(39'000, busy(1));
    BOOST_TEST(need() == 30);
    run(StepMillis, FleetDemand {{12, 0}, 0, false});
    BOOST_TEST(need() == 40);
}

// Load: 1 engine, seen by an instance that has been cut off since its start. Guards against a need
// below the number found at the start that is derived from a part of the demand.
BOOST_AUTO_TEST_CASE(incompleteSamplesFromTheStartKeepWhatWasFound)
{
    run(120'000, FleetDemand {{1, 0}, 0, false});
    BOOST_TEST(need() == Found);
}

BOOST_AUTO_TEST_SUITE_END()
