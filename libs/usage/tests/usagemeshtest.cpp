#include "almondridge/usage/usagemesh.h"

#include <boost/test/unit_test.hpp>
#include <list>
#include <random>

using namespace almondridge;
using namespace almondridge::usage;

namespace {

constexpr std::int64_t WindowMillis = 5'000;
constexpr std::int64_t EpochMillis = 1'764'750'000'000;
constexpr std::int64_t TickMillis = 200;
/** Between two ticks, so that no request starts within a message's latency of a window's end. */
constexpr std::int64_t BeganBeforeMillis = 100;

TimePoint at(std::int64_t millisSinceStart)
{
    return TimePoint {} + millis(1'000'000 + millisSinceStart);
}

std::string nameOf(int number)
{
    return "i-" + std::to_string(number);
}

/** Instances whose datagrams may be lost, delayed and duplicated. */
struct Fleet
{
    explicit Fleet(int count, int collectors, std::uint64_t seed)
        : random_(seed)
    {
        for (int number = 0; number < count; ++number) {
            members_.insert(InstanceId(nameOf(number)));
            if (number < collectors) {
                collectors_.insert(InstanceId(nameOf(number)));
            }
        }
        for (const InstanceId &id : members_) {
            start(id, 0);
        }
    }

    void start(const InstanceId &id, std::int64_t now)
    {
        const std::int64_t wall = EpochMillis + now + aheadMillis_[id];
        meshes_.erase(id);
        UsageMesh &mesh = meshes_
                              .try_emplace(id, id, static_cast<std::uint64_t>(wall), WindowMillis,
                                           FleetClock(wall, at(now)))
                              .first->second;
        mesh.setMembers(members_, collectors_);
    }

    void send(const std::vector<gateway::MeshDatagram> &datagrams, std::int64_t now)
    {
        for (const gateway::MeshDatagram &datagram : datagrams) {
            const int copies = random_() % 100 < lossPercent_ ? 0 : random_() % 10 == 0 ? 2 : 1;
            for (int copy = 0; copy < copies; ++copy) {
                const auto delay = static_cast<std::int64_t>(random_() % 20);
                inFlight_.emplace(now + delay, datagram);
            }
        }
    }

    void deliver(std::int64_t now)
    {
        while (!inFlight_.empty() && inFlight_.begin()->first <= now) {
            const gateway::MeshDatagram datagram = inFlight_.begin()->second;
            inFlight_.erase(inFlight_.begin());
            const auto receiver = meshes_.find(datagram.to_);
            if (receiver == meshes_.end()) {
                continue;
            }
            std::vector<gateway::MeshDatagram> answers;
            const auto reception = receiver->second.onDatagram(datagram.bytes_, at(now), answers);
            BOOST_REQUIRE((reception == gateway::ReceiveResult::Accepted));
            send(answers, now);
        }
    }

    /** Ticks all instances after `requests` requests of random accounts. */
    void tick(std::int64_t now, int requests)
    {
        for (int number = 0; number < requests; ++number) {
            auto iterator = meshes_.begin();
            std::advance(iterator, static_cast<std::ptrdiff_t>(random_() % meshes_.size()));
            const AccountId account("account-" + std::to_string(random_() % 7));
            const std::int64_t began = now - BeganBeforeMillis;
            iterator->second.onBegan(account, at(began));
            ++expected_[windowAt(EpochMillis + began, WindowMillis)][account];
        }
        for (auto &[id, mesh] : meshes_) {
            send(mesh.tick(EpochMillis + now + aheadMillis_[id], at(now)), now);
        }
    }

    void run(std::int64_t from, std::int64_t until, int requests)
    {
        for (std::int64_t now = from; now < until; ++now) {
            deliver(now);
            if (now % TickMillis == 0) {
                tick(now, requests);
            }
        }
    }

    UsageMesh &mesh(int number) { return meshes_.at(InstanceId(nameOf(number))); }

