/**
 * Unfinished attempts: the endpoint of each and the cache prediction at dispatch. An attempt whose
 * end is never reported expires some time after its deadline, which bounds the table.
 */
#pragma once

#include "prefixcachetracker.h"

#include <unordered_map>

namespace almondridge::routing {

/** A request that was sent to an endpoint. */
struct Attempt
{
    std::uint64_t number_ = 0; ///< Identifies the attempt in EndpointLoad.
    SlotRef slot_;
    TimePoint sentAt_ {};
    TimePoint expiresAt_ {};
    std::int64_t promptTokens_ = 0;
    std::int64_t predictedTokens_ = 0; ///< Prompt tokens predicted to be cached.
    SampledPrefixes prefixes_;         ///< Cleared at the first token.
    bool firstTokenSeen_ = false;
};

/** Unfinished attempts by id. */
class AttemptTable
{
public:
    /** A deadline of TimePoint {} means none. Replaces an attempt of the same id. */
    Attempt &add(const AttemptId &id, TimePoint deadline, TimePoint now);
    /** Null if the attempt is unknown or expired. */
    Attempt *find(const AttemptId &id);
    void erase(const AttemptId &id) { attempts_.erase(id); }
    /** Removes and returns expired attempts. Sweeps the table at most once a second. */
    std::vector<Attempt> takeExpired(TimePoint now);
    std::size_t size() const { return attempts_.size(); }

private:
    std::unordered_map<AttemptId, Attempt> attempts_;
    std::uint64_t lastNumber_ = 0;
    TimePoint nextSweep_ {};
};

} // namespace almondridge::routing
