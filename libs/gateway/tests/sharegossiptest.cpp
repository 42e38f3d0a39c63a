#include "almondridge/gateway/sharegossip.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <limits>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <set>

using namespace almondridge;
using namespace almondridge::gateway;

namespace {

using Json = nlohmann::json;

const ServiceId Service("chat");
constexpr double Room = 1'000;
constexpr double AboveRoom = 50'000;

TimePoint at(std::int64_t milliseconds)
{
    return TimePoint {} + millis(1'000'000 + milliseconds);
}

ShareReport reportOf(const std::string &sender, std::uint64_t lifetime, std::uint64_t sequence,
                     double asked)
{
    ShareReport report {InstanceId(sender), lifetime, sequence};
    if (asked > 0) {
        report.demand_[Service] = {{AccountId("acme"), 0, asked, 0}};
    }
    return report;
}

/** A datagram with such demand of one service. */
std::string datagramOf(const Json &entries)
{
    std::string bytes(1, ShareDatagramMark);
    Json::to_cbor(Json::array({"b", 1U, 1U, {{"chat", entries}}}), bytes);
    return bytes;
}

std::vector<InstanceId> instances(int count)
{
    std::vector<InstanceId> ids;
    ids.reserve(static_cast<std::size_t>(count));
    for (int index = 0; index < count; ++index) {
        ids.emplace_back("instance-" + std::to_string(index));
    }
    return ids;
}

ShareRequest requestOf(const std::string &account, double workMillis)
{
    return {Service, AccountId(account), 0, 0, workMillis};
}

/** An instance "a" with one peer "b", which share one engine. */
struct Pair
{
    Pair()
    {
        admission_.setRoom(Service, Room);
        admission_.setInstances(2);
        gossip_.setPeers({InstanceId("a"), InstanceId("b")});
    }

    ReceiveResult receive(const ShareReport &report, std::int64_t now)
    {
        return gossip_.onDatagram(encodeShareReport(report), at(now));
    }

    bool isShort(std::int64_t now) const { return admission_.isShort(Service, at(now)); }

    ShareAdmission admission_;
    ShareGossip gossip_ {admission_, InstanceId("a"), 7};
};

} // namespace

BOOST_AUTO_TEST_SUITE(ShareGossips)

BOOST_AUTO_TEST_CASE(reportsSurviveTheRoundTrip)
{
    ShareReport report {InstanceId("a"), 1'764'000'000'000, 12};
    report.demand_[Service] = {{AccountId("acme"), 0, 1'500.5, 1'200},
                               {AccountId("other"), 3, 20.1, 0},
                               {AccountId(), 3, 7, 7}};
    report.demand_[ServiceId("rank")] = {{AccountId("acme"), 0, 1, 1}};
    const auto decoded = decodeShareReport(encodeShareReport(report));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST(decoded->sender_.value() == "a");
    BOOST_TEST(decoded->lifetime_ == report.lifetime_);
    BOOST_TEST(decoded->sequence_ == 12U);
    BOOST_TEST((decoded->demand_ == report.demand_));
}

// Guards against demand that disappears with the accounts beyond the eighth: peers would compute
// shares of a smaller demand than the fleet has.
BOOST_AUTO_TEST_CASE(accountsBeyondTheLimitAreSummedByRank)
{
    ShareReport report {InstanceId("a"), 1, 1};
    double asked = 0;
    for (int index = 1; index <= 40; ++index) {
        const double work = index * 10;
        asked += work;
        report.demand_[Service].push_back(
            {AccountId("account-" + std::to_string(index)), index % 20, work, work / 2});
    }
    const auto decoded = decodeShareReport(encodeShareReport(report));
    BOOST_REQUIRE(decoded.has_value());
    const std::vector<AccountDemand> &demand = decoded->demand_.at(Service);
    BOOST_TEST(demand.size() == ShareReportLimits::MaxAccounts + ShareReportLimits::MaxSums);
    double told = 0;
    for (std::size_t index = 0; index < demand.size(); ++index) {
        const bool isListed = index < ShareReportLimits::MaxAccounts;
        BOOST_TEST(demand[index].account_.empty() == !isListed);
        BOOST_TEST((!isListed || demand[index].asked_ > 320));
        told += demand[index].asked_;
    }
    BOOST_TEST(std::abs(told - asked) < 1);
}

