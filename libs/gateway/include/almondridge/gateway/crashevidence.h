/**
 * Detects queries of death: requests that crash the endpoints that run them, or parts of prompts
 * that do so whatever else a request holds. Combines what this instance and its peers observe. No
 * I/O and no clock: crashes of endpoints, completed runs, peers' updates and the current time are
 * inputs.
 *
 * A crash cuts all requests on the endpoint, so a single crash says little about each of them. What
 * counts is the number of crashes at which a key (a request's or a part's) was in flight without a
 * completed run anywhere since, each weighted by how unlikely the crash was without it: of eleven
 * endpoints that do the same work one seldom crashes alone, but if four crash at once, many
 * requests are at one of them by chance. A popular part is at most endpoints, so for parts all
 * crashes of one moment count as one.
 *
 * A crash is held against the key with the most crashes, and no longer against others that were in
 * flight there. Of several parts with the same crashes it isn't known which one is to blame: only
 * requests that have all of them are refused, and others soon tell the parts apart.
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
    RequestKey key_ {}; ///< Of the request or part that is suspected; its lease allows a run.
    int crashes_ = 0;   ///< For a part, moments with crashes.
    double weight_ = 0; ///< Sum over these; 1 for each that nothing else explains.
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

/** A part was in flight at an endpoint that crashed. */
struct PartReport
{
    RequestKey part_ {};
    CrashUpdate::Crash crash_; ///< With the part in flight.
};

class CrashEvidence
{
public:
    /** An endpoint crashed while requests and parts with these keys were in flight at it. */
    void onCrash(const EndpointCrash &crash, const std::vector<RequestKey> &inFlight,
                 TimePoint now);
    /**
     * The request got a complete response, which clears it of earlier crashes. True if there were
     * any.
     */
    bool onCompleted(RequestKey key, TimePoint now);
    /** The same for all its keys. */
    bool onCompleted(const RequestKeys &keys, TimePoint now);
    void onUpdate(const CrashUpdate &update, TimePoint now);

    Assessment assess(const RequestKeys &request, TimePoint now) const;
    /** The same for a request without shared parts. */
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
    /**
     * Crashes that this instance has seen with parts in flight, for the instances that gather the
     * reports on the part: it would take too long to tell all instances of every part.
     */
    std::vector<PartReport> takePartReports(TimePoint now);
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
    /** A key was in flight at an endpoint that crashed. */
    struct Occurrence
    {
        CrashKey crash_ {};
        TimePoint learnedAt_ {};
        int roundsLeft_ = 0;
        int reportsLeft_ = 0; ///< For takePartReports().
    };
    /** Crashes that count against a key. */
    struct Tally
    {
        std::vector<CrashKey> crashes_; ///< In their order in time.
        int count_ = 0;                 ///< For a part, moments with crashes.
        int afterPause_ = 0;            ///< Of these, how many came long after the one before.
        double weight_ = 0;
        TimePoint firstAt_ {};
        TimePoint lastAt_ {};
    };
    /** Keys with the same crashes, which are held against them and no others. */
    struct Blame
    {
        std::vector<RequestKey> keys_; ///< Sorted.
        Tally tally_;
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

    enum class Source {
        Own,       ///< This instance has seen the crash.
        Report,    ///< A peer's report on a part, sent to few instances.
        Everybody, ///< Told to all instances.
    };

    bool addCrash(const EndpointCrash &crash);
    void addOccurrence(RequestKey key, CrashKey crash, TimePoint now, Source source);
    bool isCleared(RequestKey key, TimePoint crashedAt, Source source);
    /** tells: instances that may hold crashes against the key are told. */
    void clear(RequestKey key, TimePoint at, bool tells);
    /** Whether all instances have been told of the key's crashes. */
    bool isTold(RequestKey key, const Suspect &suspect) const;
    double weightOf(const Suspect &suspect, const EndpointCrash &crash) const;
    /** Leaves out the crashes for which others are blamed. */
    Tally tally(RequestKey key, const Suspect &suspect) const;
    bool isBlamedOnOthers(CrashKey crash, RequestKey key) const;
    bool isEnoughToBlame(RequestKey key, const Suspect &suspect, const Tally &tally) const;
    void updateBlames();
    const Blame *blameOf(RequestKey key) const;
    static Assessment assessBlame(const Blame &blame, RequestKey key, TimePoint now);
    /** Of one key alone. */
    Assessment assessKey(RequestKey key, const Suspect &suspect, TimePoint now) const;
    bool isRenewed(const RunLease &known, const RunLease &received) const;
    bool isLive(const RunLease &lease, TimePoint now) const;
    bool isWorthReporting(RequestKey key, const Suspect &suspect, const Occurrence &occurrence,
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
    std::vector<Blame> blames_;
    std::map<CrashKey, std::size_t> blamed_; ///< Index in blames_ of the keys it is held against.
    std::map<RequestKey, KnownLease> leases_;
    std::vector<RequestKey> clearedKeys_; ///< For takeChanges().
    /** Recently completed runs: updates about crashes before them may arrive late. */
    std::unordered_map<RequestKey, TimePoint> completed_;
    std::deque<std::pair<TimePoint, RequestKey>> completedInOrder_;
};

} // namespace almondridge::gateway
