/**
 * Who tells whom of the requests that were counted. Pure: datagrams and the time go in, datagrams
 * come out.
 *
 * Each instance tells its counts to a few collectors, in all failure domains, as they grow. So what
 * an instance has counted outlives it but for the last moments, and whichever collector reports the
 * usage has all counts already. A reporter that is no collector asks for them.
 */
#pragma once

#include "almondridge/gateway/loadmesh.h"
#include "almondridge/usage/fleetclock.h"
#include "almondridge/usage/usageledger.h"

namespace almondridge::usage {

class UsageMesh
{
public:
    /** lifetime: rises with each restart of this instance. */
    UsageMesh(InstanceId self, std::uint64_t lifetime, std::int64_t windowMillis, FleetClock time);

    /** All instances of the fleet, and those that collect. */
    void setMembers(std::set<InstanceId> members, std::set<InstanceId> collectors);
    /** A request of the account began to run then. */
    void onBegan(const AccountId &account, TimePoint began);
    /** What is to be sent now; to be called some times a second. */
    std::vector<gateway::MeshDatagram> tick(std::int64_t wallMillis, TimePoint now);
    /** The same, whenever it was called last. */
    std::vector<gateway::MeshDatagram> tickNow(std::int64_t wallMillis, TimePoint now);
    /** What is to be sent in answer goes to out. */
    gateway::Reception onDatagram(std::string_view datagram, TimePoint now,
                                  std::vector<gateway::MeshDatagram> &out);

    /** Asks for all that is known of the windows from one on: this instance reports from now on. */
    std::vector<gateway::MeshDatagram> queryAll(Window from) const;
    /** Asks those instances that have not told all of a window. */
    std::vector<gateway::MeshDatagram> queryIncomplete(Window window) const;
    /** Instances that have not told all of a window. */
    std::vector<InstanceId> incompleteMembers(Window window) const;
    AccountCounts counts(Window window) const { return ledger_.counts(window); }
    /** When the oldest lifetime began whose counts are known here, since the Unix epoch. */
    std::int64_t knownSince() const;
    const FleetClock &time() const noexcept { return time_; }
    std::int64_t windowMillis() const noexcept { return windowMillis_; }

private:
    std::set<InstanceId> receivers(TimePoint now) const;
    UsageUpdate makeUpdate(std::vector<WindowCounts> parts, TimePoint now);
    void onCorrection(const ClockCorrection &correction);
    Window openWindow(TimePoint now) const;
    void onUpdate(const UsageUpdate &update, TimePoint now, std::vector<gateway::MeshDatagram> &out);
    void onQuery(const UsageQuery &query, TimePoint now,
                    std::vector<gateway::MeshDatagram> &out);

    InstanceId self_;
    std::uint64_t lifetime_;
    std::int64_t windowMillis_;
    FleetClock time_;
    std::int64_t wallMillis_ = 0;  ///< As this instance's wall clock last showed.
    std::set<InstanceId> members_; ///< The others.
    std::set<InstanceId> collectors_;
    std::map<InstanceId, TimePoint> subscribers_; ///< They are told as well until then.
    LocalCounts localCounts_;
    UsageLedger ledger_;
    TimePoint nextUpdateAt_ {};
    std::uint64_t updateNumber_ = 0;
    std::uint64_t correctedUpTo_ = 0; ///< Notes up to this one told a time that was mended since.
};

} // namespace almondridge::usage
