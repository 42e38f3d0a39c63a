/**
 * Which requests end the endpoints that run them, as far as the instances of a deployment know.
 * Pure: ends of endpoints, whole runs, what other instances told and the time go in.
 *
 * A crash takes all requests on the endpoint along, so being on board once says little. What counts
 * is on how many ended endpoints a request was without a whole run anywhere since, and how likely
 * each of these ends was without it: of eleven endpoints that do the same work one ends seldom by
 * itself, but in a failure that ends four at a time many requests are on board of one by chance.
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
enum class EndKey : std::uint64_t {};
/** Endpoints that do the same work: of one service and, where it has stages, of one stage. */
enum class EndGroup : std::uint64_t {};

/** An endpoint ended without having been told to leave. */
struct EndpointEnd
{
    EndKey key_ {};
    EndGroup group_ {};
    int groupSize_ = 1; ///< Endpoints of the group before it ended.
    TimePoint at_ {};
};

enum class Suspicion {
    None,
    Weak,   ///< One end that few would have expected: runs where few others are.
    Strong, ///< One more end would be enough: runs alone, once at a time.
    Blamed, ///< It is not sent to any endpoint for now.
    Lapsed, ///< It was blamed; one run in the whole fleet tells whether it still ends endpoints.
};

inline constexpr std::array<EnumName<Suspicion>, 5> SuspicionNames {{
    {Suspicion::None, "none"},
    {Suspicion::Weak, "weak"},
    {Suspicion::Strong, "strong"},
    {Suspicion::Blamed, "blamed"},
    {Suspicion::Lapsed, "lapsed"},
}};

/** What is held against a request. */
struct Assessment
{
    Suspicion level_ = Suspicion::None;
    int ends_ = 0;
    double weight_ = 0; ///< Of these ends together; 1 for each that nothing else explains.
    TimePoint firstEndAt_ {};
    TimePoint lastEndAt_ {};
    TimePoint blamedUntil_ {};
};

/** Who runs a suspected request next. */
struct Turn
{
    std::uint64_t holder_ = 0; ///< A number of the instance; the lowest one of several is right.
    TimePoint at_ {};
};

/** What an instance tells others. Ages instead of times: clocks of machines differ. */
struct CrashNews
{
    struct End
    {
        EndKey key_ {};
        EndGroup group_ {};
        int groupSize_ = 1;
        std::int64_t ageMillis_ = 0;
        std::vector<RequestKey> aboard_ {};
    };
    struct Cleared
    {
        RequestKey key_ {};
        std::int64_t ageMillis_ = 0;
    };
    struct TurnTaken
    {
        RequestKey key_ {};
        std::uint64_t holder_ = 0;
        std::int64_t ageMillis_ = 0;
    };

    std::vector<End> ends_;
    std::vector<Cleared> cleared_;
    std::vector<TurnTaken> turns_;

    bool empty() const noexcept { return ends_.empty() && cleared_.empty() && turns_.empty(); }
};

class CrashEvidence
{
public:
    /** An endpoint ended while these requests were on it. */
    void onEnd(const EndpointEnd &end, const std::vector<RequestKey> &aboard, TimePoint now);
    /**
     * The request was answered whole: it is cleared of what happened before. True when something
     * was held against it.
     */
    bool onWholeRun(RequestKey key, TimePoint now);
    void onNews(const CrashNews &news, TimePoint now);

    Assessment assess(RequestKey key, TimePoint now) const;

    /**
     * Asks for the turn to run a suspected request, as the instance of that number. False: another
     * one has it. Whoever gets it waits until others had time to object, and asks holdsTurn().
     */
    bool takeTurn(RequestKey key, std::uint64_t holder, TimePoint now);
    bool holdsTurn(RequestKey key, std::uint64_t holder, TimePoint now) const;
    /** The run came to nothing that says anything. */
    void endTurn(RequestKey key, std::uint64_t holder);

    /** What is to be told in this round: each piece of news is told in a few rounds. */
    CrashNews takeNews(TimePoint now);
    /** What matters most of all that is known, for instances that were away. */
    CrashNews mostImportant(TimePoint now) const;
    /** All ends that one request was on board of. */
    CrashNews newsOf(RequestKey key, TimePoint now) const;
    /**
     * Requests that came under strong suspicion with this instance's part in it, that more is held
     * against, or that were cleared, since the last call: a fleet that loses power at once has
     * nobody left to tell of them.
     */
    std::vector<RequestKey> takeChangedBlame(TimePoint now);
    /** Forgets what no longer says anything; to be called now and then. */
    void forgetOld(TimePoint now);

    std::size_t suspects() const noexcept { return suspects_.size(); }
    std::size_t ends() const noexcept { return ends_.size(); }

private:
    struct KnownEnd
    {
        EndpointEnd end_;
        int roundsLeft_ = 0;
    };
    /** A request was on board of an end. */
    struct Sighting
    {
        EndKey end_ {};
        TimePoint knownAt_ {};
        int roundsLeft_ = 0;
    };
    struct Suspect
    {
        std::vector<Sighting> sightings_;
        bool isOwn_ = false;       ///< One of them is this instance's.
        std::size_t endsKept_ = 0; ///< That takeChangedBlame() told of.
        TimePoint clearedAt_ {};
        int clearedRoundsLeft_ = 0;
    };
    struct KnownTurn
    {
        Turn turn_;
        int roundsLeft_ = 0;
    };

    bool addEnd(const EndpointEnd &end);
    void addSighting(RequestKey key, EndKey end, TimePoint now);
    void clear(RequestKey key, TimePoint at);
    double weightOf(const Suspect &suspect, const EndpointEnd &end) const;
    Assessment assess(const Suspect &suspect, TimePoint now) const;
    bool isLive(const Turn &turn, TimePoint now) const;
    bool worthTelling(const Suspect &suspect, const Sighting &sighting, TimePoint now) const;
    void tellSightings(Suspect &suspect, RequestKey key, TimePoint now, CrashNews &news);
    void tellEnd(const EndpointEnd &end, std::optional<RequestKey> aboard, TimePoint now,
                 CrashNews &news) const;
    std::vector<RequestKey> mostSuspiciousFirst(TimePoint now) const;
    void keepWithinBounds(TimePoint now);
    void dropLeastSuspicious(TimePoint now);
    void forgetEnds(TimePoint now);

    std::map<EndKey, KnownEnd> ends_;
    std::multimap<TimePoint, EndKey> endsByTime_;
    std::unordered_map<RequestKey, Suspect> suspects_;
    std::map<RequestKey, KnownTurn> turns_;
    std::vector<RequestKey> clearedBlame_; ///< For takeChangedBlame().
    /** Whole runs of a moment ago: evidence from before them may come later. */
    std::unordered_map<RequestKey, TimePoint> wholeRuns_;
    std::deque<std::pair<TimePoint, RequestKey>> wholeRunsInOrder_;
};

} // namespace almondridge::gateway
