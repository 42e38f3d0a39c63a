/**
 * Which requests crash the endpoints that run them, as far as the instances of a deployment know.
 * Pure: crashes of endpoints, completed runs, what other instances told and the time go in.
 *
 * A crash cuts all requests on the endpoint, so being among them once says little. What counts is
 * at how many crashes a request was in flight without a completed run anywhere since, and how
 * likely each of these crashes was without it: of eleven endpoints that do the same work one seldom
 * crashes by itself, but where four crash at once many requests meet one by chance.
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

/** One lifetime of an endpoint, under a number that all instances agree on. */
enum class CrashKey : std::uint64_t {};
/** Endpoints that do the same work: of one service and, where it has stages, of one stage. */
enum class CrashGroup : std::uint64_t {};

/** An endpoint ended without having been told to leave. */
struct EndpointCrash
{
    CrashKey key_ {};
    CrashGroup group_ {};
    int groupSize_ = 1; ///< Endpoints of the group before it ended.
    TimePoint at_ {};
};

enum class Suspicion {
    None,
    Weak,        ///< One crash that few would have expected: runs where few others are.
    Strong,      ///< One more crash would be enough: runs alone, once at a time.
    Quarantined, ///< It is not sent to any endpoint for now.
    HalfOpen,    ///< It was quarantined; one run in the whole fleet tells whether it still crashes
                 ///< endpoints.
};

inline constexpr std::array<EnumName<Suspicion>, 5> SuspicionNames {{
    {Suspicion::None, "none"},
    {Suspicion::Weak, "weak"},
    {Suspicion::Strong, "strong"},
    {Suspicion::Quarantined, "quarantined"},
    {Suspicion::HalfOpen, "half-open"},
}};

/** What is held against a request. */
struct Assessment
{
    Suspicion level_ = Suspicion::None;
    int crashes_ = 0;
    double weight_ = 0; ///< Of these crashes together; 1 for each that nothing else explains.
    TimePoint firstCrashAt_ {};
    TimePoint lastCrashAt_ {};
    TimePoint quarantinedUntil_ {};
};

/** Who runs a suspected request next. */
struct RunLease
{
    std::uint64_t holder_ = 0; ///< A number of the instance; the lowest one of several is right.
    TimePoint at_ {};
};

/** What an instance tells others. Ages instead of times: clocks of machines differ. */
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
    /** An endpoint ended while these requests were on it. */
    void onCrash(const EndpointCrash &crash, const std::vector<RequestKey> &inFlight,
                 TimePoint now);
    /**
     * The request was answered whole: it is cleared of what happened before. True when something
     * was held against it.
     */
    bool onCompleted(RequestKey key, TimePoint now);
    void onUpdate(const CrashUpdate &update, TimePoint now);

    Assessment assess(RequestKey key, TimePoint now) const;

    /**
     * Asks for the lease to run a suspected request, as the instance of that number. False: another
     * one has it. Whoever gets it waits until others had time to object, and asks holdsLease().
     */
    bool acquireLease(RequestKey key, std::uint64_t holder, TimePoint now);
    /** The run goes on; to be called more often than a lease lapses. */
    void renewLease(RequestKey key, std::uint64_t holder, TimePoint now);
    /** Whether the run may begin. */
    bool holdsLease(RequestKey key, std::uint64_t holder, TimePoint now) const;
    /** The run came to nothing that says anything. */
    void releaseLease(RequestKey key, std::uint64_t holder);

    /** What is to be told in this round: each piece of news is told in a few rounds. */
    CrashUpdate takeUpdate(TimePoint now);
    /** What matters most of all that is known, for instances that were away. */
    CrashUpdate mostSuspicious(TimePoint now) const;
    /** All crashes with this request in flight. */
    CrashUpdate crashesOf(RequestKey key, TimePoint now) const;
    /**
     * Requests that came under strong suspicion with this instance's part in it, that more is held
     * against, or that were cleared, since the last call: a fleet that loses power at once has
     * nobody left to tell of them.
     */
    std::vector<RequestKey> takeChanges(TimePoint now);
    /** Forgets what no longer says anything; to be called now and then. */
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
        bool seenHere_ = false;            ///< One of them is this instance's.
        std::size_t persistedCrashes_ = 0; ///< That takeChanges() told of.
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
    bool isWorthReporting(const Suspect &suspect, const Occurrence &occurrence, TimePoint now) const;
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
    /** Completed runs of a moment ago: evidence from before them may come later. */
    std::unordered_map<RequestKey, TimePoint> completed_;
    std::deque<std::pair<TimePoint, RequestKey>> completedInOrder_;
};

} // namespace almondridge::gateway
