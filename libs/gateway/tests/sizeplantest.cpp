#include "almondridge/gateway/sizeplan.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

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

BOOST_AUTO_TEST_SUITE_END()
