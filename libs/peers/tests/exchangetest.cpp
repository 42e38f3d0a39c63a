#include "almondridge/observe/timeline.h"
#include "testpeers.h"

#include <boost/test/unit_test.hpp>
#include <future>

using namespace almondridge;
using namespace almondridge::peers;
using namespace almondridge::peers::test;

namespace {

constexpr Duration Hour = std::chrono::hours(1);

/** Blocks the handlers that wait on it until it is opened. */
class Gate
{
public:
    void open()
    {
        if (!opened_.exchange(true)) {
            promise_.set_value();
        }
    }
    void wait()
    {
        ++waiting_;
        future_.wait();
    }
    int waiting() const { return waiting_; }

private:
    std::promise<void> promise_;
    std::shared_future<void> future_ = promise_.get_future().share();
    std::atomic<bool> opened_ = false;
    std::atomic<int> waiting_ = 0;
};

/**
 * Opens the gate when a test ends. Declare it after the exchanges, whose destructors wait for their
 * handlers, also when the test fails.
 */
class GateOpener
{
public:
    explicit GateOpener(Gate &gate)
        : gate_(gate)
    { }
    ~GateOpener() { gate_.open(); }
    GateOpener(const GateOpener &) = delete;
    GateOpener &operator=(const GateOpener &) = delete;

private:
    Gate &gate_;
};

observe::Timeline timelineOf(const std::string &id)
{
    return {InstanceId(id), DomainId("north"), 10'000};
}

bool hasEvent(const observe::Timeline &timeline, std::string_view name,
              std::string_view detail = {})
{
    const auto events = timeline.events();
    return std::any_of(events.begin(), events.end(), [&](const observe::Event &event) {
        return event.name_ == name && event.detail_.find(detail) != std::string::npos;
    });
}

/** A digest source that counts its calls. */
DigestSource countingDigest(std::atomic<int> &count)
{
    return [&count] { return nlohmann::json(++count); };
}

} // namespace

BOOST_AUTO_TEST_SUITE(Exchange)

BOOST_AUTO_TEST_CASE(twoInstancesDiscoverEachOtherFromOneSeedAndDeliverDigests)
{
    std::atomic<bool> delivered = false;
    auto listening = builder("a");
    listening.onDigest([&](const Member &member) {
        delivered = member.instance_.value() == "b" && member.digest_.at("from") == "b";
    });
    const auto first = launch(listening);
    const auto second = launch(builder("b", "south"), {addressOf(*first)});
    BOOST_TEST(eventually([&] { return seesAlive(*first, "b") && seesAlive(*second, "a"); }));
    // Heartbeats don't wait for the digest source, so the first one may carry no digest.
    BOOST_TEST(eventually([&] {
        const auto member = memberOf(*second, "a");
        return member && member->digest_.is_object() && member->digest_.at("from") == "a";
    }));
    BOOST_TEST(memberOf(*first, "b")->domain_.value() == "south");
    BOOST_TEST(memberOf(*first, "b")->address_.port_ == second->port());
    BOOST_TEST(eventually([&] { return delivered.load(); }));
}

BOOST_AUTO_TEST_CASE(fiveInstancesDiscoverEachOtherFromOneSeed)
{
    std::vector<std::unique_ptr<PeerExchange>> all;
    all.push_back(launch(builder("0")));
    for (int index = 1; index < 5; ++index) {
        all.push_back(launch(builder(std::to_string(index), index % 2 == 0 ? "north" : "south"),
                             {addressOf(*all.front())}));
    }
    const auto seesAll = [&](const auto &exchange) {
        const auto members = exchange->members();
        return members.size() == 4
               && std::all_of(members.begin(), members.end(),
                              [](const Member &member) { return member.alive_; });
    };
    BOOST_TEST(eventually([&] { return std::all_of(all.begin(), all.end(), seesAll); }));
}

// Guards against members of another domain that are missing, or stay alive after their death:
// those without a link are known only from gateways' reports, which may fail to spread, or may
// keep a dead member alive by circulating.
BOOST_AUTO_TEST_CASE(membersWithoutALinkAndTheirDeathAreKnownAcrossDomains)
{
    const Duration timeout = millis(1'000);
    std::vector<std::unique_ptr<PeerExchange>> all;
    for (int index = 0; index < 10; ++index) {
        std::vector<PeerAddress> seeds;
        if (!all.empty()) {
            seeds.push_back(addressOf(*all.front()));
        }
        auto next = builder(std::to_string(index), index < 5 ? "north" : "south");
        all.push_back(launch(next.heartbeat(Interval, timeout), seeds));
    }
    const auto aliveSeenBy = [](const auto &exchange) {
        const auto members = exchange->members();
        return std::count_if(members.begin(), members.end(),
                             [](const Member &member) { return member.alive_; });
    };
    const auto allSee = [&](std::ptrdiff_t count) {
        return eventually([&] {
            return std::all_of(all.begin(), all.end(), [&](const auto &exchange) {
                return aliveSeenBy(exchange) == count;
            });
        });
    };
    BOOST_TEST(allSee(9));
    all.pop_back();
    BOOST_TEST(allSee(8));
}

BOOST_AUTO_TEST_CASE(wrongSettingsAreRefusedWithARemedy)
{
    std::vector<PeerExchange::Builder> wrong {builder(""), builder("a"), builder("b"), builder("c"),
                                              builder("d")};
    wrong[1].key("short");
    wrong[2].heartbeat(millis(100), millis(150));
    wrong[3].listen({"0.0.0.0", 0});
    wrong[4].handle("heartbeat", [](const InstanceId &, const nlohmann::json &) {
        return Result<nlohmann::json>(nullptr);
    });
    for (PeerExchange::Builder &settings : wrong) {
        const auto exchange = settings.build();
        const auto started = capture([&] { return exchange->start(); });
        BOOST_REQUIRE(started.index() == 1U);
        BOOST_TEST((std::get<Error>(started).kind_ == ErrorKind::InvalidInput));
        BOOST_TEST(!std::get<Error>(started).remedy_.empty());
    }
    const auto first = launch(builder("a"));
    const auto second = builder("b").listen(addressOf(*first)).build();
    const auto started = capture([&] { return second->start(); });
    BOOST_TEST((std::get<Error>(started).kind_ == ErrorKind::Unavailable));
}

BOOST_AUTO_TEST_CASE(concurrentRequestsEachGetTheirOwnAnswer)
{
    const auto first = launch(builder("a"));
    const auto second = launch(builder("b"), {addressOf(*first)});
    BOOST_REQUIRE(eventually([&] { return seesAlive(*second, "a") && seesAlive(*first, "b"); }));
    constexpr int Threads = 6;
    constexpr int Requests = 50;
    std::atomic<int> right = 0;
    std::vector<std::thread> threads;
    threads.reserve(Threads);
    for (int thread = 0; thread < Threads; ++thread) {
        threads.emplace_back([&, thread] {
            PeerExchange &from = thread % 2 == 0 ? *first : *second;
            const std::string to = thread % 2 == 0 ? "b" : "a";
            for (int index = 0; index < Requests; ++index) {
                const int message = thread * Requests + index;
                const auto answer = sendRequest(from, to, "echo", message);
                const auto *value = std::get_if<nlohmann::json>(&answer);
                right += value != nullptr && value->at("message") == message ? 1 : 0;
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    BOOST_TEST(right == Threads * Requests);
}

BOOST_AUTO_TEST_CASE(handlerErrorReachesTheRequesterWithKindAndRemedy)
{
    auto failing = builder("a");
    failing.handle("fails", [](const InstanceId &, const nlohmann::json &) {
        return Result<nlohmann::json>(fail(ErrorKind::Trimmed, "gone", "ask for later ones"));
    });
    failing.handle("throws", [](const InstanceId &, const nlohmann::json &message) {
        return Result<nlohmann::json>(message.at("missing"));
    });
    const auto first = launch(failing);
    const auto second = launch(builder("b"), {addressOf(*first)});
    BOOST_REQUIRE(eventually([&] { return seesAlive(*second, "a"); }));
    const auto failed = sendRequest(*second, "a", "fails", nullptr);
    BOOST_TEST((kindOf(failed) == ErrorKind::Trimmed));
    BOOST_TEST(std::get<Error>(failed).remedy_ == "ask for later ones");
    BOOST_TEST((kindOf(sendRequest(*second, "a", "throws", {})) == ErrorKind::Internal));
    BOOST_TEST((kindOf(sendRequest(*second, "a", "nobody", {})) == ErrorKind::NotFound));
    BOOST_TEST((kindOf(sendRequest(*second, "a", "Not a topic", {})) == ErrorKind::InvalidInput));
    BOOST_TEST((kindOf(sendRequest(*second, "x", "echo", {})) == ErrorKind::Unavailable));
    const std::string large(5 << 20, 'x');
    BOOST_TEST((kindOf(sendRequest(*second, "a", "echo", large)) == ErrorKind::InvalidInput));
}

// Guards against a working instance being marked dead because slow handlers run on the thread
// that answers heartbeats.
BOOST_AUTO_TEST_CASE(slowHandlersDoNotDelayHeartbeatsOrDeadlines)
{
    Gate gate;
    std::atomic<int> digestCalls = 0;
    // The requester has the lower id, so its heartbeats use the same connection.
    auto slow = builder("b");
    slow.digest(countingDigest(digestCalls))
        .handle("wait", [&](const InstanceId &, const nlohmann::json &) {
            gate.wait();
            return Result<nlohmann::json>("done");
        });
    const auto first = launch(slow);
    observe::Timeline events = timelineOf("a");
    const auto second = launch(builder("a").timeline(events), {addressOf(*first)});
    const GateOpener gateOpener(gate);
    BOOST_REQUIRE(eventually([&] { return seesAlive(*second, "b"); }));
    std::vector<std::future<std::variant<nlohmann::json, Error>>> answers;
    const auto askMany = [&](int count) {
        for (int index = 0; index < count; ++index) {
            answers.push_back(std::async(
                std::launch::async, [&] { return sendRequest(*second, "b", "wait", nullptr); }));
        }
    };
    askMany(4);
    BOOST_REQUIRE(eventually([&] { return gate.waiting() == 4; }));
    const auto late = sendRequest(*second, "b", "echo", 1, BootClock::now() + millis(100));
    BOOST_TEST((kindOf(late) == ErrorKind::Interrupted));
    askMany(76); // In total more than MaxStreams.
    const int before = memberOf(*second, "b")->digest_.get<int>();
    BOOST_TEST(
        eventually([&] { return memberOf(*second, "b")->digest_.get<int>() > before + 20; }));
    BOOST_TEST(seesAlive(*second, "b"));
    BOOST_TEST(!hasEvent(events, "peer.silent"));
    gate.open();
    for (auto &answer : answers) {
        BOOST_TEST(answer.get().index() == 0U);
    }
}

BOOST_AUTO_TEST_CASE(stopFailsRequestsThatAreInFlight)
{
    Gate gate;
    auto slow = builder("a");
    slow.handle("wait", [&](const InstanceId &, const nlohmann::json &) {
        gate.wait();
        return Result<nlohmann::json>("done");
    });
    const auto first = launch(slow);
    const auto second = launch(builder("b"), {addressOf(*first)});
    const GateOpener gateOpener(gate);
    BOOST_REQUIRE(eventually([&] { return seesAlive(*second, "a"); }));
    auto answer =
        std::async(std::launch::async, [&] { return sendRequest(*second, "a", "wait", 1); });
    BOOST_REQUIRE(eventually([&] { return gate.waiting() == 1; }));
    second->stop();
    BOOST_TEST((kindOf(answer.get()) == ErrorKind::Interrupted));
    BOOST_TEST((kindOf(sendRequest(*second, "a", "echo", 1)) == ErrorKind::Unavailable));
}

BOOST_AUTO_TEST_CASE(instanceWithAnotherKeyIsRejectedAndNeverAMember)
{
    observe::Timeline firstEvents = timelineOf("a");
    observe::Timeline strangerEvents = timelineOf("x");
    const auto first = launch(builder("a").timeline(firstEvents));
    const auto stranger =
        launch(builder("x").key("some other key that is long").timeline(strangerEvents),
               {addressOf(*first)});
    BOOST_TEST(eventually([&] { return hasEvent(firstEvents, "peer.refused", "wrong-proof"); }));
    BOOST_TEST(eventually([&] { return hasEvent(strangerEvents, "peer.refused-by", "remedy="); }));
    BOOST_TEST(first->members().empty());
    BOOST_TEST(stranger->members().empty());
}

// Guards against a message taking effect twice when an attacker on the network records and
// replays it with its valid proof.
BOOST_AUTO_TEST_CASE(aReplayedMessageIsRefused)
{
    Forwarder forwarder;
    observe::Timeline events = timelineOf("b");
    const auto second =
        launch(builder("b").advertise(forwarder.address()).timeline(events).onDigest({}));
    forwarder.forwardTo(second->port());
    const auto first = launch(builder("a"), {forwarder.address()});
    BOOST_REQUIRE(eventually([&] { return seesAlive(*second, "a"); }));
    BOOST_TEST(!hasEvent(events, "peer.refused"));
    RawClient replayer(second->port());
    replayer.send(forwarder.recorded());
    BOOST_TEST(eventually([&] { return hasEvent(events, "peer.refused", "replayed"); }));
    BOOST_TEST(replayer.closedByPeer());
}

// Guards against requests between running instances that time out forever, because a network
// device dropped the state of their connection: it stays open but carries no data.
BOOST_AUTO_TEST_CASE(aSilentConnectionIsReplacedWhileItsMemberStaysAlive)
{
    Gate gate;
    Forwarder forwarder;
    std::atomic<int> digestCalls = 0;
    observe::Timeline events = timelineOf("a");
    auto options = builder("b").advertise(forwarder.address()).digest(countingDigest(digestCalls));
    options.handle("wait", [&](const InstanceId &, const nlohmann::json &) {
        gate.wait();
        return Result<nlohmann::json>("done");
    });
    const auto second = launch(options);
    forwarder.forwardTo(second->port());
    const auto first = launch(builder("a").timeline(events), {forwarder.address()});
    const GateOpener gateOpener(gate);
    BOOST_REQUIRE(eventually([&] { return seesAlive(*first, "b"); }));
    auto answer =
        std::async(std::launch::async, [&] { return sendRequest(*first, "b", "wait", nullptr); });
    BOOST_REQUIRE(eventually([&] { return gate.waiting() == 1; }));
    forwarder.silenceOpen();
    BOOST_TEST((kindOf(answer.get()) == ErrorKind::Interrupted));
    BOOST_TEST(hasEvent(events, "peer.silent"));
    BOOST_TEST(sendRequest(*first, "b", "echo", 1).index() == 0U);
    const int before = memberOf(*first, "b")->digest_.get<int>();
    BOOST_TEST(eventually([&] { return memberOf(*first, "b")->digest_.get<int>() > before; }));
    BOOST_TEST(!hasEvent(events, "peer.suspected"));
}

// The same for a connection without heartbeats, because the peer starts them: heartbeats on the
// peer's connection succeed and don't reveal that this one is silent.
BOOST_AUTO_TEST_CASE(silentConnectionWithoutHeartbeatsIsReplaced)
{
    Forwarder forwarder;
    auto options = builder("a").advertise(forwarder.address());
    const auto second = launch(options);
    forwarder.forwardTo(second->port());
    const auto first = launch(builder("z"), {forwarder.address()});
    BOOST_REQUIRE(eventually([&] { return seesAlive(*first, "a") && seesAlive(*second, "z"); }));
    BOOST_REQUIRE(sendRequest(*first, "a", "echo", 1).index() == 0U);
    forwarder.silenceOpen();
    BOOST_TEST((kindOf(sendRequest(*first, "a", "echo", 2, BootClock::now() + millis(100)))
                == ErrorKind::Interrupted));
    BOOST_TEST(eventually([&] {
        return sendRequest(*first, "a", "echo", 3, BootClock::now() + millis(500)).index() == 0;
    }));
}

BOOST_AUTO_TEST_CASE(deadMemberIsDetectedByItsHeartbeatDeadline)
{
    const Duration timeout = millis(300);
    const auto first = launch(builder("a").heartbeat(Interval, timeout));
    auto second = launch(builder("b").heartbeat(Interval, timeout), {addressOf(*first)});
    BOOST_REQUIRE(eventually([&] { return seesAlive(*first, "b"); }));
    second.reset();
    BOOST_TEST(eventually([&] { return !seesAlive(*first, "b"); }));
    BOOST_TEST(memberOf(*first, "b").has_value());
    BOOST_TEST((kindOf(sendRequest(*first, "b", "echo", 1)) == ErrorKind::Unavailable));
}

BOOST_AUTO_TEST_CASE(leavingAndNewDigestsAreSentImmediately)
{
    std::atomic<int> digestCalls = 0;
    const auto first = launch(builder("a").heartbeat(Hour, 3 * Hour));
    auto second = launch(builder("b").heartbeat(Hour, 3 * Hour).digest(countingDigest(digestCalls)),
                         {addressOf(*first)});
    BOOST_REQUIRE(eventually([&] { return seesAlive(*first, "b") && seesAlive(*second, "a"); }));
    const int before = memberOf(*first, "b")->digest_.get<int>();
    second->heartbeatNow();
    BOOST_TEST(eventually([&] { return memberOf(*first, "b")->digest_.get<int>() > before; }));
    second->setLeaving();
    BOOST_TEST(eventually([&] { return memberOf(*first, "b")->leaving_; }));
    BOOST_TEST(seesAlive(*first, "b"));
}

BOOST_AUTO_TEST_CASE(leavingMemberIsRemovedOnceItStops)
{
    observe::Timeline events = timelineOf("a");
    const auto first = launch(builder("a").timeline(events));
    auto second = launch(builder("b"), {addressOf(*first)});
    BOOST_REQUIRE(eventually([&] { return seesAlive(*first, "b"); }));
    second->setLeaving();
    BOOST_REQUIRE(eventually([&] { return memberOf(*first, "b")->leaving_; }));
    second.reset();
    BOOST_TEST(eventually([&] { return first->members().empty(); }));
    BOOST_TEST(eventually([&] { return hasEvent(events, "peer.left"); }));
    BOOST_TEST(!hasEvent(events, "peer.suspected"));
}

BOOST_AUTO_TEST_CASE(restartedInstanceReplacesItsOldIncarnation)
{
    observe::Timeline events = timelineOf("a");
    const auto first = launch(builder("a").timeline(events));
    auto second = launch(builder("b"), {addressOf(*first)});
    BOOST_REQUIRE(eventually([&] { return seesAlive(*first, "b"); }));
    const std::uint16_t oldPort = second->port();
    second.reset();
    second = launch(builder("b", "south").digest([] { return "new"; }), {addressOf(*first)});
    BOOST_TEST(eventually([&] { return memberOf(*first, "b")->digest_ == "new"; }));
    BOOST_TEST(first->members().size() == 1U);
    BOOST_TEST(memberOf(*first, "b")->address_.port_ != oldPort);
    BOOST_TEST(memberOf(*first, "b")->domain_.value() == "south");
    BOOST_TEST(eventually([&] { return hasEvent(events, "peer.restarted"); }));
    BOOST_TEST(sendRequest(*first, "b", "echo", 1).index() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
