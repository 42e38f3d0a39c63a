#include "almondridge/gateway/sizeplan.h"

#include "almondridge/gateway/sizedemand.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>

using namespace almondridge;
using namespace almondridge::gateway;

namespace {

constexpr std::int64_t StepMillis = 250;
constexpr int InitialPerDomain = 20;

TimePoint at(std::int64_t millisSinceStart)
{
    return TimePoint {} + millis(1'000'000 + millisSinceStart);
}

/** A deployment that carries out orders after a delay and reclaims spot endpoints. */
struct Deployment
{
    Deployment()
    {
        service_.id_ = ServiceId("chat");
        service_.size_ = SizeLimits {1, 40, 4'000, 0.25, {}};
        for (const char *domain : {"a", "b", "c"}) {
            for (int number = 0; number < InitialPerDomain; ++number) {
                add(domain, false);
            }
        }
    }

    void add(const std::string &domain, bool spot)
    {
        ListedEndpoint listed;
        listed.id_ = EndpointId("e" + std::to_string(++created_));
        listed.service_ = service_.id_;
        listed.domain_ = DomainId(domain);
        listed.spot_ = spot;
        table_.list(listed, at(now_));
    }

    int count(const std::string &domain, bool spot) const
    {
        int found = 0;
        for (const Endpoint *endpoint : table_.listed(service_.id_)) {
            found += endpoint->listed_.domain_.value() == domain && endpoint->listed_.spot_ == spot;
        }
        return found;
    }

    int total() const { return static_cast<int>(table_.listed(service_.id_).size()); }

    void removeSome(const std::string &domain, bool spot, int number)
    {
        std::vector<EndpointId> ids;
        for (const Endpoint *endpoint : table_.listed(service_.id_)) {
            if (endpoint->listed_.domain_.value() == domain && endpoint->listed_.spot_ == spot) {
                ids.push_back(endpoint->listed_.id_);
            }
        }
        for (int index = 0; index < number && index < static_cast<int>(ids.size()); ++index) {
            table_.unlist(ids[static_cast<std::size_t>(index)]);
        }
    }

    /**
     * Removes all spot endpoints of a failure domain; no spot endpoints are available for a time.
     */
    void reclaim(const std::string &domain, std::int64_t forMillis)
    {
        removeSome(domain, true, InitialPerDomain);
        spotsAvailableFrom_ = now_ + forMillis;
    }

    void carryOut(const SizeOrder &order)
    {
        const int present = count(order.domain_.value(), order.spot_);
        if (order.count_ < present) {
            removeSome(order.domain_.value(), order.spot_, present - order.count_);
        }
        for (int number = present; number < order.count_; ++number) {
            add(order.domain_.value(), order.spot_);
        }
    }

    void run(SizePlan &plan, std::int64_t forMillis)
    {
        for (const std::int64_t until = now_ + forMillis; now_ < until; now_ += StepMillis) {
            while (!inProgress_.empty() && inProgress_.begin()->first <= now_) {
                const SizeOrder order = inProgress_.begin()->second;
                inProgress_.erase(inProgress_.begin());
                carryOut(order);
            }
            for (const SizeOrder &order : plan.plan(table_, service_, at(now_))) {
                ++orderCount_;
                orders_.push_back(order);
                BOOST_TEST(order.count_ + count(order.domain_.value(), !order.spot_)
                           <= service_.size_->maxPerDomain_);
                const bool available = !order.spot_ || now_ >= spotsAvailableFrom_;
                if (available) {
                    const bool grows = order.count_ > count(order.domain_.value(), order.spot_);
                    inProgress_.emplace(now_ + (grows ? service_.size_->startupMillis_ : 500),
                                        order);
                }
                plan.onAnswer(order, available, at(now_));
            }
            minTotal_ = std::min(minTotal_, total());
        }
    }

    EndpointTable table_;
    ServiceTraits service_;
    std::int64_t now_ = 0;
    std::int64_t spotsAvailableFrom_ = 0;
    std::multimap<std::int64_t, SizeOrder> inProgress_;
    std::vector<SizeOrder> orders_;
    int created_ = 0;
    int orderCount_ = 0;
    int minTotal_ = 1'000;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SizePlans, Deployment)

// Guards against endpoints that are released because the list does not show them yet. An order
// states the number that a failure domain should have, so one computed from half a list halves the
// domain.
BOOST_AUTO_TEST_CASE(noOnDemandOrderBeforeTheListIsComplete)
{
    SizePlan plan({2, 0.6});
    run(plan, 250);
    removeSome("a", false, InitialPerDomain - 2);
    run(plan, 750);
    for (int number = 2; number < InitialPerDomain; ++number) {
        add("a", false);
    }
    BOOST_TEST(std::none_of(orders_.begin(), orders_.end(),
                            [](const SizeOrder &order) { return !order.spot_; }));
    run(plan, 15'000);
    for (const char *domain : {"a", "b", "c"}) {
        BOOST_TEST(count(domain, false) == 10);
        BOOST_TEST(count(domain, true) == 30);
    }
}

// Guards against endpoints that are released before their replacements are listed.
BOOST_AUTO_TEST_CASE(spotEndpointsReplaceOnDemandOnes)
{
    SizePlan plan({2, 0.6});
    run(plan, 15'000);
    for (const char *domain : {"a", "b", "c"}) {
        BOOST_TEST(count(domain, false) == 10);
        BOOST_TEST(count(domain, true) == 30);
    }
    BOOST_TEST(minTotal_ >= 3 * InitialPerDomain);
    const int ordersBefore = orderCount_;
    run(plan, 60'000);
    BOOST_TEST(orderCount_ == ordersBefore);
}

BOOST_AUTO_TEST_CASE(onDemandEndpointsStayIfNoSpotEndpointsAreAvailable)
{
    SizePlan plan({2, 0.6});
    spotsAvailableFrom_ = 1'000'000;
    run(plan, 60'000);
    BOOST_TEST(total() == 3 * InitialPerDomain);
    constexpr int EveryTwoSeconds = 31;
    BOOST_TEST(orderCount_ <= 3 * EveryTwoSeconds);
}

BOOST_AUTO_TEST_CASE(serviceWithoutSpotEndpointsGetsNoOrders)
{
    service_.size_->spotPriceRatio_ = 1;
    SizePlan plan({2, 0.6});
    run(plan, 20'000);
    BOOST_TEST(orderCount_ == 0);
}

// Guards against replacing lost spot endpoints by expensive ones that are not needed; releasing
// these later would discard caches once more.
BOOST_AUTO_TEST_CASE(lossOfTwoDomainsIsTolerated)
{
    SizePlan plan({2, 0.6});
    run(plan, 15'000);
    reclaim("a", 10'000);
    run(plan, 2'000);
    reclaim("b", 10'000);
    BOOST_TEST(total() >= 3 * InitialPerDomain);
    run(plan, 8'000);
    BOOST_TEST(count("a", false) == 10);
    run(plan, 20'000);
    BOOST_TEST(count("a", true) == 30);
    BOOST_TEST(count("b", true) == 30);
}

// Guards against a service that stays below its floor while no spot endpoints are available.
BOOST_AUTO_TEST_CASE(onDemandEndpointsAreAddedAfterTheLossOfAllSpotOnes)
{
    SizePlan plan({2, 0.6});
    run(plan, 15'000);
    for (const char *domain : {"a", "b", "c"}) {
        reclaim(domain, 30'000);
    }
    run(plan, 10'000);
    BOOST_TEST(total() >= 36);
    run(plan, 60'000);
    for (const char *domain : {"a", "b", "c"}) {
        BOOST_TEST(count(domain, false) == 10);
        BOOST_TEST(count(domain, true) == 30);
    }
}

// Guards against a flood of orders while no spot endpoints are available.
BOOST_AUTO_TEST_CASE(refusedOrdersAreRetriedAtMostEveryTwoSeconds)
{
    SizePlan plan({2, 0.6});
    run(plan, 15'000);
    reclaim("a", 100'000);
    const int ordersBefore = orderCount_;
    run(plan, 60'000);
    constexpr int EveryTwoSeconds = 31;
    BOOST_TEST(orderCount_ - ordersBefore <= EveryTwoSeconds);
}

// Guards against a mix with spot endpoints that costs more, with the extra endpoints that it needs,
// than on-demand endpoints alone.
BOOST_AUTO_TEST_CASE(mixDependsOnPricesAndDomains)
{
    const std::map<DomainId, int> three {
        {DomainId("a"), 20}, {DomainId("b"), 20}, {DomainId("c"), 20}};
    const auto mixOf = [&](double price, int most, int losses) {
        return cheapestMix(SizeLimits {1, most, 4'000, price, {}}, three, losses);
    };
    const SizeMix cheap = mixOf(0.22, 40, 2);
    BOOST_TEST(cheap.size_ <= 2);
    BOOST_TEST(cheap.size_ * (1 - (1 - cheap.onDemand_) * 2 / 3) >= 0.999);
    BOOST_TEST(mixOf(0.22, 40, 1).size_ < cheap.size_);
    BOOST_TEST(mixOf(0.8, 40, 2).onDemand_ == 1);
    BOOST_TEST(mixOf(0.22, 20, 2).onDemand_ == 1);
    const std::map<DomainId, int> one {{DomainId("a"), 20}};
    BOOST_TEST(cheapestMix(SizeLimits {1, 100, 4'000, 0.22, {}}, one, 2).onDemand_ == 1);
}

namespace {

SizePlanSettings followingDemand()
{
    SizePlanSettings settings;
    settings.followsDemand_ = true;
    return settings;
}

/** A deployment whose demand is a function of the time, in busy engines. */
struct DemandingDeployment : Deployment
{
    void runWith(SizePlan &plan, std::int64_t forMillis,
                 const std::function<FleetDemand(std::int64_t)> &load)
    {
        for (const std::int64_t until = now_ + forMillis; now_ < until;) {
            const SizeBounds bounds {plan.found(), plan.domains(), 40 * plan.domains()};
            demand_.observe(load(now_), bounds, at(now_));
            if (demand_.need()) {
                plan.setNeed(*demand_.need());
            }
            run(plan, StepMillis);
        }
    }

    void runWith(SizePlan &plan, std::int64_t forMillis, double busy)
    {
        runWith(plan, forMillis, [&](std::int64_t) { return FleetDemand {{busy, 0}, 0, true}; });
    }

    void expectEach(int onDemand, int spots) const
    {
        for (const char *domain : {"a", "b", "c"}) {
            BOOST_TEST(count(domain, false) == onDemand);
            BOOST_TEST(count(domain, true) == spots);
        }
    }

    SizeDemand demand_;
};

} // namespace

// Load: a fifth of the capacity. Guards against paying for endpoints that the demand leaves idle.
BOOST_FIXTURE_TEST_CASE(sizesShrinkToTheNeed, DemandingDeployment)
{
    SizePlan plan(followingDemand());
    run(plan, 15'000);
    expectEach(10, 30);
    runWith(plan, 70'000, 9);
    BOOST_TEST(demand_.need().value() == 30);
    expectEach(5, 15);
}

// Load: a crest of 9 engines for 3 s every 13 s. Guards against orders that follow each wave.
BOOST_FIXTURE_TEST_CASE(noOrdersFollowWaves, DemandingDeployment)
{
    const auto waves = [](std::int64_t now) {
        return FleetDemand {{now % 13'000 < 3'000 ? 9.0 : 1.0, 0}, 0, true};
    };
    SizePlan plan(followingDemand());
    runWith(plan, 80'000, waves);
    const int before = orderCount_;
    runWith(plan, 120'000, waves);
    BOOST_TEST(orderCount_ == before);
    expectEach(5, 15);
}

// Load: 6 engines, then 12. Guards against growth that waits: the orders go out with the first
// sample.
BOOST_FIXTURE_TEST_CASE(sizesGrowAtOnceWithTheDemand, DemandingDeployment)
{
    SizePlan plan(followingDemand());
    runWith(plan, 80'000, 6);
    BOOST_TEST(demand_.need().value() == 20);
    orders_.clear();
    runWith(plan, StepMillis, 12);
    BOOST_TEST(orders_.size() == 6U);
    runWith(plan, 6'000, 12);
    BOOST_TEST(total() >= 2 * 40);
}

// Load: 9 engines while the spot endpoints of two domains are lost. Guards against reduced sizes
// that no longer cover the loss.
BOOST_FIXTURE_TEST_CASE(reducedSizesTolerateTheLossOfTwoDomains, DemandingDeployment)
{
    SizePlan plan(followingDemand());
    runWith(plan, 85'000, 9);
    expectEach(5, 15);
    reclaim("a", 10'000);
    reclaim("b", 10'000);
    BOOST_TEST(total() >= demand_.need().value());
    minTotal_ = total();
    runWith(plan, 30'000, 9);
    BOOST_TEST(minTotal_ >= demand_.need().value());
    expectEach(5, 15);
}

// Load: 9 engines while all spot endpoints are lost. Guards against a floor that stays at the
// number found at the start, or is left out.
BOOST_FIXTURE_TEST_CASE(floorFollowsTheNeed, DemandingDeployment)
{
    SizePlan plan(followingDemand());
    runWith(plan, 85'000, 9);
    for (const char *domain : {"a", "b", "c"}) {
        reclaim(domain, 30'000);
    }
    runWith(plan, 10'000, 9);
    BOOST_TEST(total() >= 18);
    BOOST_TEST(total() < 36);
}

// Load: 9 engines; the new lease holder has just started. Guards against a holder without history
// that gives up the allowance for losses or adds endpoints to those listed.
BOOST_FIXTURE_TEST_CASE(newHolderKeepsWhatIsListed, DemandingDeployment)
{
    SizePlan plan(followingDemand());
    runWith(plan, 85'000, 9);
    expectEach(5, 15);
    SizePlan next(followingDemand());
    demand_ = {};
    orders_.clear();
    run(next, 10'000);
    BOOST_TEST(next.found() == 30);
    runWith(next, 80'000, 9);
    BOOST_TEST(orders_.empty());
    expectEach(5, 15);
}

// Load: 9 engines; the new lease holder has a part of the list at first. Guards against an order
// for the endpoints listed so far, which would release the others.
BOOST_FIXTURE_TEST_CASE(newHolderWaitsForTheWholeList, DemandingDeployment)
{
    SizePlan plan(followingDemand());
    runWith(plan, 85'000, 9);
    removeSome("a", true, 14);
    removeSome("b", true, 15);
    orders_.clear();
    SizePlan next(followingDemand());
    run(next, 1'000);
    for (int number = 0; number < 15; ++number) {
        add("b", true);
    }
    run(next, 250);
    for (int number = 1; number < 15; ++number) {
        add("a", true);
    }
    runWith(next, 60'000, 9);
    BOOST_TEST(next.found() == 30);
    BOOST_TEST(orders_.empty());
    expectEach(5, 15);
}

// Load: unknown, as the holder is cut off. Guards against an order to shrink.
BOOST_FIXTURE_TEST_CASE(unknownDemandChangesNothing, DemandingDeployment)
{
    SizePlan plan(followingDemand());
    run(plan, 15'000);
    orders_.clear();
    runWith(plan, 120'000, [](std::int64_t) { return FleetDemand {{0.5, 0}, 0, false}; });
    BOOST_TEST(orders_.empty());
    expectEach(10, 30);
}

// Load: a fifth of the capacity, with sizes that do not follow the demand. Guards against a change
// for deployments without the setting.
BOOST_FIXTURE_TEST_CASE(ordersAreTheSameWithoutTheSetting, DemandingDeployment)
{
    Deployment usual;
    SizePlan usualPlan({2, 0.6});
    usual.run(usualPlan, 85'000);
    SizePlan plan({2, 0.6});
    runWith(plan, 85'000, 9);
    BOOST_TEST((orders_ == usual.orders_));
    expectEach(10, 30);
}

BOOST_AUTO_TEST_SUITE_END()
