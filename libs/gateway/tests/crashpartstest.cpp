#include "crashfleet.h"

#include <cmath>

using namespace almondridge;
using namespace almondridge::gateway;
using namespace almondridge::gateway::testing;

namespace {

RequestKey part(std::uint64_t number)
{
    static const PartKeys keys("secret");
    return keys.keyOf("model", number);
}

/** A request that no other one equals, with these parts. */
RequestKeys requestWith(std::vector<RequestKey> parts)
{
    static std::uint64_t number = 1'000'000;
    return {request(++number), std::move(parts)};
}

std::vector<RequestKey> flat(const RequestKeys &keys)
{
    std::vector<RequestKey> all {keys.own_};
    all.insert(all.end(), keys.parts_.begin(), keys.parts_.end());
    return all;
}

bool isRefused(const CrashEvidence &evidence, std::vector<RequestKey> parts, TimePoint now)
{
    return evidence.assess(requestWith(std::move(parts)), now).level_ == Suspicion::Quarantined;
}

const RequestKey Common = part(1);   ///< Of all requests.
const RequestKey Subject = part(2);  ///< Of some sound requests, too.
const RequestKey Crashing = part(3); ///< Crashes whatever begins to answer it.

/** Lets a request with these parts crash an endpoint at that time. */
void crash(CrashEvidence &evidence, std::uint64_t number, TimePoint at,
           std::vector<RequestKey> parts)
{
    evidence.onCrash(crashOf(number, at), flat(requestWith(std::move(parts))), at);
}

} // namespace

BOOST_AUTO_TEST_SUITE(CrashesOfParts)

