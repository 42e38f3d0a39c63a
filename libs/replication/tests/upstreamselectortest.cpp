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
/** What all instances of that fleet may call in a second while the store is in trouble. */
constexpr double CallsOfADomainInTrouble = 80.0 / 5;
constexpr double CallsOfADomainInCalm = 40.0 / 5;
/** A reader reads endpoints and configuration about once a second, and instances rarely. */
constexpr std::int64_t ReadPauseMillis = 500;
/** Lists of endpoints, configuration and instances. */
constexpr int CallsOfAFirstRead = 3;

/**
 * A failure domain in its own time: what instances ask each other and the store, without a network.
 * A call of the store costs nothing but a count, and fails where the test says so.
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
    std::function<bool(const InstanceId &, TimePoint)> lives_ = [](const InstanceId &, TimePoint) {
        return true;
    };

    void run(Duration span)
    {
        for (const TimePoint end = now_ + span; now_ < end; now_ += Step) {
            for (auto &[id, node] : nodes_) {
                if (lives_(id, now_)) {
                    act(id, node);
                }
            }
        }
    }

    /** The store's calls since the last question, for each second of the span. */
    double takeCallRate(Duration span) { return std::exchange(calls_, 0) / toSeconds(span); }

    Duration oldestNews() const
    {
        Duration oldest {};
        for (const auto &[id, node] : nodes_) {
            if (lives_(id, now_)) {
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

    /** Those forget everything and start anew. */
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

    bool allKnow() const
    {
        return std::all_of(nodes_.begin(), nodes_.end(),
                           [](const auto &entry) { return entry.second.readAt_.has_value(); });
    }
    /** How many have read the store themselves, ever. */
    std::size_t everRead() const { return everRead_.size(); }

    Duration firstReadTakes_ {}; ///< A long list comes in many pages.

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
        TimePoint askedAt_ {};
        TimePoint answerAt_ {}; ///< A peer with nothing new holds the question.
        int failures_ = 0;
    };

    std::optional<Duration> age(const Node &node) const
    {
        return node.readAt_ ? std::optional(now_ - *node.readAt_) : std::nullopt;
    }

    void choose(const InstanceId &id, Node &node)
    {
        node.chooseAt_ = now_ + millis(1'000);
        const Upstream source = node.selector_.choose(now_);
        if (node.selector_.awaitsProbe()) {
            return;
        }
        if (source != node.used_
            || (source.kind_ == UpstreamKind::Peer && node.answerAt_ == never())) {
            node.used_ = source;
            node.nextReadAt_ = now_;
            node.failures_ = 0;
            node.askedAt_ = now_;
            node.answerAt_ = now_;
            if (source.kind_ == UpstreamKind::StoreReads) {
                calls_ += CallsOfAFirstRead - 1;
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
            ask(id, node);
        }
    }

    /** A peer answers those who wait as soon as its own news are confirmed. */
    bool isConfirmed(const Node &node) const
    {
        constexpr Duration Step = millis(300);
        const auto &readAt = nodes_.at(node.used_.peer_).readAt_;
        return node.answerAt_ != never() && lives_(node.used_.peer_, now_) && readAt
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

    void ask(const InstanceId &id, Node &node)
    {
        const Node &peer = nodes_.at(node.used_.peer_);
        const bool lives = lives_(node.used_.peer_, now_);
        const bool waitsForLostStore = node.used_.kind_ == UpstreamKind::WaitForPeer;
        if (lives && peer.selector_.hasLostStore() && !waitsForLostStore) {
            leave(id, node, PeerFailure::StoreLost);
            return;
        }
        const bool fresh = lives && peer.readAt_ && now_ - *peer.readAt_ <= MaxUsableAge;
        if (fresh) {
            node.readAt_ = std::max(node.readAt_.value_or(*peer.readAt_), *peer.readAt_);
            node.selector_.onPeerData(*peer.readAt_);
            node.askedAt_ = now_;
            node.answerAt_ = now_ + LongPollTimeout;
            return;
        }
        const bool held = now_ - node.askedAt_ < (lives ? LongPollTimeout : ResponseTimeout);
        if (held) {
            return;
        }
        if (lives && !peer.readAt_) {
            node.askedAt_ = now_; // It says that it knows nothing yet, and is asked again.
            node.answerAt_ = now_ + LongPollTimeout;
            return;
        }
        leave(id, node, lives ? PeerFailure::Stale : PeerFailure::Timeout);
    }

    void leave(const InstanceId &id, Node &node, PeerFailure cause)
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

/** Whether an instance is among those that the store turns away. */
bool isTurnedAway(const InstanceId &id, std::uint64_t seed, double share)
{
    std::mt19937_64 random(std::hash<std::string> {}(id.value()) + seed);
    return std::uniform_real_distribution<double>(0, 1)(random) < share;
}

/** What a domain does while the store is away for all of it, and after. */
struct OutageFigures
{
    double calls_ = 0;      ///< In the outage.
    double callsAfter_ = 0; ///< A second, in the first two seconds after it.
    Duration oldestNews_ {};
};

OutageFigures playOutage(int count, std::int64_t outageMillis)
{
    Domain domain(count);
    domain.run(millis(5'000));
    domain.takeCallRate(millis(1));
    bool away = true;
    domain.storeAnswers_ = [&](const InstanceId &, TimePoint) { return !away; };
    OutageFigures seen;
    domain.run(millis(outageMillis));
    seen.calls_ = domain.takeCallRate(millis(1'000));
    away = false;
    domain.run(millis(2'000));
    seen.callsAfter_ = domain.takeCallRate(millis(2'000));
    domain.run(LeaveBound - millis(2'000));
    seen.oldestNews_ = domain.oldestNews();
    return seen;
}

} // namespace

BOOST_AUTO_TEST_SUITE(NewsSources)

BOOST_AUTO_TEST_CASE(inCalmTwoInstancesReadForTheirDomain)
{
    Domain domain;
    domain.run(millis(5'000));
    domain.takeCallRate(millis(5'000));
    domain.run(millis(10'000));
    BOOST_TEST(domain.readers().size() == 2U);
    BOOST_TEST(domain.takeCallRate(millis(10'000)) < CallsOfADomainInCalm);
    BOOST_TEST(toMillis(domain.oldestNews()) <= toMillis(MaxUsableAge));
}

// Callers pay for a store that is called two hundred times a second. It turns both readers of a
// failure domain away, and of the others one in three; each follower then read for itself, and
// those that were turned away called again and again.
BOOST_AUTO_TEST_CASE(whereBothReadersAreTurnedAwayTheNextOnesRead)
{
    for (std::uint64_t seed = 0; seed < 50; ++seed) {
        Domain domain;
        domain.run(millis(5'000));
        const std::vector<InstanceId> first = domain.readers();
        domain.takeCallRate(millis(1));
        domain.storeAnswers_ = [&](const InstanceId &id, TimePoint) {
            return std::find(first.begin(), first.end(), id) == first.end()
                   && !isTurnedAway(id, seed, 0.33);
        };
        constexpr Duration Outage = millis(9'000);
        Duration oldest {};
        for (Duration passed {}; passed < Outage; passed += millis(100)) {
            domain.run(millis(100));
            oldest = std::max(oldest, domain.oldestNews());
        }
        const double calls = domain.takeCallRate(Outage);
        BOOST_TEST(calls < CallsOfADomainInTrouble, "seed " << seed << ": " << calls);
        BOOST_TEST(toMillis(oldest) <= toMillis(LeaveBound),
                   "seed " << seed << ": " << toMillis(oldest));
        domain.storeAnswers_ = [](const InstanceId &, TimePoint) { return true; };
        domain.run(millis(15'000));
        BOOST_TEST((domain.readers() == first), "seed " << seed);
    }
}

// The store is away for all, comes back, and is called by hundreds of instances in its first
// second, while an endpoint that left in the meantime still gets work.
BOOST_AUTO_TEST_CASE(noWaveOfCallsFollowsTheReturnOfTheStore)
{
    for (const std::int64_t outageMillis : {1'500, 3'000, 5'000, 9'000, 30'000}) {
        const OutageFigures seen = playOutage(Instances, outageMillis);
        // The first failure of each instance comes on top of what goes on.
        BOOST_TEST(seen.calls_
                       < 2 * Instances + CallsOfADomainInTrouble * toSeconds(millis(outageMillis)),
                   outageMillis << " ms: " << seen.calls_);
        BOOST_TEST(seen.callsAfter_ < CallsOfADomainInTrouble,
                   outageMillis << " ms: " << seen.callsAfter_);
        BOOST_TEST(toMillis(seen.oldestNews_) <= toMillis(MaxUsableAge + LongPollTimeout),
                   outageMillis << " ms");
    }
}

// The same with five times as many instances in the domain: tests of the store, one by each of them
// every few seconds, grow with the fleet.
BOOST_AUTO_TEST_CASE(inALargeDomainNoMoreCallsAreMadeWhileTheStoreIsAway)
{
    constexpr int Many = 200;
    for (const std::int64_t outageMillis : {3'000, 9'000, 30'000}) {
        const OutageFigures seen = playOutage(Many, outageMillis);
        BOOST_TEST(seen.calls_
                       <= 2 * Many + CallsOfADomainInTrouble * toSeconds(millis(outageMillis)),
                   outageMillis << " ms: " << seen.calls_);
        BOOST_TEST(seen.callsAfter_ <= CallsOfADomainInTrouble,
                   outageMillis << " ms: " << seen.callsAfter_);
        BOOST_TEST(toMillis(seen.oldestNews_) <= toMillis(MaxUsableAge + LongPollTimeout),
                   outageMillis << " ms");
    }
}

// Requests reach an engine beyond the time within which a leaving one must get no more. Both
// readers of the failure domain die, their followers wait for the one, then for the other.
BOOST_AUTO_TEST_CASE(whereBothReadersDieNobodyIsWithoutNewsBeyondTheBound)
{
    Domain domain;
    domain.run(millis(5'000));
    const std::vector<InstanceId> first = domain.readers();
    domain.lives_ = [&](const InstanceId &id, TimePoint) {
        return std::find(first.begin(), first.end(), id) == first.end();
    };
    Duration oldest {};
    for (int step = 0; step < 100; ++step) {
        domain.run(millis(100));
        oldest = std::max(oldest, domain.oldestNews());
    }
    BOOST_TEST(toMillis(oldest) <= toMillis(LeaveBound));
    BOOST_TEST(domain.readers().size() <= 6U);
}

// Requests reach an engine that left, beyond the bound. The reader of a failure domain is silent,
// and so is the connection to the store that its follower has kept: one failed call was taken for a
// store that is away, and the next one followed half a second later.
BOOST_AUTO_TEST_CASE(nearTheBoundOneFailedTestIsFollowedByTheNextAtOnce)
{
    std::vector<Member> members;
    members.reserve(Instances);
    for (int number = 0; number < Instances; ++number) {
        members.push_back({InstanceId("instance-" + std::to_string(number)), 20});
    }
    const TimePoint now = TimePoint {} + millis(1'000'000);
    for (const Member &self : members) {
        UpstreamSelector source(self.id_, LeaveBound);
        source.setMembers(members);
        if (source.choose(now).kind_ != UpstreamKind::Peer) {
            continue;
        }
        source.onPeerFailed(PeerFailure::Timeout, millis(2'500), now);
        source.choose(now);
        BOOST_TEST(source.takeProbe(now));
        source.onStoreFailed(now);
        source.choose(now);
        BOOST_TEST(source.takeProbe(now));
        source.onStoreAnswered(now);
        BOOST_TEST((source.choose(now).kind_ == UpstreamKind::StoreReads));
    }
}

// An instance that alone is turned away by the store, and comes first in the order, asks a peer
// instead of going on with what it knew.
BOOST_AUTO_TEST_CASE(aReaderThatIsTurnedAwayAsksAPeer)
{
    Domain domain;
    domain.run(millis(5'000));
    const std::vector<InstanceId> first = domain.readers();
    domain.storeAnswers_ = [&](const InstanceId &id, TimePoint) { return id != first.front(); };
    domain.run(millis(5'000));
    const std::vector<InstanceId> now = domain.readers();
    BOOST_TEST((std::find(now.begin(), now.end(), first.front()) == now.end()));
    BOOST_TEST(toMillis(domain.oldestNews()) <= toMillis(MaxUsableAge + LongPollTimeout));
}

// Whatever the store and the peers do, half a minute after the last trouble there are two readers
// again, and nobody's news are old.
BOOST_AUTO_TEST_CASE(afterAnyTroubleADomainIsCalmAgain)
{
    for (std::uint64_t seed = 0; seed < 40; ++seed) {
        std::mt19937_64 random(seed);
        Domain domain;
        domain.run(millis(3'000));
        for (int trouble = 0; trouble < 6; ++trouble) {
            const double away = std::uniform_real_distribution<double>(0, 1)(random);
            const double dead = std::uniform_real_distribution<double>(0, 0.5)(random);
            const std::uint64_t storeSeed = random();
            const std::uint64_t deadSeed = random();
            domain.storeAnswers_ = [=](const InstanceId &id, TimePoint) {
                return !isTurnedAway(id, storeSeed, away);
            };
            domain.lives_ = [=](const InstanceId &id, TimePoint) {
                return !isTurnedAway(id, deadSeed, dead);
            };
            domain.run(millis(std::uniform_int_distribution<int>(200, 6'000)(random)));
        }
        domain.storeAnswers_ = [](const InstanceId &, TimePoint) { return true; };
        domain.lives_ = [](const InstanceId &, TimePoint) { return true; };
        domain.run(millis(8'000));
        BOOST_TEST(toMillis(domain.oldestNews()) <= toMillis(MaxUsableAge + LongPollTimeout),
                   "seed " << seed);
        domain.run(millis(22'000));
        BOOST_TEST(domain.readers().size() == 2U, "seed " << seed);
    }
}

// All instances of a fleet start within three seconds, each finds the peers that it asks not there
// yet, and reads the whole list itself: the store drowns, reads fail, and are begun anew.
BOOST_AUTO_TEST_CASE(whereAllStartTogetherAFewReadAndAllAreTold)
{
    for (const int count : {60, 200, 400}) {
        Domain domain(count);
        const TimePoint begin = domain.now();
        domain.firstReadTakes_ = millis(2'000);
        domain.lives_ = [&](const InstanceId &id, TimePoint now) {
            std::mt19937_64 random(std::hash<std::string> {}(id.value()));
            return now >= begin + millis(std::uniform_int_distribution<int>(0, 3'000)(random));
        };
        domain.run(millis(6'000));
        BOOST_TEST(domain.allKnow(), count << " instances");
        BOOST_TEST(domain.everRead() <= 6U, count << " instances: " << domain.everRead());
        domain.run(millis(20'000));
        BOOST_TEST(domain.readers().size() == 2U, count << " instances");
    }
}

// More than half of a domain loses power at one moment, both readers among them, and returns with
// nothing known while the others go on.
BOOST_AUTO_TEST_CASE(whoComesBackWithNothingKnownIsTold)
{
    for (std::uint64_t seed = 0; seed < 10; ++seed) {
        Domain domain(200);
        domain.firstReadTakes_ = millis(2'000);
        domain.run(millis(6'000));
        domain.losePower([&](const InstanceId &id) { return isTurnedAway(id, seed, 0.55); });
        domain.run(millis(6'000));
        BOOST_TEST(domain.allKnow(), "seed " << seed);
        BOOST_TEST(toMillis(domain.oldestNews()) <= toMillis(MaxUsableAge + LongPollTimeout),
                   "seed " << seed);
        domain.run(millis(20'000));
        BOOST_TEST(domain.readers().size() == 2U, "seed " << seed);
    }
}

BOOST_AUTO_TEST_SUITE_END()
