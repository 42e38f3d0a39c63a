#include "almondridge/replication/upstreamselector.h"

#include "almondridge/gateway/promptcacheindex.h"
#include "almondridge/replication/protocol.h"

#include <algorithm>

namespace almondridge::replication {
namespace {

/** A first read: one call that times out on a broken connection, and one on a new connection. */
constexpr Duration StoreReadTime = millis(500);
/**
 * How long a working peer is kept although a preferred one may be back. Each change of the peer
 * transfers a snapshot, and a peer that the store rejects appears to have recovered too early.
 */
constexpr Duration UpstreamAffinity = millis(10'000);
/** Pause between probes of a store that fails for this instance; doubles up to a maximum. */
constexpr std::int64_t InitialProbeMillis = 500;
/** The preferred readers detect for all others when the store is back. */
constexpr std::int64_t MaxProbeMillisOfReader = 1'000;
/**
 * The others poll the preferred readers, and probe in case the store rejects only these. They probe
 * less often in a large failure domain, so that the total call rate doesn't grow with it.
 */
constexpr std::int64_t MaxProbeMillis = 6'000;
constexpr std::int64_t MaxProbeMillisPerMember = 150;
/** Pause before the first probe of an instance that inferred the outage from its peers. */
constexpr std::int64_t InferredOutageProbeMillis = 2'000;
constexpr std::int64_t InferredOutageProbeMillisPerMember = 50;
/** Initial pause after a failed probe of an instance that isn't a preferred reader. */
constexpr std::int64_t InitialProbeMillisPerMember = 20;
constexpr int MaxDoublings = 8;
/**
 * With this many failed peers the store is assumed to be down for all, so that the other instances
 * needn't each find out by a call. If the store rejects a third of the instances, this is almost
 * never wrong.
 */
constexpr std::size_t MaxExcludedPeers = 10;
/** How long an answer of the store counts as evidence that it works. */
constexpr Duration StoreAnswerValidity = millis(4'000);
/** Data sent as ages appears newer on arrival by at most this, the time of the transfer. */
constexpr Duration EchoMargin = millis(200);
/** Pauses vary by up to half, so that instances that failed together don't retry together. */
constexpr std::uint64_t JitterSteps = 64;

} // namespace

UpstreamSelector::UpstreamSelector(InstanceId self, Duration leaveBound)
    : self_(self)
    , leaveBound_(leaveBound)
    , tree_(std::move(self))
{ }

void UpstreamSelector::setMembers(std::vector<Member> members)
{
    tree_.setMembers(std::move(members));
}

void UpstreamSelector::onPeerData(TimePoint readAt)
{
    readRequired_ = false;
    // Peers may send back data that came from this instance: only data that was read after this
    // instance lost the store is new.
    if (readAt > storeLostAt_ + EchoMargin) {
        withoutPeerData_ = false;
    }
    if (current_.kind_ == UpstreamKind::Peer) {
        tree_.onPeerSucceeded(current_.peer_);
    }
    if (store_ == StoreState::Fails && !withoutPeerData_ && !tree_.isPreferredReader()) {
        store_ = StoreState::Unknown; // Probed only when this instance has to read.
    }
}

void UpstreamSelector::onPeerFailed(PeerFailure cause, std::optional<Duration> age, TimePoint now)
{
    if (current_.kind_ != UpstreamKind::Peer) {
        return;
    }
    tree_.onPeerFailed(current_.peer_, cause, now);
    // The readers of a failure domain can fail together, and waiting for one after another could
    // delay the information that an endpoint has left beyond the bound. So another peer is polled
    // only while its timeout would still leave time for this instance's own read of the store. A
    // peer that has lost the store responds at once, which costs no time. An instance without any
    // data sends no requests to endpoints and has no bound to keep; if it read the store itself,
    // hundreds of instances that start together would all read.
    const bool late = age && *age + ResponseTimeout + StoreReadTime > leaveBound_;
    readRequired_ = readRequired_ || (late && cause != PeerFailure::StoreLost);
}

void UpstreamSelector::onStoreAnswered(TimePoint now)
{
    const bool wasFailing = store_ == StoreState::Fails;
    store_ = StoreState::Answers;
    storeAnswerValidUntil_ = now + StoreAnswerValidity;
    probePending_ = false;
    probeRequired_ = false;
    withoutPeerData_ = false;
    failures_ = 0;
    readRequired_ = readRequired_ && current_.kind_ == UpstreamKind::Peer;
    if (wasFailing && current_.kind_ != UpstreamKind::StoreReads) {
        // It may be back for the others as well: the preferred readers find out within a second and
        // read for all. Otherwise the peers are tried once more, and then this instance reads.
        tree_.onStoreRecovered();
        peerRecoveryUntil_ = tree_.isPreferredReader() ? now : now + millis(MaxProbeMillisOfReader);
    }
}

void UpstreamSelector::onStoreFailed(TimePoint now)
{
    if (readRequired_ && probeRequired_ && failures_ == 0) {
        // A kept-alive connection may be broken although the store works. Near the bound, the next
        // connection is tried at once.
        ++failures_;
        probePending_ = false;
        return;
    }
    const bool isFirst = tree_.isPreferredReader();
    const std::int64_t shortest =
        isFirst ? InitialProbeMillis
                : scaledByDomain(InitialProbeMillis, InitialProbeMillisPerMember);
    const std::int64_t longest =
        isFirst ? MaxProbeMillisOfReader : scaledByDomain(MaxProbeMillis, MaxProbeMillisPerMember);
    markStoreFailed(std::min(longest, shortest << std::min(failures_, MaxDoublings)), now);
    ++failures_;
}

std::int64_t UpstreamSelector::scaledByDomain(std::int64_t minMillis,
                                              std::int64_t millisPerMember) const
{
    return std::max(minMillis, static_cast<std::int64_t>(tree_.size()) * millisPerMember);
}

void UpstreamSelector::markStoreFailed(std::int64_t pauseMillis, TimePoint now)
{
    if (store_ != StoreState::Fails) {
        withoutPeerData_ = true;
        storeLostAt_ = now;
    }
    store_ = StoreState::Fails;
    probePending_ = false;
    probeRequired_ = false;
    const auto part = gateway::rendezvousWeight(self_.value(), ++probes_) % JitterSteps;
    probeAt_ =
        now + millis(pauseMillis / 2 + pauseMillis * static_cast<std::int64_t>(part) / JitterSteps);
}

/** Whether peers have failed, so that the store may be the cause. */
bool UpstreamSelector::mayBeOutage(TimePoint now) const
{
    return readRequired_ || tree_.excludedCount(now) > 0;
}

const Upstream &UpstreamSelector::choose(TimePoint now)
{
    if (store_ == StoreState::Answers && current_.kind_ != UpstreamKind::StoreReads
        && now >= storeAnswerValidUntil_) {
        store_ = StoreState::Unknown;
    }
    Upstream preferredUpstream = this->preferredUpstream(now);
    const bool switches = preferredUpstream != current_;
    if (switches && preferredUpstream.kind_ == UpstreamKind::StoreReads
        && store_ != StoreState::Answers && mayBeOutage(now) && !tree_.allMembersRead()) {
        probeRequired_ = true;
        return current_;
    }
    probeRequired_ = false;
    current_ = std::move(preferredUpstream);
    return current_;
}

Upstream UpstreamSelector::preferredUpstream(TimePoint now)
{
    Upstream ownReads {UpstreamKind::StoreReads, {}};
    if (tree_.allMembersRead()) {
        return ownReads;
    }
    const bool storeAway = tree_.excludedCount(now) >= MaxExcludedPeers;
    const bool reads = current_.kind_ == UpstreamKind::StoreReads;
    if (storeAway && store_ == StoreState::Unknown && !reads) {
        markStoreFailed(
            scaledByDomain(InferredOutageProbeMillis, InferredOutageProbeMillisPerMember), now);
    }
    if (current_.kind_ == UpstreamKind::WaitForPeer && now < peerRecoveryUntil_) {
        return current_;
    }
    const bool canRead = store_ != StoreState::Fails;
    const std::vector<InstanceId> readers = tree_.activeReaders(canRead, now);
    const bool isReader = std::find(readers.begin(), readers.end(), self_) != readers.end();
    if (isReader && !reads && mayBeOutage(now)) {
        readsKeptUntil_ =
            now + UpstreamAffinity; // Instances that excluded the same peers poll this one.
    }
    const bool keepsReading = reads && now < readsKeptUntil_;
    const bool noOtherReader = readers.empty() || (storeAway && store_ == StoreState::Answers);
    if (canRead && (isReader || keepsReading || readRequired_ || noOtherReader)) {
        return ownReads;
    }
    if (readers.empty() || storeAway) {
        const bool waits = current_.kind_ == UpstreamKind::WaitForPeer && now < upstreamKeptUntil_;
        if (waits) {
            return current_;
        }
        upstreamKeptUntil_ = now + LongPollTimeout;
        return {UpstreamKind::WaitForPeer, tree_.fallbackPeer(fallbackAttempts_++)};
    }
    const bool keepsPeer = current_.kind_ == UpstreamKind::Peer && now < upstreamKeptUntil_
                           && !tree_.isExcluded(current_.peer_, now);
    if (keepsPeer) {
        return current_;
    }
    upstreamKeptUntil_ = now + UpstreamAffinity;
    return {UpstreamKind::Peer, tree_.parent(canRead, now)};
}

bool UpstreamSelector::takeProbe(TimePoint now)
{
    const bool due = probeRequired_ || (store_ == StoreState::Fails && now >= probeAt_);
    if (!due || probePending_ || tree_.allMembersRead()) {
        return false;
    }
    probePending_ = true;
    return true;
}

} // namespace almondridge::replication
