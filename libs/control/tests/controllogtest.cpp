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
    BOOST_TEST(!one->read([](const Fold &fold) { return fold.knowsAnything(); }));
    const AppendVerdict verdict = one->append(fleetApply(0, "a"), soon()).value();
    BOOST_TEST(verdict.verdict_ == Verdict::Accepted);
    BOOST_TEST(two->waitForRevision(verdict.offset_, soon()));
    BOOST_TEST(two->fleet().text_ == fleetText("a"));
    BOOST_TEST(two->fleetInForce()->name_ == "a");
}

// Two of five operators would each be told that their file is in force.
// They apply at the same time through different instances, all written against revision 0.
// Cause: an instance that decides by itself instead of by the log's order.
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

// An operator would be told "unknown" and apply again by hand, or be told the wrong verdict.
// The log takes the record and the answer gets lost on the way back.
// Cause: an acknowledgement lost after the write has taken effect.
BOOST_AUTO_TEST_CASE(aLostAcknowledgementEndsInTheVerdict)
{
    FakeLog log;
    const auto instance = caughtUp(quickBuilder(log));
    log.loseAcks(1);
    BOOST_TEST(appendVerdict(*instance, fleetApply(0, "a")) == Verdict::Accepted);
    log.loseAcks(1);
    BOOST_TEST(appendVerdict(*instance, fleetApply(0, "b")) == Verdict::Rejected);
}

// A lease would change hands twice for one claim, and its holder would not know the fence.
// The append hangs, the holder appends the claim again and gets it; then the first one lands.
// Cause: an append that takes effect after its sender gave it up.
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

// Operators would be told "unknown" each time that an instance writes a snapshot.
// An append is under way, its answer not there yet, when a snapshot is read in its turn.
// Cause: every snapshot taken for a jump over records that were not seen.
BOOST_AUTO_TEST_CASE(aSnapshotReadInItsTurnLeavesAppendsUnderWayAlone)
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

// A caller would wait for an append that was refused, or be told "unknown" for what was not sent.
// The log is out when the append comes, and stays out until its deadline.
// Cause: a refusal taken for a broken connection.
BOOST_AUTO_TEST_CASE(inAnOutageAnAppendIsNotAppendedAndSaysSo)
{
    FakeLog log;
    const auto instance = caughtUp(quickBuilder(log));
    log.setOutage(true);
    BOOST_TEST((appendFailure(*instance, fleetApply(0, "a"), BootClock::now() + millis(50))
                == ErrorKind::Unavailable));
    BOOST_TEST((appendFailure(*instance, fleetApply(0, "a"), soon(), WhenOut::Fail)
                == ErrorKind::Unavailable));
    BOOST_TEST(eventually([&] { return !instance->logReachable(); }));
    log.setOutage(false);
    BOOST_TEST(appendVerdict(*instance, fleetApply(0, "b")) == Verdict::Accepted);
    BOOST_TEST(log.next() == 2U);
}

BOOST_AUTO_TEST_CASE(whatMayHaveBeenAppendedByTheDeadlineIsInterrupted)
{
    FakeLog log;
    const auto instance = caughtUp(quickBuilder(log));
    log.delayAppends(1'000'000);
    BOOST_TEST((appendFailure(*instance, fleetApply(0, "a"), BootClock::now() + millis(50))
                == ErrorKind::Interrupted));
}

BOOST_AUTO_TEST_CASE(anAppendOverTheRateIsSentAgain)
{
    FakeLog log;
    const auto instance = caughtUp(quickBuilder(log));
    log.refuseAppends(2);
    BOOST_TEST(appendVerdict(*instance, fleetApply(0, "a")) == Verdict::Accepted);
    BOOST_TEST(log.next() == 2U);
}

// A domain cut off from the platform would go on with a replaced configuration.
// Its instance loses the log; a peer elsewhere has folded a later apply.
// Cause: a partition between the failure domain and the platform.
BOOST_AUTO_TEST_CASE(cutOffFromTheLogAnInstanceFollowsItsPeers)
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
    BOOST_TEST(eventually([&] { return cut->caughtUp(); })); // Said after the whole batch.
    const Revision second = peer->append(fleetApply(first, "b"), soon()).value().offset_;
    cut->offer(peer->recordsFrom(second, 10));
    BOOST_TEST(cut->waitForRevision(second, soon()));
    BOOST_TEST(!cut->logReachable());
    peers.peer_ = nullptr;
    cut->stop();
}

// Engines and callers would meet a configuration from hours ago, after the log lost its records.
// The platform restores the log empty; its offsets start again at 1.
// Cause: offsets that are taken for news because nobody compares them with what is folded.
BOOST_AUTO_TEST_CASE(aLogThatWentBackIsIgnoredAndRefused)
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

// A configuration of another log is folded behind this one's. The log is restored empty, and before
// the next read, which is held, this instance's own appends fill it past the last offset folded.
BOOST_AUTO_TEST_CASE(appendsToALogThatWentBackEndBeforeItIsRead)
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
    BOOST_TEST(log.next() == 2U); // One append found out, and none followed it.
    log.holdReads(false);
    BOOST_TEST(instance->fleet().revision_ == 2U);
    BOOST_TEST(nextOf(*instance) == 3U);
}

// An instance would fold the records of one log behind those of another and differ from all.
// While it is cut off, the log is restored empty and others fill it past the last offset folded.
// Cause: offsets that go on without a gap, in another log.
BOOST_AUTO_TEST_CASE(aLogThatWasFilledAnewWhileCutOffIsIgnoredToo)
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

BOOST_AUTO_TEST_CASE(stoppingAnswersWhoeverWaits)
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
