/**
 * Selects the instances of a failure domain that relay load, and the relay that this instance
 * follows. Pure.
 *
 * All instances compute the same ranking of a failure domain. Instances with the widest links come
 * first, since a relay sends to many. The first two are the relays. An instance that receives
 * nothing from the relay it follows switches to the other one, and to the next group of two if both
 * are silent. It keeps probing the earlier groups while it uses a later one, so that instances that
 * lost them at different times converge on the same group.
 */
#pragma once

#include "almondridge/base/ids.h"
#include "almondridge/base/time.h"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace almondridge::gateway {

/** An instance of the fleet. */
struct MeshMember
{
    InstanceId id_;
    DomainId domain_;
    double linkMbps_ = 0;
};

/** A relay that has sent nothing for this time is considered gone. */
inline constexpr Duration RelayTimeout = millis(600);

/** Whether this instance has received anything from the relay after that time. */
using HasReceivedFrom = std::function<bool(const InstanceId &relay, TimePoint since)>;

class RelaySelector
{
public:
    RelaySelector(InstanceId self, DomainId domain);

    void setMembers(const std::vector<MeshMember> &members);
    /**
     * Updates the selection. Returns true if a relay has to be told to send digests to this
     * instance.
     */
    bool update(const HasReceivedFrom &hasReceived, TimePoint now);
    /** Clears the selection, for a small fleet without relays. */
    void disable();

    bool isRelay() const noexcept { return isRelay_; }
    /** The relay that this instance follows; empty: none. */
    const InstanceId &followed() const noexcept { return followed_; }
    /**
     * The relay whose sums are in use. After a change of the followed relay this is the previous
     * one until the new one has sent something.
     */
    const InstanceId &activeRelay() const noexcept { return activeRelay_; }
    /** Instances of this failure domain that should get this instance's reports. */
    const std::set<InstanceId> &reportReceivers() const noexcept { return reportReceivers_; }
    /** Whether that relay should send digests to this instance. */
    bool isSubscribedTo(const InstanceId &relay) const;
    /** Returns the relays that a failure domain has unless they fail. */
    std::vector<InstanceId> primaryRelays(const DomainId &domain) const;
    /**
     * Returns one of the groups of relays of a failure domain, for a domain whose primary relays
     * seem to have failed. Successive values of turn select successive groups.
     */
    std::vector<InstanceId> fallbackRelays(const DomainId &domain, std::size_t turn) const;
    /** Returns all failure domains that have members. */
    std::vector<DomainId> domains() const;

private:
    std::vector<InstanceId> group(const DomainId &domain, std::size_t groupIndex) const;
    bool isExcluded(const InstanceId &relay, TimePoint now) const;
    void replaceSilentRelay(const HasReceivedFrom &hasReceived, TimePoint now);
    void probeEarlierGroups(const HasReceivedFrom &hasReceived, TimePoint now);
    void follow(const InstanceId &relay, const HasReceivedFrom &hasReceived, TimePoint now);

    InstanceId self_;
    DomainId domain_;
    std::map<DomainId, std::vector<InstanceId>> rankedMembers_;
    std::map<InstanceId, TimePoint> excludedUntil_; ///< Relays that were silent.
    std::set<InstanceId> reportReceivers_;
    InstanceId followed_;
    InstanceId previousFollowed_; ///< Continues to send digests until followed_ has sent something.
    InstanceId activeRelay_;
    InstanceId probed_; ///< A relay of an earlier group than the active one.
    TimePoint followedSince_ {};
    TimePoint probedSince_ {};
    std::size_t activeGroup_ = 0; ///< Index of the group of this failure domain in use.
    bool isRelay_ = false;
    bool subscriptionChanged_ = false;
};

} // namespace almondridge::gateway
