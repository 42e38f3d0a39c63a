/**
 * Attempts under way: where each went and what was believed when it left. Bounded by time: an
 * attempt whose end is never told goes some time after its deadline.
 */
#pragma once

#include "prefixcachetracker.h"

#include <unordered_map>

namespace almondridge::routing {

struct Attempt
{
    std::uint64_t number_ = 0; ///< Names it in the endpoint's load.
    SlotRef slot_;
    TimePoint sentAt_ {};
    TimePoint expiresAt_ {};
    std::int64_t promptTokens_ = 0;
    std::int64_t believedTokens_ = 0; ///< Of the prompt, believed to be cached.
    SampledPrefixes prefixes_;        ///< Emptied at the first token.
    bool firstTokenSeen_ = false;
};

class AttemptTable
{
public:
    Attempt &add(const AttemptId &id, TimePoint deadline, TimePoint now);
    Attempt *find(const AttemptId &id);
    void erase(const AttemptId &id) { attempts_.erase(id); }
    /** Takes out the attempts whose end was never told. Looks for them once a second at most. */
    std::vector<Attempt> takeExpired(TimePoint now);
    std::size_t size() const { return attempts_.size(); }

private:
    std::unordered_map<AttemptId, Attempt> attempts_;
    std::uint64_t lastNumber_ = 0;
    TimePoint nextLook_ {};
};

} // namespace almondridge::routing
