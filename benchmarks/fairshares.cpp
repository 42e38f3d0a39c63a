/**
 * Shares of scarce capacity: instances that exchange reports each 250 ms admit requests of 81
 * accounts (Zipf 1.2) that arrive unevenly. Prints how much of the room was admitted, Jain's index
 * of admitted work among accounts that ask for more than their share, the worst tenth of accounts
 * (admitted work relative to their share), how long after a swing from 0.8 of the room to the load
 * the admitted work stays outside of 0.8 to 1.2 of the room, and the time a decision takes.
 *
 *   bench_fairshares [INSTANCES] [LOAD]
 */
#include "almondridge/gateway/fairshares.h"
#include "sharefleet.h"

#include <chrono>
#include <cstdio>
#include <cstdlib>

using namespace almondridge;
using namespace almondridge::gateway;
using gateway::testing::ShareFleet;
using gateway::testing::ShareLoad;
using gateway::testing::ShareResult;
using gateway::testing::zipfLoads;

namespace {

constexpr double Room = 60'000;
constexpr int Accounts = 81;

void printFairness(const std::vector<ShareLoad> &loads, const ShareResult &result, double seconds)
{
    std::vector<AskedShare> asked;
    for (const ShareLoad &load : loads) {
        const auto work = result.asked_.find(load.account_); // Of this run, as arrivals vary.
        asked.push_back({work == result.asked_.end() ? 0 : work->second / seconds, 1});
    }
    const std::vector<double> shares = maxMinShares(Room, asked);
    double sum = 0;
    double squares = 0;
    int limited = 0;
    std::vector<double> served;
    for (std::size_t index = 0; index < loads.size(); ++index) {
        const auto admitted = result.admitted_.find(loads[index].account_);
        const double work = admitted == result.admitted_.end() ? 0 : admitted->second / seconds;
        served.push_back(shares[index] > 0 ? work / shares[index] : 1);
        if (shares[index] < 0.999 * asked[index].asked_) {
            sum += work;
            squares += work * work;
            ++limited;
        }
    }
    std::sort(served.begin(), served.end());
    double worst = 0;
    const std::size_t tenth = served.size() / 10;
    for (std::size_t index = 0; index < tenth; ++index) {
        worst += served[index] / static_cast<double>(tenth);
    }
    const double jain = limited > 0 ? sum * sum / (limited * squares) : 1;
    std::printf("%7.3f %8d %7.3f %7.2f", result.total_ / seconds / Room, limited, jain, worst);
}

/** Slices of 250 ms after the swing until the admitted work stays near what fits. */
double convergenceSeconds(ShareFleet &fleet, const std::vector<ShareLoad> &loads, double load)
{
    const double target = Room * std::min(1.0, load);
    double seconds = 0;
    for (int slice = 1; slice <= 8; ++slice) {
        const double admitted = fleet.run(loads, 0.25).total_ / 0.25;
        if (admitted < 0.8 * target || admitted > 1.2 * target) {
            seconds = 0.25 * slice;
        }
    }
    return seconds;
}

/** Mean over decisions at one instance that gets 500 requests per second. */
double decisionMicros(ShareAdmission &admission, TimePoint now, const std::vector<ShareLoad> &loads)
{
    constexpr int Decisions = 500;
    std::mt19937_64 random(3);
    const auto start = std::chrono::steady_clock::now();
    for (int index = 0; index < Decisions; ++index) {
        const ShareLoad &load = loads[random() % loads.size()];
        admission.admit({ShareFleet::service(), AccountId(load.account_), random(), 0, 100},
                        random(), now + millis(std::int64_t {2} * index));
    }
    const std::chrono::duration<double, std::micro> passed =
        std::chrono::steady_clock::now() - start;
    return passed.count() / Decisions;
}

} // namespace

int main(int argc, char **argv)
{
    const int onlyInstances = argc > 1 ? std::atoi(argv[1]) : 0;
    const double onlyLoad = argc > 2 ? std::atof(argv[2]) : 0;
    std::printf("%9s %5s %7s %8s %7s %7s %12s %10s\n", "instances", "load", "of room", "limited",
                "Jain", "worst", "converged s", "decision us");
    for (const int instances : {8, 88, 985}) {
        for (const double load : {0.8, 1.2, 2.0, 3.0}) {
            if ((onlyInstances > 0 && instances != onlyInstances)
                || (onlyLoad > 0 && load != onlyLoad)) {
                continue;
            }
            ShareFleet fleet(instances, Room, 1);
            const std::vector<ShareLoad> loads = zipfLoads(Accounts, load * Room, 1);
            fleet.run(zipfLoads(Accounts, 0.8 * Room, 1), instances > 100 ? 1 : 3);
            const double converged = convergenceSeconds(fleet, loads, load);
            const double seconds = instances > 100 ? 2 : 10;
            const ShareResult result = fleet.run(loads, seconds);
            std::printf("%9d %5.1f ", instances, load);
            printFairness(loads, result, seconds);
            std::printf(" %12.2f %10.2f\n", converged,
                        decisionMicros(fleet.at(0), fleet.now(), loads));
            std::fflush(stdout);
        }
    }
    return 0;
}
