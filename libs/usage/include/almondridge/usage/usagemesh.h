/**
 * Exchanges request counts between instances. Does no I/O: datagrams and the time are passed in,
 * datagrams are returned.
 *
 * Each instance sends its counts, as they grow, to a few collectors in all failure domains. So the
 * counts of an instance that ends survive except for the last moments, and any collector that
 * becomes the reporter has all counts already. A reporter that isn't a collector queries them.
 */
#pragma once

#include "almondridge/gateway/loadmesh.h"
#include "almondridge/usage/fleetclock.h"
#include "almondridge/usage/usageledger.h"

namespace almondridge::usage {

class UsageMesh
{
public:
    /** lifetime: start of this process in Unix milliseconds; increases with each restart. */
    UsageMesh(InstanceId self, std::uint64_t lifetime, std::int64_t windowMillis, FleetClock time);

    /** Sets all instances of the fleet, and the collectors among them. */
    void setMembers(std::set<InstanceId> members, std::set<InstanceId> collectors);
    /** Counts a request of the account that began to run at `began`. */
    void onBegan(const AccountId &account, TimePoint began);
    /** Returns the datagrams to send; to be called several times a second. */
    std::vector<gateway::MeshDatagram> tick(std::int64_t wallMillis, TimePoint now);
    /** Like tick(), but without waiting for the update interval. */
    std::vector<gateway::MeshDatagram> tickNow(std::int64_t wallMillis, TimePoint now);
    /** Handles a datagram; appends those to send in reply to out. */
    gateway::ReceiveResult onDatagram(std::string_view datagram, TimePoint now,
                                      std::vector<gateway::MeshDatagram> &out);

    /** Queries all counts from a window on; for an instance that becomes the reporter. */
    std::vector<gateway::MeshDatagram> queryAll(Window from) const;
    /** Queries the instances whose counts of a window are incomplete. */
    std::vector<gateway::MeshDatagram> queryIncomplete(Window window) const;
    /** Instances whose counts of a window are incomplete. */
    std::vector<InstanceId> incompleteMembers(Window window) const;
    AccountCounts counts(Window window) const { return ledger_.counts(window); }
    /** Start of the oldest lifetime whose counts are known here, in Unix milliseconds. */
    std::int64_t knownSince() const;
    const FleetClock &time() const noexcept { return time_; }
    std::int64_t windowMillis() const noexcept { return windowMillis_; }

private:
    std::set<InstanceId> receivers(TimePoint now) const;
    UsageUpdate makeUpdate(std::vector<WindowCounts> parts, TimePoint now);
    void onCorrection(const ClockCorrection &correction);
    Window openWindow(TimePoint now) const;
    void onUpdate(const UsageUpdate &update, TimePoint now,
                  std::vector<gateway::MeshDatagram> &out);
    void onQuery(const UsageQuery &query, TimePoint now, std::vector<gateway::MeshDatagram> &out);

    InstanceId self_;
    std::uint64_t lifetime_;
    std::int64_t windowMillis_;
    FleetClock time_;
    std::int64_t wallMillis_ = 0;  ///< Last reading of this instance's wall clock.
    std::set<InstanceId> members_; ///< The other instances.
    std::set<InstanceId> collectors_;
    std::map<InstanceId, TimePoint>
        subscribers_; ///< Reporters that get updates too, until this time.
    LocalCounts localCounts_;
    UsageLedger ledger_;
    TimePoint nextUpdateAt_ {};
    std::uint64_t updateNumber_ = 0;
    std::uint64_t correctedUpTo_ = 0; ///< Updates up to this number had an uncorrected time.
};

} // namespace almondridge::usage
