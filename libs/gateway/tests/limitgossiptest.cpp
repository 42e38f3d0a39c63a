#include "almondridge/gateway/limitgossip.h"

#include "almondridge/gateway/sendwindow.h"
#include "enginefleet.h"
#include "limitrule.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace almondridge;
using namespace almondridge::gateway;
using gateway::testing::allowedByLimit;
using gateway::testing::at;

namespace {

const EndpointId Engine("e1");

/** Instances that send random callers' requests to one endpoint and gossip about its limit. */
class GossipingFleet
{
public:
    GossipingFleet(int size, double lossRate, std::uint64_t seed)
        : lossRate_(lossRate)
        , random_(seed)
    {
        for (int index = 0; index < size; ++index) {
            ids_.emplace_back("i" + std::to_string(index));
        }
        for (const InstanceId &id : ids_) {
            Instance &instance = instances_[id];
            instance.limits_.setInstances(size);
            instance.limits_.setMembers(id, ids_);
            instance.gossip_ = std::make_unique<LimitGossip>(instance.limits_, id, random_());
            instance.gossip_->setPeers(ids_);
        }
    }

    /** Runs the time until then, with that many callers' requests a second in the whole fleet. */
    void runUntil(std::int64_t until, int requestsPerSecond)
    {
        for (; now_ < until; now_ += Step) {
            deliver();
            double due = static_cast<double>(requestsPerSecond) * Step / 1'000;
            for (; due >= 1 || happens(due); --due) {
                sendRequest(instances_.at(ids_.at(random_() % ids_.size())));
            }
            for (auto &[id, instance] : instances_) {
                sendDatagrams(instance.gossip_->tick(at(now_)));
            }
        }
    }

    /** The most requests in a window, of instances that the endpoint had told its limit. */
    int mostInAWindow(std::int64_t endingFrom) const
    {
        constexpr std::int64_t ToldBefore = 500;
        const std::int64_t length = toMillis(SendWindow::Length);
        int most = 0;
        for (const Request &last : requests_) {
            if (last.at_ < endingFrom) {
                continue;
            }
            most = std::max(most, static_cast<int>(std::count_if(
                                      requests_.begin(), requests_.end(), [&](const Request &one) {
                                          return one.at_ > last.at_ - length && one.at_ <= last.at_
                                                 && one.instance_->toldAt_ + ToldBefore <= last.at_;
                                      })));
        }
        return most;
    }

    int countLimited() const
    {
        return static_cast<int>(
            std::count_if(instances_.begin(), instances_.end(), [&](const auto &entry) {
                return entry.second.limits_.limitOf(Engine, at(now_)).has_value();
            }));
    }

    std::optional<double> limit_; ///< That the endpoint names in its answers.
    std::int64_t now_ = 0;
    std::size_t bytes_ = 0; ///< Of all datagrams sent.

private:
    static constexpr std::int64_t Step = 10;
    static constexpr std::int64_t Never = 1'000'000'000;

    struct Instance
    {
        RequestLimits limits_;
        SendWindow sent_;
        std::unique_ptr<LimitGossip> gossip_;
        std::int64_t toldAt_ = Never;
    };

    struct Request
    {
        std::int64_t at_ = 0;
        const Instance *instance_ = nullptr;
    };

    bool happens(double share) { return std::uniform_real_distribution<>(0, 1)(random_) < share; }

    /** A request that the limit doesn't allow goes to another endpoint. */
    void sendRequest(Instance &instance)
    {
        if (instance.limits_.allowedAt(Engine, instance.sent_, at(now_)) > at(now_)) {
            return;
        }
        instance.sent_.add(at(now_));
        instance.limits_.onAnswer(Engine, limit_, at(now_));
        if (limit_) {
            instance.toldAt_ = std::min(instance.toldAt_, now_);
        }
        requests_.push_back({now_, &instance});
    }

    void sendDatagrams(const std::vector<MeshDatagram> &datagrams)
    {
        for (const MeshDatagram &datagram : datagrams) {
            bytes_ += datagram.bytes_.size();
            if (!happens(lossRate_)) {
                std::uniform_int_distribution<std::int64_t> delay(1, 20);
                inTransit_.emplace(now_ + delay(random_), datagram);
            }
        }
    }

    void deliver()
    {
        while (!inTransit_.empty() && inTransit_.begin()->first <= now_) {
            const MeshDatagram datagram = inTransit_.begin()->second;
            inTransit_.erase(inTransit_.begin());
            const ReceiveResult result =
                instances_.at(datagram.to_).gossip_->onDatagram(datagram.bytes_, at(now_));
            BOOST_TEST((result == ReceiveResult::Accepted));
        }
    }

    double lossRate_;
    std::mt19937_64 random_;
    std::vector<InstanceId> ids_;
    std::map<InstanceId, Instance> instances_;
    std::vector<Request> requests_;
    std::multimap<std::int64_t, MeshDatagram> inTransit_;
};

/** From then on after the first naming, a limit binds. */
constexpr std::int64_t BindsAfter = 3'000;

} // namespace

