/**
 * Where an instance has its news of the store from: a peer of its failure domain, or reads of its
 * own. Pure: events and the time go in.
 *
 * In a domain with many instances a few read the store and the others ask these. What makes calls
 * to the store grow with the instances is trouble: readers that the store turns away, or a store
 * that is away for all, and each instance would read for itself, again and again. So whoever gets
 * no news from a peer asks the next one in the order first; it reads itself only when waiting for
 * another peer could miss the bound for leaving endpoints, and once its reads have failed a single
 * call, made rarely, tells when the store is back for it.
 */
#pragma once

#include "almondridge/base/ids.h"
#include "almondridge/base/time.h"
#include "almondridge/replication/distributiontree.h"

#include <optional>
#include <vector>

namespace almondridge::replication {

enum class UpstreamKind {
    StoreReads, ///< This instance reads the store.
    Peer,     ///< It asks a peer.
    WaitForPeer,   ///< No peer was of use lately, and the store does not answer: it waits for one's.
};

struct Upstream
{
    UpstreamKind kind_ = UpstreamKind::WaitForPeer;
    InstanceId peer_; ///< Whom it asks, or whose news it waits for.

    friend bool operator==(const Upstream &, const Upstream &) = default;
};

class UpstreamSelector
{
    enum class StoreState {
        Unknown, ///< It was not called of late.
        Answers,
        Fails,
    };

public:
    /** leaveBound: until a leaving endpoint must get no more work. */
    UpstreamSelector(InstanceId self, Duration leaveBound);

    /** The instances of this failure domain, this one too. */
    void setMembers(std::vector<Member> members);
    /** The peer that is asked had news of use, read from the store at that time. */
    void onPeerData(TimePoint readAt);
    /** It had none. age: of what is known here; nullopt: something is not known at all. */
    void onPeerFailed(PeerFailure cause, std::optional<Duration> age, TimePoint now);
    /** A read of this instance's own, or the call that tests the store, was answered. */
    void onStoreAnswered(TimePoint now);
    /** Reads of its own, or the call that tests the store, failed. */
    void onStoreFailed(TimePoint now);

    /** What to do from now on. */
    const Upstream &choose(TimePoint now);
    /**
     * Whether the store is to be tested now by a single call; true once for each. It is tested
     * after it failed us, and before this instance takes reading over from others in trouble:
     * lists are read only from a store that answers.
     */
    bool takeProbe(TimePoint now);
    /** Whether a test decides what comes next: until then nobody is asked anew. */
    bool awaitsProbe() const noexcept { return probeRequired_; }
    /**
     * Whether this instance is of no use to others: the store turns it away, and it has had no
     * news from a peer since. Told at once, it spares them to find out by the age of its news.
     */
    bool hasLostStore() const noexcept { return store_ == StoreState::Fails && withoutPeerData_; }

private:
    void markStoreFailed(std::int64_t pauseMillis, TimePoint now);
    /** A pause that keeps all instances of the failure domain together at the same rate. */
    std::int64_t scaledByDomain(std::int64_t least, std::int64_t millisOfOne) const;
    bool mayBeOutage(TimePoint now) const;
    Upstream preferredUpstream(TimePoint now);

    InstanceId self_;
    Duration leaveBound_;
    DistributionTree tree_;
    Upstream current_;
    TimePoint upstreamKeptUntil_ {};  ///< Until then a peer that is of use is asked on.
    TimePoint readsKeptUntil_ {}; ///< Until then reads that others need go on.
    TimePoint peerRecoveryUntil_ {}; ///< Until then others may find that the store is back.
    StoreState store_ = StoreState::Unknown;
    TimePoint storeAnswerValidUntil_ {}; ///< So long its last answer counts.
    bool readRequired_ = false;     ///< Waiting for another peer could miss the bound.
    TimePoint storeLostAt_ {};       ///< When the store first failed us.
    bool withoutPeerData_ = false;  ///< From anybody, since the store last failed us.
    bool probeRequired_ = false;     ///< It is to read, and the store was not called of late.
    bool probePending_ = false;      ///< A test's outcome is awaited.
    TimePoint probeAt_ {};       ///< When the store is tested, if it failed us.
    int failures_ = 0;          ///< Of reads and tests in a row.
    std::uint64_t probes_ = 0;   ///< Spreads the pauses of instances that failed together.
    std::uint64_t fallbackAttempts_ = 0;   ///< Peers that were waited for.
};

} // namespace almondridge::replication
