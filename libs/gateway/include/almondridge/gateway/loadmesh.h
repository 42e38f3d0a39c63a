/**
 * Distributes the load on endpoints between instances. Pure: its inputs are reports, datagrams and
 * the time; its output is datagrams to send.
 *
 * In a small fleet each instance sends its reports to all others. In a large fleet that would allow
 * only rare reports with old values, so load is distributed in two levels. An instance sends its
 * reports to two relays of its failure domain, those with the widest links. A relay adds up the
 * reports of its domain, sends the sum to the relays of the other domains, and sends the sum of all
 * domains to the instances that follow it. An instance that receives nothing from the relay it
 * follows switches to the next one.
 */
#pragma once

#include "almondridge/gateway/digeststream.h"
#include "almondridge/gateway/peerload.h"
#include "almondridge/gateway/relayselector.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace almondridge::gateway {

struct MeshDatagram
{
    InstanceId to_;
    std::string bytes_;
};

/** Result of processing a datagram. */
enum class ReceiveResult {
    Accepted,
    Malformed,     ///< It cannot be decoded or contains impossible values.
    UnknownSender, ///< The sender is not an instance of the fleet.
};

inline constexpr std::array<EnumName<ReceiveResult>, 3> ReceiveResultNames {{
    {ReceiveResult::Accepted, "taken"},
    {ReceiveResult::Malformed, "unreadable"},
    {ReceiveResult::UnknownSender, "unknown-sender"},
}};

class LoadMesh
{
public:
    /** lifetime: increases with each restart of this instance. */
    LoadMesh(InstanceId self, DomainId domain, double linkMbps, std::uint64_t lifetime);

    /** Sets all instances of the fleet; this one may be among them. */
    void setMembers(const std::vector<MeshMember> &members);
    /**
     * Returns the datagrams to send now. own: this instance's report, without prompt parts that
     * were read.
     */
    std::vector<MeshDatagram> tick(LoadReport own, EndpointTable &table, TimePoint now);
    /**
     * The same, but sends at once whether or not anything has changed; for an order that was given.
     */
    std::vector<MeshDatagram> sendNow(LoadReport own, EndpointTable &table, TimePoint now);
    /**
     * Adds keys of shared prompt parts that engines have read for this instance; they go into the
     * next report.
     */
    void addReadParts(const std::vector<PromptCacheIndex::Key> &parts);
    /** Returns the latest time for the next call of tick(). */
    TimePoint nextTick(TimePoint now) const;

    ReceiveResult onDatagram(std::string_view bytes, EndpointTable &table, TimePoint now);
    /** Returns the keys of shared prompt parts received from others since the last call. */
    std::vector<PromptCacheIndex::Key> takeReceivedParts();

    /** Returns whether no other instance is leader and no other candidate ranks before this one. */
    bool isPreferredLeader() const;
    /** Returns the demand of all other instances. */
    StageDemand demand(const ServiceId &service) const;
    /** Returns whether demand() covers nearly all other instances. */
    bool isDemandComplete() const;

    bool isRelay() const noexcept { return relaySelector_.isRelay(); }
    /** Returns the primary relays of all failure domains. */
    std::set<InstanceId> allRelays() const;
    /** The relay that this instance follows; empty: none. */
    const InstanceId &followed() const noexcept { return relaySelector_.followed(); }

private:
    /** Keys of prompt parts to send. Each is sent twice to make up for a lost datagram. */
    struct PendingParts
    {
        std::vector<PromptCacheIndex::Key> unsent_;
        std::vector<PromptCacheIndex::Key> sentOnce_;

        void add(const std::vector<PromptCacheIndex::Key> &parts);
        /** Returns at most maxUnsent unsent keys and those that were sent once before. */
        std::vector<PromptCacheIndex::Key> take(std::size_t maxUnsent);
    };

    struct OwnReport
    {
        std::uint64_t sequence_ = 0;
        LoadTable loads_;
        std::map<ServiceId, StageDemand> demand_;
    };

    bool isDirect() const noexcept;
    std::vector<InstanceId> remoteRelays(TimePoint now) const;
    void updateRelays(EndpointTable &table, TimePoint now);
    void updateStreams(EndpointTable &table, TimePoint now);
    void selectDomainStreams(EndpointTable &table, TimePoint now);
    bool shouldSendReport(const LoadReport &report, TimePoint now) const;
    void sendReport(const LoadReport &own, TimePoint now, std::vector<MeshDatagram> &out);
    void sendDigests(const LoadReport &own, const EndpointTable &table, TimePoint now,
                     std::vector<MeshDatagram> &out);
    void sendToOtherDomains(const LoadReport &own, TimePoint now, std::vector<MeshDatagram> &out);
    void sendToFollowers(const LoadReport &own, const EndpointTable &table, TimePoint now,
                         std::vector<MeshDatagram> &out);
    LoadDigest newDigest(DigestScope scope) const;
    LoadDigest summarizeReports(DigestScope scope, const LoadReport &own) const;
    void addLeaders(const LoadReport &report, LoadDigest &digest) const;
    void addLeaders(const LoadDigest &other, LoadDigest &digest) const;
    std::vector<LoadDigest> splitIntoDigests(LoadDigest first, std::vector<LoadTable> loads,
                                             const std::vector<PromptCacheIndex::Key> &parts);
    ReceiveResult onReport(const LoadReport &report, EndpointTable &table, TimePoint now);
    ReceiveResult onDigest(const ReceivedDigest &received, EndpointTable &table, TimePoint now);
    const OwnReport *ownReport(std::uint64_t sequence) const;
    void removeExpired(EndpointTable &table, TimePoint now);

    InstanceId self_;
    DomainId domain_;
    double linkMbps_;
    std::uint64_t lifetime_;
    std::map<InstanceId, MeshMember> members_; ///< All instances but this one.

    RelaySelector relaySelector_;
    PeerLoads peerLoads_; ///< Reports received from peers.
    std::set<InstanceId> followers_;
    std::set<InstanceId> newFollowers_; ///< Followers that have received no digest yet.

    std::map<InstanceId, DigestStream> ownDomainStreams_; ///< By relay of this failure domain.
    /** By relay of another failure domain. */
    std::map<InstanceId, DigestStream> remoteDomainStreams_;
    DigestWriter domainDigestWriter_;
    DigestWriter followerDigestWriter_;
    PendingParts reportParts_;
    PendingParts domainDigestParts_;
    PendingParts followerDigestParts_;
    std::vector<PromptCacheIndex::Key> receivedParts_;
    /** Received from relays of other failure domains, to be forwarded. */
    std::vector<EndpointId> remoteUnreached_;

    LoadReport lastReport_;
    TimePoint lastReportAt_ {};
    TimePoint nextDigestAt_ {};
    std::deque<OwnReport> ownReports_; ///< The latest reports sent, oldest first.
    std::uint64_t reportSequence_ = 0;
    std::uint64_t digestSequence_ = 0;
};

} // namespace almondridge::gateway
