/**
 * Chooses where an instance gets the store's topics from: a peer of its failure domain, or its own
 * reads of the store. Does no I/O; events and the time are passed in.
 *
 * In a failure domain with many instances a few read the store and the others poll these. During
 * faults (readers that the store rejects, or a store that is down for all) the load on the store
 * must not grow with the number of instances, as it would if each fell back to its own reads and
 * retried them. So an instance whose peer fails polls the next peer in the order first. It reads
 * the store itself only when waiting for another peer could miss the bound for leaving endpoints.
 * After its reads have failed it probes the store with single, infrequent calls until one succeeds.
 */
#pragma once

#include "almondridge/base/ids.h"
#include "almondridge/base/time.h"
#include "almondridge/replication/distributiontree.h"

#include <optional>
#include <vector>

namespace almondridge::replication {

enum class UpstreamKind {
    StoreReads,  ///< This instance reads the store.
    Peer,        ///< It polls a peer.
    WaitForPeer, ///< The store and all peers failed lately: it polls one until that has data.
};

struct Upstream
{
    UpstreamKind kind_ = UpstreamKind::WaitForPeer;
    InstanceId peer_; ///< The peer that is polled; empty with StoreReads.

    friend bool operator==(const Upstream &, const Upstream &) = default;
};

class UpstreamSelector
{
    enum class StoreState {
        Unknown, ///< It was not called recently.
        Answers,
        Fails,
    };

public:
    /** leaveBound: time after which an endpoint that has left must get no more requests. */
    UpstreamSelector(InstanceId self, Duration leaveBound);

    /** Sets the instances of this failure domain, including this one. */
    void setMembers(std::vector<Member> members);
    /** The polled peer sent usable data, which was read from the store at readAt. */
    void onPeerData(TimePoint readAt);
    /** The polled peer failed. age: of the data known here; nullopt: a topic was never read. */
    void onPeerFailed(PeerFailure cause, std::optional<Duration> age, TimePoint now);
    /** The store answered a read or a probe of this instance. */
    void onStoreAnswered(TimePoint now);
    /** Reads or a probe of the store failed. */
    void onStoreFailed(TimePoint now);

    /** The upstream to use from now on. */
    const Upstream &choose(TimePoint now);
    /**
     * Whether the store is to be probed now with a single call; returns true once per probe. It is
     * probed after a failure, and before this instance takes over reading from peers that failed:
     * complete lists are read only from a store that answers.
     */
    bool takeProbe(TimePoint now);
    /** Whether the next choice depends on a probe; until its result the upstream isn't changed. */
    bool awaitsProbe() const noexcept { return probeRequired_; }
    /**
     * Whether this instance has no usable data for others: the store fails for it, and no peer has
     * sent data since. Followers that are told so at once needn't wait until its data is stale.
     */
    bool hasLostStore() const noexcept { return store_ == StoreState::Fails && withoutPeerData_; }

private:
    void markStoreFailed(std::int64_t pauseMillis, TimePoint now);
    /** A pause that grows with the failure domain, so that its total call rate stays constant. */
    std::int64_t scaledByDomain(std::int64_t minMillis, std::int64_t millisPerMember) const;
    bool mayBeOutage(TimePoint now) const;
    Upstream preferredUpstream(TimePoint now);

    InstanceId self_;
    Duration leaveBound_;
    DistributionTree tree_;
    Upstream current_;
    TimePoint upstreamKeptUntil_ {}; ///< Until then a peer that works is kept.
    TimePoint readsKeptUntil_ {};    ///< Until then reads that other instances rely on continue.
    TimePoint peerRecoveryUntil_ {}; ///< Until then peers may find that the store recovered.
    StoreState store_ = StoreState::Unknown;
    TimePoint storeAnswerValidUntil_ {}; ///< Until then the last answer counts.
    bool readRequired_ = false;          ///< Waiting for another peer could miss the bound.
    TimePoint storeLostAt_ {};           ///< When the store first failed.
    bool withoutPeerData_ = false;       ///< No peer sent data since the store failed.
    bool probeRequired_ = false;         ///< It is to read, but the store wasn't called recently.
    bool probePending_ = false;          ///< A probe's result is awaited.
    TimePoint probeAt_ {};               ///< When a failed store is probed next.
    int failures_ = 0;                   ///< Consecutive failures of reads and probes.
    std::uint64_t probes_ = 0;           ///< Seeds the jitter of the pauses between probes.
    std::uint64_t fallbackAttempts_ = 0; ///< Peers that were waited for.
};

} // namespace almondridge::replication
