/**
 * Load shedding: rejects model requests whose caller is expected to give up before the first event,
 * as estimated from the queues. Their prompts would be prefilled for nothing while others wait. No
 * I/O and no clock.
 */
#pragma once

#include "almondridge/base/time.h"
#include "almondridge/gateway/config.h"

#include <cstdint>
#include <optional>

namespace almondridge::gateway {

/** When a caller that has received no event is expected to give up; at the latest at deadline. */
TimePoint expectedAbandonTime(const Route &route, TimePoint requestedAt, TimePoint deadline);

/**
 * Milliseconds for the Retry-After of a rejected request whose prefill is estimated to end after
 * the caller has given up; nullopt if the request is to be served.
 */
std::optional<std::int64_t> shedRetryAfterMillis(double prefillMillis, TimePoint abandonAt,
                                                 TimePoint now);

} // namespace almondridge::gateway
