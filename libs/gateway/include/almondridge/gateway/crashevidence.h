/**
 * Detects queries of death: requests that crash the endpoints that run them. Combines what this
 * instance and its peers observe. No I/O and no clock: crashes of endpoints, completed runs, peers'
 * updates and the current time are inputs.
 *
 * A crash cuts all requests on the endpoint, so a single crash says little about each of them. What
 * counts is the number of crashes at which a request was in flight without a completed run anywhere
 * since, each weighted by how unlikely the crash was without it: of eleven endpoints that do the
 * same work one seldom crashes alone, but if four crash at once, many requests are at one of them
 * by chance.
 */
#pragma once

#include "almondridge/base/enumnames.h"
#include "almondridge/base/time.h"
#include "almondridge/gateway/requestkey.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace almondridge::gateway {

/** Identifies one lifetime of an endpoint; the same at all instances. */
enum class CrashKey : std::uint64_t {};
/** Endpoints that do the same work: of one service and, where it has stages, of one stage. */
enum class CrashGroup : std::uint64_t {};

/** An endpoint ended without having been drained. */
struct EndpointCrash
{
    CrashKey key_ {};
    CrashGroup group_ {};
    int groupSize_ = 1; ///< Endpoints of the group before the crash.
    TimePoint at_ {};
};

enum class Suspicion {
    None,
    Weak,        ///< One unlikely crash: runs at the least loaded endpoint.
    Strong,      ///< One crash short of quarantine: runs alone, one run at a time.
    Quarantined, ///< It is not sent to any endpoint for now.
    HalfOpen,    ///< The quarantine is over: a single trial run in the whole fleet shows whether it
                 ///< still crashes endpoints.
};

inline constexpr std::array<EnumName<Suspicion>, 5> SuspicionNames {{
    {Suspicion::None, "none"},
    {Suspicion::Weak, "weak"},
    {Suspicion::Strong, "strong"},
    {Suspicion::Quarantined, "quarantined"},
    {Suspicion::HalfOpen, "half-open"},
}};

/** Suspicion against a request. */
struct Assessment
{
    Suspicion level_ = Suspicion::None;
    int crashes_ = 0;
    double weight_ = 0; ///< Sum over these crashes; 1 for each that nothing else explains.
    TimePoint firstCrashAt_ {};
    TimePoint lastCrashAt_ {};
    TimePoint quarantinedUntil_ {};
};

/** Lease on running a suspected request; only its holder may start a run. */
struct RunLease
{
    std::uint64_t holder_ = 0; ///< Number of the instance; among concurrent leases the lowest wins.
    TimePoint at_ {};          ///< When it was acquired or last renewed.
};

/** Message between instances. It has ages instead of times, as clocks of machines differ. */
struct CrashUpdate
{
    struct Crash
    {
        CrashKey key_ {};
        CrashGroup group_ {};
        int groupSize_ = 1;
        std::int64_t ageMillis_ = 0;
        std::vector<RequestKey> inFlight_ {};
    };
    struct Cleared
    {
        RequestKey key_ {};
        std::int64_t ageMillis_ = 0;
    };
    struct Lease
    {
        RequestKey key_ {};
        std::uint64_t holder_ = 0;
        std::int64_t ageMillis_ = 0;
    };

    std::vector<Crash> crashes_;
    std::vector<Cleared> cleared_;
    std::vector<Lease> leases_;

    bool empty() const noexcept { return crashes_.empty() && cleared_.empty() && leases_.empty(); }
};

class CrashEvidence
{
public:
    /** An endpoint crashed while these requests were in flight at it. */
    void onCrash(const EndpointCrash &crash, const std::vector<RequestKey> &inFlight,
                 TimePoint now);
    /**
     * The request got a complete response, which clears it of earlier crashes. True if there were
     * any.
     */
    bool onCompleted(RequestKey key, TimePoint now);
    void onUpdate(const CrashUpdate &update, TimePoint now);

    Assessment assess(RequestKey key, TimePoint now) const;

