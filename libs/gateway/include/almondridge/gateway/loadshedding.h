/**
 * Which callers of a model are told to come back instead of waiting: those that will have left
 * before their first event, as far as the queues are known. Their prompts would be read for nobody
 * while others wait. Pure.
 */
#pragma once

#include "almondridge/base/time.h"
#include "almondridge/gateway/config.h"

#include <cstdint>
#include <optional>

namespace almondridge::gateway {

/** When a caller that has seen no event gives up. */
TimePoint expectedAbandonTime(const Route &route, TimePoint requestedAt, TimePoint deadline);

/**
 * Milliseconds after which to ask again, when reading the prompt is estimated to take until after
 * the caller has left; nullopt: it is worth waiting.
 */
std::optional<std::int64_t> shedRetryAfterMillis(double prefillMillis, TimePoint abandonAt, TimePoint now);

} // namespace almondridge::gateway
