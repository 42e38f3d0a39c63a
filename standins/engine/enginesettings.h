/**
 * The settings of one engine: its entry in the settings file and what /control can set.
 */
#pragma once

#include "almondridge/net/http.h"
#include "engine/batch.h"
#include "engine/orderbook.h"

#include <optional>
#include <vector>

namespace almondridge::standins {

/** Rates are those of a mixed engine at time scale 1; see RoleProfile. */
struct EngineSettings
{
    std::string id_ {};
    net::Address listen_ {};
    Target initial_ {};
    /** Divides all durations of the engine but answer_delay_in_ms, and multiplies its rates. */
    double timeScale_ = 1.0;

    bool checksFence_ = true;
    double prefillTokensPerSecond_ = 10'000;
    double decodeTokensPerSecond_ = 800; ///< Of a full batch together.
    int maxBatch_ = 32;
    int maxWaiting_ = 256; ///< More are refused as not run.
    std::int64_t kvCapacityTokens_ = 200'000;
    std::int64_t cacheTokens_ = 100'000; ///< Size of the prefix cache.
    double kvTransferTokensPerSecond_ = 100'000;
    std::int64_t changeInMillis_ = 3'000;
    std::int64_t weightBytes_ = 1'000'000'000; ///< Of a model, fetched when it is loaded.
    std::int64_t adapterBytes_ = 10'000'000;
    std::int64_t keepStreamsInMillis_ = 30'000; ///< For resuming, after their end.
    std::int64_t orphanInMillis_ = 10'000;      ///< A stream nobody reads for so long is cancelled.
    std::int64_t reportLagInMillis_ = 200;
    std::int64_t eventLagInMillis_ = 500;
    double eventLoss_ = 0.02; ///< Share of the cache events that are lost.
    std::int64_t answerDelayInMillis_ = 0;
    bool crashInChange_ = false; ///< The next change crashes in its middle.
    int workers_ = 64;           ///< Connections served at once; only from the settings file.

    Duration scaled(std::int64_t millis) const;
    BatchRates batchRates(Role role) const;
};

inline constexpr std::array<Field<EngineSettings>, 19> EngineFields {{
    {"checks_fence", &EngineSettings::checksFence_},
    {"prefill_tokens_per_second", &EngineSettings::prefillTokensPerSecond_},
    {"decode_tokens_per_second", &EngineSettings::decodeTokensPerSecond_},
    {"max_batch", &EngineSettings::maxBatch_},
    {"max_waiting", &EngineSettings::maxWaiting_},
    {"kv_capacity_tokens", &EngineSettings::kvCapacityTokens_},
    {"cache_tokens", &EngineSettings::cacheTokens_},
    {"kv_transfer_tokens_per_second", &EngineSettings::kvTransferTokensPerSecond_},
    {"change_in_ms", &EngineSettings::changeInMillis_},
    {"weight_bytes", &EngineSettings::weightBytes_},
    {"adapter_bytes", &EngineSettings::adapterBytes_},
    {"keep_streams_in_ms", &EngineSettings::keepStreamsInMillis_},
    {"orphan_in_ms", &EngineSettings::orphanInMillis_},
    {"report_lag_in_ms", &EngineSettings::reportLagInMillis_},
    {"event_lag_in_ms", &EngineSettings::eventLagInMillis_},
    {"event_loss", &EngineSettings::eventLoss_},
    {"answer_delay_in_ms", &EngineSettings::answerDelayInMillis_},
    {"crash_in_change", &EngineSettings::crashInChange_},
    {"workers", &EngineSettings::workers_},
}};

/** The settings file of a process. */
struct ProcessSettings
{
    net::Address control_;
    std::optional<net::Address> weights_; ///< Without it, weights load in no time.
    int shards_ = 1;                      ///< Scheduler threads.
    std::vector<EngineSettings> engines_;
};

/** InvalidInput names the field that is wrong. */
Result<ProcessSettings> readProcessSettings(const Json &json);
/** InvalidInput when a rate or size makes no sense. */
Result<void> checkSettings(const EngineSettings &settings);

} // namespace almondridge::standins
