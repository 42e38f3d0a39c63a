#include "almondridge/replication/protocol.h"

#include <boost/test/unit_test.hpp>
#include <list>
#include <random>

using namespace almondridge;
using namespace almondridge::replication;

namespace {

constexpr std::int64_t BoundMillis = 5'000;
/** Term of the lease on a key's permissions. */
constexpr std::int64_t TermMillis = 4'500;
constexpr std::string_view Key = "config";

TimePoint at(std::int64_t milliseconds)
{
    return TimePoint {} + millis(1'000'000 + milliseconds);
}

/** Instances that read a store or poll each other; each has its own clock. */
struct History
{
    struct Instance
    {
        TopicReplica replica_ {[](const Change &) {}};
        std::int64_t clockMillis_ = 0; ///< Offset from true time.
        std::int64_t frozenUntil_ = 0;
    };
    struct Message
    {
        std::size_t to_ = 0;
        std::int64_t requestedAt_ = 0; ///< True time.
        std::int64_t deliverAt_ = 0;   ///< To the instance that asked.
        ChangeSet read_ {};            ///< A response of the store.
        std::string body_ {};          ///< Or of a peer; empty if it is the store's.
    };

    struct PollRequest
    {
        std::size_t from_ = 0;
        std::size_t peer_ = 0;
        std::int64_t requestedAt_ = 0;
        std::int64_t arrivedAt_ = 0;
        std::int64_t answerAt_ = 0;
    };

    History(std::size_t count, std::uint64_t seed)
        : random_(seed)
    {
        for (std::size_t number = 0; number < count; ++number) {
            instances_.emplace_back().clockMillis_ = static_cast<std::int64_t>(random_() % 900'000);
        }
    }

    TimePoint clockOf(const Instance &one, std::int64_t now) const
    {
        return at(now + one.clockMillis_);
    }

    std::int64_t delay(std::int64_t most)
    {
        return static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(most));
    }

    void requestFromStore(std::size_t number, std::int64_t now)
    {
        const std::int64_t answeredAt = now + delay(1'200);
        Message message {number, now, answeredAt + delay(3'000), {}, {}};
        message.read_.changes_ = {{Topic::Config, std::string(Key), "v", versionAt(answeredAt)}};
        messages_.push_back(message);
    }

    void requestFromPeer(std::size_t number, std::size_t peer, std::int64_t now)
    {
        const std::int64_t arrivedAt = now + delay(50);
        const std::int64_t answeredAt = arrivedAt + delay(900);
        pollRequests_.push_back({number, peer, now, arrivedAt, answeredAt});
    }

    void step(std::int64_t now)
    {
        for (auto pollRequest = pollRequests_.begin(); pollRequest != pollRequests_.end();) {
            if (pollRequest->answerAt_ > now) {
                ++pollRequest;
                continue;
            }
            const Instance &peer = instances_[pollRequest->peer_];
            Message message {
                pollRequest->from_, pollRequest->requestedAt_, now + delay(2'500), {}, {}};
            message.body_ = encodeChanges(peer.replica_.since(0), 1, false, clockOf(peer, now),
                                          clockOf(peer, pollRequest->arrivedAt_));
            messages_.push_back(message);
            pollRequest = pollRequests_.erase(pollRequest);
        }
        for (auto message = messages_.begin(); message != messages_.end();) {
            Instance &receiver = instances_[message->to_];
            if (message->deliverAt_ > now || receiver.frozenUntil_ > now) {
                ++message;
                continue;
            }
            if (random_() % 10 != 0) {
                deliver(receiver, *message, now);
            }
            message = messages_.erase(message);
        }
    }

    void deliver(Instance &receiver, const Message &message, std::int64_t now)
    {
        const TimePoint requestedAt = clockOf(receiver, message.requestedAt_);
        if (!message.body_.empty()) {
            const auto received = decodeChanges(message.body_, clockOf(receiver, now), requestedAt);
            BOOST_REQUIRE(received.has_value());
            receiver.replica_.apply(received->set_);
            return;
        }
        const Change &change = message.read_.changes_.front();
        receiver.replica_.put(change);
        receiver.replica_.onRead(Topic::Config, clockOf(receiver, now), change.offset_ + 1);
        receiver.replica_.onCompleteAsOf(Topic::Config, requestedAt);
    }

    /** Number of versions that the store had accepted by then; each revokes a key. */
    LogOffset versionAt(std::int64_t now) const
    {
        return static_cast<LogOffset>(std::count_if(
            accepted_.begin(), accepted_.end(), [&](std::int64_t when) { return when <= now; }));
    }

    /** No instance relies on a configuration beyond the bound after a newer one was accepted. */
    void check(std::int64_t now) const
    {
        for (const Instance &one : instances_) {
            const auto &asOf = one.replica_.topics()[0].asOf_;
            const bool holds = asOf && clockOf(one, now) < *asOf + millis(TermMillis);
            if (!holds) {
                continue;
            }
            const ChangeSet known = one.replica_.since(0);
            BOOST_REQUIRE(!known.changes_.empty());
            BOOST_REQUIRE(known.changes_.front().offset_ >= versionAt(now - BoundMillis));
        }
    }

    std::mt19937_64 random_;
    std::vector<Instance> instances_;
    std::list<Message> messages_;
    std::list<PollRequest> pollRequests_;
    std::vector<std::int64_t> accepted_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationStaleness)

// Guards against a key that works beyond the bound after it was revoked: messages are lost and
// late, instances are suspended while a response is in flight, and data passes several instances.
BOOST_AUTO_TEST_CASE(noOldConfigurationIsTakenForTheCurrentOne)
{
    constexpr std::size_t MostInstances = 90;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        std::mt19937_64 random(seed);
        const std::size_t count = 3 + random() % (seed % 20 == 0 ? MostInstances : 12);
        History history(count, seed);
        for (std::int64_t now = 0; now < 20'000; now += 100) {
            if (random() % 20 == 0) {
                history.accepted_.push_back(now);
            }
            for (std::size_t number = 0; number < count; ++number) {
                if (random() % 200 == 0) {
                    history.instances_[number].frozenUntil_ =
                        now + static_cast<std::int64_t>(random() % 7'000);
                }
                const bool sendsRequest =
                    history.instances_[number].frozenUntil_ <= now && random() % 10 == 0;
                if (sendsRequest && number < 2) {
                    history.requestFromStore(number, now);
                } else if (sendsRequest) {
                    history.requestFromPeer(number, random() % count, now);
                }
            }
            history.step(now);
            history.check(now);
        }
    }
}

BOOST_AUTO_TEST_CASE(aForwardedAsOfTimeNeverBecomesLater)
{
    TopicReplica reader([](const Change &) {});
    reader.onCompleteAsOf(Topic::Config, at(1'000));
    // The request arrives before the reader's as-of time, and is answered after it.
    const std::string body = encodeChanges(reader.since(0), 1, false, at(1'500), at(900));
    const auto received = decodeChanges(body, at(61'700), at(60'000));
    BOOST_REQUIRE(received.has_value());
    const auto asOf = received->set_.topics_[0].asOf_;
    BOOST_REQUIRE(asOf.has_value());
    BOOST_TEST((*asOf <= at(60'100)));
    BOOST_TEST((*asOf >= at(60'098)));
}

BOOST_AUTO_TEST_SUITE_END()
