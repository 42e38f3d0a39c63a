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
/** Payload of one packet without its headers, in bytes. */
constexpr std::size_t PacketPayload = 1'472;
constexpr Duration Step = millis(1);

EndpointId engineId(int number)
{
    return EndpointId("i-3eb6e75" + std::to_string(100 + number));
}

/**
 * A simulated fleet with its own clock and a network that loses, delays and duplicates datagrams.
 */
class Fleet
{
public:
    struct Node
    {
        MeshMember member_;
        std::uint64_t lifetime_ = 1;
        bool alive_ = true;
        EndpointTable table_;
        std::unique_ptr<LoadMesh> mesh_;
        LoadReport own_;
        TimePoint tickAt_ {};
        int received_ = 0; ///< Datagrams received.
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
                if (node.alive_ && node.tickAt_ <= now_) {
                    send(node, node.mesh_->tick(node.own_, node.table_, now_));
                    node.tickAt_ = node.mesh_->nextTick(now_);
                }
            }
        }
    }

    /** Replaces the load of a node, as if requests had come and gone. */
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

    /**
     * Returns a description of the first endpoint at which an instance's view differs from the load
     * of all other live instances, or an empty string.
     */
    std::string firstError() const
    {
        LoadTable all;
        for (const auto &[id, node] : nodes_) {
            if (node.alive_) {
                for (const auto &[engine, load] : loadsOf(node.own_)) {
                    all[engine].add(load);
                }
            }
        }
        for (const auto &[id, node] : nodes_) {
            if (!node.alive_) {
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
            if (node.alive_ && node.mesh_->isRelay()) {
                found.push_back(id);
            }
        }
        return found;
    }
    TimePoint now() const noexcept { return now_; }

    double lossShare_ = 0;
    double duplicateShare_ = 0;
    std::int64_t jitterMillis_ = 0;
    /** Instances whose incoming and outgoing datagrams are lost. */
    std::set<InstanceId> partitioned_;
    std::size_t maxDatagramBytes_ = 0;
    std::size_t bytesBetweenDomains_ = 0;
    std::mt19937_64 &random() { return random_; }

private:
    struct InFlight
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
            maxDatagramBytes_ = std::max(maxDatagramBytes_, datagram.bytes_.size());
            const bool isSameDomain =
                nodes_.at(datagram.to_).member_.domain_ == from.member_.domain_;
            bytesBetweenDomains_ += isSameDomain ? 0 : datagram.bytes_.size();
            const int copies = happens(duplicateShare_) ? 2 : 1;
            for (int copy = 0; copy < copies; ++copy) {
                const auto jitter = static_cast<std::int64_t>(
                    jitterMillis_ > 0 ? random_() % static_cast<std::uint64_t>(jitterMillis_) : 0);
                if (!happens(lossShare_)) {
                    inFlight_.emplace(now_ + millis((isSameDomain ? 1 : 2) + jitter),
                                      InFlight {from.member_.id_, datagram});
                }
            }
        }
    }

    void deliver()
    {
        while (!inFlight_.empty() && inFlight_.begin()->first <= now_) {
            const InFlight arrived = inFlight_.begin()->second;
            inFlight_.erase(inFlight_.begin());
            Node &to = nodes_.at(arrived.datagram_.to_);
            const bool lost = !to.alive_ || partitioned_.contains(arrived.from_)
                              || partitioned_.contains(arrived.datagram_.to_);
            if (!lost) {
                ++to.received_;
                to.mesh_->onDatagram(arrived.datagram_.bytes_, to.table_, now_);
            }
        }
    }

    int engines_;
    std::mt19937_64 random_;
    TimePoint now_ = TimePoint {} + millis(1'000'000);
    std::vector<MeshMember> members_;
    std::map<InstanceId, Node> nodes_;
    std::multimap<TimePoint, InFlight> inFlight_;
};

constexpr int LargeFleet = 195;
constexpr int LargeEngines = 117;

/** Milliseconds until the instances of the same and of other failure domains know a new load. */
struct PropagationTimes
{
    std::int64_t sameDomain_ = 0;
    std::int64_t otherDomains_ = 0;
};

PropagationTimes measurePropagation(Fleet &fleet, Fleet::Node &source)
{
    const EndpointId engine = engineId(1);
    source.own_.queued_[engine].add(0, 1'000'000);
    const std::int64_t total = 1'000'000;
    const TimePoint started = fleet.now();
    PropagationTimes times;
    std::set<InstanceId> informed;
    while (informed.size() + 1 < fleet.nodes().size() && fleet.now() < started + millis(5'000)) {
        fleet.run(Step);
        for (auto &[id, node] : fleet.nodes()) {
            if (&node == &source || informed.contains(id)
                || node.table_.find(engine)->peerQueued_.all() < total) {
                continue;
            }
            informed.insert(id);
            const bool isSameDomain = node.member_.domain_ == source.member_.domain_;
            std::int64_t &slowest = isSameDomain ? times.sameDomain_ : times.otherDomains_;
            slowest = std::max(slowest, toMillis(fleet.now() - started));
        }
    }
    source.own_.queued_.erase(engine);
    return times;
}

} // namespace

