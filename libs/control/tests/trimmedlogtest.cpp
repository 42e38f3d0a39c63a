#include "../src/logfollower.h"
#include "logsupport.h"

#include <boost/test/unit_test.hpp>

using namespace almondridge;
using namespace almondridge::control;
using store::FakeLog;

namespace {

std::size_t snapshotsIn(const FakeLog &log)
{
    std::size_t count = 0;
    for (const store::LogRecord &record : log.records()) {
        const Record decoded = decodeRecord(record.body_).value();
        count += std::holds_alternative<SnapshotRecord>(decoded) ? 1 : 0;
    }
    return count;
}

/** Renews a lease count times. */
void renew(ControlLog &instance, int count)
{
    const Fence fence = instance.append(leaseClaim("i1", 0), soon()).value().offset_;
    for (int index = 0; index < count; ++index) {
        appendVerdict(instance, leaseRenewal("i1", fence));
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(TrimmedLog)

// A fleet file would replace the current one without a check of its base, when a new instance reads
// a trimmed log without a snapshot and takes its empty state for that of a new system.
BOOST_AUTO_TEST_CASE(withoutASnapshotANewInstanceRefusesAppends)
{
    FakeLog log;
    {
        const auto old = caughtUp(quickBuilder(log));
        appendVerdict(*old, fleetApply(0, "a"));
        renew(*old, 5);
    }
    log.trim(4);
    const auto fresh = started(quickBuilder(log));
    BOOST_TEST(eventually([&] { return log.reads() > 6; }));
    BOOST_TEST((appendFailure(*fresh, fleetApply(0, "b"), soon()) == ErrorKind::Unavailable));
    BOOST_TEST((appendFailure(*fresh, leaseClaim("i2", 0), soon()) == ErrorKind::Unavailable));
    BOOST_TEST(!fresh->caughtUp());
    BOOST_TEST(log.next() == 8U);
}

BOOST_AUTO_TEST_CASE(onlyTheEndOfAKnownLogCountsAsCaughtUp)
{
    FoldStore store(Horizon);
    LogFollower follower(store, {1'000, 0, 1});
    follower.start();
    follower.foldNow({{{0, "no snapshot"}}, 0, 1}); // A peer that sends a malformed snapshot.
    follower.foldNow({{{5, "a record"}}, 4, 6});    // A log whose start is trimmed.
    BOOST_TEST(!follower.caughtUp());
    follower.foldNow({{}, 1, 1});
    BOOST_TEST(follower.caughtUp());
}

// A holder would see its claim as rejected although it may have been accepted, when the instance
// loses the log before the acknowledgement and resumes from a snapshot that skips the claim.
BOOST_AUTO_TEST_CASE(aPendingAppendIsInterruptedWhenASnapshotSkipsRecords)
{
    FakeLog log;
    const auto instance = caughtUp(quickBuilder(log));
    log.delayAppends(1'000'000);
    ErrorKind failure = ErrorKind::Internal;
    std::thread appender([&] {
        const TimePoint late = BootClock::now() + millis(600'000);
        failure = appendFailure(*instance, leaseClaim("i1", 0), late);
    });
    log.waitForLate();
    FoldDriver others;
    others(leaseClaim("i2", 0));
    log.setOutage(true);
    log.fill({encodeRecord(leaseClaim("i2", 0)),
              encodeRecord(SnapshotRecord {1, others.fold_.snapshot()})});
    log.trim(2);
    log.setOutage(false);
    BOOST_TEST(instance->flush(soon()));
    log.delayAppends(0);
    appender.join();
    BOOST_TEST((failure == ErrorKind::Interrupted));
}

BOOST_AUTO_TEST_CASE(withASnapshotANewInstanceHasTheStateAndContinues)
{
    FakeLog log;
    const auto old = caughtUp(quickBuilder(log).snapshotEvery(4));
    appendVerdict(*old, fleetApply(0, "a"));
    renew(*old, 5);
    BOOST_TEST(eventually([&] { return snapshotsIn(log) > 0; }));
    log.trim(4);
    const auto fresh = caughtUp(quickBuilder(log));
    BOOST_TEST(fresh->waitForRevision(1, soon()));
    BOOST_TEST(appendVerdict(*fresh, fleetApply(1, "b")) == Verdict::Accepted);
    BOOST_TEST(appendVerdict(*fresh, leaseClaim("i2", 0)) == Verdict::Rejected);
}

BOOST_AUTO_TEST_CASE(withoutASnapshotANewInstanceReadsFromItsPeers)
{
    FakeLog log;
    FakePeers peers;
    const auto old = caughtUp(quickBuilder(log));
    appendVerdict(*old, fleetApply(0, "a"));
    renew(*old, 5);
    log.trim(log.next());
    peers.peer_ = old.get();
    const auto fresh = started(quickBuilder(log).recordSource(peers));
    BOOST_TEST(fresh->waitForRevision(1, soon()));
    const AppendVerdict verdict = fresh->append(fleetApply(1, "b"), soon()).value();
    BOOST_TEST(verdict.verdict_ == Verdict::Accepted);
    BOOST_TEST(old->waitForRevision(verdict.offset_, soon()));
    fresh->stop();
}

// A new instance would find no snapshot in the log when few records come, because the log trims the
// newest snapshot by age before the next one is due by the number of records.
BOOST_AUTO_TEST_CASE(aSnapshotIsWrittenBeforeTheNewestOneIsTrimmed)
{
    FakeLog log;
    const auto instance = caughtUp(quickBuilder(log).snapshotEvery(1'000'000));
    appendVerdict(*instance, fleetApply(0, "a"));
    renew(*instance, 3);
    for (int round = 0; round < 20; ++round) {
        log.trim(log.next() - 4);
        appendVerdict(*instance, fleetApply(instance->fleet().revision_, "b"));
        BOOST_REQUIRE(eventually([&] { return snapshotsIn(log) > 0; }));
    }
    const auto fresh = caughtUp(quickBuilder(log));
    BOOST_TEST(fresh->waitForRevision(instance->fleet().revision_, soon()));
}

BOOST_AUTO_TEST_CASE(aPeerThatIsFarBehindGetsASnapshotAndWhatFollows)
{
    FakeLog log;
    const auto ahead = caughtUp(quickBuilder(log));
    appendVerdict(*ahead, fleetApply(0, "a"));
    renew(*ahead, 4'100); // More records than a peer retains.
    const auto records = ahead->recordsFrom(1, 10);
    BOOST_TEST(records.size() == 1U);
    BOOST_TEST(records.at(0).offset_ == 0U);
    appendVerdict(*ahead, fleetApply(1, "b"));
    BOOST_TEST(ahead->recordsFrom(1, 10).size() == 2U);
    BOOST_TEST(ahead->recordsFrom(log.next() - 1, 10).size() == 1U);
    BOOST_TEST(ahead->recordsFrom(log.next(), 10).empty());

    FakeLog cutLog;
    cutLog.setOutage(true);
    const auto behind = started(quickBuilder(cutLog));
    behind->offer(ahead->recordsFrom(1, 10));
    BOOST_TEST(behind->waitForRevision(log.next() - 1, soon()));
    behind->read([&](const Fold &fold) {
        ahead->read([&](const Fold &other) { BOOST_TEST(fold.snapshot() == other.snapshot()); });
    });
}

BOOST_AUTO_TEST_SUITE_END()
