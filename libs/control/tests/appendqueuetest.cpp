#include "../src/appendqueue.h"
#include "../src/pacing.h"
#include "../src/snapshotschedule.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace almondridge;
using namespace almondridge::control;

namespace {

const TimePoint Start {millis(1'000'000)};
const Error Refusal {ErrorKind::Unavailable, "outage", "wait", {}};
const Error Doubt {ErrorKind::Interrupted, "broken", "look", {}};

QueuedAppend record(const std::string &body, bool alone = false)
{
    return {body, Start + millis(1'000), OutagePolicy::Retry, alone};
}

ErrorKind failureOf(const std::vector<CompletedAppend> &answered)
{
    BOOST_REQUIRE(answered.size() == 1);
    return std::get<Error>(answered[0].answer_).kind_;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Appending)

BOOST_AUTO_TEST_CASE(waitingRecordsAreSentTogetherUpToTheLimits)
{
    AppendQueue queue(3, 10);
    for (AppendId id = 1; id <= 4; ++id) {
        queue.add(id, record("r"));
    }
    queue.add(5, record("longer than ten bytes"));
    queue.add(6, record("snapshot", true));
    queue.add(7, record("r"));
    const std::vector<std::vector<AppendId>> expected {{1, 2, 3}, {4}, {5}, {6}, {7}, {}};
    for (const std::vector<AppendId> &ids : expected) {
        BOOST_TEST(queue.take(Start).ids_ == ids, boost::test_tools::per_element());
    }
}

// A request that ran would be reported as not run when the acknowledgement of its claim was lost
// and the log refuses the retry: the last result must not hide that the first send may have
// succeeded.
BOOST_AUTO_TEST_CASE(aRefusalAfterAnUncertainSendIsStillUncertain)
{
    AppendQueue queue(10, 100);
    queue.add(1, record("r"));
    queue.onUncertain(queue.take(Start), Doubt, Start);
    const AppendGroup again = queue.take(Start);
    BOOST_TEST(again.ids_.size() == 1U);
    BOOST_TEST(queue.onRefused(again, Refusal).empty());
    BOOST_TEST((failureOf(queue.expire(Start + millis(1'000))) == ErrorKind::Interrupted));
}

BOOST_AUTO_TEST_CASE(aRefusedRecordIsSentAgainAndIsNotAppendedAtItsDeadline)
{
    AppendQueue queue(10, 100);
    queue.add(1, record("r"));
    queue.onRefused(queue.take(Start), Refusal);
    queue.onRefused(queue.take(Start), Refusal);
    BOOST_TEST(queue.expire(Start + millis(999)).empty());
    BOOST_TEST((failureOf(queue.expire(Start + millis(1'000))) == ErrorKind::Unavailable));
    BOOST_TEST(queue.empty());
}

BOOST_AUTO_TEST_CASE(aRecordThatIsFoldedBeforeItsAcknowledgementIsAnsweredOnce)
{
    AppendQueue queue(10, 100);
    queue.add(1, record("r"));
    const AppendGroup group = queue.take(Start);
    const FoldStep step {7, Verdict::Accepted, {}, {}, {}, false};
    BOOST_TEST(queue.onFolded(1, step).size() == 1U);
    queue.onAppended(group, 7);
    BOOST_TEST(queue.empty());
    BOOST_TEST(queue.onFolded(1, step).empty());
}

// A holder would see its claim as rejected although the log accepted it, when the instance falls
// behind the log's retention, skips the claim by a snapshot and then folds only the retried copy.
BOOST_AUTO_TEST_CASE(appendsSkippedByASnapshotHaveNoVerdict)
{
    AppendQueue queue(10, 100);
    queue.add(1, record("r"));
    queue.onAppended(queue.take(Start), 7);
    queue.add(2, record("later"));
    queue.onAppended(queue.take(Start), 9);
    BOOST_TEST((failureOf(queue.onRecordsSkipped(8)) == ErrorKind::Interrupted));
    BOOST_TEST(queue.onFolded(2, {9, Verdict::Accepted, {}, {}, {}, false}).size() == 1U);
    queue.add(3, record("doubtful"));
    queue.onUncertain(queue.take(Start), Doubt, Start);
    BOOST_TEST((failureOf(queue.onRecordsSkipped(20)) == ErrorKind::Interrupted));
}

BOOST_AUTO_TEST_CASE(theRateLimitHoldsAfterABurst)
{
    AppendBudget budget(20, 4);
    TimePoint now = Start;
    int sent = 0;
    for (; now < Start + millis(10'000); now += millis(1)) {
        for (; budget.allowedAt() <= now; ++sent) {
            budget.spend(now);
        }
    }
    BOOST_TEST(sent >= 200);
    BOOST_TEST(sent <= 204);
}

BOOST_AUTO_TEST_CASE(backoffGrowsToItsLimitAndRestartsAfterASuccess)
{
    Backoff backoff(100, 350);
    BOOST_TEST((backoff.onFailure(Start, 0.0) == Start + millis(50)));
    BOOST_TEST((backoff.onFailure(Start, 0.5) == Start + millis(150)));
    BOOST_TEST((backoff.onFailure(Start, 0.0) == Start + millis(175)));
    backoff.onSuccess();
    BOOST_TEST((backoff.onFailure(Start, 0.0) == Start + millis(50)));
}

// The log would get one snapshot from every instance at the same time, because all of them fold the
// record that makes a snapshot due.
BOOST_AUTO_TEST_CASE(fewOfManyInstancesWriteASnapshot)
{
    std::mt19937_64 random(5);
    for (const int instances : {1, 9, 330}) {
        std::vector<TimePoint> due;
        for (int index = 0; index < instances; ++index) {
            SnapshotSchedule schedule(1, 20'000);
            schedule.onFolded(Start, std::uniform_real_distribution<>()(random));
            due.push_back(*schedule.dueAt());
        }
        const TimePoint first = *std::min_element(due.begin(), due.end());
        const auto writers = std::count_if(due.begin(), due.end(), [&](TimePoint at) {
            return at <= first + millis(500); // Until all instances have read the first snapshot.
        });
        BOOST_TEST(writers <= 5);
        BOOST_TEST((first <= Start + millis(20'000)));
    }
}

BOOST_AUTO_TEST_SUITE_END()
