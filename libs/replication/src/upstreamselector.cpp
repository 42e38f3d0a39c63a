#include "almondridge/replication/upstreamselector.h"

#include "almondridge/gateway/promptmemory.h"
#include "almondridge/replication/protocol.h"

#include <algorithm>

namespace almondridge::replication {
namespace {

/** A first read of ours: a call over a connection that is silent, and one over a new one. */
constexpr Duration StoreReadTime = millis(500);
/**
 * So long a peer that is of use is asked on, although one that comes before it may be back: each
 * change of the peer is a whole list, and one that the store turns away looks back too early.
 */
constexpr Duration UpstreamAffinity = millis(10'000);
/** Between two tests of a store that does not answer this instance; doubles up to the longest. */
constexpr std::int64_t InitialProbeMillis = 500;
/** Those that come first find out for all others when the store is back. */
constexpr std::int64_t MaxProbeMillisOfReader = 1'000;
/**
 * The others ask them, and look for themselves in case that these alone are turned away: more
 * rarely in a large failure domain, so that all of them together call as often.
 */
constexpr std::int64_t MaxProbeMillis = 6'000;
constexpr std::int64_t MaxProbeMillisPerMember = 150;
/** The first one of others, who have not called it themselves. */
constexpr std::int64_t InferredOutageProbeMillis = 2'000;
constexpr std::int64_t InferredOutageProbeMillisPerMember = 50;
/** After a test of theirs that failed. */
constexpr std::int64_t InitialProbeMillisPerMember = 20;
constexpr int MaxDoublings = 8;
/**
 * Where so many peers are of no use, the store is taken to be away for all: with a third of the
 * instances turned away that is hardly ever wrong. The others need not find out each for itself.
 */
constexpr std::size_t MaxExcludedPeers = 10;
/** An answer of the store says for so long that it answers. */
constexpr Duration StoreAnswerValidity = millis(4'000);
/** On their way news seem to grow younger by this much at most, as clocks are not compared. */
constexpr Duration EchoMargin = millis(200);
/** Pauses differ by up to half, so that instances that failed together do not call together. */
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
    // Peers also tell what they had from us: only what was read after our loss is news.
    if (readAt > storeLostAt_ + EchoMargin) {
        withoutPeerData_ = false;
    }
    if (current_.kind_ == UpstreamKind::Peer) {
        tree_.onPeerSucceeded(current_.peer_);
    }
    if (store_ == StoreState::Fails && !withoutPeerData_ && !tree_.isPreferredReader()) {
        store_ = StoreState::Unknown; // Tested when this instance is to read, and not before.
    }
}

void UpstreamSelector::onPeerFailed(PeerFailure cause, std::optional<Duration> age, TimePoint now)
{
    if (current_.kind_ != UpstreamKind::Peer) {
        return;
    }
    tree_.onPeerFailed(current_.peer_, cause, now);
    // Readers of a failure domain can fall silent together, and whoever waits for one after the
    // other learns beyond the bound that an endpoint left: another one is asked only while its
    // silence would still leave time for a read of our own.
    // One that has lost the store says so at once, and costs no time. Whoever knows nothing yet
    // sends nothing, and has no bound to keep: hundreds that start together would all read.
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
        // It may be back for the others as well: those that come first find out within a second
        // and read for all. Else the peers are gone through once more, and then this one reads.
        tree_.onStoreRecovered();
        peerRecoveryUntil_ = tree_.isPreferredReader() ? now : now + millis(MaxProbeMillisOfReader);
    }
}

void UpstreamSelector::onStoreFailed(TimePoint now)
{
    if (readRequired_ && probeRequired_ && failures_ == 0) {
        // A connection that was kept may be silent though the store is there. With the bound near,
        // the next one is tried at once.
        ++failures_;
        probePending_ = false;
        return;
    }
    const bool isFirst = tree_.isPreferredReader();
    const std::int64_t shortest =
        isFirst ? InitialProbeMillis : scaledByDomain(InitialProbeMillis, InitialProbeMillisPerMember);
    const std::int64_t longest =
        isFirst ? MaxProbeMillisOfReader : scaledByDomain(MaxProbeMillis, MaxProbeMillisPerMember);
    markStoreFailed(std::min(longest, shortest << std::min(failures_, MaxDoublings)), now);
    ++failures_;
}

std::int64_t UpstreamSelector::scaledByDomain(std::int64_t least, std::int64_t millisOfOne) const
{
    return std::max(least, static_cast<std::int64_t>(tree_.size()) * millisOfOne);
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

/** Whether others of those that read are of no use, so that the store may be the cause. */
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
    if (switches && preferredUpstream.kind_ == UpstreamKind::StoreReads && store_ != StoreState::Answers
        && mayBeOutage(now) && !tree_.allMembersRead()) {
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
        markStoreFailed(scaledByDomain(InferredOutageProbeMillis, InferredOutageProbeMillisPerMember), now);
    }
    if (current_.kind_ == UpstreamKind::WaitForPeer && now < peerRecoveryUntil_) {
        return current_;
    }
    const bool canRead = store_ != StoreState::Fails;
    const std::vector<InstanceId> readers = tree_.activeReaders(canRead, now);
    const bool isReader = std::find(readers.begin(), readers.end(), self_) != readers.end();
    if (isReader && !reads && mayBeOutage(now)) {
        readsKeptUntil_ = now + UpstreamAffinity; // Whoever passed the same ones over asks this instance.
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