BOOST_AUTO_TEST_SUITE(LoadMeshes)

// Guards against late knowledge of load, with which prompts queue behind others that their instance
// did not know of. When 195 instances sent reports to each other directly, each could do so once in
// 0.78 s, in which a prefill engine reads 40,000 tokens.
BOOST_AUTO_TEST_CASE(loadIsKnownWithinATenthOfASecondInALargeFleet)
{
    Fleet fleet(LargeFleet, LargeEngines);
    fleet.run(millis(4'000));
    BOOST_TEST(fleet.relays().size() == 2U * Domains);
    for (int source = 0; source < LargeFleet; source += 13) {
        const PropagationTimes times = measurePropagation(fleet, fleet.node(source));
        BOOST_TEST(times.sameDomain_ <= 100, "from " << source << ": " << times.sameDomain_);
        BOOST_TEST(times.otherDomains_ <= 150, "from " << source << ": " << times.otherDomains_);
        fleet.run(millis(100));
    }
}

// Guards against an instance with an eighth of a core that spends it on datagrams instead of
// requests.
BOOST_AUTO_TEST_CASE(instanceThatIsNoRelayReceivesFewDatagrams)
{
    Fleet fleet(LargeFleet, LargeEngines);
    fleet.run(millis(4'000));
    for (auto &[id, node] : fleet.nodes()) {
        node.received_ = 0;
    }
    fleet.bytesBetweenDomains_ = 0;
    constexpr std::int64_t Seconds = 3;
    // Each instance gets 7.5 requests a second; each request is first a prompt to read, then a
    // decode slot in use.
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
            BOOST_TEST(node.received_ < 60 * Seconds, id.value() << ": " << node.received_);
        }
    }
    BOOST_TEST(fleet.maxDatagramBytes_ <= PacketPayload);
    // Direct reports from each instance to all others took 0.53 GB a minute, most of the traffic
    // between failure domains.
    constexpr double BytesPerSecond = 0.53e9 / 60;
    BOOST_TEST(static_cast<double>(fleet.bytesBetweenDomains_) / Seconds < BytesPerSecond);
}

BOOST_AUTO_TEST_CASE(smallFleetSendsReportsDirectly)
{
    Fleet fleet(9, 18);
    for (auto &[id, node] : fleet.nodes()) {
        fleet.changeLoad(node);
    }
    fleet.run(millis(200));
    BOOST_TEST(fleet.relays().empty());
    BOOST_TEST(fleet.firstError() == "");
}

// Guards against a partitioned instance that takes the demand of some instances for the whole, and
// against a single crash that makes the demand unknown.
BOOST_AUTO_TEST_CASE(demandIsIncompleteWithoutSomeInstances)
{
    for (const int instances : {9, 60}) {
        Fleet fleet(instances, 18);
        BOOST_TEST(!fleet.node(0).mesh_->isDemandComplete());
        fleet.run(millis(3'500));
        for (const auto &[id, node] : fleet.nodes()) {
            BOOST_TEST(node.mesh_->isDemandComplete());
        }
        fleet.node(instances - 1).alive_ = false;
        fleet.run(millis(4'500));
        BOOST_TEST(fleet.node(0).mesh_->isDemandComplete());
        for (int number = instances / 2; number < instances; ++number) {
            fleet.node(number).alive_ = false;
        }
        fleet.run(millis(4'500));
        BOOST_TEST(!fleet.node(0).mesh_->isDemandComplete());
    }
}

BOOST_AUTO_TEST_CASE(eachInstanceKnowsTheLoadOfAllOthersOnce)
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

// Guards against unreached endpoints that are reported only within a failure domain. After a crash
// of engines, half of a fleet continued to send to them, since only the relays of the other failure
// domains got the reports.
BOOST_AUTO_TEST_CASE(unreachedEndpointsAreReportedToAllDomains)
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

// Guards against the loss of a relay that leaves its failure domain without current load: for
// seconds it would send prompts to engines that only look idle.
BOOST_AUTO_TEST_CASE(lossOfARelayIsRepairedWithinASecond)
{
    Fleet fleet(LargeFleet, LargeEngines);
    fleet.run(millis(4'000));
    const InstanceId dead = fleet.relays().front();
    fleet.nodes().at(dead).alive_ = false;
    fleet.run(millis(1'000));
    for (int source = 20; source < LargeFleet; source += 29) {
        if (fleet.node(source).member_.id_ != dead) {
            Fleet::Node &node = fleet.node(source);
            node.own_.queued_[engineId(1)].add(0, 1'000'000);
            fleet.run(millis(200));
            for (auto &[id, other] : fleet.nodes()) {
                const bool knows = other.table_.find(engineId(1))->peerQueued_.all() >= 1'000'000;
                BOOST_TEST((knows || id == dead || &other == &node), id.value());
            }
            node.own_.queued_.clear();
            fleet.run(millis(200));
        }
    }
}

// Guards against sums that stay wrong after relays and other instances die, restart without state,
// or are isolated while datagrams are lost, late and duplicated. They have to be right after three
// quiet seconds.
BOOST_AUTO_TEST_CASE(sumsAreRightAfterFaults)
{
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        Fleet fleet(40, 20, seed);
        std::mt19937_64 &random = fleet.random();
        fleet.run(millis(1'500));
        for (int fault = 0; fault < 12; ++fault) {
            fleet.lossShare_ = random() % 2 == 0 ? 0.2 : 0;
            fleet.duplicateShare_ = random() % 2 == 0 ? 0.2 : 0;
            fleet.jitterMillis_ = random() % 2 == 0 ? 120 : 0;
            fleet.partitioned_.clear();
            for (auto &[id, node] : fleet.nodes()) {
                const std::uint64_t what = random() % 10;
                if (what == 0) {
                    fleet.partitioned_.insert(id);
                } else if (what == 1) {
                    node.alive_ = false;
                } else if (what <= 3) {
                    fleet.start(node);
                    node.alive_ = true;
                    node.own_ = {};
                } else if (what <= 6) {
                    fleet.changeLoad(node);
                }
            }
            fleet.run(millis(static_cast<int>(random() % 900)));
        }
        fleet.lossShare_ = 0;
        fleet.duplicateShare_ = 0;
        fleet.jitterMillis_ = 0;
        fleet.partitioned_.clear();
        // Relays that were isolated stay excluded for some seconds; others relay in the meantime.
        fleet.run(millis(8'000));
        BOOST_TEST(fleet.firstError() == "", "seed " << seed << ": " << fleet.firstError());
    }
}

// Guards against forged datagrams: none may crash the process, and a malformed one has no effect.
BOOST_AUTO_TEST_CASE(malformedDigestIsDropped)
{
    LoadDigest digest;
    digest.sender_ = InstanceId("front-1");
    digest.domain_ = DomainId("domain-1");
    digest.lifetime_ = 3;
    digest.sequence_ = 7;
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
    BOOST_TEST(whole->includedReport_ == 42U);
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

BOOST_AUTO_TEST_CASE(unknownSenderIsRejected)
{
    Fleet fleet(40, 20);
    Fleet::Node &node = fleet.node(7);
    LoadReport report {InstanceId("stranger"), 1, 1};
    report.queued_[engineId(1)].add(0, 5'000);
    BOOST_TEST((node.mesh_->onDatagram(encodeLoadReport(report), node.table_, fleet.now())
                == ReceiveResult::UnknownSender));
    BOOST_TEST(
        (node.mesh_->onDatagram("neither", node.table_, fleet.now()) == ReceiveResult::Malformed));
    BOOST_TEST(node.table_.find(engineId(1))->peerQueued_.all() == 0);
}

// Guards against an instance that stops working for good: it relayed in place of silent relays, and
// the instances ranked between these and itself left the list in the meantime.
BOOST_AUTO_TEST_CASE(shrinkingMemberListDoesNotStopAFallbackRelay)
{
    const DomainId domain("domain");
    constexpr int Count = 12;
    std::vector<MeshMember> members;
    members.reserve(Count);
    for (int number = 0; number < Count; ++number) {
        members.push_back({InstanceId("front-" + std::to_string(number)), domain, NarrowLink});
    }
    for (const MeshMember &self : members) {
        for (const std::size_t remaining : {std::size_t {3}, std::size_t {1}, std::size_t {0}}) {
            RelaySelector selector(self.id_, domain);
            selector.setMembers(members);
            TimePoint now = TimePoint {} + millis(1'000'000);
            const auto receivesNothing = [](const InstanceId &, TimePoint) { return false; };
            const auto receivesAll = [](const InstanceId &, TimePoint) { return true; };
            for (int tick = 0; tick < 200; ++tick) {
                selector.update(receivesNothing, now += millis(50));
            }
            selector.setMembers(
                {members.begin(), members.begin() + static_cast<std::ptrdiff_t>(remaining)});
            for (int tick = 0; tick < 100; ++tick) {
                selector.update(receivesAll, now += millis(50));
            }
            BOOST_TEST((remaining == 0 || selector.isRelay() || !selector.followed().empty()));
        }
    }
}

BOOST_AUTO_TEST_CASE(largeFleetHasOnePreferredLeader)
{
    Fleet fleet(60, 10);
    for (auto &[id, node] : fleet.nodes()) {
        node.own_.canLead_ = true;
    }
    fleet.run(millis(4'000));
    std::vector<InstanceId> leaders;
    for (auto &[id, node] : fleet.nodes()) {
        if (node.mesh_->isPreferredLeader()) {
            leaders.push_back(id);
        }
    }
    BOOST_REQUIRE(leaders.size() == 1U);
    fleet.nodes().at(leaders.front()).own_.isLeader_ = true;
    const InstanceId before = leaders.front();
    fleet.run(millis(500));
    fleet.nodes().at(before).alive_ = false;
    fleet.run(millis(5'000));
    leaders.clear();
    for (auto &[id, node] : fleet.nodes()) {
        if (node.alive_ && node.mesh_->isPreferredLeader()) {
            leaders.push_back(id);
        }
    }
    BOOST_TEST(leaders.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
