#include "logsupport.h"

#include <boost/test/unit_test.hpp>

using namespace almondridge;
using namespace almondridge::control;
using store::FakeLog;

BOOST_AUTO_TEST_SUITE(TheControlLog)

BOOST_AUTO_TEST_CASE(anApplyOnAnEmptyLogIsInForceAtEveryInstance)
{
    FakeLog log;
    const auto one = caughtUp(quickBuilder(log));
    const auto two = caughtUp(quickBuilder(log));
    BOOST_TEST(!one->read([](const Fold &fold) { return fold.hasState(); }));
    const AppendVerdict verdict = one->append(fleetApply(0, "a"), soon()).value();
    BOOST_TEST(verdict.verdict_ == Verdict::Accepted);
    BOOST_TEST(two->waitForRevision(verdict.offset_, soon()));
    BOOST_TEST(two->fleet().text_ == fleetText("a"));
    BOOST_TEST(two->fleetInForce()->name_ == "a");
}

// Several operators who apply a file for revision 0 at the same time through different instances
// would all see it accepted if an instance decided by itself instead of by the order of the log.
BOOST_AUTO_TEST_CASE(ofFiveRacingOperatorsExactlyOneIsAccepted)
{
    FakeLog log;
    std::atomic<int> accepted = 0;
    std::vector<std::unique_ptr<ControlLog>> instances;
    std::vector<std::thread> operators;
    instances.reserve(5);
    operators.reserve(5);
    for (int index = 0; index < 5; ++index) {
        instances.push_back(caughtUp(quickBuilder(log)));
    }
    for (int index = 0; index < 5; ++index) {
        operators.emplace_back([&, index] {
            const Record mine = fleetApply(0, "f" + std::to_string(index));
            accepted += appendVerdict(*instances[index], mine) == Verdict::Accepted ? 1 : 0;
        });
    }
    for (std::thread &each : operators) {
        each.join();
    }
    BOOST_TEST(accepted == 1);
    for (const auto &instance : instances) {
        BOOST_TEST(instance->waitForRevision(1, soon()));
        BOOST_TEST(instance->fleet().text_ == instances[0]->fleet().text_);
    }
}

// An operator would get "unknown" or the wrong verdict when the log appends the record and the
// acknowledgement is lost.
BOOST_AUTO_TEST_CASE(aLostAcknowledgementEndsInTheVerdict)
{
    FakeLog log;
    const auto instance = caughtUp(quickBuilder(log));
    log.loseAcks(1);
    BOOST_TEST(appendVerdict(*instance, fleetApply(0, "a")) == Verdict::Accepted);
    log.loseAcks(1);
    BOOST_TEST(appendVerdict(*instance, fleetApply(0, "b")) == Verdict::Rejected);
}

// One claim would change the lease twice, with a fence that its holder does not know, when an
// append hangs, its retry is accepted, and the first copy is appended after that.
BOOST_AUTO_TEST_CASE(aRecordThatLandsLateAfterItsSecondCopyChangesNothing)
{
    FakeLog log;
    const auto instance = caughtUp(quickBuilder(log));
    log.delayAppends(1);
    const AppendVerdict verdict = instance->append(leaseClaim("i1", 0), soon()).value();
    BOOST_TEST(verdict.verdict_ == Verdict::Accepted);
    log.landLate();
    BOOST_TEST(eventually([&] { return nextOf(*instance) == log.next(); }));
    BOOST_TEST(log.next() == 3U);
    instance->read(
        [&](const Fold &fold) { BOOST_TEST(fold.lease(Pasila)->lastRecord_ == verdict.offset_); });
}

// Pending appends would fail as "unknown" whenever a snapshot is written, if a snapshot at the next
// offset were handled like one that skips records.
BOOST_AUTO_TEST_CASE(aSnapshotAtTheNextOffsetDoesNotFailPendingAppends)
{
    FakeLog log;
    const auto instance = caughtUp(quickBuilder(log));
    log.delayAppends(1'000'000);
    std::thread other([&] {
        log.waitForLate();
        log.fill({encodeRecord(SnapshotRecord {0, Fold(Horizon).snapshot()})});
        eventually([&] { return nextOf(*instance) == 2; });
        log.delayAppends(0);
    });
    BOOST_TEST((appendFailure(*instance, fleetApply(0, "a"), soon()) == ErrorKind::Internal));
    BOOST_TEST(instance->waitForRevision(2, soon()));
    other.join();
}

// A caller would wait for an append that was refused, or get "unknown" for one that was never sent,
// when the log is unavailable until the deadline and a refusal is handled like a broken connection.
BOOST_AUTO_TEST_CASE(inAnOutageAppendsFailAsUnavailable)
{
    FakeLog log;
    const auto instance = caughtUp(quickBuilder(log));
    log.setOutage(true);
    BOOST_TEST((appendFailure(*instance, fleetApply(0, "a"), BootClock::now() + millis(50))
                == ErrorKind::Unavailable));
    BOOST_TEST((appendFailure(*instance, fleetApply(0, "a"), soon(), OutagePolicy::Fail)
                == ErrorKind::Unavailable));
    BOOST_TEST(eventually([&] { return !instance->logReachable(); }));
    log.setOutage(false);
    BOOST_TEST(appendVerdict(*instance, fleetApply(0, "b")) == Verdict::Accepted);
    BOOST_TEST(log.next() == 2U);
}

