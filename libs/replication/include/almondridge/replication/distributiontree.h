/**
 * Which instances of a failure domain read the store for the others, and whom each of the others
 * asks. Pure.
 *
 * All instances work out the same order from the entries that they know: those with the widest
 * links first, as a large configuration has to be sent to every follower. The first ones read. The
 * others ask an instance that comes before them, in tiers: each bears as many followers as its link
 * allows, so what one of them sends does not grow with the failure domain, and news pass a number
 * of tiers that grows with its logarithm. An instance that got no use of another one lately passes
 * it over, and works the order out without it.
 */
#pragma once

#include "almondridge/base/enumnames.h"
#include "almondridge/base/ids.h"
#include "almondridge/base/time.h"

#include <array>
#include <map>
#include <vector>

namespace almondridge::replication {

/** An instance of a failure domain, and how much it can send. */
struct Member
{
    InstanceId id_;
    double linkMbps_ = 0;
};

/** Why a peer was of no use to whoever asked it for news. */
enum class PeerFailure {
    Timeout,     ///< No answer in the time that a live peer needs.
    Disconnected, ///< No connection, or one that broke.
    Malformed, ///< An answer that is no news.
    Stale,        ///< What it knows is too old.
    StoreLost,       ///< It says that the store turns it away and that it has no news from others yet.
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

    /** The instances of this failure domain, this one too. */
    void setMembers(std::vector<Member> members);
    /** With so few instances all of them read: asking each other would save next to nothing. */
    bool allMembersRead() const noexcept;
    /** The instances of the failure domain. */
    std::size_t size() const noexcept { return order_.size(); }
    /** Whether this instance reads when none is passed over, or would if one more were. */
    bool isPreferredReader() const;
    /** Asking that instance was of no use. */
    void onPeerFailed(const InstanceId &member, PeerFailure cause, TimePoint now);
    void onPeerSucceeded(const InstanceId &member);
    /** Peers that had lost the store may have it back. */
    void onStoreRecovered();
    bool isExcluded(const InstanceId &member, TimePoint now) const;
    std::size_t excludedCount(TimePoint now) const;
    /** Those that read, as far as is known here; without this one if it cannot. */
    std::vector<InstanceId> activeReaders(bool canRead, TimePoint now) const;
    /**
     * Whose news to wait for when all are of no use: by turns one of those that read when none is
     * passed over, and any other one, as one that is not among these may have the store back.
     */
    InstanceId fallbackPeer(std::uint64_t attempt) const;
    /**
     * The instance that this one asks: one of the tier before its own, by chance that follows their
     * links and is the same each time. Empty: there is none before it.
     */
    InstanceId parent(bool canRead, TimePoint now) const;

private:
    /** What is in use of the order, this instance too. */
    std::vector<const Member *> availableMembers(TimePoint now) const;

    struct Exclusion
    {
        TimePoint until_ {};
        int timeouts_ = 0; ///< Since it was last of use.
    };

    InstanceId self_;
    std::vector<Member> order_;
    std::map<InstanceId, Exclusion> exclusions_;
};

} // namespace almondridge::replication