    /**
     * Acquires the lease to run a suspected request for the instance with the number holder. False
     * if there is a live lease. On success the caller must wait for concurrent leases of peers to
     * arrive, and then check holdsLease().
     */
    bool acquireLease(RequestKey key, std::uint64_t holder, TimePoint now);
    /** Renews the lease of a run in progress; to be called well before the lease expires. */
    void renewLease(RequestKey key, std::uint64_t holder, TimePoint now);
    /** Whether the holder may start the run now. */
    bool holdsLease(RequestKey key, std::uint64_t holder, TimePoint now) const;
    /** Gives the lease back after a run that was inconclusive. */
    void releaseLease(RequestKey key, std::uint64_t holder);

    /** The update to send in this gossip round; each item is part of a few rounds. */
    CrashUpdate takeUpdate(TimePoint now);
    /** The most suspicious requests and their leases, for instances that missed updates. */
    CrashUpdate mostSuspicious(TimePoint now) const;
    /** All crashes at which this request was in flight. */
    CrashUpdate crashesOf(RequestKey key, TimePoint now) const;
    /**
     * Requests to store or remove from storage since the last call: those with a crash seen by this
     * instance that are under strong suspicion and have new crashes, and those that were cleared.
     * Without storage, a power loss of the whole fleet would lose them.
     */
    std::vector<RequestKey> takeChanges(TimePoint now);
    /** Removes expired entries; to be called periodically. */
    void removeExpired(TimePoint now);

    std::size_t suspects() const noexcept { return suspects_.size(); }
    std::size_t crashes() const noexcept { return crashes_.size(); }

private:
    struct KnownCrash
    {
        EndpointCrash crash_;
        int roundsLeft_ = 0;
    };
    /** A request was in flight at an endpoint that crashed. */
    struct Occurrence
    {
        CrashKey crash_ {};
        TimePoint learnedAt_ {};
        int roundsLeft_ = 0;
    };
    struct Suspect
    {
        std::vector<Occurrence> occurrences_;
        bool seenHere_ = false;            ///< This instance saw one of the crashes.
        std::size_t persistedCrashes_ = 0; ///< Number of crashes at the last takeChanges().
        TimePoint clearedAt_ {};
        int clearedRoundsLeft_ = 0;
    };
    struct KnownLease
    {
        RunLease lease_;
        int roundsLeft_ = 0;
    };

    bool addCrash(const EndpointCrash &crash);
    void addOccurrence(RequestKey key, CrashKey crash, TimePoint now);
    void clear(RequestKey key, TimePoint at);
    double weightOf(const Suspect &suspect, const EndpointCrash &crash) const;
    Assessment assess(const Suspect &suspect, TimePoint now) const;
    bool isRenewed(const RunLease &known, const RunLease &received) const;
    bool isLive(const RunLease &lease, TimePoint now) const;
    bool isWorthReporting(const Suspect &suspect, const Occurrence &occurrence,
                          TimePoint now) const;
    void reportOccurrences(Suspect &suspect, RequestKey key, TimePoint now, CrashUpdate &update);
    void reportCrash(const EndpointCrash &crash, std::optional<RequestKey> inFlight, TimePoint now,
                     CrashUpdate &update) const;
    std::vector<RequestKey> rankedSuspects(TimePoint now) const;
    void enforceLimits(TimePoint now);
    void evictLeastSuspicious(TimePoint now);
    void evictCrashes(TimePoint now);

    std::map<CrashKey, KnownCrash> crashes_;
    std::multimap<TimePoint, CrashKey> crashesByTime_;
    std::unordered_map<RequestKey, Suspect> suspects_;
    std::map<RequestKey, KnownLease> leases_;
    std::vector<RequestKey> clearedKeys_; ///< For takeChanges().
    /** Recently completed runs: updates about crashes before them may arrive late. */
    std::unordered_map<RequestKey, TimePoint> completed_;
    std::deque<std::pair<TimePoint, RequestKey>> completedInOrder_;
};

} // namespace almondridge::gateway
