/**
 * One JSON call to a service of the platform on a new connection. The deadline covers the whole
 * call. Private to the library.
 */
#pragma once

#include "almondridge/base/time.h"
#include "almondridge/net/http.h"

#include <nlohmann/json.hpp>
#include <string>

namespace almondridge::store {

using Json = nlohmann::json;

/** An HTTP response; body_ is discarded JSON when the body is not JSON. */
struct PlatformResponse
{
    int status_ = 0;
    std::string retryAfter_; ///< The Retry-After header; empty when absent.
    Json body_;
};

/**
 * Errors: Unavailable, nothing was sent; Interrupted, the response is missing or incomplete.
 */
Result<PlatformResponse> storeCall(const net::Address &address, const net::Request &request,
                                   TimePoint deadline);

/** Maps a status other than 200 to an error; source names the service in the message. */
boost::leaf::error_id failedStatus(const std::string &source, const PlatformResponse &answer);

/** Error Protocol: the response violates docs/PROTOCOLS.md; what describes how. */
boost::leaf::error_id protocolError(const std::string &source, const std::string &what);

} // namespace almondridge::store
