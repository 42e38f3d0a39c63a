#include "almondridge/gateway/crashevidence.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <random>

using namespace almondridge;
using namespace almondridge::gateway;

namespace {

const TimePoint Start = TimePoint {} + millis(1'000'000);

RequestKey request(std::uint64_t number)
{
    return static_cast<RequestKey>(number);
}

EndpointCrash crashOf(std::uint64_t number, TimePoint at, int groupSize = 12)
{
    return {static_cast<CrashKey>(number), static_cast<CrashGroup>(1), groupSize, at};
}

} // namespace

BOOST_AUTO_TEST_SUITE(CrashEvidenceOfOneInstance)

/** Guards against a request that crashes engine after engine because the crashes aren't counted. */
BOOST_AUTO_TEST_CASE(threeCrashesWithoutACompletedRunQuarantineARequest)
{
    CrashEvidence evidence;
    const RequestKey crashingRequest = request(7);
    evidence.onCrash(crashOf(1, Start), {crashingRequest, request(8)}, Start);
    BOOST_TEST((evidence.assess(crashingRequest, Start).level_ == Suspicion::Weak));
    evidence.onCrash(crashOf(2, Start + millis(2'000)), {crashingRequest, request(9)},
                     Start + millis(2'000));
    BOOST_TEST(
        (evidence.assess(crashingRequest, Start + millis(2'000)).level_ == Suspicion::Strong));
    BOOST_TEST((evidence.assess(request(8), Start + millis(2'000)).level_ == Suspicion::Weak));
    const TimePoint third = Start + millis(4'000);
    evidence.onCrash(crashOf(3, third), {crashingRequest}, third);
    const Assessment known = evidence.assess(crashingRequest, third);
    BOOST_TEST((known.level_ == Suspicion::Quarantined));
    BOOST_TEST(known.crashes_ == 3);
    // Its crash is held against the other request now.
    BOOST_TEST((evidence.assess(request(8), third).level_ == Suspicion::None));
}

/** Repeated and late reports of a crash must count as one crash. */
BOOST_AUTO_TEST_CASE(crashReportedRepeatedlyCountsOnce)
{
    CrashEvidence evidence;
    for (std::int64_t report = 0; report < 5; ++report) {
        const TimePoint now = Start + millis(report * 700);
        evidence.onUpdate({{{static_cast<CrashKey>(1),
                             static_cast<CrashGroup>(1),
                             12,
                             report * 700,
                             {request(7)}}},
                           {},
                           {}},
                          now);
    }
    BOOST_TEST(evidence.assess(request(7), Start).crashes_ == 1);
}

/** A popular request may be in flight at many crashes while it completes elsewhere. */
BOOST_AUTO_TEST_CASE(completedRunClearsEarlierCrashes)
{
    CrashEvidence evidence;
    for (int crash = 1; crash <= 2; ++crash) {
        evidence.onCrash(crashOf(static_cast<std::uint64_t>(crash), Start), {request(7)}, Start);
    }
    BOOST_TEST(evidence.onCompleted(request(7), Start + millis(1'000)));
    const TimePoint later = Start + millis(9'000);
    evidence.onCrash(crashOf(3, later), {request(7)}, later);
    BOOST_TEST(evidence.assess(request(7), later).crashes_ == 1);
}

/** An update about a crash may arrive after a later completed run and must not count. */
BOOST_AUTO_TEST_CASE(crashBeforeACompletedRunIsIgnored)
{
    CrashEvidence evidence;
    evidence.onCompleted(request(7), Start + millis(3'000));
    for (std::uint64_t crash = 1; crash <= 3; ++crash) {
        evidence.onUpdate(
            {{{static_cast<CrashKey>(crash), static_cast<CrashGroup>(1), 12, 1'500, {request(7)}}},
             {},
             {}},
            Start + millis(4'000));
    }
    BOOST_TEST(evidence.assess(request(7), Start + millis(4'000)).crashes_ == 0);
    BOOST_TEST(evidence.takeUpdate(Start + millis(4'000)).cleared_.size() == 1);
}

/** A new release may fix the endpoints: a trial run decides, and a failed one doubles the time. */
BOOST_AUTO_TEST_CASE(quarantineEndsAndReturnsForLonger)
{
    CrashEvidence evidence;
    TimePoint last = Start;
    for (std::uint64_t crash = 1; crash <= 3; ++crash) {
        last = Start + millis(static_cast<std::int64_t>(crash) * 1'000);
        evidence.onCrash(crashOf(crash, last), {request(7)}, last);
    }
    const Duration first = evidence.assess(request(7), last).quarantinedUntil_ - last;
    const TimePoint later = last + first;
    evidence.removeExpired(later);
    BOOST_TEST((evidence.assess(request(7), later).level_ == Suspicion::HalfOpen));
    evidence.onCrash(crashOf(4, later), {request(7)}, later);
    const Assessment again = evidence.assess(request(7), later);
    BOOST_TEST((again.level_ == Suspicion::Quarantined));
    BOOST_TEST((again.quarantinedUntil_ - later == 2 * first));
    evidence.onCompleted(request(7), again.quarantinedUntil_);
    BOOST_TEST((evidence.assess(request(7), again.quarantinedUntil_).level_ == Suspicion::None));
}

/**
 * Guards against quarantining innocent requests after mass failures: three times in a row, 30% of
 * all engines crash at once, each with 30 streams, which their callers retry immediately.
 */
BOOST_AUTO_TEST_CASE(threeMassFailuresQuarantineNoRequest)
{
    for (const int engines : {11, 18, 90, 140}) {
        for (std::uint64_t seed = 0; seed < 20; ++seed) {
            std::mt19937_64 random(seed);
            CrashEvidence evidence;
            constexpr int StreamsOfAnEngine = 30;
            const auto streams = static_cast<std::uint64_t>(engines) * StreamsOfAnEngine;
            const int crashedEngines = (3 * engines + 9) / 10;
            std::uint64_t crashNumber = 0;
            TimePoint now = Start;
            for (int failure = 0; failure < 3; ++failure) {
                now += millis(5'000);
                std::map<int, std::vector<RequestKey>> inFlight;
                for (std::uint64_t stream = 0; stream < streams; ++stream) {
                    inFlight[static_cast<int>(random() % static_cast<unsigned>(engines))].push_back(
                        request(stream));
                }
                for (int engine = 0; engine < crashedEngines; ++engine) {
                    const TimePoint at = now + millis(static_cast<std::int64_t>(random() % 100));
                    evidence.onCrash(crashOf(++crashNumber, at, engines), inFlight[engine], at);
                }
            }
            now += millis(1'000);
            for (std::uint64_t stream = 0; stream < streams; ++stream) {
                const Suspicion level = evidence.assess(request(stream), now).level_;
                BOOST_REQUIRE((level != Suspicion::Quarantined));
            }
        }
    }
}

/**
 * Guards against quarantining popular requests: one crash per second somewhere in a large fleet for
 * a minute, with equal requests on up to half of the engines at any time, each of which completes
 * after two seconds unless its engine crashes.
 */
BOOST_AUTO_TEST_CASE(popularRequestsAreNotQuarantined)
{
    constexpr int Engines = 140;
    constexpr double RunSeconds = 2;
    for (std::uint64_t seed = 0; seed < 100; ++seed) {
        std::mt19937_64 random(seed);
        const auto happens = [&](double share) {
            return std::uniform_real_distribution<>(0, 1)(random) < share;
        };
        CrashEvidence evidence;
        bool quarantined = false;
        for (std::int64_t second = 0; second < 60; ++second) {
            const TimePoint now = Start + millis(second * 1'000);
            std::vector<RequestKey> inFlight;
            for (int running = 1; running <= Engines / 2; ++running) {
                if (happens(static_cast<double>(running) / Engines)) {
                    inFlight.push_back(request(static_cast<std::uint64_t>(running)));
                }
            }
            evidence.onCrash(crashOf(static_cast<std::uint64_t>(second) + 1, now, Engines),
                             inFlight, now);
            for (int running = 1; running <= Engines / 2; ++running) {
                const RequestKey key = request(static_cast<std::uint64_t>(running));
                quarantined =
                    quarantined || evidence.assess(key, now).level_ == Suspicion::Quarantined;
                if (happens(1 - std::exp(-running / RunSeconds))) {
                    evidence.onCompleted(key, now + millis(600));
                }
            }
        }
        BOOST_TEST(!quarantined);
    }
}

/**
 * A flood of unique requests in crashes must neither exceed the memory limit nor evict a request
 * that was seen at several crashes.
 */
BOOST_AUTO_TEST_CASE(floodOfSuspectsEvictsTheLeastSuspicious)
{
    constexpr std::size_t MaxSuspects = 4'096;
    constexpr std::uint64_t Crashes = 400;
    CrashEvidence evidence;
    const RequestKey crashingRequest = request(1);
    std::uint64_t next = 100;
    TimePoint now = Start;
    for (std::uint64_t crash = 1; crash <= Crashes; ++crash) {
        now += millis(100);
        std::vector<RequestKey> inFlight;
        inFlight.reserve(31);
        for (int stream = 0; stream < 30; ++stream) {
            inFlight.push_back(request(++next));
        }
        if (crash == 1 || crash == 10 || crash == Crashes) {
            inFlight.push_back(crashingRequest);
        }
        evidence.onCrash(crashOf(crash, now, 140), inFlight, now);
        BOOST_REQUIRE(evidence.suspects() <= MaxSuspects);
    }
    BOOST_TEST(evidence.assess(crashingRequest, now).crashes_ == 3);
}

/** Guards against concurrent runs of a suspected request: one instance holds the lease. */
BOOST_AUTO_TEST_CASE(leaseIsHeldByOneInstance)
{
    CrashEvidence evidence;
    BOOST_TEST(evidence.acquireLease(request(7), 5, Start));
    BOOST_TEST(!evidence.acquireLease(request(7), 5, Start));
    BOOST_TEST(evidence.holdsLease(request(7), 5, Start));
    evidence.onUpdate({{}, {}, {{request(7), 3, 10}}}, Start + millis(100));
    BOOST_TEST(!evidence.holdsLease(request(7), 5, Start + millis(100)));
    BOOST_TEST(evidence.acquireLease(request(7), 5, Start + millis(60'000)));
}

/** Guards against a run that starts when its lease is about to expire and pass to a peer. */
BOOST_AUTO_TEST_CASE(leaseThatIsAboutToExpireStartsNoRun)
{
    CrashEvidence evidence;
    evidence.acquireLease(request(7), 5, Start);
    BOOST_TEST(evidence.holdsLease(request(7), 5, Start + millis(10'000)));
    BOOST_TEST(!evidence.holdsLease(request(7), 5, Start + millis(20'000)));
}

/** Guards against a second run while the first one outlasts the lease: renewals must be sent. */
BOOST_AUTO_TEST_CASE(longRunKeepsItsLease)
{
    CrashEvidence here;
    CrashEvidence there;
    here.acquireLease(request(7), 5, Start);
    for (std::int64_t renewal = 0; renewal < 6; ++renewal) {
        const TimePoint now = Start + millis(renewal * 9'000);
        here.renewLease(request(7), 5, now);
        for (int round = 0; round < 10; ++round) {
            there.onUpdate(here.takeUpdate(now), now);
        }
        BOOST_TEST(there.takeUpdate(now).leases_.size() == 1);
        BOOST_TEST(!there.acquireLease(request(7), 3, now + millis(9'000)));
    }
    BOOST_TEST(here.holdsLease(request(7), 5, Start + millis(6LL * 9'000)));
}

BOOST_AUTO_TEST_SUITE_END()
