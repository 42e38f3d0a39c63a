#include "foldsupport.h"

#include <boost/test/unit_test.hpp>

using namespace almondridge;
using namespace almondridge::control;

BOOST_AUTO_TEST_SUITE(Folding)

// Engines would run a mix of two files that operators apply at the same time with the same base, if
// the later one in the log were taken for the newer one.
BOOST_AUTO_TEST_CASE(ofTwoRacingAppliesTheFirstInTheLogIsAccepted)
{
    FoldDriver fold;
    BOOST_TEST(fold.verdict(fleetApply(0, "a")) == Verdict::Accepted);
    const FoldStep second = fold(fleetApply(0, "b"));
    BOOST_TEST(second.verdict_ == Verdict::Rejected);
    BOOST_TEST(second.reason_ == "revision 1 by 'op-a' is in force, not 0");
    BOOST_TEST(fold.fold_.fleet().fleet_->name_ == "a");
}

BOOST_AUTO_TEST_CASE(ofFiveRacingAppliesExactlyOneIsAccepted)
{
    FoldDriver fold;
    fold(fleetApply(0, "base"));
    int accepted = 0;
    for (const char *name : {"a", "b", "c", "d", "e"}) {
        accepted += fold.verdict(fleetApply(1, name)) == Verdict::Accepted ? 1 : 0;
    }
    BOOST_TEST(accepted == 1);
    BOOST_TEST(fold.fold_.fleet().revision_ == 2U);
}

// An operator's apply would seem to lose against itself when its acknowledgement is lost, it is
// appended again, and the second copy is evaluated by its base alone.
BOOST_AUTO_TEST_CASE(aSecondCopyOfAnApplyIsADuplicateThatNamesItsRevision)
{
    FoldDriver fold;
    fold(fleetApply(0, "a", "id-1"));
    fold(fleetApply(1, "b"));
    const FoldStep copy = fold(fleetApply(0, "a", "id-1"));
    BOOST_TEST(copy.verdict_ == Verdict::Duplicate);
    BOOST_TEST(fold.fold_.appliedRevision("id-1") == 1U);
    BOOST_TEST(fold.fold_.fleet().revision_ == 2U);
}

// A replaced configuration would come back when an append hangs in the network, another file is
// applied, and the first append takes effect after that.
BOOST_AUTO_TEST_CASE(aLateApplyOfAReplacedBaseIsRejected)
{
    FoldDriver fold;
    fold(fleetApply(0, "a"));
    fold(fleetApply(1, "b"));
    BOOST_TEST(fold.verdict(fleetApply(1, "late")) == Verdict::Rejected);
    BOOST_TEST(fold.fold_.fleet().fleet_->name_ == "b");
}

BOOST_AUTO_TEST_CASE(anApplyThatIsNotAFleetFileIsRejectedAndUsesNoRevision)
{
    FoldDriver fold;
    BOOST_TEST(fold.verdict(ApplyRecord {0, "{", "op", "x"}) == Verdict::Rejected);
    BOOST_TEST(fold.fold_.fleet().revision_ == 0U);
    BOOST_TEST(fold.verdict(fleetApply(0, "a", "x")) == Verdict::Accepted);
}

BOOST_AUTO_TEST_CASE(aLeaseClaimNeedsTheLatestLeaseRecord)
{
    FoldDriver fold;
    BOOST_TEST(fold.verdict(leaseClaim("i1", 0)) == Verdict::Accepted);
    BOOST_TEST(fold.verdict(leaseRenewal("i1", 1)) == Verdict::Accepted);
    BOOST_TEST(fold.verdict(leaseClaim("i2", 1)) == Verdict::Rejected);
    BOOST_TEST(fold.verdict(leaseClaim("i2", 2)) == Verdict::Accepted);
    BOOST_TEST(fold.fold_.lease(Pasila)->fence_ == 4U);
    BOOST_TEST(fold.verdict(leaseRenewal("i1", 1)) == Verdict::Rejected);
    BOOST_TEST(fold.verdict(leaseRenewal("i2", 4)) == Verdict::Accepted);
    BOOST_TEST(fold.verdict(leaseRenewal("i1", 4)) == Verdict::Rejected);
    BOOST_TEST(fold.verdict(LeaseClaimRecord {DomainId("espoo"), InstanceId("i3"), 0, 0})
               == Verdict::Rejected);
}

