#include "almondridge/replication/upstreamselector.h"
#include "almondridge/replication/protocol.h"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>
#include <random>
#include <set>

using namespace almondridge;
using namespace almondridge::replication;

namespace {

constexpr Duration LeaveBound = millis(4'000);
constexpr Duration Step = millis(10);
/** A failure domain of a fleet of 195 instances. */
constexpr int Instances = 39;
/** Limit of store calls per second in one of five domains, while the store is impaired. */
constexpr double MaxCallRateImpaired = 80.0 / 5;
constexpr double MaxCallRateNormal = 40.0 / 5;
/** A reader reads endpoints and configuration about once a second each, and instances rarely. */
constexpr std::int64_t ReadPauseMillis = 500;
/** One call each for the endpoints, the configuration and the instances. */
constexpr int CallsOfFirstRead = 3;

/**
 * Simulates a failure domain: the polls between instances and the calls to the store, without a
 * network. Calls to the store are counted, and succeed or fail as the test chooses.
 */
class Domain
{
public:
    explicit Domain(int count = Instances)
    {
        std::vector<Member> members;
        members.reserve(static_cast<std::size_t>(count));
        for (int number = 0; number < count; ++number) {
            members.push_back({InstanceId("instance-" + std::to_string(number)), 20});
        }
        for (const Member &member : members) {
            Node &node = nodes_.try_emplace(member.id_, member.id_).first->second;
            node.selector_.setMembers(members);
        }
    }

    std::function<bool(const InstanceId &, TimePoint)> storeAnswers_ =
        [](const InstanceId &, TimePoint) { return true; };
    std::function<bool(const InstanceId &, TimePoint)> isUp_ = [](const InstanceId &, TimePoint) {
        return true;
    };

    void run(Duration span)
    {
        for (const TimePoint end = now_ + span; now_ < end; now_ += Step) {
            for (auto &[id, node] : nodes_) {
                if (isUp_(id, now_)) {
                    act(id, node);
                }
            }
        }
    }

    /** Store calls since the previous call of this function, per second of the span. */
    double takeCallRate(Duration span) { return std::exchange(calls_, 0) / toSeconds(span); }

    Duration oldestData() const
    {
        Duration oldest {};
        for (const auto &[id, node] : nodes_) {
            if (isUp_(id, now_)) {
                oldest = std::max(oldest, now_ - node.readAt_.value_or(TimePoint {}));
            }
        }
        return oldest;
    }

    std::vector<InstanceId> readers() const
    {
        std::vector<InstanceId> found;
        for (const auto &[id, node] : nodes_) {
            if (node.used_.kind_ == UpstreamKind::StoreReads) {
                found.push_back(id);
            }
        }
        return found;
    }

    TimePoint now() const noexcept { return now_; }

    /** The chosen instances restart without any data. */
    void losePower(const std::function<bool(const InstanceId &)> &chosen)
    {
        std::vector<Member> members;
        for (const auto &[id, node] : nodes_) {
            members.push_back({id, 20});
        }
        for (auto &[id, node] : nodes_) {
            if (chosen(id)) {
                node = Node(id);
                node.selector_.setMembers(members);
            }
        }
    }

    bool allHaveData() const
    {
        return std::all_of(nodes_.begin(), nodes_.end(),
                           [](const auto &entry) { return entry.second.readAt_.has_value(); });
    }
    /** Number of instances that have ever read the store themselves. */
    std::size_t everRead() const { return everRead_.size(); }

    Duration firstReadTakes_ {}; ///< A long list takes many pages.

private:
    struct Node
    {
        explicit Node(const InstanceId &id)
            : selector_(id, LeaveBound)
        { }

        UpstreamSelector selector_;
        Upstream used_;
        std::optional<TimePoint> readAt_;
        TimePoint chooseAt_ {};
        TimePoint nextReadAt_ {};
        TimePoint polledAt_ {};
        TimePoint answerAt_ {}; ///< A peer without changes holds the request.
        int failures_ = 0;
    };

    std::optional<Duration> age(const Node &node) const
    {
        return node.readAt_ ? std::optional(now_ - *node.readAt_) : std::nullopt;
    }

    void choose(const InstanceId &id, Node &node)
    {
        node.chooseAt_ = now_ + millis(1'000);
        const Upstream upstream = node.selector_.choose(now_);
        if (node.selector_.awaitsProbe()) {
            return;
        }
        if (upstream != node.used_
            || (upstream.kind_ == UpstreamKind::Peer && node.answerAt_ == never())) {
            node.used_ = upstream;
            node.nextReadAt_ = now_;
            node.failures_ = 0;
            node.polledAt_ = now_;
            node.answerAt_ = now_;
            if (upstream.kind_ == UpstreamKind::StoreReads) {
                calls_ += CallsOfFirstRead - 1;
                everRead_.insert(id);
                node.nextReadAt_ = now_ + (node.readAt_ ? Duration {} : firstReadTakes_);
            }
        }
    }

    static TimePoint never() { return TimePoint::max(); }

    void act(const InstanceId &id, Node &node)
    {
        if (now_ >= node.chooseAt_) {
            choose(id, node);
        }
        if (node.selector_.takeProbe(now_)) {
            ++calls_;
            storeAnswers_(id, now_) ? node.selector_.onStoreAnswered(now_)
                                    : node.selector_.onStoreFailed(now_);
            choose(id, node);
        }
        if (node.used_.kind_ == UpstreamKind::StoreReads && now_ >= node.nextReadAt_) {
            read(id, node);
        } else if (!node.used_.peer_.empty() && (now_ >= node.answerAt_ || isConfirmed(node))) {
            poll(id, node);
        }
    }

    /** A peer answers pending polls as soon as its own data is confirmed. */
    bool isConfirmed(const Node &node) const
    {
        constexpr Duration Step = millis(300);
        const auto &readAt = nodes_.at(node.used_.peer_).readAt_;
        return node.answerAt_ != never() && isUp_(node.used_.peer_, now_) && readAt
               && now_ - *readAt <= MaxUsableAge
               && (!node.readAt_ || *readAt >= *node.readAt_ + Step);
    }

    void read(const InstanceId &id, Node &node)
    {
        ++calls_;
        if (storeAnswers_(id, now_)) {
            node.failures_ = 0;
            node.readAt_ = now_;
            node.nextReadAt_ = now_ + millis(ReadPauseMillis);
            node.selector_.onStoreAnswered(now_);
            return;
        }
        node.nextReadAt_ = now_ + millis(50);
        if (++node.failures_ == 2) {
            node.selector_.onStoreFailed(now_);
            choose(id, node);
        }
    }

    void poll(const InstanceId &id, Node &node)
    {
        const Node &peer = nodes_.at(node.used_.peer_);
        const bool isUp = isUp_(node.used_.peer_, now_);
        const bool waitsForLostStore = node.used_.kind_ == UpstreamKind::WaitForPeer;
        if (isUp && peer.selector_.hasLostStore() && !waitsForLostStore) {
            onPeerFailed(id, node, PeerFailure::StoreLost);
            return;
        }
        const bool fresh = isUp && peer.readAt_ && now_ - *peer.readAt_ <= MaxUsableAge;
        if (fresh) {
            node.readAt_ = std::max(node.readAt_.value_or(*peer.readAt_), *peer.readAt_);
            node.selector_.onPeerData(*peer.readAt_);
            node.polledAt_ = now_;
            node.answerAt_ = now_ + LongPollTimeout;
            return;
        }
        const bool held = now_ - node.polledAt_ < (isUp ? LongPollTimeout : ResponseTimeout);
        if (held) {
            return;
        }
        if (isUp && !peer.readAt_) {
            node.polledAt_ = now_; // It responds that it has no data yet, and is polled again.
            node.answerAt_ = now_ + LongPollTimeout;
            return;
        }
        onPeerFailed(id, node, isUp ? PeerFailure::Stale : PeerFailure::Timeout);
    }

    void onPeerFailed(const InstanceId &id, Node &node, PeerFailure cause)
    {
        node.selector_.onPeerFailed(cause, age(node), now_);
        node.answerAt_ = never();
        choose(id, node);
    }

    std::map<InstanceId, Node> nodes_;
    std::set<InstanceId> everRead_;
    TimePoint now_ = TimePoint {} + millis(1'000'000);
    int calls_ = 0;
};

/** Whether an instance is in a random share of all, for example those that the store rejects. */
bool isInShare(const InstanceId &id, std::uint64_t seed, double share)
{
    std::mt19937_64 random(std::hash<std::string> {}(id.value()) + seed);
    return std::uniform_real_distribution<double>(0, 1)(random) < share;
}

/** Measurements of a domain during a complete outage of the store, and after it. */
struct OutageMeasurements
{
    double calls_ = 0;      ///< During the outage.
    double callsAfter_ = 0; ///< Per second, in the first two seconds after it.
    Duration oldestData_ {};
};

OutageMeasurements simulateOutage(int count, std::int64_t outageMillis)
{
    Domain domain(count);
    domain.run(millis(5'000));
    domain.takeCallRate(millis(1));
    bool away = true;
    domain.storeAnswers_ = [&](const InstanceId &, TimePoint) { return !away; };
    OutageMeasurements seen;
    domain.run(millis(outageMillis));
    seen.calls_ = domain.takeCallRate(millis(1'000));
    away = false;
    domain.run(millis(2'000));
    seen.callsAfter_ = domain.takeCallRate(millis(2'000));
    domain.run(LeaveBound - millis(2'000));
    seen.oldestData_ = domain.oldestData();
    return seen;
}

} // namespace

BOOST_AUTO_TEST_SUITE(UpstreamSelectors)

BOOST_AUTO_TEST_CASE(withoutFaultsTwoInstancesReadForTheirDomain)
{
    Domain domain;
    domain.run(millis(5'000));
    domain.takeCallRate(millis(5'000));
    domain.run(millis(10'000));
    BOOST_TEST(domain.readers().size() == 2U);
    BOOST_TEST(domain.takeCallRate(millis(10'000)) < MaxCallRateNormal);
    BOOST_TEST(toMillis(domain.oldestData()) <= toMillis(MaxUsableAge));
}

// Guards against overload of the store, which slows callers' requests: it was called two hundred
// times a second. It rejects both readers of a failure domain and one in three of the others; each
// follower then read for itself, and rejected instances retried continuously.
BOOST_AUTO_TEST_CASE(whenTheStoreRejectsBothReadersTheNextOnesRead)
{
    for (std::uint64_t seed = 0; seed < 50; ++seed) {
        Domain domain;
        domain.run(millis(5'000));
        const std::vector<InstanceId> first = domain.readers();
        domain.takeCallRate(millis(1));
        domain.storeAnswers_ = [&](const InstanceId &id, TimePoint) {
            return std::find(first.begin(), first.end(), id) == first.end()
                   && !isInShare(id, seed, 0.33);
        };
        constexpr Duration Outage = millis(9'000);
        Duration oldest {};
        for (Duration passed {}; passed < Outage; passed += millis(100)) {
            domain.run(millis(100));
            oldest = std::max(oldest, domain.oldestData());
        }
        const double calls = domain.takeCallRate(Outage);
        BOOST_TEST(calls < MaxCallRateImpaired, "seed " << seed << ": " << calls);
        BOOST_TEST(toMillis(oldest) <= toMillis(LeaveBound),
                   "seed " << seed << ": " << toMillis(oldest));
        domain.storeAnswers_ = [](const InstanceId &, TimePoint) { return true; };
        domain.run(millis(15'000));
        BOOST_TEST((domain.readers() == first), "seed " << seed);
    }
}

// Guards against a thundering herd: the store fails for all, recovers, and is called by hundreds of
// instances in its first second, while an endpoint that left in the meantime still gets requests.
BOOST_AUTO_TEST_CASE(noThunderingHerdFollowsTheRecoveryOfTheStore)
{
    for (const std::int64_t outageMillis : {1'500, 3'000, 5'000, 9'000, 30'000}) {
        const OutageMeasurements seen = simulateOutage(Instances, outageMillis);
        // The first failure of each instance adds to the steady rate.
        BOOST_TEST(seen.calls_
                       < 2 * Instances + MaxCallRateImpaired * toSeconds(millis(outageMillis)),
                   outageMillis << " ms: " << seen.calls_);
        BOOST_TEST(seen.callsAfter_ < MaxCallRateImpaired,
                   outageMillis << " ms: " << seen.callsAfter_);
        BOOST_TEST(toMillis(seen.oldestData_) <= toMillis(MaxUsableAge + LongPollTimeout),
                   outageMillis << " ms");
    }
}

// Guards against probes that grow with the fleet: with five times as many instances in the domain,
// each probes the store every few seconds.
BOOST_AUTO_TEST_CASE(aLargeDomainMakesNoMoreCallsDuringAnOutage)
{
    constexpr int Many = 200;
    for (const std::int64_t outageMillis : {3'000, 9'000, 30'000}) {
        const OutageMeasurements seen = simulateOutage(Many, outageMillis);
        BOOST_TEST(seen.calls_ <= 2 * Many + MaxCallRateImpaired * toSeconds(millis(outageMillis)),
                   outageMillis << " ms: " << seen.calls_);
        BOOST_TEST(seen.callsAfter_ <= MaxCallRateImpaired,
                   outageMillis << " ms: " << seen.callsAfter_);
        BOOST_TEST(toMillis(seen.oldestData_) <= toMillis(MaxUsableAge + LongPollTimeout),
                   outageMillis << " ms");
    }
}

// Guards against requests to an engine that left, beyond the bound for leaving endpoints: both
// readers of the failure domain fail, and their followers wait for one and then for the other.
BOOST_AUTO_TEST_CASE(whenBothReadersFailNoDataIsOlderThanTheBound)
{
    Domain domain;
    domain.run(millis(5'000));
    const std::vector<InstanceId> first = domain.readers();
    domain.isUp_ = [&](const InstanceId &id, TimePoint) {
        return std::find(first.begin(), first.end(), id) == first.end();
    };
    Duration oldest {};
    for (int step = 0; step < 100; ++step) {
        domain.run(millis(100));
        oldest = std::max(oldest, domain.oldestData());
    }
    BOOST_TEST(toMillis(oldest) <= toMillis(LeaveBound));
    BOOST_TEST(domain.readers().size() <= 6U);
}

// Guards against requests to an engine that left, beyond the bound. The reader of a failure domain
// doesn't respond, and neither does its follower's kept-alive connection to the store: one failed
// call was taken for an outage, and the next attempt came half a second later.
BOOST_AUTO_TEST_CASE(nearTheBoundAFailedProbeIsRetriedAtOnce)
{
    std::vector<Member> members;
    members.reserve(Instances);
    for (int number = 0; number < Instances; ++number) {
        members.push_back({InstanceId("instance-" + std::to_string(number)), 20});
    }
    const TimePoint now = TimePoint {} + millis(1'000'000);
    for (const Member &self : members) {
        UpstreamSelector selector(self.id_, LeaveBound);
        selector.setMembers(members);
        if (selector.choose(now).kind_ != UpstreamKind::Peer) {
            continue;
        }
        selector.onPeerFailed(PeerFailure::Timeout, millis(2'500), now);
        selector.choose(now);
        BOOST_TEST(selector.takeProbe(now));
        selector.onStoreFailed(now);
        selector.choose(now);
        BOOST_TEST(selector.takeProbe(now));
        selector.onStoreAnswered(now);
        BOOST_TEST((selector.choose(now).kind_ == UpstreamKind::StoreReads));
    }
}

// Guards against a preferred reader that keeps its old data when the store rejects only this
// instance: it must poll a peer instead.
BOOST_AUTO_TEST_CASE(aRejectedReaderPollsAPeer)
{
    Domain domain;
    domain.run(millis(5'000));
    const std::vector<InstanceId> first = domain.readers();
    domain.storeAnswers_ = [&](const InstanceId &id, TimePoint) { return id != first.front(); };
    domain.run(millis(5'000));
    const std::vector<InstanceId> now = domain.readers();
    BOOST_TEST((std::find(now.begin(), now.end(), first.front()) == now.end()));
    BOOST_TEST(toMillis(domain.oldestData()) <= toMillis(MaxUsableAge + LongPollTimeout));
}

// Guards against faults with a lasting effect: after any sequence of failures of the store and of
// peers, there are two readers again half a minute after the last one, and no data is stale.
BOOST_AUTO_TEST_CASE(aDomainRecoversFromAnySequenceOfFaults)
{
    for (std::uint64_t seed = 0; seed < 40; ++seed) {
        std::mt19937_64 random(seed);
        Domain domain;
        domain.run(millis(3'000));
        for (int fault = 0; fault < 6; ++fault) {
            const double away = std::uniform_real_distribution<double>(0, 1)(random);
            const double dead = std::uniform_real_distribution<double>(0, 0.5)(random);
            const std::uint64_t storeSeed = random();
            const std::uint64_t deadSeed = random();
            domain.storeAnswers_ = [=](const InstanceId &id, TimePoint) {
                return !isInShare(id, storeSeed, away);
            };
            domain.isUp_ = [=](const InstanceId &id, TimePoint) {
                return !isInShare(id, deadSeed, dead);
            };
            domain.run(millis(std::uniform_int_distribution<int>(200, 6'000)(random)));
        }
        domain.storeAnswers_ = [](const InstanceId &, TimePoint) { return true; };
        domain.isUp_ = [](const InstanceId &, TimePoint) { return true; };
        domain.run(millis(8'000));
        BOOST_TEST(toMillis(domain.oldestData()) <= toMillis(MaxUsableAge + LongPollTimeout),
                   "seed " << seed);
        domain.run(millis(22'000));
        BOOST_TEST(domain.readers().size() == 2U, "seed " << seed);
    }
}

// Guards against overload when all instances of a fleet start within three seconds: each found its
// peers not started yet and read the whole list itself, so the store was overloaded, and reads
// failed and were started again.
BOOST_AUTO_TEST_CASE(whenAllStartTogetherAFewReadAndAllGetTheData)
{
    for (const int count : {60, 200, 400}) {
        Domain domain(count);
        const TimePoint begin = domain.now();
        domain.firstReadTakes_ = millis(2'000);
        domain.isUp_ = [&](const InstanceId &id, TimePoint now) {
            std::mt19937_64 random(std::hash<std::string> {}(id.value()));
            return now >= begin + millis(std::uniform_int_distribution<int>(0, 3'000)(random));
        };
        domain.run(millis(6'000));
        BOOST_TEST(domain.allHaveData(), count << " instances");
        BOOST_TEST(domain.everRead() <= 6U, count << " instances: " << domain.everRead());
        domain.run(millis(20'000));
        BOOST_TEST(domain.readers().size() == 2U, count << " instances");
    }
}

// Guards against restarted instances that get no data: more than half of a domain, including both
// readers, loses power at once and restarts without data, while the others continue.
BOOST_AUTO_TEST_CASE(restartedInstancesGetTheDataAgain)
{
    for (std::uint64_t seed = 0; seed < 10; ++seed) {
        Domain domain(200);
        domain.firstReadTakes_ = millis(2'000);
        domain.run(millis(6'000));
        domain.losePower([&](const InstanceId &id) { return isInShare(id, seed, 0.55); });
        domain.run(millis(6'000));
        BOOST_TEST(domain.allHaveData(), "seed " << seed);
        BOOST_TEST(toMillis(domain.oldestData()) <= toMillis(MaxUsableAge + LongPollTimeout),
                   "seed " << seed);
        domain.run(millis(20'000));
        BOOST_TEST(domain.readers().size() == 2U, "seed " << seed);
    }
}

BOOST_AUTO_TEST_SUITE_END()
