#include "treesupport.h"

#include "almondridge/replication/protocol.h"

#include "../../async/tests/loopsupport.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <random>

using namespace almondridge;
using namespace almondridge::replication;
using async::testing::runUntil;

namespace {

/** Time until an accepted configuration must be in force everywhere. */
constexpr Duration ConfigBound = millis(3'000);
constexpr double NarrowMbps = 10;
constexpr double WideMbps = 1'000;
constexpr int LargeRoutes = 4'250;

std::string randomName(std::mt19937_64 &random)
{
    std::string name;
    for (int letter = 0; letter < 8; ++letter) {
        name += static_cast<char>(std::uniform_int_distribution<int>('a', 'z')(random));
    }
    return name;
}

/** About 240 bytes per route; the names are random. */
std::string configurationOf(int routes)
{
    std::mt19937_64 random(4'711);
    std::string text = R"({"version":19,"routes":[)";
    for (int number = 0; number < routes; ++number) {
        text += fmt::format(
            R"({}{{"name":"r-{}","host":"{}.example","path-prefix":"/{}/","service":"{}",)"
            R"("kind":"streaming","max-attempts":2,"timeout-ms":5000,"target-latency-ms":600,)"
            R"("gap-aim-ms":250,"priority":1,"resumable":true,"sticky":true}})",
            number > 0 ? "," : "", randomName(random), randomName(random), randomName(random),
            number % 2 == 0 ? "desk" : "matching");
    }
    return text + "]}";
}

/** A reader that serves a follower over a loopback connection. */
struct ReaderAndFollower
{
    ReaderAndFollower() { BOOST_REQUIRE(server_.listen({"127.0.0.1", 0})); }

    /** Returns the bytes of the response that carried the configuration. */
    std::size_t sendConfiguration(const std::string &text)
    {
        const TimePoint now = BootClock::now();
        source_.put({Topic::Config, "config", text, 4});
        source_.onRead(Topic::Config, now, 5);
        source_.onRead(Topic::Endpoints, now, 1);
        client_.follow({"127.0.0.1", server_.port()}, false);
        runUntil(loop_, [&] { return follower_.has(Topic::Config, "config"); });
        return answerBytes_;
    }

    async::EventLoop loop_;
    TopicReplica source_ {[](const Change &) {}};
    std::string received_;
    TopicReplica follower_ {[this](const Change &change) { received_ = change.value_; }};
    ReplicationServer relay_ {loop_, source_, 1};
    async::HttpServer server_ {
        loop_,
        {[this](const async::ServerCall &call) { relay_.answer(server_, call); },
         [this](const async::CallId &id) { relay_.forget(id); },
         {}}};
    std::size_t answerBytes_ = 0;
    ReplicationClient client_ {loop_,
                               {[this](const ChangeSet &set) {
                                    answerBytes_ = client_.progress().bytes_;
                                    follower_.apply(set);
                                },
                                [](PeerFailure) {}}};
};

Duration timeToSend(std::size_t bytes, double linkMbps)
{
    constexpr double BitsOfByte = 8;
    constexpr double BitsOfMegabit = 1e6;
    const double seconds = static_cast<double>(bytes) * BitsOfByte / (linkMbps * BitsOfMegabit);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

/** The links of a failure domain; the first instances have fast ones. */
struct DomainLinks
{
    int count_ = 0;
    int wide_ = 0;
    double narrowMbps_ = NarrowMbps;
};

std::vector<Member> membersOf(const DomainLinks &domain)
{
    std::vector<Member> members;
    members.reserve(static_cast<std::size_t>(domain.count_));
    for (int number = 0; number < domain.count_; ++number) {
        members.push_back({InstanceId("instance-" + std::to_string(number)),
                           number < domain.wide_ ? WideMbps : domain.narrowMbps_});
    }
    return members;
}

/**
 * Time until the last instance of a failure domain has what its readers read. Each instance sends
 * to all of its followers at once, after it has received everything itself.
 */
Duration timeToAll(const std::vector<Member> &members, std::size_t readBytes,
                   std::size_t answerBytes)
{
    const auto parents = testing::parentsOf(members);
    std::map<InstanceId, std::size_t> followers;
    std::map<InstanceId, double> links;
    for (const Member &member : members) {
        links[member.id_] = member.linkMbps_;
    }
    for (const auto &[id, parent] : parents) {
        ++followers[parent];
    }
    Duration last {};
    for (const Member &member : members) {
        Duration transferTime {};
        InstanceId id = member.id_;
        for (auto at = parents.find(id); at != parents.end(); at = parents.find(id)) {
            const InstanceId &parent = at->second;
            transferTime += std::max(timeToSend(answerBytes * followers[parent], links[parent]),
                                     timeToSend(answerBytes, links[id]));
            id = parent;
        }
        last = std::max(last, transferTime + timeToSend(readBytes, links[id]));
    }
    return last;
}

void checkReachesAll(const std::string &text, std::size_t answerBytes, const DomainLinks &domain)
{
    const Duration last = timeToAll(membersOf(domain), text.size(), answerBytes);
    BOOST_TEST((last <= ConfigBound), domain.count_ << " instances, " << domain.wide_
                                                    << " wide: " << toMillis(last) << " ms, "
                                                    << answerBytes << " bytes an answer");
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationTransfers)

// Guards against a configuration of thousands of routes that arrives late in a failure domain
// without fast links: each reader sends all of it to many followers over 10 Mbit/s.
BOOST_AUTO_TEST_CASE(aLargeConfigurationReachesAllOverNarrowLinksWithinItsBound)
{
    const std::string text = configurationOf(LargeRoutes);
    ReaderAndFollower pair;
    const std::size_t answerBytes = pair.sendConfiguration(text);
    BOOST_TEST((pair.received_ == text));
    for (const int count : {30, 200}) {
        checkReachesAll(text, answerBytes, {count, 0});
    }
}

// Guards against a change that takes longer as the fleet grows: failure domains of fleets of 985
// and of 2,000 instances, a twentieth of them with fast links.
BOOST_AUTO_TEST_CASE(aLargeConfigurationReachesALargeDomainWithinItsBound)
{
    constexpr double NarrowMbpsOfAFleet = 20;
    const std::string text = configurationOf(4 * LargeRoutes);
    ReaderAndFollower pair;
    const std::size_t answerBytes = pair.sendConfiguration(text);
    for (const int count : {197, 400}) {
        checkReachesAll(text, answerBytes, {count, count / 20, NarrowMbpsOfAFleet});
    }
}

BOOST_AUTO_TEST_SUITE_END()
