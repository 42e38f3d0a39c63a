#include "almondridge/gateway/loadmesh.h"
#include "loadmeshlimits.h"

#include <algorithm>
#include <utility>

/** The relay part of LoadMesh: adds up the load of other instances and sends the sums. */
namespace almondridge::gateway {
namespace {

/**
 * Relays of another failure domain that get the sum of this one. Relays from which digests came
 * recently may differ from the primary ones.
 */
constexpr std::size_t MaxRemoteRelays = 4;
/** Share of its own link that a relay uses for digests to its followers. */
constexpr double DigestLinkShare = 0.1;
constexpr Duration MaxRelayInterval = millis(500);
constexpr double BitsPerMegabit = 1e6;
constexpr int BitsPerByte = 8;
/** Keys of prompt parts in a digest beside its loads, so that it fits into one packet. */
constexpr std::size_t MaxPartsPerDigest = 24;
/**
 * Changing or unreached endpoints in a digest with loads; a longer list gets a digest of its own.
 */
constexpr std::size_t MaxListedBesideLoads = 4;

void addLoads(const LoadTable &loads, LoadTable &sums)
{
    for (const auto &[id, load] : loads) {
        sums[id].add(load);
    }
}

} // namespace

LoadDigest LoadMesh::newDigest(DigestScope scope) const
{
    LoadDigest digest;
    digest.sender_ = self_;
    digest.domain_ = domain_;
    digest.lifetime_ = lifetime_;
    digest.scope_ = scope;
    digest.members_ = static_cast<int>(peerLoads_.peers().size());
    return digest;
}

void LoadMesh::addLeaders(const LoadReport &report, LoadDigest &digest) const
{
    if (report.isLeader_) {
        digest.leaders_.push_back(report.sender_);
    }
    if (report.canLead_
        && (digest.candidate_.empty()
            || leaderRank(report.sender_) > leaderRank(digest.candidate_))) {
        digest.candidate_ = report.sender_;
    }
}

void LoadMesh::addLeaders(const LoadDigest &other, LoadDigest &digest) const
{
    appendMissing(other.leaders_, digest.leaders_, members_.size());
    if (!other.candidate_.empty()
        && (digest.candidate_.empty()
            || leaderRank(other.candidate_) > leaderRank(digest.candidate_))) {
        digest.candidate_ = other.candidate_;
    }
}

/**
 * Summarizes demand, leaders and unreached endpoints of this instance and of its peers' reports.
 */
LoadDigest LoadMesh::summarizeReports(DigestScope scope, const LoadReport &own) const
{
    LoadDigest digest = newDigest(scope);
    digest.demand_ = own.demand_;
    digest.unreached_ = own.unreached_;
    addLeaders(own, digest);
    for (const auto &[id, peer] : peerLoads_.peers()) {
        for (const auto &[service, demand] : peer.report_.demand_) {
            digest.demand_[service] += demand;
        }
        appendMissing(peer.report_.unreached_, digest.unreached_, MaxUnreachedPerDigest);
        addLeaders(peer.report_, digest);
    }
    return digest;
}

/**
 * Returns numbered digests. The first one has the lists; the rest is split so that each digest fits
 * into one packet.
 */
std::vector<LoadDigest> LoadMesh::splitIntoDigests(LoadDigest first, std::vector<LoadTable> loads,
                                                   const std::vector<PromptCacheIndex::Key> &parts)
{
    std::vector<LoadDigest> digests;
    if (first.unreached_.size() + first.changingMillis_.size() > MaxListedBesideLoads) {
        digests.push_back(first);
        digests.back().sequence_ = ++digestSequence_;
        first.unreached_.clear();
        first.changingMillis_.clear();
    }
    const std::size_t partDigests = (parts.size() + MaxPartsPerDigest - 1) / MaxPartsPerDigest;
    const std::size_t count = std::max<std::size_t>({1, loads.size(), partDigests});
    for (std::size_t index = 0; index < count; ++index) {
        LoadDigest digest = first;
        digest.sequence_ = ++digestSequence_;
        if (index < loads.size()) {
            digest.loads_ = std::move(loads[index]);
        }
        const std::size_t from = std::min(parts.size(), index * MaxPartsPerDigest);
        const std::size_t until = std::min(parts.size(), from + MaxPartsPerDigest);
        digest.readParts_.assign(parts.begin() + static_cast<std::ptrdiff_t>(from),
                                 parts.begin() + static_cast<std::ptrdiff_t>(until));
        digests.push_back(std::move(digest));
        first.unreached_.clear();
        first.changingMillis_.clear();
    }
    return digests;
}

/**
 * Returns, for each other failure domain, its primary relays and those from which digests came
 * recently.
 */
std::vector<InstanceId> LoadMesh::remoteRelays(TimePoint now) const
{
    std::vector<InstanceId> found;
    for (const DomainId &domain : relaySelector_.domains()) {
        if (domain == domain_) {
            continue;
        }
        std::vector<InstanceId> relays = relaySelector_.primaryRelays(domain);
        bool anyReceived = false;
        for (const auto &[relay, digestStream] : remoteDomainStreams_) {
            if (digestStream.newest().domain_ == domain
                && digestStream.lastReceivedAt() + KeepaliveInterval > now) {
                anyReceived = true;
                appendMissing({relay}, relays, MaxRemoteRelays);
            }
        }
        if (!anyReceived) {
            // Other relays have replaced the primary ones and may not receive from this one either,
            // so each group is tried in turn.
            const auto turn = static_cast<std::size_t>(now.time_since_epoch() / RelayTimeout);
            appendMissing(relaySelector_.fallbackRelays(domain, turn), relays, MaxRemoteRelays);
        }
        found.insert(found.end(), relays.begin(), relays.end());
    }
    return found;
}

/** Sends the sum of this failure domain to the relays of the others. */
void LoadMesh::sendToOtherDomains(const LoadReport &own, TimePoint now,
                                  std::vector<MeshDatagram> &out)
{
    LoadDigest digest = summarizeReports(DigestScope::Domain, own);
    LoadTable sums = loadsOf(own);
    digest.changingMillis_ = own.changingMillis_;
    for (const auto &[id, peer] : peerLoads_.peers()) {
        addLoads(loadsOf(peer.report_), sums);
        for (const auto &[engine, remaining] : peer.report_.changingMillis_) {
            const std::int64_t rest = remaining - toMillis(now - peer.receivedAt_);
            if (rest > 0) {
                digest.changingMillis_[engine] = std::max(digest.changingMillis_[engine], rest);
            }
        }
    }
    const std::vector<InstanceId> receivers = remoteRelays(now);
    const std::vector<LoadTable> loads = domainDigestWriter_.select(sums, now);
    for (const LoadDigest &one :
         splitIntoDigests(std::move(digest), loads, domainDigestParts_.take(MaxPendingParts))) {
        const std::string bytes = digestPrefix(0) + encodeDigest(one);
        for (const InstanceId &relay : receivers) {
            out.push_back({relay, bytes});
        }
    }
}

/** Sends the sum of all failure domains to the followers of this relay. */
void LoadMesh::sendToFollowers(const LoadReport &own, const EndpointTable &table, TimePoint now,
                               std::vector<MeshDatagram> &out)
{
    LoadDigest digest = summarizeReports(DigestScope::All, own);
    LoadTable sums = loadsOf(own);
    for (const auto &[relay, digestStream] : remoteDomainStreams_) {
        if (digestStream.isInUse()) {
            for (const auto &[service, demand] : digestStream.newest().demand_) {
                digest.demand_[service] += demand;
            }
            digest.members_ += 1 + std::max(0, digestStream.newest().members_);
            addLeaders(digestStream.newest(), digest);
        }
    }
    appendMissing(std::exchange(remoteUnreached_, {}), digest.unreached_, MaxUnreachedPerDigest);
    for (const auto &[id, endpoint] : table.active()) {
        EndpointLoad load {endpoint->peerQueued_, endpoint->peerSlotUse_, endpoint->peerFailures_};
        if (!load.isZero()) {
            sums[id].add(load);
        }
        if (endpoint->changingUntil_ > now) {
            digest.changingMillis_[id] = toMillis(endpoint->changingUntil_ - now);
        }
    }
    const std::vector<LoadTable> loads = followerDigestWriter_.select(sums, now);
    std::size_t bytesSent = 0;
    const auto enqueue = [&](const std::vector<LoadDigest> &digests, const auto &receivers) {
        for (const LoadDigest &one : digests) {
            const std::string body = encodeDigest(one);
            for (const InstanceId &follower : receivers) {
                const auto peer = peerLoads_.peers().find(follower);
                const std::uint64_t included =
                    peer != peerLoads_.peers().end() ? peer->second.report_.sequence_ : 0;
                out.push_back({follower, digestPrefix(included) + body});
                bytesSent += out.back().bytes_.size();
            }
        }
    };
    if (!newFollowers_.empty()) {
        enqueue(splitIntoDigests(digest, DigestWriter::split(sums), {}), newFollowers_);
        newFollowers_.clear();
    }
    enqueue(splitIntoDigests(std::move(digest), loads, followerDigestParts_.take(MaxPendingParts)),
            followers_);
    const double seconds = static_cast<double>(bytesSent) * BitsPerByte
                           / (DigestLinkShare * std::max(1.0, linkMbps_) * BitsPerMegabit);
    const auto pause = millis(static_cast<std::int64_t>(seconds * 1'000));
    nextDigestAt_ = now + std::clamp(pause, RelayInterval, MaxRelayInterval);
}

void LoadMesh::sendDigests(const LoadReport &own, const EndpointTable &table, TimePoint now,
                           std::vector<MeshDatagram> &out)
{
    if (!isRelay() || now < nextDigestAt_) {
        return;
    }
    sendToOtherDomains(own, now, out);
    sendToFollowers(own, table, now, out);
}

} // namespace almondridge::gateway
