/**
 * What instances tell each other of the prompts that they have sent to engines and that are not
 * read yet. Engines report their queues late, and each instance sees only its own share; with the
 * notes of its peers an instance knows a queue a tenth of a second after it grew.
 *
 * A note is one datagram with everything that its sender has queued. A lost one is made good by
 * the next, and a peer that falls silent is forgotten.
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

struct LoadNote
{
    InstanceId sender_;
    std::uint64_t lifetime_ = 0; ///< Rises with each restart of the sender.
    std::uint64_t number_ = 0;   ///< Rises within a lifetime; older notes are dropped.
    /** Engines that carry out an order of the sender's, and about how much longer. */
    std::map<EndpointId, std::int64_t> changingMillis_ {};
    bool mayLead_ = false; ///< The sender could give orders: it reaches the store.
    bool leads_ = false;   ///< It has the right to give orders.
    std::map<EndpointId, PromptQueue> queued_ {};
    /** Requests of the sender at engines that generate. */
    std::map<EndpointId, SlotUse> slotUse_ {};
    /** Requests of the sender that came to nothing lately, a count that fades, by endpoint. */
    std::map<EndpointId, double> failures_ {};
    /** What the sender's callers ask of each service's engines. */
    std::map<ServiceId, StageDemand> demand_ {};
    /** Endpoints that the sender could not reach a moment ago. */
    std::vector<EndpointId> unreached_ {};
    /** Shared parts that came to engines by the sender lately. */
    std::vector<PromptCacheIndex::Key> readParts_ {};
    InstanceId follows_ {}; ///< The relay that is to tell the sender of all; empty: none.
};

/** The note as a datagram. */
std::string encodeNote(const LoadNote &note);
/** nullopt: it is no note. */
std::optional<LoadNote> decodeNote(std::string_view bytes);

/** What a note says of each endpoint. */
LoadTable loadsOf(const LoadNote &note);

/** Any fixed order that all instances agree on: the first that may lead does. */
std::uint64_t leaderRank(const InstanceId &id);

/** The newest notes of peers, counted in the endpoints' foreign load. */
class PeerLoads
{
public:
    struct Peer
    {
        LoadNote note_;
        TimePoint heardAt_ {};
    };

    /** False: it is older than what is known of its sender. */
    bool onNote(const LoadNote &note, EndpointTable &table, TimePoint now);
    /** Forgets peers that have not been heard of lately. */
    void forgetSilent(EndpointTable &table, TimePoint now);
    /** Whether notes are counted; a relay's digest may have them already. */
    void setInUse(bool inUse, EndpointTable &table);
    const std::map<InstanceId, Peer> &peers() const noexcept { return peers_; }
    /**
     * Whether no peer leads, and none that may lead comes before self in the order that all work
     * out alike. A hint that keeps the others from asking for the lease; it gives no right.
     */
    bool leads(const InstanceId &self) const;

    /** What all peers together are asked for. */
    StageDemand demand(const ServiceId &service) const;

private:
    /** Adds what a note says to the endpoints, or takes it out again. */
    static void add(const LoadNote &note, EndpointTable &table);
    static void takeOut(const LoadNote &note, EndpointTable &table);

    std::map<InstanceId, Peer> peers_;
    bool inUse_ = true;
};

} // namespace almondridge::gateway
