#include "almondridge/gateway/requestlimits.h"

#include "almondridge/gateway/sendwindow.h"
#include "enginefleet.h"
#include "limitrule.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>
#include <string>
#include <vector>

using namespace almondridge;
using namespace almondridge::gateway;
using gateway::testing::allowedByLimit;
using gateway::testing::at;

namespace {

const EndpointId Engine("e1");

} // namespace

BOOST_AUTO_TEST_SUITE(RequestsInAWindow)

BOOST_AUTO_TEST_CASE(requestsCountForAsLongAsTheWindowIs)
{
    SendWindow window;
    for (int index = 0; index < 100; ++index) {
        window.add(at(std::int64_t {10} * index));
    }
    BOOST_TEST(window.count(at(1'000)) == 100);
    BOOST_TEST(window.count(at(4'000)) == 100);
    BOOST_TEST(window.count(at(4'500)) < 75);
    BOOST_TEST(window.count(at(5'300)) == 0);
    window.add(at(60'000));
    BOOST_TEST(window.count(at(60'000)) == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(LimitsOfEndpoints)

BOOST_AUTO_TEST_CASE(aLimitHoldsForAsLongAsItIsNamed)
{
    RequestLimits limits;
    BOOST_TEST(!limits.onAnswer(Engine, std::nullopt, at(0)));
    BOOST_TEST(limits.onAnswer(Engine, 5, at(1)));
    BOOST_TEST(!limits.onAnswer(Engine, 5.1, at(2)));
    BOOST_TEST(limits.onAnswer(Engine, 8, at(3)));
    BOOST_TEST(*limits.limitOf(Engine, at(4)) == 8);
    BOOST_TEST(limits.onAnswer(Engine, std::nullopt, at(300)));
    BOOST_TEST(!limits.limitOf(Engine, at(301)).has_value());
}

// Guards against a limit that ends and begins again when two answers overtake each other.
BOOST_AUTO_TEST_CASE(anOvertakenAnswerDoesNotEndALimit)
{
    RequestLimits limits;
    limits.onAnswer(Engine, 5, at(0));
    BOOST_TEST(!limits.onAnswer(Engine, std::nullopt, at(3)));
    BOOST_TEST(limits.limitOf(Engine, at(4)).has_value());
}

// Guards against an endpoint that gets nothing for ever because nobody asked it again.
BOOST_AUTO_TEST_CASE(aLimitThatNobodyHearsOfAnyMoreEnds)
{
    RequestLimits limits;
    limits.onAnswer(Engine, 5, at(0));
    BOOST_TEST(limits.limitOf(Engine, at(9'000)).has_value());
    BOOST_TEST(!limits.limitOf(Engine, at(10'000)).has_value());
}

// Guards against a limit of less than a request in a window that stops all requests, so that nobody
// learns when it ends, or that lets one through in each window.
BOOST_AUTO_TEST_CASE(aTinyLimitLetsARequestThroughNowAndThen)
{
    for (const double perSecond : {0.0, 0.15}) {
        RequestLimits limits;
        SendWindow sent;
        int count = 0;
        for (std::int64_t now = 0; now < 60'000; now += 50) {
            limits.onAnswer(Engine, perSecond, at(now));
            if (limits.allowedAt(Engine, sent, at(now)) <= at(now)) {
                sent.add(at(now));
                ++count;
            }
        }
        BOOST_TEST(count >= 7);
        BOOST_TEST(count <= 9);
    }
}

BOOST_AUTO_TEST_CASE(theTimeOfTheNextRequestIsToldAhead)
{
    RequestLimits limits;
    SendWindow sent;
    limits.onAnswer(Engine, 0.5, at(0));
    BOOST_TEST((limits.allowedAt(Engine, sent, at(0)) == at(2'000)));
    BOOST_TEST((limits.allowedAt(Engine, sent, at(2'000)) == at(2'000)));
    sent.add(at(2'000));
    BOOST_TEST((limits.allowedAt(Engine, sent, at(2'000)) == at(4'000)));
    sent.add(at(4'000));
    const TimePoint next = limits.allowedAt(Engine, sent, at(4'000));
    BOOST_TEST((next >= at(6'000) && next <= at(6'250)));
    BOOST_TEST((limits.allowedAt(Engine, sent, next) == next));
}

namespace {

/** Instances that all know an endpoint's limit and send to it whenever their quota allows that. */
class LimitedFleet
{
public:
    LimitedFleet(int size, double perSecond)
        : perSecond_(perSecond)
    {
        std::vector<InstanceId> ids;
        ids.reserve(static_cast<std::size_t>(size));
        for (int index = 0; index < size; ++index) {
            ids.emplace_back("i" + std::to_string(index));
        }
        for (const InstanceId &id : ids) {
            Instance &instance = instances_.emplace_back();
            instance.limits_.setInstances(size);
            instance.limits_.setMembers(id, ids);
        }
    }

    /** Sends that many requests a second from random instances, without a limit. */
    void runUnlimited(std::int64_t from, std::int64_t until, int perSecond)
    {
        for (std::int64_t now = from; now < until; now += 1'000 / perSecond) {
            send(instances_.at(random_() % instances_.size()), now);
        }
    }

    void runLimited(std::int64_t from, std::int64_t until)
    {
        constexpr std::int64_t Step = 50;
        for (std::int64_t now = from; now < until; now += Step) {
            for (Instance &instance : instances_) {
                instance.limits_.onAnswer(Engine, perSecond_, at(now));
                while (instance.limits_.allowedAt(Engine, instance.sent_, at(now)) <= at(now)) {
                    send(instance, now);
                }
            }
        }
    }

    int sentBetween(std::int64_t from, std::int64_t until) const
    {
        return static_cast<int>(std::count_if(
            sent_.begin(), sent_.end(), [&](std::int64_t at) { return at >= from && at < until; }));
    }

    /** The most requests in any window that ends at that time or later. */
    int mostInAWindow(std::int64_t endingFrom) const
    {
        const std::int64_t length = toMillis(SendWindow::Length);
        int most = 0;
        for (const std::int64_t last : sent_) {
            most = last >= endingFrom ? std::max(most, sentBetween(last - length, last + 1)) : most;
        }
        return most;
    }

private:
    struct Instance
    {
        RequestLimits limits_;
        SendWindow sent_;
    };

    void send(Instance &instance, std::int64_t now)
    {
        instance.sent_.add(at(now));
        sent_.push_back(now);
    }

    double perSecond_;
    std::vector<Instance> instances_;
    std::vector<std::int64_t> sent_; ///< Of all instances, ascending.
    std::mt19937_64 random_ {20261203};
};

} // namespace

// Load: every instance has more requests than its quota, from the first moment on. Guards against
// quotas whose sum exceeds the limit, or leaves much of it unused, in a fleet of some size.
BOOST_AUTO_TEST_CASE(quotasAddUpToTheLimitInFleetsOfAnySize)
{
    constexpr std::int64_t Until = 16'000;
    constexpr double MinUse = 0.8;
    for (const int size : {1, 8, 30, 200, 985}) {
        for (const double perSecond : {1.0, 5.2, 20.0, 200.0}) {
            LimitedFleet fleet(size, perSecond);
            fleet.runLimited(0, Until);
            const int sent = fleet.sentBetween(4'000, Until);
            BOOST_TEST_CONTEXT(size << " instances, limit " << perSecond)
            {
                BOOST_TEST(fleet.mostInAWindow(0) <= allowedByLimit(perSecond));
                BOOST_TEST(sent >= MinUse * perSecond * (Until - 4'000) / 1'000);
            }
        }
    }
}

// Load: an endpoint that got several times what it takes names its limit. Guards against a burst on
// top of what was sent in the second before.
BOOST_AUTO_TEST_CASE(whatWasSentBeforeCountsAgainstTheLimit)
{
    constexpr std::int64_t BindsFrom = 3'000;
    for (const int size : {9, 88, 195}) {
        LimitedFleet fleet(size, 5.2);
        fleet.runUnlimited(-10'000, 0, 25);
        fleet.runLimited(0, 12'000);
        BOOST_TEST(fleet.mostInAWindow(BindsFrom) <= allowedByLimit(5.2));
    }
}

// Guards against an instance that takes the quota of others because it does not know them.
BOOST_AUTO_TEST_CASE(anInstanceThatKnowsNobodySendsLess)
{
    RequestLimits limits;
    limits.setInstances(8);
    limits.onAnswer(Engine, 5, at(0));
    BOOST_TEST(*limits.quotaOf(Engine, at(0)) == 2);
    limits.setMembers(InstanceId("i1"), {InstanceId("i1")});
    BOOST_TEST(*limits.quotaOf(Engine, at(0)) <= 3);
}

BOOST_AUTO_TEST_SUITE_END()