    std::mt19937_64 random_;
    unsigned lossPercent_ = 0;
    std::set<InstanceId> members_;
    std::set<InstanceId> collectors_;
    std::map<InstanceId, std::int64_t> aheadMillis_; ///< Offsets of the wall clocks.
    std::map<InstanceId, UsageMesh> meshes_;
    std::multimap<std::int64_t, gateway::MeshDatagram> inFlight_;
    std::map<Window, AccountCounts> expected_;
};

constexpr Window FirstWindow = EpochMillis / WindowMillis;

} // namespace

BOOST_AUTO_TEST_SUITE(UsageMeshes)

BOOST_AUTO_TEST_CASE(collectorsHaveAllCounts)
{
    Fleet fleet(40, 4, 1);
    fleet.run(0, 11'200, 30);
    for (int collector = 0; collector < 4; ++collector) {
        BOOST_TEST(fleet.mesh(collector).incompleteMembers(FirstWindow + 1).empty());
        BOOST_TEST(
            (fleet.mesh(collector).counts(FirstWindow + 1) == fleet.expected_.at(FirstWindow + 1)));
    }
}

// Guards against counts that are lost, or counted twice, because their datagrams are.
BOOST_AUTO_TEST_CASE(lostCountsAreQueried)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Fleet fleet(20, 4, seed);
        fleet.lossPercent_ = 30;
        fleet.run(0, 11'000, 20);
        UsageMesh &reporter = fleet.mesh(0);
        for (std::int64_t now = 11'000; now < 13'000; now += 200) {
            fleet.send(reporter.queryIncomplete(FirstWindow + 1), now);
            fleet.run(now, now + 200, 0);
        }
        BOOST_TEST(reporter.incompleteMembers(FirstWindow + 1).empty());
        BOOST_TEST((reporter.counts(FirstWindow + 1) == fleet.expected_.at(FirstWindow + 1)));
    }
}

// Guards against losing the counts of an instance that is killed.
BOOST_AUTO_TEST_CASE(countsOfAKilledInstanceSurviveExceptTheLastMoment)
{
    Fleet fleet(20, 4, 3);
    fleet.run(0, 8'000, 20);
    fleet.run(8'000, 8'500, 0);
    fleet.meshes_.erase(InstanceId(nameOf(7)));
    fleet.run(8'500, 11'000, 0);
    BOOST_TEST((fleet.mesh(1).counts(FirstWindow + 1) == fleet.expected_.at(FirstWindow + 1)));
}

// Guards against an incomplete report of a reporter that has just taken over without any counts.
BOOST_AUTO_TEST_CASE(aReporterThatIsNotACollectorQueriesAllCounts)
{
    Fleet fleet(20, 4, 4);
    fleet.run(0, 11'000, 20);
    fleet.meshes_.erase(InstanceId(nameOf(9)));
    fleet.send(fleet.mesh(15).queryAll(FirstWindow), 11'000);
    fleet.run(11'000, 11'300, 0);
    BOOST_TEST((fleet.mesh(15).counts(FirstWindow) == fleet.expected_.at(FirstWindow)));
    BOOST_TEST((fleet.mesh(15).counts(FirstWindow + 1) == fleet.expected_.at(FirstWindow + 1)));
    BOOST_TEST(fleet.mesh(15).knownSince() == EpochMillis);
}

// Guards against requests that are counted in the wrong window because a wall clock is wrong.
BOOST_AUTO_TEST_CASE(aWrongWallClockMovesNoRequestToAnotherWindow)
{
    Fleet fleet(20, 4, 5);
    fleet.aheadMillis_[InstanceId(nameOf(2))] = 2'000;
    fleet.aheadMillis_[InstanceId(nameOf(12))] = -2'000;
    fleet.start(InstanceId(nameOf(2)), 0);
    fleet.start(InstanceId(nameOf(12)), 0);
    fleet.run(0, 4'800, 0);
    fleet.aheadMillis_[InstanceId(nameOf(3))] = 3'000;
    fleet.run(4'800, 11'600, 20);
    BOOST_TEST((fleet.mesh(1).counts(FirstWindow + 1) == fleet.expected_.at(FirstWindow + 1)));
}

BOOST_AUTO_TEST_SUITE_END()