// Two instances would hold the lease when a holder's renewal hangs in the network, the holder
// releases the lease, and the renewal is appended after the release.
BOOST_AUTO_TEST_CASE(aLateRenewalDoesNotReviveAReleasedLease)
{
    FoldDriver fold;
    fold(leaseClaim("i1", 0));
    BOOST_TEST(fold.verdict(leaseRenewal("i1", 1, true)) == Verdict::Accepted);
    BOOST_TEST(fold.verdict(leaseRenewal("i1", 1)) == Verdict::Rejected);
    BOOST_TEST(fold.fold_.lease(Pasila)->released_);
    BOOST_TEST(fold.verdict(intent(1, 1)) == Verdict::Rejected);
    BOOST_TEST(fold.verdict(leaseClaim("i2", 2)) == Verdict::Accepted);
}

// An engine would get orders from two holders when a holder is paused, its lease expires and is
// claimed by another instance, and the first one resumes and appends its intent.
BOOST_AUTO_TEST_CASE(anIntentOfAnExpiredHolderIsRejected)
{
    FoldDriver fold;
    fold(leaseClaim("i1", 0));
    fold(leaseClaim("i2", 1));
    BOOST_TEST(fold.verdict(intent(1, 1)) == Verdict::Rejected);
    BOOST_TEST(fold.fold_.openIntents().empty());
    BOOST_TEST(fold.verdict(intent(2, 1)) == Verdict::Accepted);
}

// An engine would get a second order while the first may be in progress, when a holder dies after
// its intent and the successor starts with an order of its own.
BOOST_AUTO_TEST_CASE(aSuccessorClosesTheInheritedIntentBeforeItsOwn)
{
    FoldDriver fold;
    fold(leaseClaim("i1", 0));
    fold(intent(1, 1));
    fold(leaseClaim("i2", 1));
    BOOST_TEST(fold.verdict(intent(3, 2)) == Verdict::Rejected);
    BOOST_TEST(fold.verdict(outcome(1, 2)) == Verdict::Rejected);
    BOOST_TEST(fold.verdict(outcome(3, 2)) == Verdict::Accepted);
    BOOST_TEST(fold.fold_.lastDone(EngineOne)->version_ == "v1");
    BOOST_TEST(fold.verdict(intent(3, 3)) == Verdict::Accepted);
}

// An engine would be blocked by an intent that no instance works on: an intent is rejected because
// another is open, that one is closed, and then a retried copy of the first is appended.
BOOST_AUTO_TEST_CASE(aRejectedIntentsLateCopyIsRejectedToo)
{
    FoldDriver fold;
    fold(leaseClaim("i1", 0));
    fold(intent(1, 1));
    BOOST_TEST(fold.verdict(intent(1, 2)) == Verdict::Rejected);
    fold(outcome(1, 2));
    BOOST_TEST(fold.verdict(intent(1, 2)) == Verdict::Rejected);
    BOOST_TEST(fold.verdict(intent(1, 3)) == Verdict::Accepted);
}

