#include "almondridge/gateway/loadmesh.h"
#include "loadmeshlimits.h"

#include <utility>

/** The part of LoadMesh that sums up what others told, and tells it. */
namespace almondridge::gateway {
namespace {

/** Relays of another domain that a sum is sent to: those known to work there may be others. */
constexpr std::size_t MostRemoteRelays = 4;
/** Of its own link a relay uses this share for telling its followers. */
constexpr double LinkShare = 0.1;
constexpr Duration LongestRelayInterval = millis(500);
constexpr double BitsPerMegabit = 1e6;
constexpr int BitsPerByte = 8;
/** Keys that one digest tells beside its loads, so that it fits into one packet. */
constexpr std::size_t MostPartsInDigest = 24;
/** Endpoints that change or were not reached; more of them have a digest of their own. */
constexpr std::size_t MostListedBesideLoads = 4;

void addLoads(const LoadTable &loads, LoadTable &sums)
{
    for (const auto &[id, load] : loads) {
        sums[id].add(load);
    }
}

} // namespace

LoadDigest LoadMesh::emptyDigest(DigestScope scope) const
{
    LoadDigest digest;
    digest.sender_ = self_;
    digest.domain_ = domain_;
    digest.lifetime_ = lifetime_;
    digest.scope_ = scope;
    digest.members_ = static_cast<int>(heard_.peers().size());
    return digest;
}

void LoadMesh::addLeaders(const LoadNote &note, LoadDigest &digest) const
{
    if (note.leads_) {
        digest.leaders_.push_back(note.sender_);
    }
    if (note.mayLead_
        && (digest.candidate_.empty()
            || leaderRank(note.sender_) > leaderRank(digest.candidate_))) {
        digest.candidate_ = note.sender_;
    }
}

void LoadMesh::addLeaders(const LoadDigest &other, LoadDigest &digest) const
{
    addAbsent(other.leaders_, digest.leaders_, members_.size());
    if (!other.candidate_.empty()
        && (digest.candidate_.empty()
            || leaderRank(other.candidate_) > leaderRank(digest.candidate_))) {
        digest.candidate_ = other.candidate_;
    }
}

/** Demand, leaders and unreached endpoints, of this instance and of those that it hears. */
LoadDigest LoadMesh::heardDigest(DigestScope scope, const LoadNote &own) const
{
    LoadDigest digest = emptyDigest(scope);
    digest.demand_ = own.demand_;
    digest.unreached_ = own.unreached_;
    addLeaders(own, digest);
    for (const auto &[id, peer] : heard_.peers()) {
        for (const auto &[service, demand] : peer.note_.demand_) {
            digest.demand_[service] += demand;
        }
        addAbsent(peer.note_.unreached_, digest.unreached_, MostUnreachedTold);
        addLeaders(peer.note_, digest);
    }
    return digest;
}

/** Numbered digests: the lists in the first one, and more where one packet would not do. */
std::vector<LoadDigest> LoadMesh::digestsOf(LoadDigest first, std::vector<LoadTable> loads,
                                            const std::vector<PromptCacheIndex::Key> &parts)
{
    std::vector<LoadDigest> digests;
    if (first.unreached_.size() + first.changingMillis_.size() > MostListedBesideLoads) {
        digests.push_back(first);
        digests.back().number_ = ++digestNumber_;
        first.unreached_.clear();
        first.changingMillis_.clear();
    }
    const std::size_t partDigests = (parts.size() + MostPartsInDigest - 1) / MostPartsInDigest;
    const std::size_t count = std::max<std::size_t>({1, loads.size(), partDigests});
    for (std::size_t index = 0; index < count; ++index) {
        LoadDigest digest = first;
        digest.number_ = ++digestNumber_;
        if (index < loads.size()) {
            digest.loads_ = std::move(loads[index]);
        }
        const std::size_t from = std::min(parts.size(), index * MostPartsInDigest);
        const std::size_t until = std::min(parts.size(), from + MostPartsInDigest);
        digest.readParts_.assign(parts.begin() + static_cast<std::ptrdiff_t>(from),
                                 parts.begin() + static_cast<std::ptrdiff_t>(until));
        digests.push_back(std::move(digest));
        first.unreached_.clear();
        first.changingMillis_.clear();
    }
    return digests;
}

/** Of each other domain its first relays, and those that were heard of late. */
std::vector<InstanceId> LoadMesh::relaysOfOthers(TimePoint now) const
{
    std::vector<InstanceId> found;
    for (const DomainId &domain : choice_.domains()) {
        if (domain == domain_) {
            continue;
        }
        std::vector<InstanceId> relays = choice_.firstOf(domain);
        bool anyHeard = false;
        for (const auto &[relay, told] : domains_) {
            if (told.newest().domain_ == domain && told.heardAt() + QuietInterval > now) {
                anyHeard = true;
                addAbsent({relay}, relays, MostRemoteRelays);
            }
        }
        if (!anyHeard) {
            // Others stand in for them, and may not hear of this one either: each group in turn.
            const auto turn = static_cast<std::size_t>(now.time_since_epoch() / RelaySilentAfter);
            addAbsent(choice_.standInsOf(domain, turn), relays, MostRemoteRelays);
        }
        found.insert(found.end(), relays.begin(), relays.end());
    }
    return found;
}

/** The sum of this domain, to the relays of the others. */
void LoadMesh::tellDomains(const LoadNote &own, TimePoint now, std::vector<MeshDatagram> &out)
{
    LoadDigest digest = heardDigest(DigestScope::Domain, own);
    LoadTable sums = loadsOf(own);
    digest.changingMillis_ = own.changingMillis_;
    for (const auto &[id, peer] : heard_.peers()) {
        addLoads(loadsOf(peer.note_), sums);
        for (const auto &[engine, left] : peer.note_.changingMillis_) {
            const std::int64_t rest = left - toMillis(now - peer.heardAt_);
            if (rest > 0) {
                digest.changingMillis_[engine] = std::max(digest.changingMillis_[engine], rest);
            }
        }
    }
    const std::vector<InstanceId> receivers = relaysOfOthers(now);
    const std::vector<LoadTable> loads = domainWriter_.select(sums, now);
    for (const LoadDigest &one :
         digestsOf(std::move(digest), loads, domainParts_.take(MostPartsToTell))) {
        const std::string bytes = digestPrefix(0) + encodeDigest(one);
        for (const InstanceId &relay : receivers) {
            out.push_back({relay, bytes});
        }
    }
}

/** The sum of all, to those who follow this relay. */
void LoadMesh::tellFollowers(const LoadNote &own, const EndpointTable &table, TimePoint now,
                             std::vector<MeshDatagram> &out)
{
    LoadDigest digest = heardDigest(DigestScope::All, own);
    LoadTable sums = loadsOf(own);
    for (const auto &[relay, told] : domains_) {
        if (told.isInUse()) {
            for (const auto &[service, demand] : told.newest().demand_) {
                digest.demand_[service] += demand;
            }
            addLeaders(told.newest(), digest);
        }
    }
    addAbsent(std::exchange(foreignUnreached_, {}), digest.unreached_, MostUnreachedTold);
    for (const auto &[id, endpoint] : table.active()) {
        EndpointLoad load {endpoint->peerQueued_, endpoint->peerSlotUse_,
                           endpoint->peerFailures_};
        if (!load.isNone()) {
            sums[id].add(load);
        }
        if (endpoint->changingUntil_ > now) {
            digest.changingMillis_[id] = toMillis(endpoint->changingUntil_ - now);
        }
    }
    const std::vector<LoadTable> loads = allWriter_.select(sums, now);
    std::size_t bytesSent = 0;
    const auto tell = [&](const std::vector<LoadDigest> &digests, const auto &receivers) {
        for (const LoadDigest &one : digests) {
            const std::string body = encodeDigest(one);
            for (const InstanceId &follower : receivers) {
                const auto peer = heard_.peers().find(follower);
                const std::uint64_t counted =
                    peer != heard_.peers().end() ? peer->second.note_.number_ : 0;
                out.push_back({follower, digestPrefix(counted) + body});
                bytesSent += out.back().bytes_.size();
            }
        }
    };
    if (!newFollowers_.empty()) {
        tell(digestsOf(digest, DigestWriter::split(sums), {}), newFollowers_);
        newFollowers_.clear();
    }
    tell(digestsOf(std::move(digest), loads, allParts_.take(MostPartsToTell)), followers_);
    const double seconds = static_cast<double>(bytesSent) * BitsPerByte
                           / (LinkShare * std::max(1.0, linkMbps_) * BitsPerMegabit);
    const auto pause = millis(static_cast<std::int64_t>(seconds * 1'000));
    relayTellsAt_ = now + std::clamp(pause, RelayInterval, LongestRelayInterval);
}

void LoadMesh::tellAsRelay(const LoadNote &own, const EndpointTable &table, TimePoint now,
                           std::vector<MeshDatagram> &out)
{
    if (!isRelay() || now < relayTellsAt_) {
        return;
    }
    tellDomains(own, now, out);
    tellFollowers(own, table, now, out);
}

} // namespace almondridge::gateway
