/**
 * A blocking HTTP call on a new connection, for the command line. Calls whose socket must be
 * polled, shut down or handed to the lease guard use HttpExchange themselves.
 */
#pragma once

#include "almondridge/base/time.h"
#include "almondridge/net/http.h"

namespace almondridge::net {

/**
 * Sends request and waits for the complete response until deadline.
 * Unavailable, TimedOut: nothing reached the peer. Interrupted, Protocol: the effect is unknown.
 */
Result<Response> httpCall(const Address &address, const Request &request, TimePoint deadline);

} // namespace almondridge::net
