/**
 * What an entry instance's state costs: heap bytes and processor time of the real code at several
 * sizes, with the straight line through them. docs/CAPACITY.md works with these slopes. Heartbeats
 * are measured by bench peers, streams and relayed tokens by bench relay.
 *
 *   bench_slopes [PART OF A ROW'S NAME]
 */
#include "linefit.h"
#include "slopefleet.h"
#include "slopelog.h"

#include "almondridge/base/log.h"

#include <array>
#include <string>

using namespace almondridge;
using namespace almondridge::bench;

namespace {

/** A measurement over sizes of the fleet; x is the number of endpoints or of accounts. */
struct FleetRow
{
    const char *name_;
    const char *unit_;
    int FleetSize::*x_;
    double (*measure_)(const FleetSize &size);
};

constexpr std::array<int, 4> EndpointCounts {600, 1'350, 2'700, 5'400};
constexpr std::array<int, 4> AccountCounts {540, 1'075, 2'150, 4'300};

constexpr std::array FleetRows {
    FleetRow {"fleet file, text", "bytes", &FleetSize::endpoints_, fleetTextBytes},
    FleetRow {"fleet file, text", "bytes", &FleetSize::accounts_, fleetTextBytes},
    FleetRow {"fleet in memory", "bytes", &FleetSize::endpoints_, fleetHeap},
    FleetRow {"fleet in memory", "bytes", &FleetSize::accounts_, fleetHeap},
    FleetRow {"parse and check", "us", &FleetSize::endpoints_, parseMicroseconds},
    FleetRow {"parse and check", "us", &FleetSize::accounts_, parseMicroseconds},
    FleetRow {"apply record", "bytes", &FleetSize::endpoints_, applyRecordBytes},
    FleetRow {"apply record", "bytes", &FleetSize::accounts_, applyRecordBytes},
    FleetRow {"apply, encode and fold", "us", &FleetSize::endpoints_, applyMicroseconds},
    FleetRow {"apply, encode and fold", "us", &FleetSize::accounts_, applyMicroseconds},
    FleetRow {"fold's state with a fleet", "bytes", &FleetSize::endpoints_, foldHeap},
    FleetRow {"fold's state with a fleet", "bytes", &FleetSize::accounts_, foldHeap},
    FleetRow {"router", "bytes", &FleetSize::endpoints_, routerHeap},
    FleetRow {"router, new fleet in force", "us", &FleetSize::endpoints_, setFleetMicroseconds},
    FleetRow {"router, a load report", "us", &FleetSize::endpoints_, reportMicroseconds},
    FleetRow {"router, a routed request", "us", &FleetSize::endpoints_, choiceMicroseconds},
    FleetRow {"instance list, text", "bytes", &FleetSize::endpoints_, instanceListBytes},
    FleetRow {"instance list, parse", "us", &FleetSize::endpoints_, instanceListMicroseconds},
    FleetRow {"admission", "bytes", &FleetSize::accounts_, admissionHeap},
    FleetRow {"admission, an offer", "us", &FleetSize::accounts_, offerMicroseconds},
};

/** A measurement over a count of records. */
struct RecordRow
{
    const char *name_;
    const char *unit_;
    double (*measure_)(int count);
};

constexpr std::array<int, 4> RecordCounts {500, 1'000, 2'500, 5'000};

constexpr std::array RecordRows {
    RecordRow {"idempotency keys with outcomes", "bytes", keyHeap},
    RecordRow {"snapshot of keys with outcomes", "bytes", keySnapshotBytes},
    RecordRow {"key claim, encode and fold", "us", claimMicroseconds},
    RecordRow {"key outcome, encode and fold", "us", outcomeMicroseconds},
    RecordRow {"lease renewal, encode and fold", "us", renewalMicroseconds},
    RecordRow {"order, encode and fold", "us", orderMicroseconds},
    RecordRow {"time line", "bytes", timelineHeap},
    RecordRow {"revisions of a small file", "bytes", revisionHeap},
};

void print(const char *name, const char *unit, const char *per, const std::vector<Sample> &samples)
{
    std::printf("%-31s", name);
    for (const Sample &sample : samples) {
        std::printf(" %6.0f:%-11.1f", sample.x_, sample.y_);
    }
    const Line line = fit(samples);
    std::printf("\n%31s = %.2f + %.5g +- %.2g %s per %s, worst miss %.1f %%\n", "", line.base_,
                line.slope_, line.slopeError_, unit, per, 100 * line.worstMiss_);
    std::fflush(stdout);
}

void run(const FleetRow &row)
{
    const bool byEndpoint = row.x_ == &FleetSize::endpoints_;
    std::vector<Sample> samples;
    for (const int count : byEndpoint ? EndpointCounts : AccountCounts) {
        FleetSize size {Domains * Models, 1};
        size.*row.x_ = count;
        samples.push_back({static_cast<double>(count), row.measure_(size)});
    }
    print(row.name_, row.unit_, byEndpoint ? "endpoint" : "account", samples);
}

void run(const RecordRow &row)
{
    std::vector<Sample> samples;
    samples.reserve(RecordCounts.size());
    for (const int count : RecordCounts) {
        samples.push_back({static_cast<double>(count), row.measure_(count)});
    }
    print(row.name_, row.unit_, "record", samples);
}

/** The fleet file of the two years ahead, where a line through smaller ones would mislead. */
void printWholeFleet()
{
    constexpr FleetSize TwoYears {5'400, 4'300};
    std::printf("5,400 endpoints with 4,300 accounts: text %.0f, record %.0f, fold's state %.0f, "
                "fleet in memory %.0f bytes; parse and check %.0f, encode and fold %.0f us\n",
                fleetTextBytes(TwoYears), applyRecordBytes(TwoYears), foldHeap(TwoYears),
                fleetHeap(TwoYears), parseMicroseconds(TwoYears), applyMicroseconds(TwoYears));
}

} // namespace

int main(int count, char **arguments)
{
    startLog(LogLevel::Error, "bench", "domain-0");
    const std::string wanted = count > 1 ? arguments[1] : "";
    std::printf("%d failure domains, %d models; size:figure, then the line through them\n", Domains,
                Models);
    const auto runMatching = [&](const auto &rows) {
        for (const auto &row : rows) {
            if (std::string(row.name_).find(wanted) != std::string::npos) {
                run(row);
            }
        }
    };
    runMatching(FleetRows);
    runMatching(RecordRows);
    printRecordBytes();
    printWholeFleet();
    return 0;
}
