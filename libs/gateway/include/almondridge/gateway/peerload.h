/**
 * Reports in which instances tell their peers which prompts they have sent to engines that have not
 * read them yet. Engines report their queues late, and each instance sees only its own share; with
 * its peers' reports an instance knows a queue 100 ms after it grew.
 *
 * A report is one datagram with the complete load of its sender, so that the next report makes up
 * for a lost one. The load of a peer that stops sending expires.
 */
#pragma once

#include "almondridge/base/ids.h"
#include "almondridge/base/time.h"
#include "almondridge/gateway/demandmeter.h"
#include "almondridge/gateway/endpoints.h"
#include "almondridge/gateway/loaddigest.h"
#include "almondridge/gateway/promptcacheindex.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace almondridge::gateway {

struct LoadReport
{
    InstanceId sender_;
    std::uint64_t lifetime_ = 0; ///< Increases with each restart of the sender.
    std::uint64_t sequence_ = 0; ///< Increases within a lifetime; older reports are dropped.
    /**
     * Engines that are carrying out an order of the sender, and about how many milliseconds they
     * still need.
     */
    std::map<EndpointId, std::int64_t> changingMillis_ {};
    bool canLead_ = false;  ///< The sender could become leader, since it reaches the store.
    bool isLeader_ = false; ///< The sender is entitled to give orders.
    /** Prompt tokens of the sender that engines have not read yet. */
    std::map<EndpointId, PromptQueue> queued_ {};
    /** Requests of the sender at engines that run the decode stage. */
    std::map<EndpointId, SlotUse> slotUse_ {};
    /** Recent failed requests of the sender by endpoint; decaying counts. */
    std::map<EndpointId, double> failures_ {};
    /** Demand of the sender's callers on the engines of each service. */
    std::map<ServiceId, StageDemand> demand_ {};
    /** Endpoints that the sender recently could not reach. */
    std::vector<EndpointId> unreached_ {};
    /** Keys of shared prompt parts that engines have recently read for the sender. */
    std::vector<PromptCacheIndex::Key> readParts_ {};
    /** The relay that should send digests of all load to the sender; empty: none. */
    InstanceId followedRelay_ {};
};

/** Encodes a report as a datagram. */
std::string encodeLoadReport(const LoadReport &report);
/** Returns nullopt if the bytes are not a valid report. */
std::optional<LoadReport> decodeLoadReport(std::string_view bytes);

/** Returns the load of each endpoint in a report. */
LoadTable loadsOf(const LoadReport &report);

/**
 * Returns an instance's rank in an order that all instances compute alike. The highest-ranked
 * candidate becomes leader.
 */
std::uint64_t leaderRank(const InstanceId &id);

/** The latest reports of peers, added to the endpoints' load from other instances. */
class PeerLoads
{
public:
    struct Peer
    {
        LoadReport report_;
        TimePoint receivedAt_ {};
    };

    /** Returns false if the report is older than the latest one of its sender. */
    bool onReport(const LoadReport &report, EndpointTable &table, TimePoint now);
    /** Drops peers without a recent report. */
    void removeExpired(EndpointTable &table, TimePoint now);
    /**
     * Sets whether reports are added to the endpoints' load; a relay's digest may include them
     * already.
     */
    void setInUse(bool inUse, EndpointTable &table);
    const std::map<InstanceId, Peer> &peers() const noexcept { return peers_; }
    /**
     * Returns whether no peer is leader and no candidate among the peers ranks before self. This
     * only keeps other instances from asking for the lease; it does not entitle to give orders.
     */
    bool isPreferredLeader(const InstanceId &self) const;

    /** Returns the demand of all peers together. */
    StageDemand demand(const ServiceId &service) const;

private:
    /** Adds a report to the load of the endpoints, or subtracts it. */
    static void add(const LoadReport &report, EndpointTable &table);
    static void subtract(const LoadReport &report, EndpointTable &table);

    std::map<InstanceId, Peer> peers_;
    bool inUse_ = true;
};

} // namespace almondridge::gateway
