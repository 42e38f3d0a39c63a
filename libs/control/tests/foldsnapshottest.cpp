#include "foldsupport.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace almondridge;
using namespace almondridge::control;

namespace {

/** Writes random records against the current or an old state, like delayed or racing writers. */
class RandomRecords
{
public:
    explicit RandomRecords(std::uint64_t seed)
        : random_(seed)
    { }

    Record next(const Fold &fold)
    {
        const LogOffset at = fold.next();
        const LeaseState *lease = fold.lease(Pasila);
        const Fence fence = lease == nullptr || rarely() ? upTo(at) : lease->fence_;
        const LogOffset last = lease == nullptr || rarely() ? upTo(3) : lease->lastRecord_;
        const auto open = fold.openIntents().find(EngineOne);
        const LogOffset openAt = open == fold.openIntents().end() ? upTo(at) : open->second.offset_;
        const std::string request = "r" + std::to_string(upTo(9));
        wall_ += static_cast<std::int64_t>(upTo(40));
        switch (upTo(6)) {
        case 0:
            return fleetApply(rarely() ? upTo(at) : fold.fleet().revision_,
                              "f" + std::to_string(at), "a" + std::to_string(upTo(at)));
        case 1:
            return leaseClaim("i" + std::to_string(upTo(3)), last);
        case 2:
            return leaseRenewal(lease == nullptr ? "i1" : lease->holder_.value(), fence, rarely());
        case 3:
            return intent(fence, fold.lastSequence(EngineOne) + upTo(2), request);
        case 4:
            return outcome(fence, openAt, static_cast<OrderOutcome>(upTo(3) % 3));
        case 5:
            return keyClaim("k" + std::to_string(upTo(30)), request,
                            wall_ - static_cast<std::int64_t>(rarely() ? upTo(2 * Horizon) : 0));
        default:
            return keyOutcome("k" + std::to_string(upTo(30)), request);
        }
    }

    std::uint64_t upTo(std::uint64_t limit) { return random_() % (limit + 1); }

private:
    bool rarely() { return random_() % 8 == 0; }

    std::mt19937_64 random_;
    std::int64_t wall_ = 10'000;
};

} // namespace

BOOST_AUTO_TEST_SUITE(Snapshots)

// An instance that starts from a snapshot would accept records that the others reject, if state
// that a later verdict depends on were missing from the snapshot.
BOOST_AUTO_TEST_CASE(aReaderFromASnapshotGetsTheSameVerdictsAndState)
{
    int accepted = 0;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        RandomRecords records(seed);
        FoldDriver all;
        Fold restored(Horizon);
        for (int count = 0; count < 300; ++count) {
            if (records.upTo(19) == 0) {
                Fold fresh(Horizon);
                BOOST_REQUIRE(all.next() == 1
                              || fresh.restore(all.next() - 1, all.fold_.snapshot()).value());
                restored = fresh;
            }
            const std::string body = encodeRecord(records.next(all.fold_));
            const FoldStep whole = all.fold_.fold({all.next(), body});
            const FoldStep fromSnapshot = restored.fold({restored.next(), body});
            BOOST_REQUIRE_EQUAL(whole.verdict_, fromSnapshot.verdict_);
            BOOST_REQUIRE_EQUAL(whole.reason_, fromSnapshot.reason_);
            accepted += whole.verdict_ == Verdict::Accepted ? 1 : 0;
        }
        BOOST_REQUIRE_EQUAL(all.fold_.snapshot(), restored.snapshot());
    }
    BOOST_TEST(accepted > 1'000);
}

// A replaced configuration would come back when an instance restores a snapshot that is older than
// what it has folded.
BOOST_AUTO_TEST_CASE(anOlderSnapshotChangesNothing)
{
    FoldDriver fold;
    fold(fleetApply(0, "a"));
    const std::string early = fold.fold_.snapshot();
    fold(fleetApply(1, "b"));
    BOOST_TEST(!fold.fold_.restore(1, early).value());
    BOOST_TEST(fold.verdict(SnapshotRecord {1, early}) == Verdict::Accepted);
    BOOST_TEST(fold.fold_.fleet().fleet_->name_ == "b");
    const auto foreign = capture([&] { return fold.fold_.restore(9, early); });
    BOOST_TEST((std::get<Error>(foreign).kind_ == ErrorKind::Protocol));
}

BOOST_AUTO_TEST_CASE(aSnapshotAheadIsTakenOnlyWhenItCoversTheGap)
{
    FoldDriver all;
    all(fleetApply(0, "a"));
    all(fleetApply(1, "b"));
    const std::string body = encodeRecord(SnapshotRecord {2, all.fold_.snapshot()});
    FoldDriver reader;
    BOOST_TEST(!reader.fold_.canFold({2, encodeRecord(fleetApply(1, "b"))}));
    BOOST_TEST(!reader.fold_.canFold({2, body})); // It cannot cover its own offset.
    BOOST_TEST(reader.fold_.canFold({3, body}));
    BOOST_TEST(reader.fold_.fold({3, body}).verdict_ == Verdict::Accepted);
    BOOST_TEST(reader.next() == 4U);

    FoldDriver behind;
    BOOST_TEST(behind.fold_.fold({7, body}).verdict_ == Verdict::Accepted);
    BOOST_TEST(behind.next() == 3U); // The offsets between are still to be read.
}

BOOST_AUTO_TEST_SUITE_END()
