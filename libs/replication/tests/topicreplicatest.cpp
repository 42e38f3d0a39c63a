#include "almondridge/replication/topicreplica.h"
#include "almondridge/replication/upstreamselector.h"
#include "almondridge/replication/protocol.h"

#include <boost/test/unit_test.hpp>

using namespace almondridge;
using namespace almondridge::replication;

namespace {

constexpr Duration LeaveBound = millis(4'000);

TimePoint at(std::int64_t milliseconds)
{
    return TimePoint {} + millis(1'000'000 + milliseconds);
}

/** A board that counts what it tells. */
struct CountingBoard
{
    int told_ = 0;
    TopicReplica board_ {[this](const Change &) { ++told_; }};
};

std::vector<Member> members(int count, double linkMbps = 10)
{
    std::vector<Member> entries;
    entries.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count; ++number) {
        entries.push_back({InstanceId("instance-" + std::to_string(number)), linkMbps});
    }
    return entries;
}

/** How many of the members read the store themselves. */
int countReaders(int count)
{
    int readers = 0;
    for (const Member &self : members(count)) {
        UpstreamSelector one(self.id_, LeaveBound);
        one.setMembers(members(count));
        readers += one.choose(at(0)).kind_ == UpstreamKind::StoreReads ? 1 : 0;
    }
    return readers;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Boards)

BOOST_AUTO_TEST_CASE(theSameValueIsNoNews)
{
    CountingBoard counting;
    counting.board_.put({Topic::Endpoints, "e", "1"});
    counting.board_.put({Topic::Endpoints, "e", "1"});
    counting.board_.put({Topic::Endpoints, "gone", ""});
    BOOST_TEST(counting.told_ == 1);
}

BOOST_AUTO_TEST_CASE(aPeerIsToldWhatChangedSinceItsNumber)
{
    CountingBoard reader;
    CountingBoard follower;
    reader.board_.put({Topic::Endpoints, "a", "1"});
    reader.board_.put({Topic::Endpoints, "b", "1"});
    const ChangeSet first = reader.board_.since(0);
    BOOST_TEST(first.isSnapshot_);
    follower.board_.apply(first);
    reader.board_.put({Topic::Endpoints, "a", ""});
    reader.board_.put({Topic::Config, "config", "2"});
    const ChangeSet second = reader.board_.since(first.nextSequence_);
    BOOST_TEST(!second.isSnapshot_);
    BOOST_TEST(second.changes_.size() == 2U);
    follower.board_.apply(second);
    BOOST_TEST(!follower.board_.has(Topic::Endpoints, "a"));
    BOOST_TEST(follower.board_.has(Topic::Endpoints, "b"));
    BOOST_TEST(follower.board_.has(Topic::Config, "config"));
}

/**
 * A follower changes to another reader, whose numbers mean nothing to it. It is sent everything,
 * and what that reader does not have is gone, also what was removed long ago.
 */
BOOST_AUTO_TEST_CASE(everythingReplacesWhatWasKnown)
{
    CountingBoard reader;
    CountingBoard follower;
    follower.board_.put({Topic::Endpoints, "old", "1", 7});
    reader.board_.put({Topic::Endpoints, "new", "1", 8});
    LogOffset end = 9;
    for (int number = 0; number < 2'500; ++number) {
        const std::string key = std::to_string(number);
        reader.board_.put({Topic::Endpoints, key, "1", end++});
        reader.board_.put({Topic::Endpoints, key, "", end++});
    }
    reader.board_.onRead(Topic::Endpoints, at(0), end);
    BOOST_TEST(reader.board_.since(2).isSnapshot_);
    follower.board_.apply(reader.board_.since(2));
    BOOST_TEST(follower.board_.keys(Topic::Endpoints).size() == 1U);
    BOOST_TEST(follower.board_.has(Topic::Endpoints, "new"));
}

/**
 * An instance asks a reader that is behind: it has a newer value, a newer endpoint, and an endpoint
 * that it knows to be gone. Nothing of it is undone, and the reader's later news are taken.
 */
BOOST_AUTO_TEST_CASE(aReaderThatIsBehindUndoesNothing)
{
    CountingBoard behind;
    CountingBoard ahead;
    for (CountingBoard *counting : {&behind, &ahead}) {
        counting->board_.put({Topic::Endpoints, "changes", "1", 0});
        counting->board_.put({Topic::Endpoints, "leaves", "1", 1});
        counting->board_.onRead(Topic::Endpoints, at(0), 2);
    }
    ahead.board_.put({Topic::Endpoints, "changes", "2", 2});
    ahead.board_.put({Topic::Endpoints, "leaves", "", 3});
    ahead.board_.put({Topic::Endpoints, "new", "1", 4});
    ahead.board_.onRead(Topic::Endpoints, at(1'000), 5);
    const int told = ahead.told_;
    ahead.board_.apply(behind.board_.since(0));
    BOOST_TEST(ahead.told_ == told);
    BOOST_TEST((ahead.board_.readAt(Topic::Endpoints) == at(1'000)));

    behind.board_.put({Topic::Endpoints, "leaves", "1", 6});
    ahead.board_.apply(behind.board_.since(1));
    BOOST_TEST(ahead.told_ == told + 1);
    BOOST_TEST(ahead.board_.has(Topic::Endpoints, "leaves"));
}

/** A reader that holds a removal back says later that it was made, with a record long known. */
BOOST_AUTO_TEST_CASE(aRemovalThatIsToldLateIsTaken)
{
    CountingBoard reader;
    CountingBoard follower;
    reader.board_.put({Topic::Endpoints, "leaves", "1", 4});
    reader.board_.onRead(Topic::Endpoints, at(0), 9);
    follower.board_.apply(reader.board_.since(0));
    BOOST_TEST(follower.board_.has(Topic::Endpoints, "leaves"));
    const std::uint64_t told = reader.board_.next();
    reader.board_.put({Topic::Endpoints, "leaves", "", 5});
    follower.board_.apply(reader.board_.since(told));
    BOOST_TEST(!follower.board_.has(Topic::Endpoints, "leaves"));
}

BOOST_AUTO_TEST_CASE(changesSurviveTheWayWithTheirAges)
{
    CountingBoard reader;
    reader.board_.put({Topic::Instances, "i", "{}", 3});
    reader.board_.onRead(Topic::Config, at(0), 12);
    const std::string body = encodeChanges(reader.board_.since(1), 7, false, at(250), at(250));
    const auto received = decodeChanges(body, at(10'000), at(10'000));
    BOOST_REQUIRE(received.has_value());
    BOOST_TEST(received->lifetime_ == 7U);
    BOOST_TEST((received->set_.topics_[0].readAt_ == at(9'750)));
    BOOST_TEST(received->set_.topics_[0].end_ == 12U);
    BOOST_TEST(!received->set_.topics_[1].readAt_.has_value());
    BOOST_REQUIRE(received->set_.changes_.size() == 1U);
    BOOST_TEST(received->set_.changes_[0].offset_ == 3U);
    BOOST_TEST(!decodeChanges("", at(0), at(0)).has_value());
    BOOST_TEST(!decodeChanges(body.substr(0, body.size() / 2), at(0), at(0)).has_value());
}

BOOST_AUTO_TEST_CASE(aFewInstancesAllReadAndOfManyOnlyTwo)
{
    BOOST_TEST(countReaders(3) == 3);
    BOOST_TEST(countReaders(4) == 2);
    BOOST_TEST(countReaders(27) == 2);
}

/**
 * A configuration of 2,000 routes is 400 KB. Over a link of 10 Mbit/s a reader needs four seconds
 * to send it to 13 followers, and they miss every endpoint that leaves meanwhile.
 */
BOOST_AUTO_TEST_CASE(theInstancesWithTheWidestLinksRead)
{
    std::vector<Member> mixed = members(20);
    mixed[7].linkMbps_ = 200;
    mixed[13].linkMbps_ = 200;
    for (const Member &self : mixed) {
        UpstreamSelector source(self.id_, LeaveBound);
        source.setMembers(mixed);
        const Upstream chosen = source.choose(at(0));
        BOOST_TEST((chosen.kind_ == UpstreamKind::Peer) == (self.linkMbps_ < 200));
        if (chosen.kind_ == UpstreamKind::Peer) {
            BOOST_TEST((chosen.peer_ == mixed[7].id_ || chosen.peer_ == mixed[13].id_));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