BOOST_AUTO_TEST_SUITE(LimitsInAFleet)

// Load: an endpoint that gets four times what it takes, a request now and then from each of many
// instances. Guards against a limit that each instance learns by its own request beyond it.
BOOST_AUTO_TEST_CASE(allInstancesLearnALimitFromOneAnswer)
{
    constexpr double Limit = 5.2;
    constexpr int Load = 20;
    for (const int size : {9, 88, 195, 985}) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            GossipingFleet fleet(size, 0.1, seed);
            fleet.runUntil(10'000, Load);
            fleet.limit_ = Limit;
            fleet.runUntil(11'000, Load);
            BOOST_TEST_CONTEXT(size << " instances, seed " << seed)
            {
                BOOST_TEST(fleet.countLimited() == size);
                fleet.runUntil(30'000, Load);
                BOOST_TEST(fleet.mostInAWindow(10'000 + BindsAfter) <= allowedByLimit(Limit));
            }
        }
    }
}

// Load: most instances have no quota of a limit that goes on for long, so they get no answer of the
// endpoint. Guards against instances that forget the limit meanwhile.
BOOST_AUTO_TEST_CASE(allInstancesRememberALimitThatGoesOn)
{
    for (const int size : {9, 195, 985}) {
        GossipingFleet fleet(size, 0.1, 11);
        fleet.limit_ = 20;
        for (std::int64_t until = 5'000; until <= 40'000; until += 5'000) {
            fleet.runUntil(until, 200);
            BOOST_TEST(fleet.countLimited() == size);
        }
        BOOST_TEST_MESSAGE(size << " instances: "
                                << fleet.bytes_ / 40 / static_cast<std::size_t>(size)
                                << " bytes a second each");
    }
}

// Guards against instances that keep a limit for long after it ended, as they may not ask again.
BOOST_AUTO_TEST_CASE(allInstancesLearnTheEndOfALimit)
{
    for (const int size : {9, 195, 985}) {
        GossipingFleet fleet(size, 0.1, 7);
        fleet.limit_ = 20;
        fleet.runUntil(10'000, 200);
        BOOST_TEST(fleet.countLimited() == size);
        fleet.limit_ = std::nullopt;
        fleet.runUntil(12'000, 200);
        BOOST_TEST(fleet.countLimited() == 0);
    }
}

// Guards against older knowledge of a slow peer that replaces newer knowledge.
BOOST_AUTO_TEST_CASE(olderKnowledgeIsIgnored)
{
    RequestLimits limits;
    limits.onAnswer(Engine, 5, at(1'000));
    BOOST_TEST(!limits.onReport({Engine, 50, 500}, at(1'200)));
    BOOST_TEST(!limits.onReport({Engine, std::nullopt, 500}, at(1'200)));
    BOOST_TEST(*limits.limitOf(Engine, at(1'200)) == 5);
    BOOST_TEST(limits.onReport({Engine, std::nullopt, 100}, at(1'500)));
    BOOST_TEST(!limits.onReport({Engine, 5, 700}, at(1'600)));
    BOOST_TEST(!limits.limitOf(Engine, at(1'600)).has_value());
}

// Guards against malformed datagrams, which any host can send.
BOOST_AUTO_TEST_CASE(malformedDatagramsAreRejected)
{
    const std::string whole = encodeLimitMessage(
        {InstanceId("i1"), {{Engine, 7.6, 20}, {EndpointId("e2"), std::nullopt, 0}}});
    const auto read = decodeLimitMessage(whole);
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(*read->reports_.at(0).perSecond_ == 7.6);
    BOOST_TEST(read->reports_.at(0).ageMillis_ == 20);
    BOOST_TEST(!read->reports_.at(1).perSecond_.has_value());
    for (std::size_t length = 0; length < whole.size(); ++length) {
        BOOST_TEST(!decodeLimitMessage(whole.substr(0, length)).has_value());
    }
    std::mt19937_64 random(20261203);
    for (int attempt = 0; attempt < 20'000; ++attempt) {
        std::string bytes = whole;
        bytes.at(1 + random() % (bytes.size() - 1)) = static_cast<char>(random());
        decodeLimitMessage(bytes); // Must return, whatever the bytes are.
    }
    for (const double odd : {-2.0, 1e9}) {
        BOOST_TEST(!decodeLimitMessage(encodeLimitMessage({InstanceId("i1"), {{Engine, odd, 0}}}))
                        .has_value());
    }
    RequestLimits limits;
    LimitGossip gossip(limits, InstanceId("i2"), 1);
    BOOST_TEST((gossip.onDatagram(whole, at(0)) == ReceiveResult::UnknownSender));
    BOOST_TEST(!limits.limitOf(Engine, at(0)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
