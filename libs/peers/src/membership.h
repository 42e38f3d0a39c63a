/**
 * Tracks the other entry instances and their liveness. Deterministic: the inputs are heartbeats
 * and times, the outputs are due heartbeats and events. It uses no clock, socket or thread.
 *
 * Links: each instance exchanges heartbeats with every member of its own failure domain, and with
 * up to GatewaysPerDomain members (gateways) of each other domain. The liveness of members without
 * a link is learned indirectly, from heartbeats of the linked members of their domain.
 *
 * One exchange updates both sides of a link, so only one side starts it: the instance with the
 * lower id. The other side starts one if nothing arrives for 1.5 intervals.
 */
#pragma once

#include "almondridge/base/enumnames.h"
#include "heartbeat.h"

#include <map>
#include <optional>
#include <vector>

namespace almondridge::peers {

/** Maximum links from an instance to each failure domain other than its own. */
inline constexpr std::size_t GatewaysPerDomain = 3;
/** Maximum ratio of the interval to other domains to the own domain's; see stretchIntervals(). */
inline constexpr int CrossDomainIntervalFactor = 4;
/** Wait of the side of a link that does not normally start the exchange, in half intervals. */
inline constexpr int PassiveHalfIntervals = 3;
/** Maximum instances tracked; heartbeats of further ones are rejected. */
inline constexpr std::size_t MaxMembers = 4'096;

struct MembershipSettings
{
    PeerIdentity self_;
    Duration interval_ {};            ///< Time between two exchanges on a link.
    Duration timeout_ {};             ///< A member without a heartbeat for this long is dead.
    Duration deadRetention_ {};       ///< A dead member is retried for this long, then removed.
    double budgetBytesPerSecond_ = 0; ///< Heartbeat traffic limit; 0: no limit.
};

enum class MemberEventKind {
    Joined,       ///< First heartbeat or first report by its domain.
    Suspected,    ///< Its heartbeat deadline passed.
    Back,         ///< Alive again after it was suspected.
    Leaving,      ///< It announced that it is shutting down.
    Left,         ///< It announced a shutdown and no longer answers.
    Dropped,      ///< Dead for longer than the retention time.
    Restarted,    ///< A new incarnation replaced the old one.
    AddressTaken, ///< Another instance now uses its address.
    DuplicateId,  ///< Another process uses this instance's id.
};

inline constexpr std::array<EnumName<MemberEventKind>, 9> MemberEventNames {{
    {MemberEventKind::Joined, "peer.joined"},
    {MemberEventKind::Suspected, "peer.suspected"},
    {MemberEventKind::Back, "peer.back"},
    {MemberEventKind::Leaving, "peer.leaving"},
    {MemberEventKind::Left, "peer.left"},
    {MemberEventKind::Dropped, "peer.dropped"},
    {MemberEventKind::Restarted, "peer.restarted"},
    {MemberEventKind::AddressTaken, "peer.address-taken"},
    {MemberEventKind::DuplicateId, "peer.duplicate-id"},
}};

struct MemberEvent
{
    MemberEventKind kind_ = MemberEventKind::Joined;
    PeerIdentity member_;
};

/** Destination of a heartbeat that is due. */
struct HeartbeatTarget
{
    PeerAddress address_;
    InstanceId instance_ {}; ///< Empty if the instance at the address is unknown.
};

/** Result of processing a received heartbeat. */
enum class HeartbeatResult {
    Fresh,          ///< Newest heartbeat of its sender; its contents were applied.
    Stale,          ///< Older than one already applied; it only proves that the sender is alive.
    OldIncarnation, ///< From a process that a newer process with the same id replaced.
    Self,           ///< From this instance, or another process that uses its id.
    TooMany,        ///< MaxMembers are tracked already.
};

inline constexpr std::array<EnumName<HeartbeatResult>, 5> HeartbeatResultNames {{
    {HeartbeatResult::Fresh, "fresh"},
    {HeartbeatResult::Stale, "late"},
    {HeartbeatResult::OldIncarnation, "old-incarnation"},
    {HeartbeatResult::Self, "same-id"},
    {HeartbeatResult::TooMany, "too-many-members"},
}};

/** Time between two exchanges on a link. */
struct Intervals
{
    Duration ownDomain_ {};   ///< To members of the own failure domain.
    Duration crossDomain_ {}; ///< To members of other failure domains.
};

/**
 * Stretches the intervals to stay within exchangesPerSecond. Links to other domains slow down
 * first, because their state is less urgent here. Once they are CrossDomainIntervalFactor times as
 * slow as the own domain's, all links slow down at that ratio.
 */
Intervals stretchIntervals(Duration interval, double ownDomainLinks, double crossDomainLinks,
                           double exchangesPerSecond);

class Membership
{
public:
    explicit Membership(MembershipSettings settings);

    /** Sets the addresses to probe. Addresses given before keep their state; others are removed. */
    void seed(const std::vector<PeerAddress> &addresses, TimePoint now);

    /**
     * Processes an authenticated heartbeat. answeringAddress: the address that the heartbeat was
     * requested from, if it is an answer.
     */
    HeartbeatResult onHeartbeat(const Heartbeat &heartbeat, TimePoint now,
                                const std::optional<PeerAddress> &answeringAddress = std::nullopt);

