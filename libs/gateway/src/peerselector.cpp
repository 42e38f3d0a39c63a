#include "almondridge/gateway/peerselector.h"

#include "almondridge/gateway/promptcacheindex.h"

#include <algorithm>
#include <tuple>

namespace almondridge::gateway {
namespace {

/** Peers among which requests are spread. More balance better and use more connections. */
constexpr std::size_t MaxPeersUsed = 12;
/** For this long a peer that is cut off gets no request; about as long as one probe takes. */
constexpr Duration CutOffAvoidance = millis(1'000);
/** The same for a peer that can't be reached or has no room; doubles with further failures. */
constexpr Duration UnavailableAvoidance = millis(500);
constexpr int MaxDoublings = 3;

} // namespace

void PeerSelector::setPeers(const InstanceId &self, const DomainId &domain,
                            const std::vector<PeerInstance> &peers)
{
    std::vector<Peer> ranked;
    for (const PeerInstance &peer : peers) {
        if (peer.id_ == self) {
            continue;
        }
        const Peer *known = find(peer.id_);
        ranked.push_back(known != nullptr ? *known : Peer {peer});
        ranked.back().instance_ = peer;
    }
    const std::uint64_t own = nameHash(self.value());
    for (Peer &peer : ranked) {
        peer.isRemote_ = peer.instance_.domain_ != domain;
        peer.rank_ = rendezvousWeight(peer.instance_.id_.value(), own);
    }
    std::sort(ranked.begin(), ranked.end(), [](const Peer &left, const Peer &right) {
        return std::tuple(left.isRemote_, left.rank_) < std::tuple(right.isRemote_, right.rank_);
    });
    ranked_ = std::move(ranked);
}

PeerSelector::Peer *PeerSelector::find(const InstanceId &id)
{
    const auto found = std::find_if(ranked_.begin(), ranked_.end(),
                                    [&](const Peer &peer) { return peer.instance_.id_ == id; });
    return found != ranked_.end() ? &*found : nullptr;
}

std::optional<PeerInstance> PeerSelector::choose(const std::vector<InstanceId> &excluded,
                                                 TimePoint now) const
{
    for (const bool avoidDomains : {true, false}) {
        const Peer *best = nullptr;
        std::size_t used = 0;
        for (const Peer &peer : ranked_) {
            const auto domain = domainAvoidedUntil_.find(peer.instance_.domain_);
            const bool isDomainAvoided =
                avoidDomains && domain != domainAvoidedUntil_.end() && domain->second > now;
            if (isDomainAvoided || peer.avoidedUntil_ > now
                || std::find(excluded.begin(), excluded.end(), peer.instance_.id_)
                       != excluded.end()) {
                continue;
            }
            if (best == nullptr || peer.open_ < best->open_) {
                best = &peer;
            }
            if (++used == MaxPeersUsed) {
                break;
            }
        }
        if (best != nullptr) {
            return best->instance_;
        }
    }
    return std::nullopt;
}

void PeerSelector::onSent(const InstanceId &id)
{
    if (Peer *peer = find(id)) {
        ++peer->open_;
    }
}

void PeerSelector::onEnded(const InstanceId &id)
{
    if (Peer *peer = find(id)) {
        peer->open_ = std::max(0, peer->open_ - 1);
    }
}

void PeerSelector::onCutOff(const InstanceId &id, TimePoint now)
{
    if (Peer *peer = find(id)) {
        peer->avoidedUntil_ = now + CutOffAvoidance;
        domainAvoidedUntil_[peer->instance_.domain_] = now + CutOffAvoidance;
    }
}

void PeerSelector::onUnavailable(const InstanceId &id, TimePoint now)
{
    if (Peer *peer = find(id)) {
        peer->avoidedUntil_ =
            now + UnavailableAvoidance * (1 << std::min(peer->failures_, MaxDoublings));
        ++peer->failures_;
    }
}

void PeerSelector::onAnswered(const InstanceId &id)
{
    if (Peer *peer = find(id)) {
        peer->failures_ = 0;
    }
}

} // namespace almondridge::gateway
