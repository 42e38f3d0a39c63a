/**
 * Determines which instances of a failure domain read the store for the others, and which instance
 * each of the others polls. Does no I/O; the time is passed in.
 *
 * All instances compute the same order from the instance entries that they know: those with the
 * fastest links first, as a large configuration has to be sent to every follower. The first ones
 * read the store. Each of the others polls an instance of the tier before its own. An instance
 * serves as many followers as its link allows. So the data that one instance sends doesn't grow
 * with the failure domain, and the number of tiers grows with the logarithm of its size. An
 * instance excludes a peer that failed recently and computes the order without it.
 */
#pragma once

#include "almondridge/base/enumnames.h"
#include "almondridge/base/ids.h"
#include "almondridge/base/time.h"

#include <array>
#include <map>
#include <vector>

namespace almondridge::replication {

/** An instance of a failure domain and the bandwidth of its link. */
struct Member
{
    InstanceId id_;
    double linkMbps_ = 0;
};

/** Why polling a peer gave no usable data. */
enum class PeerFailure {
    Timeout,      ///< No response within the time that a live peer needs.
    Disconnected, ///< The connection failed or broke.
    Malformed,    ///< The response couldn't be decoded.
    Stale,        ///< Its data is too old.
    StoreLost, ///< It reports that the store fails for it and that it has no data from peers yet.
};

inline constexpr std::array<EnumName<PeerFailure>, 5> PeerFailureNames {{
    {PeerFailure::Timeout, "silent"},
    {PeerFailure::Disconnected, "unanswered"},
    {PeerFailure::Malformed, "unreadable"},
    {PeerFailure::Stale, "old"},
    {PeerFailure::StoreLost, "lost"},
}};

class DistributionTree
{
public:
    explicit DistributionTree(InstanceId self);

    /** Sets the instances of this failure domain, including this one. */
    void setMembers(std::vector<Member> members);
    /** Whether there are so few instances that all read; polling would save almost nothing. */
    bool allMembersRead() const noexcept;
    /** Number of instances in the failure domain. */
    std::size_t size() const noexcept { return order_.size(); }
    /** Whether this instance reads if none is excluded, or would if one reader were excluded. */
    bool isPreferredReader() const;
    /** Excludes a member for a time that depends on the cause and on repeated timeouts. */
    void onPeerFailed(const InstanceId &member, PeerFailure cause, TimePoint now);
    /** Ends the member's exclusion. */
    void onPeerSucceeded(const InstanceId &member);
    /** Readmits peers whose data was stale or that had lost the store: it may be back for them. */
    void onStoreRecovered();
    bool isExcluded(const InstanceId &member, TimePoint now) const;
    std::size_t excludedCount(TimePoint now) const;
    /** The instances that read the store, as far as known here; without this one if it can't. */
    std::vector<InstanceId> activeReaders(bool canRead, TimePoint now) const;
    /**
     * The peer to wait for when all have failed. Alternates between the preferred readers and all
     * members, as the store may be back for an instance that isn't among these readers.
     */
    InstanceId fallbackPeer(std::uint64_t attempt) const;
    /**
     * The instance that this one polls: a member of the tier before its own, chosen by a hash that
     * is weighted by link capacity. Empty if there is none before it.
     */
    InstanceId parent(bool canRead, TimePoint now) const;

private:
    /** The members that aren't excluded, in order, including this instance. */
    std::vector<const Member *> availableMembers(TimePoint now) const;

    struct Exclusion
    {
        TimePoint until_ {};
        int timeouts_ = 0; ///< Consecutive ones, since the last success.
    };

    InstanceId self_;
    std::vector<Member> order_;
    std::map<InstanceId, Exclusion> exclusions_;
};

} // namespace almondridge::replication
