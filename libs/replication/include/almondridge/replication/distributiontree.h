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
enum class Uselessness {
    Silent,     ///< No answer in the time that a live peer needs.
    Unanswered, ///< No connection, or one that broke.
    Unreadable, ///< An answer that is no news.
    Old,        ///< What it knows is too old.
    Lost,       ///< It says that the store turns it away and that it has no news from others yet.
};

inline constexpr std::array<EnumName<Uselessness>, 5> UselessnessNames {{
    {Uselessness::Silent, "silent"},
    {Uselessness::Unanswered, "unanswered"},
    {Uselessness::Unreadable, "unreadable"},
    {Uselessness::Old, "old"},
    {Uselessness::Lost, "lost"},
}};

class Readers
{
public:
    explicit Readers(InstanceId self);

    /** The instances of this failure domain, this one too. */
    void setMembers(std::vector<Member> members);
    /** With so few instances all of them read: asking each other would save next to nothing. */
    bool allRead() const noexcept;
    /** The instances of the failure domain. */
    std::size_t size() const noexcept { return order_.size(); }
    /** Whether this instance reads when none is passed over, or would if one more were. */
    bool comesFirst() const;
    /** Asking that instance was of no use. */
    void onUseless(const InstanceId &member, Uselessness cause, TimePoint now);
    void onUseful(const InstanceId &member);
    /** Peers that had lost the store may have it back. */
    void onStoreBack();
    bool isPassedOver(const InstanceId &member, TimePoint now) const;
    std::size_t countPassedOver(TimePoint now) const;
    /** Those that read, as far as is known here; without this one if it cannot. */
    std::vector<InstanceId> atWork(bool canRead, TimePoint now) const;
    /**
     * Whose news to wait for when all are of no use: by turns one of those that read when none is
     * passed over, and any other one, as one that is not among these may have the store back.
     */
    InstanceId toWaitFor(std::uint64_t attempt) const;
    /**
     * The instance that this one asks: one of the tier before its own, by chance that follows their
     * links and is the same each time. Empty: there is none before it.
     */
    InstanceId parent(bool canRead, TimePoint now) const;

private:
    /** What is in use of the order, this instance too. */
    std::vector<const Member *> inUse(TimePoint now) const;

    struct Pass
    {
        TimePoint until_ {};
        int silences_ = 0; ///< Since it was last of use.
    };

    InstanceId self_;
    std::vector<Member> order_;
    std::map<InstanceId, Pass> passes_;
};

} // namespace almondridge::replication
