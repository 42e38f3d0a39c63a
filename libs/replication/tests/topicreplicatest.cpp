#include "almondridge/replication/topicreplica.h"
#include "almondridge/replication/protocol.h"
#include "almondridge/replication/upstreamselector.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace almondridge;
using namespace almondridge::replication;

namespace {

constexpr Duration LeaveBound = millis(4'000);

TimePoint at(std::int64_t milliseconds)
{
    return TimePoint {} + millis(1'000'000 + milliseconds);
}

/** A replica that counts its change notifications. */
struct CountingReplica
{
    int notifications_ = 0;
    TopicReplica replica_ {[this](const Change &) { ++notifications_; }};
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
        UpstreamSelector selector(self.id_, LeaveBound);
        selector.setMembers(members(count));
        readers += selector.choose(at(0)).kind_ == UpstreamKind::StoreReads ? 1 : 0;
    }
    return readers;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TopicReplicas)

BOOST_AUTO_TEST_CASE(anUnchangedValueCausesNoNotification)
{
    CountingReplica counting;
    counting.replica_.put({Topic::Endpoints, "e", "1"});
    counting.replica_.put({Topic::Endpoints, "e", "1"});
    counting.replica_.put({Topic::Endpoints, "gone", ""});
    BOOST_TEST(counting.notifications_ == 1);
}

BOOST_AUTO_TEST_CASE(aFollowerGetsTheChangesSinceItsSequenceNumber)
{
    CountingReplica reader;
    CountingReplica follower;
    reader.replica_.put({Topic::Endpoints, "a", "1"});
    reader.replica_.put({Topic::Endpoints, "b", "1"});
    const ChangeSet first = reader.replica_.since(0);
    BOOST_TEST(first.isSnapshot_);
    follower.replica_.apply(first);
    reader.replica_.put({Topic::Endpoints, "a", ""});
    reader.replica_.put({Topic::Config, "config", "2"});
    const ChangeSet second = reader.replica_.since(first.nextSequence_);
    BOOST_TEST(!second.isSnapshot_);
    BOOST_TEST(second.changes_.size() == 2U);
    follower.replica_.apply(second);
    BOOST_TEST(!follower.replica_.has(Topic::Endpoints, "a"));
    BOOST_TEST(follower.replica_.has(Topic::Endpoints, "b"));
    BOOST_TEST(follower.replica_.has(Topic::Config, "config"));
}

/**
 * Guards against keys that stay forever after a follower changes to another reader, whose sequence
 * numbers differ. It gets a snapshot, and keys that aren't in it are removed, including those whose
 * tombstones were discarded long ago.
 */
BOOST_AUTO_TEST_CASE(aSnapshotReplacesWhatWasKnown)
{
    CountingReplica reader;
    CountingReplica follower;
    follower.replica_.put({Topic::Endpoints, "old", "1", 7});
    reader.replica_.put({Topic::Endpoints, "new", "1", 8});
    LogOffset end = 9;
    for (int number = 0; number < 2'500; ++number) {
        const std::string key = std::to_string(number);
        reader.replica_.put({Topic::Endpoints, key, "1", end++});
        reader.replica_.put({Topic::Endpoints, key, "", end++});
    }
    reader.replica_.onRead(Topic::Endpoints, at(0), end);
    BOOST_TEST(reader.replica_.since(2).isSnapshot_);
    follower.replica_.apply(reader.replica_.since(2));
    BOOST_TEST(follower.replica_.keys(Topic::Endpoints).size() == 1U);
    BOOST_TEST(follower.replica_.has(Topic::Endpoints, "new"));
}

/**
 * Guards against a reader that lags behind its follower: the follower has a newer value, a newer
 * endpoint, and the removal of an endpoint. The reader's older state undoes none of these, and its
 * later changes are applied.
 */
BOOST_AUTO_TEST_CASE(aLaggingReaderUndoesNothing)
{
    CountingReplica behind;
    CountingReplica ahead;
    for (CountingReplica *counting : {&behind, &ahead}) {
        counting->replica_.put({Topic::Endpoints, "changes", "1", 0});
        counting->replica_.put({Topic::Endpoints, "leaves", "1", 1});
        counting->replica_.onRead(Topic::Endpoints, at(0), 2);
    }
    ahead.replica_.put({Topic::Endpoints, "changes", "2", 2});
    ahead.replica_.put({Topic::Endpoints, "leaves", "", 3});
    ahead.replica_.put({Topic::Endpoints, "new", "1", 4});
    ahead.replica_.onRead(Topic::Endpoints, at(1'000), 5);
    const int notified = ahead.notifications_;
    ahead.replica_.apply(behind.replica_.since(0));
    BOOST_TEST(ahead.notifications_ == notified);
    BOOST_TEST((ahead.replica_.readAt(Topic::Endpoints) == at(1'000)));

    behind.replica_.put({Topic::Endpoints, "leaves", "1", 6});
    ahead.replica_.apply(behind.replica_.since(1));
    BOOST_TEST(ahead.notifications_ == notified + 1);
    BOOST_TEST(ahead.replica_.has(Topic::Endpoints, "leaves"));
}

/** Guards against a removal that is ignored because a reader delayed it past later records. */
BOOST_AUTO_TEST_CASE(aDelayedRemovalIsApplied)
{
    CountingReplica reader;
    CountingReplica follower;
    reader.replica_.put({Topic::Endpoints, "leaves", "1", 4});
    reader.replica_.onRead(Topic::Endpoints, at(0), 9);
    follower.replica_.apply(reader.replica_.since(0));
    BOOST_TEST(follower.replica_.has(Topic::Endpoints, "leaves"));
    const std::uint64_t sequence = reader.replica_.next();
    reader.replica_.put({Topic::Endpoints, "leaves", "", 5});
    follower.replica_.apply(reader.replica_.since(sequence));
    BOOST_TEST(!follower.replica_.has(Topic::Endpoints, "leaves"));
}

BOOST_AUTO_TEST_CASE(changesAndAgesAreEncodedAndDecoded)
{
    CountingReplica reader;
    reader.replica_.put({Topic::Instances, "i", "{}", 3});
    reader.replica_.onRead(Topic::Config, at(0), 12);
    const std::string body = encodeChanges(reader.replica_.since(1), 7, false, at(250), at(250));
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

/** Guards against one odd entry in a peer's message that costs all others. */
BOOST_AUTO_TEST_CASE(aChangeThatCannotBeDecodedCostsNoOther)
{
    ChangeSet set;
    set.changes_ = {{Topic::Endpoints, "a", "1", 4, false, RecordRevision {1, 2}},
                    {Topic::Endpoints, "b", "2", 5, false, RecordRevision {3, 4}}};
    nlohmann::json json = nlohmann::json::from_cbor(encodeChanges(set, 7, false, at(250), at(250)));
    const auto endpoints = static_cast<int>(Topic::Endpoints);
    const auto config = static_cast<int>(Topic::Config);
    const std::vector<nlohmann::json> odd {nlohmann::json::array({endpoints, 7, "v", 1}),
                                           nlohmann::json::array({endpoints, "k"}),
                                           nlohmann::json::array({endpoints, "k", "v", "x"}),
                                           nlohmann::json::array({endpoints, "k", "v", 1, 9}),
                                           nlohmann::json::array({99, "k", "v", 1})};
    for (const nlohmann::json &entry : odd) {
        nlohmann::json message = json;
        message["changes"].insert(message["changes"].begin() + 1, entry);
        message["revisions"].insert(message["revisions"].begin() + 1, "odd");
        std::string body;
        nlohmann::json::to_cbor(message, body);
        const auto received = decodeChanges(body, at(250), at(250));
        BOOST_REQUIRE(received.has_value());
        BOOST_REQUIRE(received->set_.changes_.size() == 2U);
        BOOST_TEST(received->set_.changes_[1].key_ == "b");
        BOOST_TEST((received->set_.changes_[1].revision_ == RecordRevision {3, 4}));
    }
    // Without the configuration the message is of no use, and another peer is asked.
    json["changes"].push_back(nlohmann::json::array({config, "config", 7, 1}));
    std::string body;
    nlohmann::json::to_cbor(json, body);
    BOOST_TEST(!decodeChanges(body, at(250), at(250)).has_value());
}

BOOST_AUTO_TEST_CASE(aFewInstancesAllReadAndOfManyOnlyTwoDo)
{
    BOOST_TEST(countReaders(3) == 3);
    BOOST_TEST(countReaders(4) == 2);
    BOOST_TEST(countReaders(27) == 2);
}

/**
 * Guards against readers with slow links. A configuration of 2,000 routes is 400 KB: over a link of
 * 10 Mbit/s a reader takes four seconds to send it to 13 followers, which meanwhile don't learn of
 * endpoints that leave.
 */
BOOST_AUTO_TEST_CASE(theInstancesWithTheWidestLinksRead)
{
    std::vector<Member> mixed = members(20);
    mixed[7].linkMbps_ = 200;
    mixed[13].linkMbps_ = 200;
    for (const Member &self : mixed) {
        UpstreamSelector selector(self.id_, LeaveBound);
        selector.setMembers(mixed);
        const Upstream chosen = selector.choose(at(0));
        BOOST_TEST((chosen.kind_ == UpstreamKind::Peer) == (self.linkMbps_ < 200));
        if (chosen.kind_ == UpstreamKind::Peer) {
            BOOST_TEST((chosen.peer_ == mixed[7].id_ || chosen.peer_ == mixed[13].id_));
        }
    }
}

// Guards against a configuration that comes in force late at followers: after a restore of the
// store it waits behind all parts of a long list of endpoints.
BOOST_AUTO_TEST_CASE(aConfigurationComesBeforeTheRestOfASnapshot)
{
    constexpr int Endpoints = 50;
    constexpr std::size_t PartSize = 10;
    CountingReplica reader;
    CountingReplica follower;
    LogOffset end = 0;
    for (int number = 0; number < Endpoints; ++number) {
        reader.replica_.put({Topic::Endpoints, "e" + std::to_string(number), "1", end++});
    }
    reader.replica_.onRecordsSkipped(Topic::Endpoints, end);
    reader.replica_.put({Topic::Config, "config", "1", 0});
    ChangeSet part = reader.replica_.after({}, PartSize);
    follower.replica_.apply(part);
    BOOST_TEST(part.more_);
    BOOST_TEST(follower.replica_.value(Topic::Config, "config") == "1");

    reader.replica_.put({Topic::Config, "config", "2", 1});
    part = reader.replica_.after(part.cursor(), PartSize);
    follower.replica_.apply(part);
    BOOST_TEST(part.more_);
    BOOST_TEST(follower.replica_.value(Topic::Config, "config") == "2");
    while (part.more_) {
        part = reader.replica_.after(part.cursor(), PartSize);
        follower.replica_.apply(part);
    }
    BOOST_TEST(follower.replica_.keys(Topic::Endpoints).size() == std::size_t {Endpoints});
    BOOST_TEST(follower.replica_.value(Topic::Config, "config") == "2");
}

BOOST_AUTO_TEST_SUITE_END()
