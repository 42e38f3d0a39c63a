/**
 * What an engine remembers for those who check it.
 */
#pragma once

#include "engine/orderbook.h"

#include <string>

namespace almondridge::standins {

/** One order as it came, for failure tests. */
struct LoggedOrder
{
    Order order_;
    std::int64_t wallMillis_ = 0;
    OrderVerdict verdict_ = OrderVerdict::Accepted;
    bool stale_ = false;
};

/** What became of an attempt. Several runs of one attempt add up. */
struct RunRecord
{
    std::int64_t runs_ = 0;
    std::int64_t producedTokens_ = 0;
    std::int64_t wastedTokens_ = 0; ///< Produced for an answer that did not become whole.
};

struct EngineCounters
{
    std::int64_t asked_ = 0;
    std::int64_t refused_ = 0; ///< Answered as not run.
    std::int64_t cancelled_ = 0;
    std::int64_t cutByChange_ = 0;
    std::int64_t droppedLate_ = 0; ///< Deadline passed.
    std::int64_t lostInCrash_ = 0;
    std::int64_t orders_ = 0;
    std::int64_t staleOrders_ = 0; ///< Refused or, by an engine that does not check, taken.
    std::int64_t busyOrders_ = 0;
    std::int64_t changes_ = 0;
    std::int64_t roleChanges_ = 0;
    std::int64_t crashes_ = 0;
    std::int64_t resumes_ = 0;
    std::int64_t producedTokens_ = 0;
    std::int64_t wastedTokens_ = 0;
    std::int64_t prefillTokens_ = 0;
    std::int64_t cachedTokens_ = 0;
    std::int64_t kvExports_ = 0;
    std::int64_t kvImports_ = 0;
    std::int64_t kvFallbacks_ = 0; ///< Imports that found no KV cache and prefilled.
};

inline constexpr std::array<Field<EngineCounters>, 20> CounterFields {{
    {"asked", &EngineCounters::asked_},
    {"refused", &EngineCounters::refused_},
    {"cancelled", &EngineCounters::cancelled_},
    {"cut_by_change", &EngineCounters::cutByChange_},
    {"dropped_late", &EngineCounters::droppedLate_},
    {"lost_in_crash", &EngineCounters::lostInCrash_},
    {"orders", &EngineCounters::orders_},
    {"stale_orders", &EngineCounters::staleOrders_},
    {"busy_orders", &EngineCounters::busyOrders_},
    {"changes", &EngineCounters::changes_},
    {"role_changes", &EngineCounters::roleChanges_},
    {"crashes", &EngineCounters::crashes_},
    {"resumes", &EngineCounters::resumes_},
    {"produced_tokens", &EngineCounters::producedTokens_},
    {"wasted_tokens", &EngineCounters::wastedTokens_},
    {"prefill_tokens", &EngineCounters::prefillTokens_},
    {"cached_tokens", &EngineCounters::cachedTokens_},
    {"kv_exports", &EngineCounters::kvExports_},
    {"kv_imports", &EngineCounters::kvImports_},
    {"kv_fallbacks", &EngineCounters::kvFallbacks_},
}};

} // namespace almondridge::standins