// An engine would get orders from the holders of two failure domains, when a file moves it while an
// order of its old domain is in progress and the new holder closes that intent.
BOOST_AUTO_TEST_CASE(anIntentIsClosedByItsOwnDomainOnly)
{
    FoldDriver fold;
    const DomainId vantaa("vantaa");
    fold(leaseClaim("i1", 0));
    fold(LeaseClaimRecord {vantaa, InstanceId("i2"), 0, 6'000});
    fold(intent(1, 1));
    const OutcomeRecord foreign {vantaa, 2, 3, EngineOne, OrderOutcome::Done};
    BOOST_TEST(fold.verdict(foreign) == Verdict::Rejected);
    BOOST_TEST(fold.verdict(outcome(1, 3)) == Verdict::Accepted);
}

BOOST_AUTO_TEST_CASE(anIntentIsClosedOnce)
{
    FoldDriver fold;
    fold(leaseClaim("i1", 0));
    fold(intent(1, 1, "v1"));
    fold(outcome(1, 2));
    BOOST_TEST(fold.verdict(outcome(1, 2)) == Verdict::Rejected);
    fold(intent(1, 2, "v2"));
    BOOST_TEST(fold.verdict(outcome(1, 2)) == Verdict::Rejected);
    BOOST_TEST(fold.verdict(outcome(1, 5, OrderOutcome::Refused)) == Verdict::Accepted);
    BOOST_TEST(fold.fold_.lastDone(EngineOne)->version_ == "v1");
    fold(intent(1, 3, "v3"));
    fold(outcome(1, 8, OrderOutcome::Unclear));
    BOOST_TEST(fold.fold_.lastDone(EngineOne) == nullptr);
}

// A confirmation would be sent twice when the caller repeats it through another instance and both
// instances find the key free before either claim is in the log.
BOOST_AUTO_TEST_CASE(ofTwoClaimsOfAKeyExactlyOneIsAccepted)
{
    FoldDriver fold;
    BOOST_TEST(fold.verdict(keyClaim("k", "r1", 10)) == Verdict::Accepted);
    BOOST_TEST(fold.verdict(keyClaim("k", "r2", 10)) == Verdict::Rejected);
    BOOST_TEST(fold.verdict(keyClaim("k", "r1", 10)) == Verdict::Rejected);
    BOOST_TEST(fold.verdict(keyOutcome("k", "r2")) == Verdict::Rejected);
    BOOST_TEST(fold.verdict(keyOutcome("k", "r1")) == Verdict::Accepted);
    BOOST_TEST(fold.verdict(keyOutcome("k", "r1")) == Verdict::Rejected);
    BOOST_TEST(fold.fold_.claim("k")->body_ == "booked");
}

// A confirmation would be sent twice when a delayed claim is appended after the key's first claim
// was dropped, and a missing claim is taken for a key that was never claimed.
BOOST_AUTO_TEST_CASE(aClaimOlderThanTheHorizonIsRejected)
{
    FoldDriver fold;
    fold(keyClaim("k", "r1", 100));
    fold(keyClaim("other", "r2", 100 + Horizon));
    BOOST_TEST(fold.fold_.claim("k") != nullptr);
    fold(keyClaim("third", "r3", 101 + Horizon));
    BOOST_TEST(fold.fold_.claim("k") == nullptr);
    BOOST_TEST(fold.verdict(keyClaim("k", "r4", 100)) == Verdict::Rejected);
    BOOST_TEST(fold.verdict(keyClaim("k", "r5", 101)) == Verdict::Accepted);
}

// A confirmation would be sent twice within the horizon when a key is claimed, dropped and claimed
// again, and dropping the first claim by its key removes the new one too.
BOOST_AUTO_TEST_CASE(aKeyClaimedAgainIsNotDroppedWithItsOldClaim)
{
    FoldDriver fold;
    fold(keyClaim("first", "r1", 500));
    fold(keyClaim("k", "r2", 100)); // From an instance whose clock is slightly behind.
    fold(keyClaim("other", "r3", 200 + Horizon));
    BOOST_TEST(fold.verdict(keyClaim("k", "r4", 200 + Horizon)) == Verdict::Accepted);
    fold(keyClaim("last", "r5", 501 + Horizon));
    BOOST_TEST(fold.verdict(keyClaim("k", "r6", 501 + Horizon)) == Verdict::Rejected);
}

BOOST_AUTO_TEST_CASE(aForeignRecordIsMalformedAndTheNextOneStillFolds)
{
    FoldDriver fold;
    BOOST_TEST(fold.fold_.fold({1, "hello"}).verdict_ == Verdict::Malformed);
    BOOST_TEST(fold.verdict(fleetApply(0, "a")) == Verdict::Accepted);
    BOOST_TEST(fold.fold_.fold({1, "hello"}).verdict_ == Verdict::Duplicate);
    BOOST_TEST(fold.next() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
