#include "almondridge/gateway/loadmesh.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace almondridge;
using namespace almondridge::gateway;

namespace {

const ServiceId Models("models");
constexpr int Domains = 5;
constexpr int WidePerDomain = 3;
constexpr double WideLink = 200;
constexpr double NarrowLink = 20;
/** What fits into one packet beside its headers. */
constexpr std::size_t PacketPayload = 1'472;
constexpr Duration Step = millis(1);

EndpointId engineId(int number)
{
    return EndpointId("i-3eb6e75" + std::to_string(100 + number));
}

/** A fleet of instances in its own time, with a network that loses, delays and repeats. */
class Fleet
{
public:
    struct Node
    {
        MeshMember member_;
        std::uint64_t lifetime_ = 1;
        bool lives_ = true;
        EndpointTable table_;
        std::unique_ptr<LoadMesh> mesh_;
        LoadNote own_;
        TimePoint tickAt_ {};
        int taken_ = 0; ///< Datagrams.
    };

    Fleet(int instances, int engines, std::uint64_t seed = 1)
        : engines_(engines)
        , random_(seed)
    {
        for (int number = 0; number < instances; ++number) {
            const bool wide = number < Domains * WidePerDomain;
            const MeshMember member {InstanceId("front-" + std::to_string(number)),
                                     DomainId("domain-" + std::to_string(number % Domains)),
                                     wide ? WideLink : NarrowLink};
            members_.push_back(member);
        }
        for (const MeshMember &member : members_) {
            Node &node = nodes_[member.id_];
            node.member_ = member;
            start(node);
        }
    }

    void start(Node &node)
    {
        node.table_ = EndpointTable();
        for (int number = 0; number < engines_; ++number) {
            ListedEndpoint listed;
            listed.id_ = engineId(number);
            listed.service_ = Models;
            listed.stage_ = number % 3 == 0 ? Stage::Prefill : Stage::Decode;
            node.table_.list(listed, now_);
        }
        node.mesh_ = std::make_unique<LoadMesh>(node.member_.id_, node.member_.domain_,
                                                node.member_.linkMbps_, ++node.lifetime_);
        node.mesh_->setMembers(members_);
        node.tickAt_ = now_ + millis(static_cast<int>(random_() % 50));
    }

    void run(Duration span)
    {
        for (const TimePoint end = now_ + span; now_ < end; now_ += Step) {
            deliver();
            for (auto &[id, node] : nodes_) {
                if (node.lives_ && node.tickAt_ <= now_) {
                    send(node, node.mesh_->tick(node.own_, node.table_, now_));
                    node.tickAt_ = node.mesh_->nextTick(now_);
                }
            }
        }
    }

