#include "membership.h"
#include "rendezvous.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace almondridge;
using namespace almondridge::peers;

namespace {

constexpr Duration Second = std::chrono::seconds(1);
constexpr Duration TestTimeout = 3 * Second;
constexpr Duration TestRetention = 60 * Second;
const TimePoint Start = TimePoint(std::chrono::hours(1));

PeerIdentity identity(const std::string &id, const std::string &domain = "north",
                      std::uint16_t port = 1, std::uint64_t incarnation = 10)
{
    return {InstanceId(id), DomainId(domain), {"127.0.0.1", port}, incarnation, false};
}

Membership membershipOf(const std::string &id, double budget = 0)
{
    return Membership({identity(id, "north", 999), Second, TestTimeout, TestRetention, budget});
}

Heartbeat heartbeatFrom(const PeerIdentity &sender, std::uint64_t sequence = 1)
{
    Heartbeat heartbeat;
    heartbeat.sender_ = sender;
    heartbeat.sequence_ = sequence;
    heartbeat.nextWithinMillis_ = 1'500;
    heartbeat.digest_ = sequence;
    return heartbeat;
}

std::vector<MemberEventKind> kindsOf(const std::vector<MemberEvent> &events)
{
    std::vector<MemberEventKind> kinds;
    kinds.reserve(events.size());
    for (const MemberEvent &event : events) {
        kinds.push_back(event.kind_);
    }
    return kinds;
}

bool hasOnlyEvent(Membership &membership, MemberEventKind kind)
{
    return kindsOf(membership.takeEvents()) == std::vector {kind};
}

/** Adds count members of domain with heartbeats at now. */
void fill(Membership &membership, const std::string &domain, int count, TimePoint now)
{
    for (int index = 0; index < count; ++index) {
        const auto port = static_cast<std::uint16_t>(2'000 + index);
        PeerIdentity member = identity(domain + std::to_string(index), domain, port);
        member.address_.ip_ = domain == "north" ? "127.0.0.2" : "127.0.0.3";
        membership.onHeartbeat(heartbeatFrom(member), now);
    }
    membership.takeEvents();
}

/** A heartbeat of one member of domain that lists the other count - 1. */
Heartbeat listing(const std::string &domain, int count, std::uint64_t sequence)
{
    Heartbeat heartbeat = heartbeatFrom(identity(domain + "0", domain, 3'000), sequence);
    for (int index = 1; index < count; ++index) {
        heartbeat.members_.push_back(identity(domain + std::to_string(index), domain,
                                              static_cast<std::uint16_t>(3'000 + index)));
    }
    return heartbeat;
}

std::size_t aliveIn(const Membership &membership, const std::string &domain)
{
    std::size_t alive = 0;
    for (const Member &member : membership.members()) {
        alive += member.alive_ && member.domain_.value() == domain ? 1 : 0;
    }
    return alive;
}

} // namespace

BOOST_AUTO_TEST_SUITE(MembershipRules)

BOOST_AUTO_TEST_CASE(aMemberIsAliveUntilItsDeadlineThenSuspectedThenDropped)
{
    Membership membership = membershipOf("a");
    membership.onHeartbeat(heartbeatFrom(identity("b")), Start);
    BOOST_TEST(hasOnlyEvent(membership, MemberEventKind::Joined));
    membership.advance(Start + TestTimeout - Duration(1));
    BOOST_TEST(membership.members().at(0).alive_);
    membership.advance(Start + TestTimeout);
    BOOST_TEST(hasOnlyEvent(membership, MemberEventKind::Suspected));
    BOOST_TEST(!membership.members().at(0).alive_);
    membership.onHeartbeat(heartbeatFrom(identity("b"), 2), Start + TestTimeout);
    BOOST_TEST(hasOnlyEvent(membership, MemberEventKind::Back));
    membership.advance(Start + 3 * TestTimeout);
    membership.takeEvents();
    membership.advance(Start + 3 * TestTimeout + TestRetention);
    BOOST_TEST(hasOnlyEvent(membership, MemberEventKind::Dropped));
    BOOST_TEST(membership.members().empty());
}

BOOST_AUTO_TEST_CASE(lowerIdStartsTheExchangeAndHigherIdOnlyAsFallback)
{
    Membership lower = membershipOf("a");
    Membership higher = membershipOf("c");
    lower.onHeartbeat(heartbeatFrom(identity("b")), Start);
    higher.onHeartbeat(heartbeatFrom(identity("b")), Start);
    BOOST_TEST(lower.advance(Start + Second).size() == 1U);
    BOOST_TEST(higher.advance(Start + Second).empty());
    BOOST_TEST(higher.advance(Start + Second + Second / 2).size() == 1U);
}

BOOST_AUTO_TEST_CASE(seedProbesAreLimitedAndBackOffOnFailure)
{
    Membership membership = membershipOf("a");
    std::vector<PeerAddress> addresses;
    for (std::uint16_t port = 1; port <= 5; ++port) {
        addresses.push_back({"127.0.0.1", port});
    }
    addresses.push_back({"127.0.0.1", 999}); // Its own address.
    membership.seed(addresses, Start);
    BOOST_TEST(membership.advance(Start).size() == 3U);
    BOOST_TEST(membership.advance(Start).empty());
    for (std::uint16_t port = 1; port <= 3; ++port) {
        membership.onNoAnswer({"127.0.0.1", port}, Start);
    }
    const auto second = membership.advance(Start + Second);
    BOOST_REQUIRE(second.size() == 2U);
    BOOST_TEST(second.at(0).address_.port_ == 4);
    BOOST_TEST(membership.advance(Start + 2 * Second).size() == 3U);
}

BOOST_AUTO_TEST_CASE(answeredSeedIsNotProbedWhileItsMemberIsAlive)
{
    Membership membership = membershipOf("a");
    membership.seed({{"127.0.0.1", 7}}, Start);
    membership.advance(Start);
    // The instance answered at the seed address, but advertises another one.
    membership.onHeartbeat(heartbeatFrom(identity("b", "north", 8)), Start,
                           PeerAddress {"127.0.0.1", 7});
    for (const HeartbeatTarget &target : membership.advance(Start + 2 * Second)) {
        BOOST_TEST(target.address_.port_ == 8);
    }
}

// Guards against a leaving instance being marked as staying again, so that it gets requests: an
// older heartbeat from another connection may be read after the one that announced the shutdown.
BOOST_AUTO_TEST_CASE(anOlderHeartbeatDoesNotUndoLeaving)
{
    Membership membership = membershipOf("a");
    PeerIdentity member = identity("b");
    membership.onHeartbeat(heartbeatFrom(member, 1), Start);
    member.leaving_ = true;
    membership.onHeartbeat(heartbeatFrom(member, 3), Start);
    member.leaving_ = false;
    BOOST_TEST((membership.onHeartbeat(heartbeatFrom(member, 2), Start) == HeartbeatResult::Stale));
    BOOST_TEST(membership.members().at(0).leaving_);
    BOOST_TEST(membership.members().at(0).digest_ == 3);
    membership.takeEvents();
    membership.onNoAnswer(member.address_, Start + Second);
    BOOST_TEST(hasOnlyEvent(membership, MemberEventKind::Left));
}

// Guards against an id that alternates between two processes: one is paused, another one starts
// with the same id, then the first resumes.
BOOST_AUTO_TEST_CASE(aPausedProcessDoesNotGetItsIdBack)
{
    Membership membership = membershipOf("a");
    membership.onHeartbeat(heartbeatFrom(identity("b", "north", 1, 10), 50), Start);
    membership.takeEvents();
    membership.onHeartbeat(heartbeatFrom(identity("b", "north", 2, 20), 1), Start + Second);
    BOOST_TEST(hasOnlyEvent(membership, MemberEventKind::Restarted));
    BOOST_TEST(membership.members().at(0).address_.port_ == 2);
    const Heartbeat old = heartbeatFrom(identity("b", "north", 1, 10), 51);
    BOOST_TEST((membership.onHeartbeat(old, Start + Second) == HeartbeatResult::OldIncarnation));
    // Once the newer one is dead, a wrong wall clock must not block the id permanently.
    membership.advance(Start + 2 * TestTimeout);
    BOOST_TEST((membership.onHeartbeat(old, Start + 2 * TestTimeout) == HeartbeatResult::Fresh));
}

BOOST_AUTO_TEST_CASE(duplicateOwnIdIsReported)
{
    Membership membership = membershipOf("a");
    BOOST_TEST((membership.onHeartbeat(heartbeatFrom(identity("a", "north", 5, 99)), Start)
                == HeartbeatResult::Self));
    BOOST_TEST(hasOnlyEvent(membership, MemberEventKind::DuplicateId));
    BOOST_TEST(membership.members().empty());
}

// Guards against requests reaching the wrong instance when a replaced instance's address is reused
// by one with a new id, so that two members have the same address.
BOOST_AUTO_TEST_CASE(instanceThatAnswersAtAnAddressOwnsIt)
{
    Membership membership = membershipOf("a");
    membership.onHeartbeat(heartbeatFrom(identity("b", "north", 7)), Start);
    membership.takeEvents();
    // A claim alone does not take over a live member's address; the member is probed.
    membership.onHeartbeat(heartbeatFrom(identity("c", "north", 7)), Start);
    BOOST_TEST(membership.members().size() == 2U);
    BOOST_TEST(!membership.advance(Start).empty());
    membership.takeEvents();
    membership.onHeartbeat(heartbeatFrom(identity("c", "north", 7), 2), Start,
                           PeerAddress {"127.0.0.1", 7});
    BOOST_TEST(hasOnlyEvent(membership, MemberEventKind::AddressTaken));
    BOOST_REQUIRE(membership.members().size() == 1U);
    BOOST_TEST(membership.members().at(0).instance_.value() == "c");
}

BOOST_AUTO_TEST_CASE(ownDomainIsFullyLinkedAndOthersThroughGateways)
{
    Membership membership = membershipOf("a");
    fill(membership, "north", 36, Start);
    fill(membership, "south", 37, Start);
    std::size_t ownDomain = 0;
    std::size_t crossDomain = 0;
    for (const HeartbeatTarget &target : membership.advance(Start + 2 * Second)) {
        (target.instance_.value().rfind("north", 0) == 0 ? ownDomain : crossDomain) += 1;
    }
    BOOST_TEST(ownDomain == 36U);
    BOOST_TEST(crossDomain == GatewaysPerDomain);
}

BOOST_AUTO_TEST_CASE(gatewaysAreSpreadOverADomain)
{
    std::map<int, int> chosen;
    for (int self = 0; self < 300; ++self) {
        std::pair<std::uint64_t, int> best {0, -1};
        for (int other = 0; other < 10; ++other) {
            const InstanceId selfId("north" + std::to_string(self));
            const InstanceId otherId("south" + std::to_string(other));
            best = std::max(best, {gatewayWeight(selfId, otherId), other});
        }
        ++chosen[best.second];
    }
    BOOST_TEST(chosen.size() == 10U);
    for (const auto &[other, count] : chosen) {
        BOOST_TEST(count < 60); // 30 each for an even distribution.
    }
}

// Guards against marking most of a healthy remote domain dead: only a few of its members have a
// link, and the others' liveness comes from those members' reports instead of own heartbeats.
BOOST_AUTO_TEST_CASE(membersWithoutALinkStayAliveByReportsOfTheirDomain)
{
    Membership membership = membershipOf("a");
    std::set<InstanceId> asked;
    TimePoint now = Start;
    for (std::uint64_t round = 1; round < 20; ++round) {
        membership.onHeartbeat(listing("south", 10, round), now);
        for (const HeartbeatTarget &target : membership.advance(now)) {
            asked.insert(target.instance_);
            PeerIdentity answering = identity(target.instance_.value(), "south");
            answering.address_ = target.address_;
            membership.onHeartbeat(heartbeatFrom(answering, round), now, target.address_);
        }
        BOOST_TEST(aliveIn(membership, "south") == 10U);
        now += Second;
    }
    BOOST_TEST(asked.size() <= GatewaysPerDomain);
    membership.advance(now + 2 * TestTimeout);
    BOOST_TEST(aliveIn(membership, "south") == 0U);
}

// Guards against losing contact with another domain: if its gateways are unreachable from here but
// reported alive by their domain, those reports must not prevent choosing other gateways.
BOOST_AUTO_TEST_CASE(unresponsiveGatewayIsReplaced)
{
    Membership membership = membershipOf("a");
    std::set<InstanceId> asked;
    TimePoint now = Start;
    for (std::uint64_t round = 1; round < 20; ++round) {
        membership.onHeartbeat(listing("south", 10, round), now);
        for (const HeartbeatTarget &target : membership.advance(now)) {
            asked.insert(target.instance_);
        }
        now += Second;
    }
    BOOST_TEST(asked.size() > GatewaysPerDomain);
}

BOOST_AUTO_TEST_CASE(indirectReportsAreIgnoredForTheOwnDomain)
{
    Membership membership = membershipOf("z");
    membership.onHeartbeat(listing("north", 3, 1), Start);
    BOOST_TEST(aliveIn(membership, "north") == 1U);
    BOOST_TEST(membership.advance(Start).size() == 2U);
}

BOOST_AUTO_TEST_CASE(membersAreListedOnlyToPeersWithDifferentHashes)
{
    Membership one = membershipOf("a");
    Membership two({identity("b", "north", 2), Second, TestTimeout, TestRetention, 0});
    const auto exchange = [&](TimePoint now) {
        two.onHeartbeat(one.compose(InstanceId("b"), nullptr), now);
        const Heartbeat answer = two.compose(InstanceId("a"), nullptr);
        one.onHeartbeat(answer, now);
        return answer.members_.size();
    };
    two.onHeartbeat(heartbeatFrom(identity("c", "north", 3)), Start);
    two.onHeartbeat(heartbeatFrom(identity("d", "south", 4)), Start);
    BOOST_TEST(exchange(Start) == 3U);
    // Once "a" has direct heartbeats from "c" and "d", both sides' hashes match.
    one.onHeartbeat(heartbeatFrom(identity("c", "north", 3)), Start);
    one.onHeartbeat(heartbeatFrom(identity("d", "south", 4)), Start);
    BOOST_TEST(exchange(Start) == 0U);
    BOOST_TEST(one.compose(InstanceId("b"), nullptr).members_.empty());
}

BOOST_AUTO_TEST_CASE(intervalsStretchToTheBudgetAndAreAnnounced)
{
    Membership membership = membershipOf("a", 1'000);
    fill(membership, "north", 36, Start);
    fill(membership, "south", 2, Start);
    // 38 links with 26 bytes each fit the budget; with 27, cross-domain links slow down first.
    membership.setExchangeBytes(26);
    BOOST_TEST(toMillis(membership.intervalTo(DomainId("south"))) == 1'000);
    membership.setExchangeBytes(27);
    BOOST_TEST(toMillis(membership.intervalTo(DomainId("north"))) == 1'000);
    BOOST_TEST(toMillis(membership.intervalTo(DomainId("south"))) == 1'928);
    // 36 links and 2 at a quarter of the rate, 500 bytes each, at 1,000 bytes per second.
    membership.setExchangeBytes(500);
    BOOST_TEST(toMillis(membership.intervalTo(DomainId("north"))) == 18'250);
    BOOST_TEST(toMillis(membership.intervalTo(DomainId("south"))) == 4 * 18'250);
    const Heartbeat sent = membership.compose(InstanceId("south0"), nullptr);
    BOOST_TEST(sent.nextWithinMillis_ == 4 * 18'250 * 3 / 2);
    Membership receiver({identity("south0", "south"), Second, TestTimeout, TestRetention, 0});
    receiver.onHeartbeat(sent, Start);
    receiver.advance(Start + 100 * Second);
    BOOST_TEST(receiver.members().at(0).alive_);
    // Three of the sender's 73-second intervals.
    receiver.advance(Start + 3 * std::chrono::seconds(73));
    BOOST_TEST(!receiver.members().at(0).alive_);
}

BOOST_AUTO_TEST_SUITE_END()
