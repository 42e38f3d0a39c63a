/**
 * Which instances of a failure domain relay what is told of load, and which of them this instance
 * follows. Pure.
 *
 * All instances work out the same order of a domain: those with the widest links first, as a relay
 * tells many. Its first two relay. An instance that hears nothing from the one that it follows goes
 * to the other, and when both are silent to the next two; the earlier ones are tried again and
 * again while the later ones go on, so that instances which lost them at different moments meet
 * again.
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

/** Without a word for this time a relay is taken for gone. */
inline constexpr Duration RelaySilentAfter = millis(600);

/** Whether a relay has told this instance something after that time. */
using HearsRelay = std::function<bool(const InstanceId &relay, TimePoint since)>;

class RelayChoice
{
public:
    RelayChoice(InstanceId self, DomainId domain);

    void setMembers(const std::vector<MeshMember> &members);
    /** Works out what holds from now on. True: a relay has to learn that it is to tell us. */
    bool choose(const HearsRelay &hears, TimePoint now);
    /** Nobody relays: the fleet is small. */
    void chooseNobody();

    bool isRelay() const noexcept { return isRelay_; }
    /** The relay that this instance follows; empty: none. */
    const InstanceId &followed() const noexcept { return followed_; }
    /** The relay whose sums count: the one before, until the one followed has told something. */
    const InstanceId &told() const noexcept { return told_; }
    /** Those of this domain that are to know this instance's load. */
    const std::set<InstanceId> &toldByUs() const noexcept { return receivers_; }
    /** Whether that relay is to tell this instance of all. */
    bool isAsked(const InstanceId &relay) const;
    /** Relays of another domain that it may have; the turn chooses some of those that stand in. */
    std::vector<InstanceId> firstOf(const DomainId &domain) const;
    std::vector<InstanceId> standInsOf(const DomainId &domain, std::size_t turn) const;
    /** All domains that have members. */
    std::vector<DomainId> domains() const;

private:
    std::vector<InstanceId> group(const DomainId &domain, std::size_t number) const;
    bool isPassedOver(const InstanceId &relay, TimePoint now) const;
    void leaveSilentRelay(const HearsRelay &hears, TimePoint now);
    void tryGroupsBefore(const HearsRelay &hears, TimePoint now);
    void follow(const InstanceId &relay, const HearsRelay &hears, TimePoint now);

    InstanceId self_;
    DomainId domain_;
    std::map<DomainId, std::vector<InstanceId>> order_;
    std::map<InstanceId, TimePoint> passedOverUntil_; ///< Relays that were silent.
    std::set<InstanceId> receivers_;
    InstanceId followed_;
    InstanceId followedBefore_; ///< It goes on telling until followed_ has told something.
    InstanceId told_;
    InstanceId tried_; ///< A relay of a group before the one in use.
    TimePoint followedSince_ {};
    TimePoint triedSince_ {};
    std::size_t group_ = 0; ///< The one of this domain that is in use.
    bool isRelay_ = false;
    bool asksAnew_ = false;
};

} // namespace almondridge::gateway