    /** Sends each time something else, as requests come and go. */
    void changeLoad(Node &node, int requests = 4)
    {
        node.own_.queued_.clear();
        node.own_.slotUse_.clear();
        for (int request = 0; request < requests; ++request) {
            node.own_.queued_[anyEngine()].add(static_cast<int>(random_() % UrgencyLevels),
                                               500 + static_cast<std::int64_t>(random_() % 20'000));
            node.own_.slotUse_[anyEngine()].inTime_ += 1;
        }
    }

    /** Whether each knows just what all others that live have told. */
    std::string firstError() const
    {
        LoadTable all;
        for (const auto &[id, node] : nodes_) {
            if (node.lives_) {
                for (const auto &[engine, load] : loadsOf(node.own_)) {
                    all[engine].add(load);
                }
            }
        }
        for (const auto &[id, node] : nodes_) {
            if (!node.lives_) {
                continue;
            }
            const LoadTable own = loadsOf(node.own_);
            for (const auto &[engine, endpoint] : node.table_.all()) {
                EndpointLoad expected = all.contains(engine) ? all.at(engine) : EndpointLoad {};
                if (own.contains(engine)) {
                    expected.remove(own.at(engine));
                }
                if (endpoint.peerQueued_ != expected.queued_
                    || endpoint.peerSlotUse_ != expected.slotUse_) {
                    return id.value() + " knows " + std::to_string(endpoint.peerQueued_.all())
                           + " tokens at " + engine.value() + " instead of "
                           + std::to_string(expected.queued_.all());
                }
            }
        }
        return "";
    }

    Node &node(int number) { return nodes_.at(members_[static_cast<std::size_t>(number)].id_); }
    std::map<InstanceId, Node> &nodes() { return nodes_; }
    std::vector<InstanceId> relays() const
    {
        std::vector<InstanceId> found;
        for (const auto &[id, node] : nodes_) {
            if (node.lives_ && node.mesh_->isRelay()) {
                found.push_back(id);
            }
        }
        return found;
    }
    TimePoint now() const noexcept { return now_; }

    double lossShare_ = 0;
    double repeatShare_ = 0;
    std::int64_t jitterMillis_ = 0;
    /** Instances that no datagram reaches, and whose own are lost. */
    std::set<InstanceId> cutOff_;
    std::size_t longest_ = 0;
    std::size_t bytesBetweenDomains_ = 0;
    std::mt19937_64 &random() { return random_; }

private:
    struct OnItsWay
    {
        InstanceId from_;
        MeshDatagram datagram_;
    };

    EndpointId anyEngine()
    {
        return engineId(static_cast<int>(random_() % static_cast<std::uint64_t>(engines_)));
    }

    bool happens(double share)
    {
        return std::uniform_real_distribution<double>(0, 1)(random_) < share;
    }

    void send(const Node &from, const std::vector<MeshDatagram> &datagrams)
    {
        for (const MeshDatagram &datagram : datagrams) {
            longest_ = std::max(longest_, datagram.bytes_.size());
            const bool near = nodes_.at(datagram.to_).member_.domain_ == from.member_.domain_;
            bytesBetweenDomains_ += near ? 0 : datagram.bytes_.size();
            const int copies = happens(repeatShare_) ? 2 : 1;
            for (int copy = 0; copy < copies; ++copy) {
                const auto jitter = static_cast<std::int64_t>(
                    jitterMillis_ > 0 ? random_() % static_cast<std::uint64_t>(jitterMillis_) : 0);
                if (!happens(lossShare_)) {
                    way_.emplace(now_ + millis((near ? 1 : 2) + jitter),
                                 OnItsWay {from.member_.id_, datagram});
                }
            }
        }
    }

    void deliver()
    {
        while (!way_.empty() && way_.begin()->first <= now_) {
            const OnItsWay arrived = way_.begin()->second;
            way_.erase(way_.begin());
            Node &to = nodes_.at(arrived.datagram_.to_);
            const bool lost = !to.lives_ || cutOff_.contains(arrived.from_)
                              || cutOff_.contains(arrived.datagram_.to_);
            if (!lost) {
                ++to.taken_;
                to.mesh_->onDatagram(arrived.datagram_.bytes_, to.table_, now_);
            }
        }
    }

    int engines_;
    std::mt19937_64 random_;
    TimePoint now_ = TimePoint {} + millis(1'000'000);
    std::vector<MeshMember> members_;
    std::map<InstanceId, Node> nodes_;
    std::multimap<TimePoint, OnItsWay> way_;
};

constexpr int LargeFleet = 195;
constexpr int LargeEngines = 117;

/** Times in milliseconds until those of the same and of other domains know a new load. */
struct Spread
{
    std::int64_t near_ = 0;
    std::int64_t far_ = 0;
};

Spread spreadOfALoad(Fleet &fleet, Fleet::Node &source)
{
    const EndpointId engine = engineId(1);
    source.own_.queued_[engine].add(0, 1'000'000);
    const std::int64_t total = 1'000'000;
    const TimePoint begun = fleet.now();
    Spread spread;
    std::set<InstanceId> knowing;
    while (knowing.size() + 1 < fleet.nodes().size() && fleet.now() < begun + millis(5'000)) {
        fleet.run(Step);
        for (auto &[id, node] : fleet.nodes()) {
            if (&node == &source || knowing.contains(id)
                || node.table_.find(engine)->peerQueued_.all() < total) {
                continue;
            }
            knowing.insert(id);
            const bool near = node.member_.domain_ == source.member_.domain_;
            std::int64_t &slowest = near ? spread.near_ : spread.far_;
            slowest = std::max(slowest, toMillis(fleet.now() - begun));
        }
    }
    source.own_.queued_.erase(engine);
    return spread;
}

} // namespace

BOOST_AUTO_TEST_SUITE(LoadToldInTwoLevels)

// Prompts wait behind others that their instance did not know of. 195 instances told each other
// directly, so each could do so once in 0.78 s, in which a reader reads forty thousand tokens.
BOOST_AUTO_TEST_CASE(inALargeFleetLoadIsKnownWithinATenthOfASecond)
{
    Fleet fleet(LargeFleet, LargeEngines);
    fleet.run(millis(4'000));
    BOOST_TEST(fleet.relays().size() == 2U * Domains);
    for (int source = 0; source < LargeFleet; source += 13) {
        const Spread spread = spreadOfALoad(fleet, fleet.node(source));
        BOOST_TEST(spread.near_ <= 100, "from " << source << ": " << spread.near_);
        BOOST_TEST(spread.far_ <= 150, "from " << source << ": " << spread.far_);
        fleet.run(millis(100));
    }
}

// An instance with an eighth of a core spends it on datagrams instead of requests.
BOOST_AUTO_TEST_CASE(whoRelaysNothingTakesFewDatagrams)
{
    Fleet fleet(LargeFleet, LargeEngines);
    fleet.run(millis(4'000));
    for (auto &[id, node] : fleet.nodes()) {
        node.taken_ = 0;
    }
    fleet.bytesBetweenDomains_ = 0;
    constexpr std::int64_t Seconds = 3;
    // Each instance gets 7.5 requests a second: each has its prompt read and then generates.
    constexpr int StepsPerSecond = 60;
    constexpr int StepsBetweenRequests = 8;
    for (int step = 0; step < Seconds * StepsPerSecond; ++step) {
        int number = 0;
        for (auto &[id, node] : fleet.nodes()) {
            if (++number % StepsBetweenRequests == step % StepsBetweenRequests) {
                fleet.changeLoad(node, 1);
            }
        }
        fleet.run(millis(1'000 / StepsPerSecond));
    }
    for (const auto &[id, node] : fleet.nodes()) {
        if (!node.mesh_->isRelay()) {
            BOOST_TEST(node.taken_ < 60 * Seconds, id.value() << ": " << node.taken_);
        }
    }
    BOOST_TEST(fleet.longest_ <= PacketPayload);
    // 0.53 GB in a minute of a day, of which notes from each to all were the most.
    constexpr double BytesPerSecond = 0.53e9 / 60;
    BOOST_TEST(static_cast<double>(fleet.bytesBetweenDomains_) / Seconds < BytesPerSecond);
}

BOOST_AUTO_TEST_CASE(fewInstancesTellEachOtherDirectly)
{
    Fleet fleet(9, 18);
    for (auto &[id, node] : fleet.nodes()) {
        fleet.changeLoad(node);
    }
    fleet.run(millis(200));
    BOOST_TEST(fleet.relays().empty());
    BOOST_TEST(fleet.firstError() == "");
}

BOOST_AUTO_TEST_CASE(eachKnowsTheSumOfAllOthersAndNothingTwice)
{
    Fleet fleet(60, 30);
    for (auto &[id, node] : fleet.nodes()) {
        fleet.changeLoad(node);
    }
    fleet.run(millis(3'500));
    BOOST_TEST(fleet.firstError() == "");
    for (auto &[id, node] : fleet.nodes()) {
        node.own_.queued_.clear();
        node.own_.slotUse_.clear();
    }
    fleet.run(millis(3'500));
    BOOST_TEST(fleet.firstError() == "");
}

// Half a fleet goes on sending to engines that a crash took away: those who met it told it, but in
// another failure domain only the relays heard of it.
BOOST_AUTO_TEST_CASE(endpointsThatWereNotReachedAreToldToAllDomains)
{
    Fleet fleet(LargeFleet, LargeEngines);
    for (auto &[id, node] : fleet.nodes()) {
        fleet.changeLoad(node);
    }
    fleet.run(millis(4'000));
    Fleet::Node &witness = fleet.node(LargeFleet - 1);
    constexpr int Crashed = 10;
    for (int number = 0; number < Crashed; ++number) {
        witness.own_.unreached_.push_back(engineId(number));
    }
    fleet.run(millis(300));
    for (auto &[id, node] : fleet.nodes()) {
        const std::vector<EndpointId> tests = node.table_.takeDueProbes(fleet.now());
        BOOST_TEST((&node == &witness || tests.size() == Crashed),
                   id.value() << " tests " << tests.size());
    }
}

// A relay dies, and for seconds its domain's prompts are sent to engines that look idle.
BOOST_AUTO_TEST_CASE(theLossOfARelayIsOverWithinASecond)
{
    Fleet fleet(LargeFleet, LargeEngines);
    fleet.run(millis(4'000));
    const InstanceId dead = fleet.relays().front();
    fleet.nodes().at(dead).lives_ = false;
    fleet.run(millis(1'000));
    for (int source = 20; source < LargeFleet; source += 29) {
        if (fleet.node(source).member_.id_ != dead) {
            Fleet::Node &node = fleet.node(source);
            node.own_.queued_[engineId(1)].add(0, 1'000'000);
            fleet.run(millis(200));
            for (auto &[id, other] : fleet.nodes()) {
                const bool knows =
                    other.table_.find(engineId(1))->peerQueued_.all() >= 1'000'000;
                BOOST_TEST((knows || id == dead || &other == &node), id.value());
            }
            node.own_.queued_.clear();
            fleet.run(millis(200));
        }
    }
}

// Relays and others die, restart with nothing, are cut off and come back, while datagrams are lost,
// late and repeated: what is known may be wrong for a moment, but not after three calm seconds.
BOOST_AUTO_TEST_CASE(afterAnyTroubleTheSumsAreRight)
{
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        Fleet fleet(40, 20, seed);
        std::mt19937_64 &random = fleet.random();
        fleet.run(millis(1'500));
        for (int trouble = 0; trouble < 12; ++trouble) {
            fleet.lossShare_ = random() % 2 == 0 ? 0.2 : 0;
            fleet.repeatShare_ = random() % 2 == 0 ? 0.2 : 0;
            fleet.jitterMillis_ = random() % 2 == 0 ? 120 : 0;
            fleet.cutOff_.clear();
            for (auto &[id, node] : fleet.nodes()) {
                const std::uint64_t what = random() % 10;
                if (what == 0) {
                    fleet.cutOff_.insert(id);
                } else if (what == 1) {
                    node.lives_ = false;
                } else if (what <= 3) {
                    fleet.start(node);
                    node.lives_ = true;
                    node.own_ = {};
                } else if (what <= 6) {
                    fleet.changeLoad(node);
                }
            }
            fleet.run(millis(static_cast<int>(random() % 900)));
        }
        fleet.lossShare_ = 0;
        fleet.repeatShare_ = 0;
        fleet.jitterMillis_ = 0;
        fleet.cutOff_.clear();
        // Relays that were cut off are passed over for some seconds, others work meanwhile.
        fleet.run(millis(8'000));
        BOOST_TEST(fleet.firstError() == "", "seed " << seed << ": " << fleet.firstError());
    }
}

// Anybody may send datagrams: none may end the process, and one that cannot be read changes
// nothing.
BOOST_AUTO_TEST_CASE(whatIsNoDigestIsDroppedWhole)
{
    LoadDigest digest;
    digest.sender_ = InstanceId("front-1");
    digest.domain_ = DomainId("domain-1");
    digest.lifetime_ = 3;
    digest.number_ = 7;
    digest.members_ = 4;
    digest.loads_[engineId(1)].queued_.add(2, 900);
    digest.loads_[engineId(2)].slotUse_ = {3, 1};
    digest.demand_[Models] = {1.5, 0.25};
    digest.leaders_ = {InstanceId("front-2")};
    digest.candidate_ = InstanceId("front-3");
    digest.changingMillis_[engineId(3)] = 800;
    digest.unreached_ = {engineId(4)};
    digest.readParts_ = {11, 12};
    const std::string bytes = digestPrefix(42) + encodeDigest(digest);
    const auto whole = decodeDigest(bytes);
    BOOST_REQUIRE(whole.has_value());
    BOOST_TEST(whole->countedNote_ == 42U);
    BOOST_TEST((whole->digest_.loads_ == digest.loads_));
    BOOST_TEST((whole->digest_.leaders_ == digest.leaders_));
    BOOST_TEST((whole->digest_.readParts_ == digest.readParts_));
    std::mt19937_64 random(5);
    for (int round = 0; round < 20'000; ++round) {
        std::string mutated = bytes;
        for (std::uint64_t change = 0; change <= random() % 4; ++change) {
            mutated[1 + random() % (mutated.size() - 1)] = static_cast<char>(random());
        }
        mutated.resize(random() % 3 == 0 ? random() % mutated.size() : mutated.size());
        const auto received = decodeDigest(mutated);
        if (received) {
            for (const auto &[id, load] : received->digest_.loads_) {
                BOOST_TEST(load.queued_.all() >= 0);
                BOOST_TEST(load.slotUse_.all() >= 0);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(aStrangersWordIsNotTaken)
{
    Fleet fleet(40, 20);
    Fleet::Node &node = fleet.node(7);
    LoadNote note {InstanceId("stranger"), 1, 1};
    note.queued_[engineId(1)].add(0, 5'000);
    BOOST_TEST(
        (node.mesh_->onDatagram(encodeNote(note), node.table_, fleet.now()) == Reception::Unknown));
    BOOST_TEST(
        (node.mesh_->onDatagram("neither", node.table_, fleet.now()) == Reception::Unreadable));
    BOOST_TEST(node.table_.find(engineId(1))->peerQueued_.all() == 0);
}

// All of an instance's work stops for good: it stood in for silent relays, and the instances
// between these and itself left the list meanwhile.
BOOST_AUTO_TEST_CASE(aListThatShrinksUnderAStandInEndsNothing)
{
    const DomainId domain("domain");
    constexpr int Count = 12;
    std::vector<MeshMember> members;
    members.reserve(Count);
    for (int number = 0; number < Count; ++number) {
        members.push_back({InstanceId("front-" + std::to_string(number)), domain, NarrowLink});
    }
    for (const MeshMember &self : members) {
        for (const std::size_t left : {std::size_t {3}, std::size_t {1}, std::size_t {0}}) {
            RelayChoice choice(self.id_, domain);
            choice.setMembers(members);
            TimePoint now = TimePoint {} + millis(1'000'000);
            const auto hearsNothing = [](const InstanceId &, TimePoint) { return false; };
            const auto hearsAll = [](const InstanceId &, TimePoint) { return true; };
            for (int tick = 0; tick < 200; ++tick) {
                choice.choose(hearsNothing, now += millis(50));
            }
            choice.setMembers(
                {members.begin(), members.begin() + static_cast<std::ptrdiff_t>(left)});
            for (int tick = 0; tick < 100; ++tick) {
                choice.choose(hearsAll, now += millis(50));
            }
            BOOST_TEST((left == 0 || choice.isRelay() || !choice.followed().empty()));
        }
    }
}

BOOST_AUTO_TEST_CASE(oneOfALargeFleetLeads)
{
    Fleet fleet(60, 10);
    for (auto &[id, node] : fleet.nodes()) {
        node.own_.mayLead_ = true;
    }
    fleet.run(millis(4'000));
    std::vector<InstanceId> leaders;
    for (auto &[id, node] : fleet.nodes()) {
        if (node.mesh_->leads()) {
            leaders.push_back(id);
        }
    }
    BOOST_REQUIRE(leaders.size() == 1U);
    fleet.nodes().at(leaders.front()).own_.leads_ = true;
    const InstanceId before = leaders.front();
    fleet.run(millis(500));
    fleet.nodes().at(before).lives_ = false;
    fleet.run(millis(5'000));
    leaders.clear();
    for (auto &[id, node] : fleet.nodes()) {
        if (node.lives_ && node.mesh_->leads()) {
            leaders.push_back(id);
        }
    }
    BOOST_TEST(leaders.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