// Guards against one datagram that ends the process or is taken in part.
BOOST_AUTO_TEST_CASE(truncatedAndGarbageBytesAreDropped)
{
    ShareReport report = reportOf("b", 1, 1, 2'000);
    report.demand_[ServiceId("rank")] = {{AccountId("other"), 1, 70'000, 30}};
    const std::string bytes = encodeShareReport(report);
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        BOOST_TEST(!decodeShareReport(bytes.substr(0, length)).has_value());
    }
    BOOST_TEST(!decodeShareReport(bytes + "x").has_value());
    std::mt19937_64 random(5);
    for (int round = 0; round < 20'000; ++round) {
        std::string changed = bytes;
        for (int change = 0; change < 3; ++change) {
            changed[random() % changed.size()] = static_cast<char>(random());
        }
        if (const auto decoded = decodeShareReport(changed)) {
            for (const auto &[service, demand] : decoded->demand_) {
                for (const AccountDemand &one : demand) {
                    const double most = ShareReportLimits::MaxWork;
                    const bool inRange = one.asked_ >= 0 && one.asked_ <= most && one.admitted_ >= 0
                                         && one.admitted_ <= most && one.rank_ >= 0;
                    BOOST_TEST(inRange);
                }
            }
        }
        std::string garbage(1 + random() % 60, ShareDatagramMark);
        for (std::size_t index = 1; index < garbage.size(); ++index) {
            garbage[index] = static_cast<char>(random());
        }
        BOOST_TEST(!decodeShareReport(garbage).has_value());
    }
}

// Guards against shares computed from values that no instance can have measured.
BOOST_AUTO_TEST_CASE(impossibleValuesDropTheWholeDatagram)
{
    const Json valid = Json::array({"other", 0U, 1U, 1U});
    BOOST_TEST(decodeShareReport(datagramOf(Json::array({valid}))).has_value());
    const double infinity = std::numeric_limits<double>::infinity();
    const std::vector<Json> invalidWork {-1,  infinity, std::nan(""), 1e12, 20'000'000'000U,
                                         "1", nullptr};
    for (const Json &work : invalidWork) {
        BOOST_TEST(!decodeShareReport(datagramOf({valid, {"acme", 0U, work, 0U}})).has_value());
        BOOST_TEST(!decodeShareReport(datagramOf({valid, {"acme", 0U, 0U, work}})).has_value());
        BOOST_TEST(!decodeShareReport(datagramOf({valid, {"acme", work, 0U, 0U}})).has_value());
    }
    BOOST_TEST(!decodeShareReport(datagramOf({valid, {"acme", 0U, 0U}})).has_value());
    BOOST_TEST(!decodeShareReport(datagramOf({valid, valid})).has_value());
    const std::string longName(ShareReportLimits::MaxNameBytes + 1, 'n');
    BOOST_TEST(!decodeShareReport(datagramOf({valid, {longName, 0U, 1U, 1U}})).has_value());
}

// Guards against datagrams that make an instance keep any number of accounts or services.
BOOST_AUTO_TEST_CASE(tooManyEntriesDropTheWholeDatagram)
{
    Json accounts = Json::array();
    Json sums = Json::array();
    for (unsigned index = 0; index <= ShareReportLimits::MaxAccounts; ++index) {
        accounts.push_back(Json::array({"account-" + std::to_string(index), 0U, 1U, 1U}));
        sums.push_back(Json::array({"", index, 1U, 1U}));
    }
    BOOST_TEST(!decodeShareReport(datagramOf(accounts)).has_value());
    BOOST_TEST(!decodeShareReport(datagramOf(sums)).has_value());
    Json services = Json::object();
    for (std::size_t index = 0; index <= ShareReportLimits::MaxServices; ++index) {
        services["service-" + std::to_string(index)] = Json::array();
    }
    std::string bytes(1, ShareDatagramMark);
    Json::to_cbor(Json::array({"b", 1U, 1U, services}), bytes);
    BOOST_TEST(!decodeShareReport(bytes).has_value());
}

BOOST_FIXTURE_TEST_CASE(doubledAndLateDatagramsChangeNothing, Pair)
{
    BOOST_TEST((receive(reportOf("b", 1, 5, AboveRoom), 0) == ReceiveResult::Accepted));
    BOOST_TEST(isShort(10));
    receive(reportOf("b", 1, 4, 0), 20);
    BOOST_TEST(isShort(30));
    receive(reportOf("b", 1, 6, 0), 40);
    BOOST_TEST(!isShort(50));
    receive(reportOf("b", 1, 5, AboveRoom), 60);
    receive(reportOf("b", 1, 6, AboveRoom), 70);
    BOOST_TEST(!isShort(80));
}

// Guards against the reports of a restarted instance, whose sequence starts anew, being taken for
// old ones, and against late ones of its former process being taken.
BOOST_FIXTURE_TEST_CASE(restartedSenderReplacesItsFormerReports, Pair)
{
    receive(reportOf("b", 1, 900, AboveRoom), 0);
    BOOST_TEST(isShort(10));
    receive(reportOf("b", 2, 1, 0), 20);
    BOOST_TEST(!isShort(30));
    receive(reportOf("b", 1, 901, AboveRoom), 40);
    BOOST_TEST(!isShort(50));
}

// Guards against an instance's own demand being counted twice, and against senders that are no
// instances of the fleet.
BOOST_FIXTURE_TEST_CASE(reportsOfSelfAndStrangersAreIgnored, Pair)
{
    BOOST_TEST((receive(reportOf("a", 7, 1, AboveRoom), 0) == ReceiveResult::UnknownSender));
    BOOST_TEST((receive(reportOf("x", 1, 1, AboveRoom), 0) == ReceiveResult::UnknownSender));
    BOOST_TEST((gossip_.onDatagram("S", at(0)) == ReceiveResult::Malformed));
    BOOST_TEST(!isShort(10));
}

// Guards against traffic of deployments and hours without demand, and against a last report that
// leaves peers with demand which is over.
BOOST_FIXTURE_TEST_CASE(nothingIsSentAfterTheEndOfDemandWasReported, Pair)
{
    BOOST_TEST(gossip_.tick(at(0)).empty());
    admission_.admit(requestOf("acme", 100), 1, at(300));
    const std::vector<MeshDatagram> first = gossip_.tick(at(300));
    BOOST_REQUIRE(first.size() == 1U);
    BOOST_TEST(first.front().to_.value() == "b");
    const auto report = decodeShareReport(first.front().bytes_);
    BOOST_REQUIRE(report.has_value());
    BOOST_TEST(report->sender_.value() == "a");
    BOOST_TEST(report->lifetime_ == 7U);
    BOOST_TEST(report->demand_.at(Service).front().asked_ > 0);
    BOOST_TEST(gossip_.tick(at(400)).empty());
    std::uint64_t sequence = report->sequence_;
    int withoutDemand = 0;
    for (std::int64_t now = 550; now < 20'000; now += 50) {
        for (const MeshDatagram &datagram : gossip_.tick(at(now))) {
            const auto next = decodeShareReport(datagram.bytes_);
            BOOST_REQUIRE(next.has_value());
            BOOST_TEST(next->sequence_ > sequence);
            sequence = next->sequence_;
            withoutDemand += next->demand_.empty() ? 1 : 0;
        }
    }
    BOOST_TEST(withoutDemand == 1);
}

// Guards against traffic that grows with the square of the fleet's size, and against peers that
// get no report before the one before has expired.
BOOST_AUTO_TEST_CASE(largeFleetIsSentToInTurn)
{
    constexpr int Instances = 985;
    constexpr std::int64_t ExpireMillis = 1'500;
    ShareAdmission admission;
    admission.setRoom(Service, Room);
    admission.setInstances(Instances);
    ShareGossip gossip(admission, InstanceId("instance-500"), 1);
    gossip.setPeers(instances(Instances));
    std::map<InstanceId, std::int64_t> sentAt;
    for (std::int64_t now = 0; now < 10'000; now += 50) {
        admission.admit(requestOf("acme", 1), 1, at(now));
        const std::vector<MeshDatagram> sent = gossip.tick(at(now));
        BOOST_TEST(sent.size() <= ShareGossip::MaxReceivers);
        std::set<InstanceId> receivers;
        for (const MeshDatagram &datagram : sent) {
            receivers.insert(datagram.to_);
            const auto before = sentAt.find(datagram.to_);
            BOOST_TEST((before == sentAt.end() || now - before->second < ExpireMillis));
            sentAt[datagram.to_] = now;
        }
        BOOST_TEST(receivers.size() == sent.size());
    }
    BOOST_TEST(sentAt.size() == std::size_t {Instances - 1});
    BOOST_TEST(!sentAt.contains(InstanceId("instance-500")));
}

// The traffic that the header states is based on this size.
BOOST_AUTO_TEST_CASE(usualReportIsSmall)
{
    ShareReport report {InstanceId("instance-500"), 1'764'000'000'000, 100'000};
    for (int index = 0; index < 30; ++index) {
        report.demand_[ServiceId("chat-large")].push_back(
            {AccountId("customer-" + std::to_string(index)), index % 2, 1'000.0 + index, 900});
    }
    const std::size_t bytes = encodeShareReport(report).size();
    BOOST_TEST_MESSAGE("bytes of a usual report: " << bytes);
    BOOST_TEST(bytes <= 240U);
}

BOOST_AUTO_TEST_SUITE_END()
