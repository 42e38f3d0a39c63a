/** Helpers that create records for the tests of the fold and the control log. */
#pragma once

#include "almondridge/base/time.h"
#include "almondridge/control/fold.h"
#include "almondridge/fleet/fleetfile.h"

#include <string>

namespace almondridge::control {

constexpr std::int64_t Horizon = 1'000;

inline const DomainId Pasila {"pasila"};
inline const EndpointId EngineOne {"e1"};

inline TimePoint soon()
{
    return BootClock::now() + millis(30'000);
}

inline std::string fleetText(const std::string &name)
{
    fleet::Fleet fleet;
    fleet.name_ = name;
    fleet.domains_ = {Pasila};
    return fleet::writeFleet(fleet);
}

inline Record fleetApply(Revision base, const std::string &name, const std::string &applyId = {})
{
    return ApplyRecord {base, fleetText(name), "op-" + name, applyId};
}

inline Record leaseClaim(const std::string &holder, LogOffset previous)
{
    return LeaseClaimRecord {Pasila, InstanceId(holder), previous, 6'000};
}

inline Record leaseRenewal(const std::string &holder, Fence fence, bool release = false)
{
    return LeaseRenewRecord {Pasila, InstanceId(holder), fence, release};
}

inline Record intent(Fence fence, std::uint64_t sequence, const std::string &version = "v1")
{
    const EngineTarget target {ModelId("m"), version, {}, fleet::EngineRole::Decode, true};
    return IntentRecord {Pasila, fence, sequence, EngineOne, target};
}

inline Record outcome(Fence fence, LogOffset intent, OrderOutcome outcome = OrderOutcome::Done)
{
    return OutcomeRecord {Pasila, fence, intent, EngineOne, outcome};
}

inline Record keyClaim(const std::string &key, const std::string &request, std::int64_t wallMillis)
{
    return KeyClaimRecord {key, RequestId(request), InstanceId("i1"), wallMillis};
}

inline Record keyOutcome(const std::string &key, const std::string &request)
{
    return KeyOutcomeRecord {key, RequestId(request), 201, "booked"};
}

/** Folds records in order, like a reader that starts at the beginning of the log. */
class FoldDriver
{
public:
    FoldStep operator()(const Record &record)
    {
        return fold_.fold({fold_.next(), encodeRecord(record)});
    }
    Verdict verdict(const Record &record) { return (*this)(record).verdict_; }
    /** The offset of the next record. */
    LogOffset next() const { return fold_.next(); }

    Fold fold_ {Horizon};
};

inline std::ostream &operator<<(std::ostream &out, Verdict verdict)
{
    return out << nameOf(VerdictNames, verdict);
}

} // namespace almondridge::control
