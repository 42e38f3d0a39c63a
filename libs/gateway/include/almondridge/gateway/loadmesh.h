/**
 * Who tells whom of the load on endpoints. Pure: notes, datagrams and the time go in, datagrams
 * come out.
 *
 * Few instances tell each other directly. In a large fleet that would be rare notes and old
 * knowledge, so there load is told in two levels: an instance sends its notes to two relays of its
 * failure domain, those with the widest links. A relay adds up what its domain's instances told,
 * tells the sum to the relays of the other domains, and the sum of all to the instances that follow
 * it. An instance that hears nothing from the relay that it follows goes to the next one.
 */
#pragma once

#include "almondridge/gateway/digeststream.h"
#include "almondridge/gateway/peerload.h"
#include "almondridge/gateway/relaychoice.h"

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

/** What a datagram was taken for. */
enum class Reception {
    Taken,
    Unreadable, ///< It cannot be read, or tells what cannot be.
    Unknown,    ///< Its sender is none of the fleet's instances.
};

inline constexpr std::array<EnumName<Reception>, 3> ReceptionNames {{
    {Reception::Taken, "taken"},
    {Reception::Unreadable, "unreadable"},
    {Reception::Unknown, "unknown-sender"},
}};

class LoadMesh
{
public:
    /** lifetime: rises with each restart of this instance. */
    LoadMesh(InstanceId self, DomainId domain, double linkMbps, std::uint64_t lifetime);

    /** All instances of the fleet; this one may be among them. */
    void setMembers(const std::vector<MeshMember> &members);
    /** What is to be sent now. own: what this instance has to tell, without parts that were read.
     */
    std::vector<MeshDatagram> tick(LoadNote own, EndpointTable &table, TimePoint now);
    /** The same at once, whatever has changed since: for an order that was given. */
    std::vector<MeshDatagram> tellNow(LoadNote own, EndpointTable &table, TimePoint now);
    /** Shared parts that came to engines by this instance; they are told with the next note. */
    void addReadParts(const std::vector<PromptCacheIndex::Key> &parts);
    /** When tick() has something to do next, at the latest. */
    TimePoint nextTick(TimePoint now) const;

    Reception onDatagram(std::string_view bytes, EndpointTable &table, TimePoint now);
    /** Shared parts that others told since the last call. */
    std::vector<PromptCacheIndex::Key> takeToldParts();

    /** Whether no other instance leads, and none that comes before this one could. */
    bool leads() const;
    /** What all other instances are asked for. */
    StageDemand demand(const ServiceId &service) const;

    bool isRelay() const noexcept { return choice_.isRelay(); }
    /** Those that come first as relays of each domain. */
    std::set<InstanceId> relaysOfAll() const;
    /** The relay that this instance follows; empty: none. */
    const InstanceId &followed() const noexcept { return choice_.followed(); }

private:
    /** Parts to tell, each twice: a lost datagram is made good by the next. */
    struct PartsToTell
    {
        std::vector<PromptCacheIndex::Key> fresh_;
        std::vector<PromptCacheIndex::Key> toldOnce_;

        void add(const std::vector<PromptCacheIndex::Key> &parts);
        /** Those that wait, at most so many of them, and what was told once before. */
        std::vector<PromptCacheIndex::Key> take(std::size_t most);
    };

    struct OwnNote
    {
        std::uint64_t number_ = 0;
        LoadTable loads_;
        std::map<ServiceId, StageDemand> demand_;
    };

    bool isDirect() const noexcept;
    std::vector<InstanceId> relaysOfOthers(TimePoint now) const;
    void chooseRelays(EndpointTable &table, TimePoint now);
    void useStreams(EndpointTable &table, TimePoint now);
    void chooseDomainStreams(EndpointTable &table, TimePoint now);
    bool worthSending(const LoadNote &note, TimePoint now) const;
    void sendNote(const LoadNote &own, TimePoint now, std::vector<MeshDatagram> &out);
    void tellAsRelay(const LoadNote &own, const EndpointTable &table, TimePoint now,
                     std::vector<MeshDatagram> &out);
    void tellDomains(const LoadNote &own, TimePoint now, std::vector<MeshDatagram> &out);
    void tellFollowers(const LoadNote &own, const EndpointTable &table, TimePoint now,
                       std::vector<MeshDatagram> &out);
    LoadDigest emptyDigest(DigestScope scope) const;
    LoadDigest heardDigest(DigestScope scope, const LoadNote &own) const;
    void addLeaders(const LoadNote &note, LoadDigest &digest) const;
    void addLeaders(const LoadDigest &other, LoadDigest &digest) const;
    std::vector<LoadDigest> digestsOf(LoadDigest first, std::vector<LoadTable> loads,
                                      const std::vector<PromptCacheIndex::Key> &parts);
    Reception onNote(const LoadNote &note, EndpointTable &table, TimePoint now);
    Reception onDigest(const ReceivedDigest &received, EndpointTable &table, TimePoint now);
    const OwnNote *ownNote(std::uint64_t number) const;
    void forgetSilent(EndpointTable &table, TimePoint now);

    InstanceId self_;
    DomainId domain_;
    double linkMbps_;
    std::uint64_t lifetime_;
    std::map<InstanceId, MeshMember> members_; ///< The others.

    RelayChoice choice_;
    PeerLoads heard_; ///< Notes that came here.
    std::set<InstanceId> followers_;
    std::set<InstanceId> newFollowers_; ///< They know nothing yet.

    std::map<InstanceId, DigestStream> all_;     ///< By relay of this domain.
    std::map<InstanceId, DigestStream> domains_; ///< By relay of another domain.
    DigestWriter domainWriter_;
    DigestWriter allWriter_;
    PartsToTell notedParts_;
    PartsToTell domainParts_;
    PartsToTell allParts_;
    std::vector<PromptCacheIndex::Key> toldParts_;
    std::vector<EndpointId>
        foreignUnreached_; ///< Told by relays of other domains, to be passed on.

    LoadNote last_;
    TimePoint lastSentAt_ {};
    TimePoint relayTellsAt_ {};
    std::deque<OwnNote> ownNotes_; ///< Sent lately, oldest first.
    std::uint64_t noteNumber_ = 0;
    std::uint64_t digestNumber_ = 0;
};

} // namespace almondridge::gateway
