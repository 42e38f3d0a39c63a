/**
 * Chooses the instance to which a request is forwarded when this one reaches no endpoint for it. No
 * I/O and no clock.
 *
 * Instances of the own failure domain come first, each in an order of its own by rendezvous
 * hashing, so that many cut instances spread over all others, and each of them uses few
 * connections. A peer that can't serve either, and then its failure domain, comes last for a while.
 */
#pragma once

#include "almondridge/base/ids.h"
#include "almondridge/base/time.h"
#include "almondridge/net/http.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace almondridge::gateway {

struct PeerInstance
{
    InstanceId id_;
    DomainId domain_;
    net::Address address_; ///< For forwarded requests.
};

class PeerSelector
{
public:
    /** Sets the instances of the fleet; this one may be among them. */
    void setPeers(const InstanceId &self, const DomainId &domain,
                  const std::vector<PeerInstance> &peers);

    /** The peer for the next request; nullopt: none but excluded ones or such that can't serve. */
    std::optional<PeerInstance> choose(const std::vector<InstanceId> &excluded,
                                       TimePoint now) const;
    void onSent(const InstanceId &id);
    void onEnded(const InstanceId &id);
    /** The peer reaches no endpoint either, and the others of its failure domain may not. */
    void onCutOff(const InstanceId &id, TimePoint now);
    /** The peer did not answer, or has no room. */
    void onUnavailable(const InstanceId &id, TimePoint now);
    /** The peer took a request. */
    void onAnswered(const InstanceId &id);

private:
    struct Peer
    {
        PeerInstance instance_;
        bool isRemote_ = false;  ///< In another failure domain.
        std::uint64_t rank_ = 0; ///< Lower ones are preferred.
        TimePoint avoidedUntil_ {};
        int failures_ = 0; ///< Of onUnavailable() since the last answer.
        int open_ = 0;     ///< Requests of this instance that the peer has not answered.
    };

    Peer *find(const InstanceId &id);

    std::vector<Peer> ranked_; ///< The most preferred first.
    std::map<DomainId, TimePoint> domainAvoidedUntil_;
};

} // namespace almondridge::gateway
