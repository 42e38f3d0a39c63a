#include "crashfleet.h"

using namespace almondridge;
using namespace almondridge::gateway;
using namespace almondridge::gateway::testing;

BOOST_AUTO_TEST_SUITE(CrashEvidenceOfAFleet)

/** Three instances see one crash each: all must quarantine the request within the bound. */
BOOST_AUTO_TEST_CASE(crashesSeenByThreeInstancesAddUp)
{
    for (const int size : {3, 9, 80, 195}) {
        for (std::uint64_t seed = 0; seed < 5; ++seed) {
            Fleet fleet(size, seed);
            fleet.runUntil(Start + millis(6'000));
            for (int crash = 0; crash < 3; ++crash) {
                fleet.at(crash).onCrash(
                    crashOf(static_cast<std::uint64_t>(crash) + 1, fleet.now_),
                    {request(7), request(static_cast<std::uint64_t>(crash) + 100)}, fleet.now_);
                fleet.runUntil(fleet.now_ + millis(500));
            }
            fleet.runUntil(fleet.now_ - millis(500) + ConvergenceBound);
            BOOST_TEST(fleet.allQuarantine(request(7)), size << " instances, seed " << seed);
            BOOST_TEST(fleet.noneRefuses(request(100)));
        }
    }
}

/** Updates must spread despite datagrams that are lost, late, duplicated or out of order. */
BOOST_AUTO_TEST_CASE(lostAndLateUpdatesAreRecovered)
{
    for (const int size : {9, 195}) {
        for (std::uint64_t seed = 0; seed < 5; ++seed) {
            Fleet fleet(size, seed);
            fleet.lossRate_ = 0.2;
            fleet.duplicateRate_ = 0.3;
            fleet.maxDelayMillis_ = 400;
            fleet.runUntil(Start + millis(6'000));
            for (int crash = 0; crash < 3; ++crash) {
                fleet.at(crash).onCrash(crashOf(static_cast<std::uint64_t>(crash) + 1, fleet.now_),
                                        {request(7)}, fleet.now_);
                fleet.runUntil(fleet.now_ + millis(1'000));
            }
            fleet.runUntil(fleet.now_ - millis(1'000) + ConvergenceBound);
            BOOST_TEST(fleet.allQuarantine(request(7)), size << " instances, seed " << seed);
        }
    }
}

/** Updates must survive the death of the first sender and the restart of another instance. */
BOOST_AUTO_TEST_CASE(deathsAndRestartsLoseNothing)
{
    for (std::uint64_t seed = 0; seed < 5; ++seed) {
        Fleet fleet(80, seed);
        fleet.runUntil(Start + millis(6'000));
        for (int crash = 0; crash < 3; ++crash) {
            fleet.at(crash).onCrash(crashOf(static_cast<std::uint64_t>(crash) + 1, fleet.now_),
                                    {request(7)}, fleet.now_);
            fleet.runUntil(fleet.now_ + millis(600));
            if (crash == 0) {
                fleet.kill(0);
            }
        }
        fleet.runUntil(fleet.now_ + ConvergenceBound);
        fleet.restart(40);
        fleet.runUntil(fleet.now_ + ConvergenceBound);
        BOOST_TEST(fleet.allQuarantine(request(7)));
    }
}

/** A partitioned failure domain saw one of the crashes; all must converge when it is back. */
BOOST_AUTO_TEST_CASE(partitionedDomainConvergesWhenItIsBack)
{
    for (std::uint64_t seed = 0; seed < 5; ++seed) {
        Fleet fleet(80, seed);
        fleet.runUntil(Start + millis(6'000));
        std::set<int> domain;
        for (int index = 0; index < 26; ++index) {
            domain.insert(index);
        }
        fleet.partition(domain);
        for (const int witness : {0, 40, 60}) {
            fleet.at(witness).onCrash(crashOf(static_cast<std::uint64_t>(witness) + 1, fleet.now_),
                                      {request(7)}, fleet.now_);
            fleet.runUntil(fleet.now_ + millis(2'000));
        }
        BOOST_TEST(!fleet.allQuarantine(request(7)));
        fleet.partition({});
        fleet.runUntil(fleet.now_ + ConvergenceBound);
        BOOST_TEST(fleet.allQuarantine(request(7)));
    }
}

/** A completed run at one instance must clear the request at all of them. */
BOOST_AUTO_TEST_CASE(completedRunClearsTheRequestEverywhere)
{
    Fleet fleet(80, 1);
    fleet.runUntil(Start + millis(6'000));
    for (int crash = 0; crash < 3; ++crash) {
        fleet.at(crash).onCrash(crashOf(static_cast<std::uint64_t>(crash) + 1, fleet.now_),
                                {request(7)}, fleet.now_);
    }
    fleet.runUntil(fleet.now_ + ConvergenceBound);
    BOOST_TEST(fleet.allQuarantine(request(7)));
    fleet.at(50).onCompleted(request(7), fleet.now_);
    fleet.runUntil(fleet.now_ + ConvergenceBound);
    BOOST_TEST(fleet.noneRefuses(request(7)));
}

/** An instance that sees only crashes of a popular request must learn that peers complete it. */
BOOST_AUTO_TEST_CASE(instanceWithOnlyCrashesLearnsOfCompletedRuns)
{
    Fleet fleet(9, 1);
    fleet.runUntil(Start + millis(6'000));
    for (std::uint64_t crash = 1; crash <= 6; ++crash) {
        fleet.at(1).onCrash(crashOf(crash, fleet.now_), {request(7)}, fleet.now_);
        fleet.runUntil(fleet.now_ + millis(100));
        fleet.at(2).onCompleted(request(7), fleet.now_);
        fleet.runUntil(fleet.now_ + millis(2'000));
        BOOST_TEST(fleet.noneRefuses(request(7)));
        BOOST_TEST(fleet.at(1).assess(request(7), fleet.now_).crashes_ == 0);
    }
}

/** Guards against updates that circulate forever because their age shrinks on each hop. */
BOOST_AUTO_TEST_CASE(clearedRequestIsNotReportedForever)
{
    for (const int size : {9, 80}) {
        Fleet fleet(size, 1);
        fleet.runUntil(Start + millis(6'000));
        for (std::uint64_t crash = 1; crash <= 2; ++crash) {
            fleet.at(1).onCrash(crashOf(crash, fleet.now_), {request(7)}, fleet.now_);
        }
        fleet.runUntil(fleet.now_ + ConvergenceBound);
        fleet.at(2).onCompleted(request(7), fleet.now_);
        fleet.runUntil(fleet.now_ + ConvergenceBound);
        const std::size_t before = fleet.bytes_;
        fleet.runUntil(fleet.now_ + ConvergenceBound);
        BOOST_TEST(fleet.bytes_ == before);
    }
}

/** After the quarantine, several instances ask for the lease at once: exactly one may run it. */
BOOST_AUTO_TEST_CASE(oneInstanceRunsTheTrial)
{
    for (std::uint64_t seed = 0; seed < 10; ++seed) {
        Fleet fleet(80, seed);
        fleet.lossRate_ = 0.1;
        fleet.runUntil(Start + millis(6'000));
        for (int index = 0; index < 80; index += 7) {
            fleet.at(index).acquireLease(
                request(7), 1'000 + (seed * 31 + static_cast<std::uint64_t>(index) * 17) % 97,
                fleet.now_);
            fleet.runUntil(fleet.now_ + millis(50));
        }
        fleet.runUntil(fleet.now_ + millis(1'000));
        int holders = 0;
        for (int index = 0; index < 80; ++index) {
            const auto number = 1'000 + (seed * 31 + static_cast<std::uint64_t>(index) * 17) % 97;
            holders += fleet.at(index).holdsLease(request(7), number, fleet.now_) ? 1 : 0;
        }
        BOOST_TEST(holders == 1);
    }
}

/** A mass failure of a large fleet must not exceed the packet size or the traffic limit. */
BOOST_AUTO_TEST_CASE(massFailureIsReportedInSmallDatagrams)
{
    constexpr std::size_t Packet = 1'472;
    constexpr int Instances = 195;
    Fleet fleet(Instances, 3);
    fleet.runUntil(Start + millis(6'000));
    const std::size_t before = fleet.bytes_;
    std::mt19937_64 random(5);
    for (std::uint64_t crash = 1; crash <= 42; ++crash) {
        std::vector<RequestKey> inFlight;
        inFlight.reserve(30);
        for (int stream = 0; stream < 30; ++stream) {
            inFlight.push_back(request(random()));
        }
        fleet.at(static_cast<int>(crash))
            .onCrash(crashOf(crash, fleet.now_, 140), inFlight, fleet.now_);
    }
    fleet.runUntil(fleet.now_ + millis(10'000));
    BOOST_TEST(fleet.maxDatagramBytes_ <= Packet);
    const std::size_t bytesPerInstance = (fleet.bytes_ - before) / Instances;
    BOOST_TEST(bytesPerInstance < 60'000U);
}

/** Guards against datagrams from anyone: malformed ones must be dropped as a whole. */
BOOST_AUTO_TEST_CASE(malformedUpdatesAreDropped)
{
    CrashMessage message {InstanceId("a"), false, {}};
    message.update_.crashes_.push_back(
        {static_cast<CrashKey>(1), static_cast<CrashGroup>(2), 3, 4, {request(5)}});
    message.update_.cleared_.push_back({request(6), 7});
    message.update_.leases_.push_back({request(8), 9, 10});
    const std::string whole = encodeCrashMessage(message);
    const auto read = decodeCrashMessage(whole);
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read->update_.crashes_.front().inFlight_.size() == 1);
    BOOST_TEST(read->update_.cleared_.front().ageMillis_ == 7);
    BOOST_TEST(read->update_.leases_.front().holder_ == 9);
    for (std::size_t length = 0; length < whole.size(); ++length) {
        BOOST_TEST(!decodeCrashMessage(whole.substr(0, length)).has_value());
    }
    std::mt19937_64 random(1);
    for (int round = 0; round < 20'000; ++round) {
        std::string bytes = whole;
        bytes[1 + random() % (bytes.size() - 1)] = static_cast<char>(random());
        decodeCrashMessage(bytes); // Must return, whatever the bytes are.
    }
    message.update_.crashes_.front().groupSize_ = 0;
    BOOST_TEST(!decodeCrashMessage(encodeCrashMessage(message)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