BOOST_AUTO_TEST_CASE(anAppendThatMayHaveTakenEffectIsInterrupted)
{
    FakeLog log;
    const auto instance = caughtUp(quickBuilder(log));
    log.delayAppends(1'000'000);
    BOOST_TEST((appendFailure(*instance, fleetApply(0, "a"), BootClock::now() + millis(50))
                == ErrorKind::Interrupted));
}

BOOST_AUTO_TEST_CASE(anAppendOverTheRateLimitIsRetried)
{
    FakeLog log;
    const auto instance = caughtUp(quickBuilder(log));
    log.refuseAppends(2);
    BOOST_TEST(appendVerdict(*instance, fleetApply(0, "a")) == Verdict::Accepted);
    BOOST_TEST(log.next() == 2U);
}

// An instance that is partitioned from the log would keep a replaced configuration although a peer
// has folded a later apply.
BOOST_AUTO_TEST_CASE(withoutTheLogAnInstanceFollowsItsPeers)
{
    FakeLog log;
    FakeLog cutLog;
    FakePeers peers;
    const auto peer = caughtUp(quickBuilder(log));
    cutLog.setOutage(true);
    const auto cut = started(quickBuilder(cutLog).recordSource(peers));
    const Revision first = peer->append(fleetApply(0, "a"), soon()).value().offset_;
    peers.peer_ = peer.get();
    BOOST_TEST(cut->waitForRevision(first, soon()));
    BOOST_TEST(eventually([&] { return cut->caughtUp(); })); // Set after the whole batch.
    const Revision second = peer->append(fleetApply(first, "b"), soon()).value().offset_;
    cut->offer(peer->recordsFrom(second, 10));
    BOOST_TEST(cut->waitForRevision(second, soon()));
    BOOST_TEST(!cut->logReachable());
    peers.peer_ = nullptr;
    cut->stop();
}

// An old configuration would come into force after the log was restored empty, because its offsets
// start again at 1 and are not compared with those already folded.
BOOST_AUTO_TEST_CASE(aLogThatLostRecordsIsIgnoredAndRefused)
{
    FakeLog log;
    const auto instance = caughtUp(quickBuilder(log));
    appendVerdict(*instance, fleetApply(0, "a"));
    appendVerdict(*instance, fleetApply(1, "b"));
    log.reset();
    BOOST_TEST(eventually([&] {
        return appendFailure(*instance, fleetApply(2, "c"), BootClock::now() + millis(20))
               == ErrorKind::Unavailable;
    }));
    BOOST_TEST(instance->fleet().revision_ == 2U);
    BOOST_TEST(nextOf(*instance) == 3U);
}

// Records of another log would be folded after this one's: the log is restored empty, and this
// instance's own appends fill it past the last folded offset before the next read, which is
// blocked.
BOOST_AUTO_TEST_CASE(appendsStopOnceOneFindsLostRecords)
{
    FakeLog log;
    const auto instance = caughtUp(quickBuilder(log));
    appendVerdict(*instance, fleetApply(0, "a"));
    appendVerdict(*instance, fleetApply(1, "b"));
    log.holdReads(true);
    log.reset();
    for (int attempt = 0; attempt < 10; ++attempt) {
        appendFailure(*instance, fleetApply(2, "c"), BootClock::now() + millis(20));
    }
    BOOST_TEST(log.next() == 2U); // One append found the loss, and none followed.
    log.holdReads(false);
    BOOST_TEST(instance->fleet().revision_ == 2U);
    BOOST_TEST(nextOf(*instance) == 3U);
}

// Records of another log would be folded after this one's: while the instance is partitioned, the
// log is restored empty and others fill it past the last folded offset, so that no gap shows.
BOOST_AUTO_TEST_CASE(aLogThatWasRefilledWhileUnreachableIsIgnored)
{
    FakeLog log;
    const auto instance = caughtUp(quickBuilder(log));
    appendVerdict(*instance, fleetApply(0, "a"));
    log.setOutage(true);
    BOOST_TEST(eventually([&] { return !instance->logReachable(); }));
    log.reset();
    log.fill({encodeRecord(fleetApply(0, "x")), encodeRecord(fleetApply(1, "y"))});
    log.setOutage(false);
    BOOST_TEST(eventually([&] { return instance->logReachable(); }));
    BOOST_TEST((appendFailure(*instance, fleetApply(1, "b"), soon()) == ErrorKind::Unavailable));
    BOOST_TEST(nextOf(*instance) == 2U);
}

BOOST_AUTO_TEST_CASE(listenersHaveSeenTheRecordWhenItsAppendReturns)
{
    FakeLog log;
    std::atomic<LogOffset> seen = 0;
    auto instance = quickBuilder(log).build();
    instance->listen([&](const FoldStep &step) { seen = step.offset_; });
    instance->start();
    BOOST_TEST(eventually([&] { return instance->caughtUp(); }));
    for (LogOffset offset = 1; offset <= 20; ++offset) {
        BOOST_TEST(instance->append(leaseClaim("i", offset - 1), soon()).value().offset_ == offset);
        BOOST_TEST(seen == offset);
    }
}

BOOST_AUTO_TEST_CASE(stoppingFailsPendingAppends)
{
    FakeLog log;
    const auto instance = caughtUp(quickBuilder(log));
    log.delayAppends(1'000'000);
    std::thread stopper([&] {
        log.waitForLate();
        instance->stop();
    });
    BOOST_TEST((appendFailure(*instance, fleetApply(0, "a"), soon()) == ErrorKind::Interrupted));
    BOOST_TEST((appendFailure(*instance, fleetApply(0, "a"), soon()) == ErrorKind::Unavailable));
    stopper.join();
}

BOOST_AUTO_TEST_SUITE_END()