    /** Records that a heartbeat to address got no answer. */
    void onNoAnswer(const PeerAddress &address, TimePoint now);

    /** Handles deadlines up to now and returns the heartbeats that are due. */
    std::vector<HeartbeatTarget> advance(TimePoint now);

    /** Makes a heartbeat due at now on every link. */
    void scheduleHeartbeatsNow(TimePoint now);

    /** Time by which advance() must be called next. */
    TimePoint nextDeadline() const noexcept { return scanDeadline_; }

    /** Builds the next heartbeat for an instance; to is empty if the receiver is unknown. */
    Heartbeat compose(const InstanceId &to, nlohmann::json digest);

    /** Announces in all further heartbeats that this instance is shutting down. */
    void setLeaving();

    /** Sets the average bytes of one exchange on the wire, which stretches the intervals. */
    void setExchangeBytes(double bytes);
    /** Interval between exchanges on a link to domain, stretched to stay within the budget. */
    Duration intervalTo(const DomainId &domain) const;
    std::vector<Member> members() const;
    std::optional<Member> member(const InstanceId &instance) const;
    std::vector<MemberEvent> takeEvents();

private:
    /** State of one instance. */
    struct Record
    {
        Member member_;
        std::uint64_t incarnation_ = 0;
        std::uint64_t sequence_ = 0;
        std::uint64_t weight_ = 0; ///< Rendezvous weight; the highest of a domain are gateways.
        bool joined_ = false;      ///< Has been alive at least once.
        bool linked_ = false;      ///< This instance selected it for heartbeats.
        bool direct_ = false;      ///< Heartbeats arrive from it directly.
        bool urgent_ = false;      ///< The next heartbeat is sent even without a link.
        bool directOnly_ = false;  ///< Its link failed, so indirect reports no longer count.
        bool hashesKnown_ = false;
        std::uint64_t receiverDomainHash_ = 0; ///< Its last hash of the members of this domain.
        std::uint64_t fleetHash_ = 0;          ///< Its last hash of all members.
        unsigned failures_ = 0;
        TimePoint nextHeartbeat_ {};
        TimePoint directDeadline_ {}; ///< direct_ is cleared then.
        TimePoint dropDeadline_ {};
    };

    struct Seed
    {
        PeerAddress address_;
        InstanceId instance_;       ///< Instance that answered there last.
        bool usedByMember_ = false; ///< Not probed: a member uses the address.
        unsigned failures_ = 0;
        TimePoint nextProbe_ {};
    };

    using Records = std::map<InstanceId, Record>;

    PeerIdentity identityOf(const Record &record) const;
    void report(MemberEventKind kind, const Record &record);
    Record &insert(const PeerIdentity &identity, TimePoint now);
    Records::iterator drop(Records::iterator record, MemberEventKind kind);
    void revive(Record &record, TimePoint deadline);
    void restart(Record &record, const PeerIdentity &identity);
    void resolveAddressConflict(const Record &owner, const PeerAddress &address, bool confirmed,
                                TimePoint now);
    void onSeedAnswered(const PeerAddress &address, const InstanceId &instance);
    void applyHeartbeat(Record &record, const Heartbeat &heartbeat);
    void extendDeadlines(Record &record, const Heartbeat &heartbeat, TimePoint now);
    void applyIndirectReports(const Heartbeat &heartbeat, TimePoint now);
    void applyListedMember(const PeerIdentity &identity, const Heartbeat &from, TimePoint now);
    void extendDomainDeadlines(const Heartbeat &heartbeat, TimePoint now);
    void expire(TimePoint now);
    void collectDueMembers(TimePoint now, std::vector<HeartbeatTarget> &due);
    void collectDueSeeds(TimePoint now, std::vector<HeartbeatTarget> &due);
    Duration timeoutFor(std::int64_t withinMillis) const noexcept;
    Duration backoff(unsigned failures) const noexcept;
    TimePoint nextExchange(const Record &record, TimePoint now) const;
    void listOwnDomain(std::vector<PeerIdentity> &list) const;
    void listOtherDomains(const InstanceId &to, std::vector<PeerIdentity> &list);
    TimePoint earliestDeadline() const;
    void lowerScanDeadline(TimePoint deadline) noexcept;
    void refreshDerivedState();
    void refreshHashes();
    void refreshLinks();
    void refreshSeeds();
    void refreshIntervals();

    MembershipSettings settings_;
    Records records_;
    std::vector<Seed> seeds_;
    std::vector<MemberEvent> events_;
    std::map<DomainId, std::uint64_t> domainHashes_;
    std::uint64_t fleetHash_ = 0;
    std::uint64_t sequence_ = 0;
    InstanceId lastListed_; ///< Last member listed; the next list starts behind it.
    double exchangeBytes_ = 0;
    Intervals intervals_;
    TimePoint scanDeadline_ {}; ///< Lower bound of all deadlines of members and seeds.
    bool changed_ = true;       ///< Member hashes, links and seeds are out of date.
};

} // namespace almondridge::peers
