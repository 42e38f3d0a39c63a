#include "slopelog.h"

#include "measure.h"

#include "almondridge/control/fold.h"
#include "almondridge/fleet/fleetfile.h"
#include "almondridge/observe/timeline.h"

#include <array>

namespace almondridge::bench {
namespace {

constexpr std::int64_t KeyHorizonMillis = 3'600'000;
constexpr std::size_t OutcomeBodyBytes = 200;

/** A fold and the offset of the next record. */
struct Log
{
    control::Fold fold_ {KeyHorizonMillis};
    LogOffset next_ = 1;

    LogOffset add(const control::Record &record)
    {
        const control::FoldStep step = fold_.fold({next_, control::encodeRecord(record)});
        require(step.verdict_ == control::Verdict::Accepted, "a record is accepted");
        return next_++;
    }
};

const DomainId LeaseDomain("domain-0");

const InstanceId Holder("domain-0-entry-12");

double claimsInto(Log &log, int count)
{
    return microsecondsOf(count, [&](int index) {
        log.add(control::KeyClaimRecord {"account-10001/booking-" + std::to_string(index),
                                         RequestId(numbered("request-", index)), Holder,
                                         1'796'234'846'979});
    });
}

double outcomesInto(Log &log, int count)
{
    return microsecondsOf(count, [&](int index) {
        log.add(control::KeyOutcomeRecord {"account-10001/booking-" + std::to_string(index),
                                           RequestId(numbered("request-", index)), 200,
                                           std::string(OutcomeBodyBytes, 'x')});
    });
}

Fence leaseIn(Log &log)
{
    return log.add(control::LeaseClaimRecord {LeaseDomain, Holder, 0, 6'000});
}

double appliesInto(Log &log, const std::string &text, int count)
{
    Revision base = 0;
    return microsecondsOf(count, [&](int index) {
        base = log.add(control::ApplyRecord {base, text, "aino", numbered("apply-", index)});
    });
}

} // namespace

double keyHeap(int count)
{
    const double before = heapBytes();
    Log log;
    claimsInto(log, count);
    outcomesInto(log, count);
    return heapBytes() - before;
}

double keySnapshotBytes(int count)
{
    Log log;
    claimsInto(log, count);
    outcomesInto(log, count);
    return static_cast<double>(log.fold_.snapshot().size());
}

double claimMicroseconds(int count)
{
    Log log;
    return claimsInto(log, count);
}

double outcomeMicroseconds(int count)
{
    Log log;
    claimsInto(log, count);
    return outcomesInto(log, count);
}

double renewalMicroseconds(int count)
{
    Log log;
    const Fence fence = leaseIn(log);
    return microsecondsOf(count, [&](int) {
        log.add(control::LeaseRenewRecord {LeaseDomain, Holder, fence, false});
    });
}

double orderMicroseconds(int count)
{
    Log log;
    const Fence fence = leaseIn(log);
    const control::EngineTarget target {ModelId("model-1"), "v1", {}, fleet::EngineRole::Decode};
    return microsecondsOf(count, [&](int index) {
        const EndpointId engine = endpointOf(index).id_;
        const LogOffset intent =
            log.add(control::IntentRecord {LeaseDomain, fence, 1, engine, target});
        log.add(control::OutcomeRecord {LeaseDomain, fence, intent, engine,
                                        control::OrderOutcome::Done});
    });
}

double applyMicroseconds(const FleetSize &size)
{
    Log log;
    return appliesInto(log, fleet::writeFleet(fleetOf(size)), 5);
}

double revisionHeap(int count)
{
    const std::string text = fleet::writeFleet(fleetOf({9, 1}));
    const double before = heapBytes();
    Log log;
    appliesInto(log, text, count);
    return heapBytes() - before;
}

double foldHeap(const FleetSize &size)
{
    const std::string text = fleet::writeFleet(fleetOf(size));
    const double before = heapBytes();
    Log log;
    appliesInto(log, text, 2);
    return heapBytes() - before;
}

double applyRecordBytes(const FleetSize &size)
{
    const control::ApplyRecord record {1, fleet::writeFleet(fleetOf(size)), "aino", "apply-1"};
    return static_cast<double>(control::encodeRecord(record).size());
}

double timelineHeap(int count)
{
    const double before = heapBytes();
    observe::Timeline timeline(Holder, LeaseDomain, static_cast<std::size_t>(count));
    for (int index = 0; index < count; ++index) {
        timeline.add(observe::EventKind::Request, "request.attempt-over",
                     "domain-0-entry-12-" + std::to_string(1'000'000 + index),
                     std::string(OutcomeBodyBytes, 'x'));
    }
    return heapBytes() - before;
}

void printRecordBytes()
{
    const control::EngineTarget target {ModelId("model-1"), "v1", {}, fleet::EngineRole::Decode};
    const EndpointId engine = endpointOf(0).id_;
    const RequestId request("domain-0-entry-12-1796234846979-123456");
    const std::array<control::Record, 6> records {
        control::LeaseClaimRecord {LeaseDomain, Holder, 81'000'000, 6'000},
        control::LeaseRenewRecord {LeaseDomain, Holder, 81'000'000, false},
        control::IntentRecord {LeaseDomain, 81'000'000, 1, engine, target},
        control::OutcomeRecord {LeaseDomain, 81'000'000, 81'000'001, engine,
                                control::OrderOutcome::Done},
        control::KeyClaimRecord {"account-10001/booking-123456", request, Holder,
                                 1'796'234'846'979},
        control::KeyOutcomeRecord {"account-10001/booking-123456", request, 200,
                                   std::string(OutcomeBodyBytes, 'x')}};
    std::printf("bytes of a record, with an id of 24 characters:");
    for (const control::Record &record : records) {
        const std::string_view kind = control::kindOf(record);
        std::printf(" %.*s %zu", static_cast<int>(kind.size()), kind.data(),
                    control::encodeRecord(record, std::string(24, 'i')).size());
    }
    std::printf("\n");
}

} // namespace almondridge::bench
