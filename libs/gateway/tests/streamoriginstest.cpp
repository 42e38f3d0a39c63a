#include "almondridge/gateway/streamorigins.h"
#include "enginefleet.h"

#include <boost/test/unit_test.hpp>
#include <random>
#include <set>

using namespace almondridge;
using namespace almondridge::gateway;
using namespace almondridge::gateway::testing;

namespace {

const StreamOrigin Origin {ServiceId("models"), SoftwareVersion("v1")};

/** A fleet whose instances exchange datagrams without delay; some are dead or lose datagrams. */
class OriginFleet
{
public:
    OriginFleet(int count, int domains, std::uint64_t seed = 1)
        : random_(seed)
    {
        for (int number = 0; number < count; ++number) {
            add(number, domains);
        }
        tellMembers();
    }

    void add(int number, int domains)
    {
        members_.push_back({idOf(number), DomainId("d" + std::to_string(number % domains))});
        instances_[idOf(number)];
    }

    void tellMembers()
    {
        for (auto &[id, instance] : instances_) {
            instance.setMembers(id, members_);
        }
    }

    static InstanceId idOf(int number) { return InstanceId("front-" + std::to_string(number)); }
    static RequestKey keyOf(int number)
    {
        return requestKey("secret", {"", "stream", std::to_string(number), ""});
    }

    void begin(int instance, RequestKey stream)
    {
        deliver(instances_.at(idOf(instance)).add(stream, Origin, at(0)), at(0));
    }

    /** What the instance learns of a stream, asking twice. */
    std::optional<StreamOrigin> resume(int instance, RequestKey stream, TimePoint now = at(10))
    {
        StreamOrigins &asks = instances_.at(idOf(instance));
        if (asks.find(stream, now)) {
            return asks.find(stream, now);
        }
        for (int attempt = 0; attempt < 2; ++attempt) {
            deliver(asks.ask(stream), now);
            for (const OriginAnswer &answer : asks.takeAnswers()) {
                return answer.origin_;
            }
        }
        asks.endQuery(stream);
        return std::nullopt;
    }

    void deliver(const std::vector<MeshDatagram> &datagrams, TimePoint now)
    {
        for (const MeshDatagram &datagram : datagrams) {
            ++sent_;
            bytes_ += datagram.bytes_.size();
            if (dead_.contains(datagram.to_) || random_() % 100 < lossPercent_) {
                continue;
            }
            std::vector<MeshDatagram> answers;
            BOOST_TEST(nameOf(ReceiveResultNames,
                              instances_.at(datagram.to_).onDatagram(datagram.bytes_, now, answers))
                       == "taken");
            deliver(answers, now);
        }
    }

