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

EndpointEnd endOf(std::uint64_t number, TimePoint at, int groupSize = 12)
{
    return {static_cast<EndKey>(number), static_cast<EndGroup>(1), groupSize, at};
}

} // namespace

BOOST_AUTO_TEST_SUITE(CrashEvidenceOfOneInstance)

/** Guards against a request that ends engine after engine because nobody counts. */
BOOST_AUTO_TEST_CASE(threeEndsWithoutAWholeRunBlameARequest)
{
    CrashEvidence evidence;
    const RequestKey guilty = request(7);
    evidence.onEnd(endOf(1, Start), {guilty, request(8)}, Start);
    BOOST_TEST((evidence.assess(guilty, Start).level_ == Suspicion::Weak));
    evidence.onEnd(endOf(2, Start + millis(2'000)), {guilty, request(9)}, Start + millis(2'000));
    BOOST_TEST((evidence.assess(guilty, Start + millis(2'000)).level_ == Suspicion::Strong));
    const TimePoint third = Start + millis(4'000);
    evidence.onEnd(endOf(3, third), {guilty}, third);
    const Assessment known = evidence.assess(guilty, third);
    BOOST_TEST((known.level_ == Suspicion::Blamed));
    BOOST_TEST(known.ends_ == 3);
    BOOST_TEST((evidence.assess(request(8), third).level_ == Suspicion::Weak));
}

/** The same end told again, by other instances and later, is one end. */
BOOST_AUTO_TEST_CASE(oneEndCountsOnce)
{
    CrashEvidence evidence;
    for (int told = 0; told < 5; ++told) {
        const TimePoint now = Start + millis(told * 700);
        evidence.onNews(
            {{{static_cast<EndKey>(1), static_cast<EndGroup>(1), 12, told * 700, {request(7)}}},
             {},
             {}},
            now);
    }
    BOOST_TEST(evidence.assess(request(7), Start).ends_ == 1);
}

/** A popular request is on board of each end, and is answered whole elsewhere all the time. */
BOOST_AUTO_TEST_CASE(aWholeRunClearsOfWhatWasBefore)
{
    CrashEvidence evidence;
    for (int end = 1; end <= 2; ++end) {
        evidence.onEnd(endOf(static_cast<std::uint64_t>(end), Start), {request(7)}, Start);
    }
    BOOST_TEST(evidence.onWholeRun(request(7), Start + millis(1'000)));
    const TimePoint later = Start + millis(9'000);
    evidence.onEnd(endOf(3, later), {request(7)}, later);
    BOOST_TEST(evidence.assess(request(7), later).ends_ == 1);
}

/** News of an end that comes after the whole run that was under way when it happened. */
BOOST_AUTO_TEST_CASE(evidenceFromBeforeAWholeRunComesTooLate)
{
    CrashEvidence evidence;
    evidence.onWholeRun(request(7), Start + millis(3'000));
    for (std::uint64_t end = 1; end <= 3; ++end) {
        evidence.onNews(
            {{{static_cast<EndKey>(end), static_cast<EndGroup>(1), 12, 1'500, {request(7)}}},
             {},
             {}},
            Start + millis(4'000));
    }
    BOOST_TEST(evidence.assess(request(7), Start + millis(4'000)).ends_ == 0);
    BOOST_TEST(evidence.takeNews(Start + millis(4'000)).cleared_.size() == 1);
}

/** A release may mend the endpoints: one run tells, and a failed one doubles the wait. */
BOOST_AUTO_TEST_CASE(blameLapsesAndComesBackForLonger)
{
    CrashEvidence evidence;
    TimePoint last = Start;
    for (std::uint64_t end = 1; end <= 3; ++end) {
        last = Start + millis(static_cast<std::int64_t>(end) * 1'000);
        evidence.onEnd(endOf(end, last), {request(7)}, last);
    }
    const Duration first = evidence.assess(request(7), last).blamedUntil_ - last;
    const TimePoint lapsed = last + first;
    evidence.forgetOld(lapsed);
    BOOST_TEST((evidence.assess(request(7), lapsed).level_ == Suspicion::Lapsed));
    evidence.onEnd(endOf(4, lapsed), {request(7)}, lapsed);
    const Assessment again = evidence.assess(request(7), lapsed);
    BOOST_TEST((again.level_ == Suspicion::Blamed));
    BOOST_TEST((again.blamedUntil_ - lapsed == 2 * first));
    evidence.onWholeRun(request(7), again.blamedUntil_);
    BOOST_TEST((evidence.assess(request(7), again.blamedUntil_).level_ == Suspicion::None));
}

/**
 * Guards against blaming innocents of mass failures: three times in a row 30% of all engines end
 * at once, each with 30 streams, which their callers send again at once.
 */
BOOST_AUTO_TEST_CASE(nobodyIsBlamedForThreeMassFailures)
{
    for (const int engines : {11, 18, 90, 140}) {
        for (std::uint64_t seed = 0; seed < 20; ++seed) {
            std::mt19937_64 random(seed);
            CrashEvidence evidence;
            constexpr int StreamsOfAnEngine = 30;
            const auto streams = static_cast<std::uint64_t>(engines) * StreamsOfAnEngine;
            const int ended = (3 * engines + 9) / 10;
            std::uint64_t endNumber = 0;
            TimePoint now = Start;
            for (int failure = 0; failure < 3; ++failure) {
                now += millis(5'000);
                std::map<int, std::vector<RequestKey>> aboard;
                for (std::uint64_t stream = 0; stream < streams; ++stream) {
                    aboard[static_cast<int>(random() % static_cast<unsigned>(engines))].push_back(
                        request(stream));
                }
                for (int engine = 0; engine < ended; ++engine) {
                    const TimePoint at = now + millis(static_cast<std::int64_t>(random() % 100));
                    evidence.onEnd(endOf(++endNumber, at, engines), aboard[engine], at);
                }
            }
            now += millis(1'000);
            for (std::uint64_t stream = 0; stream < streams; ++stream) {
                const Suspicion level = evidence.assess(request(stream), now).level_;
                BOOST_REQUIRE((level != Suspicion::Blamed));
            }
        }
    }
}

/**
 * Guards against blaming what many callers ask: one crash a second somewhere in a large fleet for
 * a minute, equal requests on up to half of the engines at any time, each answered whole after two
 * seconds where its engine lives on.
 */
BOOST_AUTO_TEST_CASE(popularRequestsAreNotBlamedForACrashASecond)
{
    constexpr int Engines = 140;
    constexpr double RunSeconds = 2;
    for (std::uint64_t seed = 0; seed < 100; ++seed) {
        std::mt19937_64 random(seed);
        const auto happens = [&](double share) {
            return std::uniform_real_distribution<>(0, 1)(random) < share;
        };
        CrashEvidence evidence;
        bool blamed = false;
        for (int second = 0; second < 60; ++second) {
            const TimePoint now = Start + millis(second * 1'000);
            std::vector<RequestKey> aboard;
            for (int running = 1; running <= Engines / 2; ++running) {
                if (happens(static_cast<double>(running) / Engines)) {
                    aboard.push_back(request(static_cast<std::uint64_t>(running)));
                }
            }
            evidence.onEnd(endOf(static_cast<std::uint64_t>(second) + 1, now, Engines), aboard,
                           now);
            for (int running = 1; running <= Engines / 2; ++running) {
                const RequestKey key = request(static_cast<std::uint64_t>(running));
                blamed = blamed || evidence.assess(key, now).level_ == Suspicion::Blamed;
                if (happens(1 - std::exp(-running / RunSeconds))) {
                    evidence.onWholeRun(key, now + millis(600));
                }
            }
        }
        BOOST_TEST(!blamed);
    }
}

/** A flood of unique requests in crashes: memory is bounded, and what was seen twice stays. */
BOOST_AUTO_TEST_CASE(aFloodOfSuspectsDropsTheLeastSuspicious)
{
    constexpr std::size_t MostSuspects = 4'096;
    constexpr std::uint64_t Crashes = 400;
    CrashEvidence evidence;
    const RequestKey guilty = request(1);
    std::uint64_t next = 100;
    TimePoint now = Start;
    for (std::uint64_t end = 1; end <= Crashes; ++end) {
        now += millis(100);
        std::vector<RequestKey> aboard;
        for (int stream = 0; stream < 30; ++stream) {
            aboard.push_back(request(++next));
        }
        if (end == 1 || end == 10 || end == Crashes) {
            aboard.push_back(guilty);
        }
        evidence.onEnd(endOf(end, now, 140), aboard, now);
        BOOST_REQUIRE(evidence.suspects() <= MostSuspects);
    }
    BOOST_TEST(evidence.assess(guilty, now).ends_ == 3);
}

/** A suspected request runs once at a time. */
BOOST_AUTO_TEST_CASE(aTurnIsTakenByOneInstance)
{
    CrashEvidence evidence;
    BOOST_TEST(evidence.takeTurn(request(7), 5, Start));
    BOOST_TEST(!evidence.takeTurn(request(7), 5, Start));
    BOOST_TEST(evidence.holdsTurn(request(7), 5, Start));
    evidence.onNews({{}, {}, {{request(7), 3, 10}}}, Start + millis(100));
    BOOST_TEST(!evidence.holdsTurn(request(7), 5, Start + millis(100)));
    BOOST_TEST(evidence.takeTurn(request(7), 5, Start + millis(60'000)));
}

BOOST_AUTO_TEST_SUITE_END()