/** Guards against crashes by requests of which no two are alike. */
BOOST_AUTO_TEST_CASE(aPartOfThreeCrashesIsRefusedWhateverElseARequestHolds)
{
    CrashEvidence evidence;
    TimePoint now = Start;
    for (std::uint64_t number = 1; number <= 3; ++number) {
        BOOST_TEST(!isRefused(evidence, {Common, Crashing}, now));
        now = Start + millis(static_cast<std::int64_t>(number) * 1'000);
        crash(evidence, number, now, {Common, part(10 + number), Crashing});
        evidence.onCompleted(requestWith({Common, Subject}), now + millis(600));
    }
    now += millis(700);
    BOOST_TEST(isRefused(evidence, {Common, Crashing}, now));
    BOOST_TEST(isRefused(evidence, {Crashing, part(99)}, now));
    BOOST_TEST(!isRefused(evidence, {Common, Subject}, now));
    BOOST_TEST(!isRefused(evidence, {Common, part(11)}, now));
}

/** Guards against refusing sound requests that share a part with each request that crashed. */
BOOST_AUTO_TEST_CASE(ofPartsWithTheSameCrashesOnlyRequestsWithAllAreRefused)
{
    CrashEvidence evidence;
    TimePoint now = Start;
    for (std::uint64_t number = 1; number <= 3; ++number) {
        now += millis(1'000);
        crash(evidence, number, now, {Subject, Crashing});
    }
    BOOST_TEST(isRefused(evidence, {Subject, Crashing}, now));
    BOOST_TEST(!isRefused(evidence, {Subject}, now));
    BOOST_TEST(!isRefused(evidence, {Crashing}, now));
    now += millis(1'000);
    crash(evidence, 4, now, {part(4), Crashing});
    BOOST_TEST(isRefused(evidence, {Crashing}, now));
    BOOST_TEST(!isRefused(evidence, {Subject}, now));
}

/** Guards against blaming what most endpoints have when a failure domain loses its power. */
BOOST_AUTO_TEST_CASE(crashesOfOneMomentCountOnceForAPart)
{
    CrashEvidence evidence;
    for (std::uint64_t number = 1; number <= 8; ++number) {
        crash(evidence, number, Start + millis(static_cast<std::int64_t>(number) * 25), {Common});
    }
    const TimePoint now = Start + millis(1'000);
    BOOST_TEST(!isRefused(evidence, {Common}, now));
    crash(evidence, 9, now, {Common});
    BOOST_TEST(!isRefused(evidence, {Common}, now));
}

/** Guards against refusing all requests of a route when a prefill engine's answers count. */
BOOST_AUTO_TEST_CASE(aWholeAnswerClearsAPartAndALaterCrashCountsAgain)
{
    CrashEvidence evidence;
    for (std::uint64_t number = 1; number <= 3; ++number) {
        crash(evidence, number, Start + millis(static_cast<std::int64_t>(number) * 1'000),
              {Crashing});
    }
    const TimePoint now = Start + millis(4'000);
    BOOST_TEST(isRefused(evidence, {Crashing}, now));
    BOOST_TEST(evidence.onCompleted(requestWith({Crashing}), now));
    BOOST_TEST(!isRefused(evidence, {Crashing}, now));
}

/** Guards against blaming a part that was sound just before for a few chance crashes. */
BOOST_AUTO_TEST_CASE(aPartThatWasSoundIsSeenMoreOften)
{
    CrashEvidence evidence;
    evidence.onCompleted(requestWith({Crashing}), Start);
    for (std::uint64_t number = 1; number <= 5; ++number) {
        const TimePoint now = Start + millis(static_cast<std::int64_t>(number) * 1'000);
        BOOST_TEST(!isRefused(evidence, {Crashing}, now));
        crash(evidence, number, now, {Crashing});
    }
    BOOST_TEST(isRefused(evidence, {Crashing}, Start + millis(5'000)));
}

/** Guards against a whole answer that others are never told of, as a new report comes just then. */
BOOST_AUTO_TEST_CASE(aReportDoesNotStopTheNewsOfAWholeAnswer)
{
    const auto crashAt = [](std::uint64_t number, std::int64_t ageMillis) {
        return CrashUpdate::Crash {
            static_cast<CrashKey>(number), static_cast<CrashGroup>(1), 12, ageMillis, {Subject}};
    };
    CrashEvidence evidence;
    evidence.onUpdate({{crashAt(1, 2'000), crashAt(2, 1'000)}, {}, {}}, Start);
    evidence.onCompleted(requestWith({Subject}), Start);
    evidence.onCompleted(requestWith({Subject}), Start + millis(100));
    const TimePoint now = Start + millis(1'000);
    evidence.onUpdate({{crashAt(3, 0)}, {}, {}}, now);
    BOOST_TEST(evidence.takeUpdate(now).cleared_.size() == 1U);
}

/**
 * Guards against refusing sound requests while many endpoints crash by chance: one a second for two
 * minutes, of four or of 140, with parts that are asked for often and seldom.
 */
BOOST_AUTO_TEST_CASE(chanceCrashesBlameNoPart)
{
    constexpr int Parts = 60;
    constexpr double RunSeconds = 0.4;
    for (const int engines : {4, 18, 140}) {
        for (std::uint64_t seed = 0; seed < 40; ++seed) {
            std::mt19937_64 random(seed);
            const auto uniform = [&] { return std::uniform_real_distribution<>(0, 1)(random); };
            CrashEvidence evidence;
            int refused = 0;
            for (int second = 0; second < 120; ++second) {
                const TimePoint now = Start + millis(second * 1'000LL);
                std::vector<RequestKey> inFlight;
                for (int index = 0; index < Parts; ++index) {
                    const double perSecond = 30.0 / (index + 1);
                    const double onEngine = perSecond * RunSeconds / engines;
                    const RequestKey key = part(static_cast<std::uint64_t>(index));
                    if (uniform() < 1 - std::exp(-onEngine)) {
                        inFlight.push_back(key);
                    }
                    refused += isRefused(evidence, {key}, now) ? 1 : 0;
                    if (uniform() < 1 - std::exp(-perSecond)) {
                        evidence.onCompleted(requestWith({key}), now + millis(600));
                    }
                }
                evidence.onCrash(crashOf(static_cast<std::uint64_t>(second) + 1, now, engines),
                                 inFlight, now);
            }
            BOOST_TEST(refused == 0, engines << " engines, seed " << seed);
        }
    }
}

/** Guards against a part that stays unknown because each instance has seen one of its crashes. */
BOOST_AUTO_TEST_CASE(crashesOfAPartSeenByThreeInstancesAddUp)
{
    for (const int size : {2, 3, 9, 80, 195, 985}) {
        for (std::uint64_t seed = 0; seed < (size > 500 ? 1U : 5U); ++seed) {
            Fleet fleet(size, seed);
            fleet.lossRate_ = 0.1;
            fleet.runUntil(Start + millis(6'000));
            for (int number = 0; number < 3; ++number) {
                fleet.at(number % size)
                    .onCrash(crashOf(static_cast<std::uint64_t>(number) + 1, fleet.now_),
                             flat(requestWith({Common, Subject, Crashing})), fleet.now_);
                fleet.runUntil(fleet.now_ + millis(200));
                fleet.at(size / 2).onCompleted(requestWith({Common, Subject}), fleet.now_);
                fleet.runUntil(fleet.now_ + millis(500));
            }
            fleet.runUntil(fleet.now_ - millis(700) + ConvergenceBound);
            BOOST_TEST(fleet.allQuarantine(requestWith({Common, Crashing})),
                       size << " instances, seed " << seed);
            BOOST_TEST(fleet.noneRefuses(requestWith({Common, Subject})),
                       size << " instances, seed " << seed);
        }
    }
}

/** Guards against a flood of messages when endpoints crash with long prompts in flight. */
BOOST_AUTO_TEST_CASE(longPromptsCostFewBytes)
{
    constexpr std::size_t Packet = 1'472;
    constexpr std::uint64_t Crashes = 5;
    constexpr int InFlight = 64;
    constexpr std::uint64_t PartsOfAPrompt = 50;
    for (const int size : {9, 195}) {
        Fleet fleet(size, 7);
        fleet.runUntil(Start + millis(6'000));
        const std::size_t before = fleet.bytes_;
        std::uint64_t next = 1'000;
        for (std::uint64_t number = 1; number <= Crashes; ++number) {
            for (int index = 0; index < InFlight; ++index) {
                std::vector<RequestKey> parts {Common};
                for (std::uint64_t one = 0; one < PartsOfAPrompt; ++one) {
                    parts.push_back(part(++next));
                }
                if (index == 0) {
                    parts.push_back(Crashing);
                }
                fleet.at(index % size)
                    .onCrash(crashOf(number, fleet.now_), flat(requestWith(std::move(parts))),
                             fleet.now_);
            }
            fleet.runUntil(fleet.now_ + millis(1'000));
        }
        fleet.runUntil(fleet.now_ + ConvergenceBound);
        BOOST_TEST(fleet.allQuarantine(requestWith({Common, Crashing})), size << " instances");
        BOOST_TEST(fleet.maxDatagramBytes_ <= Packet);
        // Each key that is seen once goes to two instances, twice, with its crash.
        constexpr std::size_t BytesOfAReport = 45;
        constexpr std::size_t Reports = 4 * Crashes * InFlight * (PartsOfAPrompt + 2);
        const std::size_t allowed =
            Reports * BytesOfAReport + static_cast<std::size_t>(size) * 60'000;
        BOOST_TEST(fleet.bytes_ - before <= allowed, size << " instances");
        BOOST_TEST(fleet.at(0).suspects() <= 4'096U);
    }
}

/** Guards against telling all instances of each sound part that was in flight at one crash. */
BOOST_AUTO_TEST_CASE(soundPartsOfOneCrashCostFewBytes)
{
    constexpr int Instances = 195;
    constexpr std::uint64_t Parts = 200;
    Fleet fleet(Instances, 3);
    fleet.runUntil(Start + millis(6'000));
    const std::size_t before = fleet.bytes_;
    for (std::uint64_t one = 0; one < Parts; ++one) {
        const int instance = static_cast<int>(one) % 64;
        fleet.at(instance).onCrash(crashOf(1, fleet.now_), {part(one)}, fleet.now_);
    }
    fleet.runUntil(fleet.now_ + millis(1'000));
    for (int instance = 0; instance < Instances; ++instance) {
        for (std::uint64_t one = 0; one < Parts; ++one) {
            fleet.at(instance).onCompleted(requestWith({part(one)}), fleet.now_);
        }
    }
    fleet.runUntil(fleet.now_ + ConvergenceBound);
    // Four reports a part, and what every instance is told of the crash itself.
    constexpr std::size_t BytesOfADatagram = 100;
    constexpr std::size_t DatagramsOfACrash = 16;
    const std::size_t allowed = BytesOfADatagram * (4 * Parts + DatagramsOfACrash * Instances);
    BOOST_TEST(fleet.bytes_ - before <= allowed, fleet.bytes_ - before << " of " << allowed);
}

BOOST_AUTO_TEST_SUITE_END()
