/**
 * A blocking HTTP call on a new connection, made with CivetWeb's client, for the platform and the
 * command line. Calls whose socket must be polled, shut down or handed to the lease guard use
 * HttpExchange.
 */
#pragma once

#include "almondridge/base/time.h"
#include "almondridge/net/http.h"

namespace almondridge::net {

/**
 * Sends request and waits for the complete response until deadline.
 * Unavailable: nothing reached the peer. Interrupted: the effect is unknown.
 */
Result<Response> httpCall(const Address &address, const Request &request, TimePoint deadline);

} // namespace almondridge::net