    std::vector<MeshMember> members_;
    std::map<InstanceId, StreamOrigins> instances_;
    std::set<InstanceId> dead_;
    std::mt19937_64 random_;
    std::uint64_t lossPercent_ = 0;
    std::size_t sent_ = 0;
    std::size_t bytes_ = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(StreamOriginRecords)

/** Guards against a stream that nobody knows after its instance was killed at its first event. */
BOOST_AUTO_TEST_CASE(everyInstanceLearnsWhatADeadOneBegan)
{
    constexpr int Streams = 50;
    for (const int domains : {1, 2, 3, 9}) {
        for (const int count : {3, 9, 30}) {
            OriginFleet fleet(count, domains);
            for (int number = 0; number < Streams; ++number) {
                const int first = number % count;
                fleet.begin(first, OriginFleet::keyOf(number));
                fleet.dead_ = {OriginFleet::idOf(first)};
                const int second = (first + 1 + number % (count - 1)) % count;
                BOOST_TEST((fleet.resume(second, OriginFleet::keyOf(number)) == Origin),
                           count << " instances, " << domains << " domains, stream " << number);
                fleet.dead_ = {};
            }
        }
    }
}

/** Guards against losing all streams of a failure domain that fails as a whole. */
BOOST_AUTO_TEST_CASE(aStreamIsKnownAfterTheWholeDomainOfItsInstanceFailed)
{
    constexpr int Streams = 100;
    constexpr int Instances = 30;
    constexpr int Domains = 3;
    OriginFleet fleet(Instances, Domains);
    for (int number = 0; number < Streams; ++number) {
        fleet.begin(0, OriginFleet::keyOf(number));
    }
    for (int number = 0; number < Instances; number += Domains) {
        fleet.dead_.insert(OriginFleet::idOf(number));
    }
    for (int number = 0; number < Streams; ++number) {
        BOOST_TEST((fleet.resume(1, OriginFleet::keyOf(number)) == Origin), "stream " << number);
    }
}

/** Guards against asking the wrong instances while some know of a new one and others don't. */
BOOST_AUTO_TEST_CASE(aStreamIsFoundWhileAnInstanceJoins)
{
    constexpr int Streams = 200;
    constexpr int Instances = 9;
    constexpr int Domains = 3;
    OriginFleet fleet(Instances, Domains);
    for (int number = 0; number < Streams; ++number) {
        fleet.begin(0, OriginFleet::keyOf(number));
    }
    fleet.add(Instances, Domains);
    fleet.tellMembers();
    fleet.dead_ = {OriginFleet::idOf(0)};
    for (int number = 0; number < Streams; ++number) {
        BOOST_TEST((fleet.resume(1, OriginFleet::keyOf(number)) == Origin), "stream " << number);
    }
}

/** Guards against an answer for a stream of which nothing is known. */
BOOST_AUTO_TEST_CASE(anUnknownStreamStaysUnknown)
{
    OriginFleet fleet(9, 3);
    fleet.begin(0, OriginFleet::keyOf(1));
    BOOST_TEST(!fleet.resume(1, OriginFleet::keyOf(2)));
    fleet.lossPercent_ = 100;
    fleet.begin(0, OriginFleet::keyOf(3));
    BOOST_TEST(!fleet.resume(1, OriginFleet::keyOf(3)));
    constexpr std::int64_t LongAfter = 61'000;
    fleet.lossPercent_ = 0;
    BOOST_TEST(!fleet.resume(0, OriginFleet::keyOf(1), at(LongAfter)));
}

/** Guards against streams that can't be resumed because datagrams were lost. */
BOOST_AUTO_TEST_CASE(fewStreamsAreUnknownWhenDatagramsAreLost)
{
    constexpr int Streams = 1'000;
    OriginFleet fleet(9, 3);
    fleet.lossPercent_ = 10;
    fleet.dead_ = {OriginFleet::idOf(0)};
    int known = 0;
    for (int number = 0; number < Streams; ++number) {
        fleet.begin(0, OriginFleet::keyOf(number));
        known += fleet.resume(1 + number % 8, OriginFleet::keyOf(number)) ? 1 : 0;
    }
    BOOST_TEST(known >= Streams * 95 / 100);
}

/** Guards against costs of a stream that grow with the fleet. */
BOOST_AUTO_TEST_CASE(aStreamCostsTwoDatagramsAtAnySize)
{
    constexpr std::size_t MaxDatagram = 64;
    constexpr std::size_t MaxQueries = 6;
    for (const int count : {30, 985, 2'000}) {
        OriginFleet fleet(count, 9);
        fleet.begin(0, OriginFleet::keyOf(1));
        BOOST_TEST(fleet.sent_ == 2U);
        BOOST_TEST(fleet.bytes_ <= 2 * MaxDatagram);
        fleet.sent_ = 0;
        BOOST_TEST((fleet.resume(count - 1, OriginFleet::keyOf(1)) == Origin));
        BOOST_TEST(fleet.sent_ <= 2 * MaxQueries);
    }
}

/** Guards against datagrams of other programs, and of instances of other fleets. */
BOOST_AUTO_TEST_CASE(malformedAndForeignDatagramsAreDropped)
{
    OriginFleet fleet(3, 3);
    StreamOrigins &instance = fleet.instances_.begin()->second;
    std::vector<MeshDatagram> answers;
    const std::string record = encodeOriginMessage(
        {OriginMessageKind::Record, OriginFleet::idOf(1), OriginFleet::keyOf(1), Origin});
    for (std::size_t size = 0; size < record.size(); ++size) {
        BOOST_TEST((instance.onDatagram(record.substr(0, size), at(0), answers)
                    == ReceiveResult::Malformed));
    }
    const std::string foreign = encodeOriginMessage(
        {OriginMessageKind::Record, InstanceId("other"), OriginFleet::keyOf(1), Origin});
    BOOST_TEST((instance.onDatagram(foreign, at(0), answers) == ReceiveResult::UnknownSender));
    BOOST_TEST(instance.size() == 0U);
    const std::string unasked = encodeOriginMessage(
        {OriginMessageKind::Answer, OriginFleet::idOf(1), OriginFleet::keyOf(1), Origin});
    BOOST_TEST((instance.onDatagram(unasked, at(0), answers) == ReceiveResult::Accepted));
    BOOST_TEST(instance.size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
