/**
 * One JSON call to a service of the platform, on a fresh connection and bounded by a deadline
 * from connecting to the last byte. Private to the library.
 */
#pragma once

#include "almondridge/base/time.h"
#include "almondridge/net/http.h"

#include <nlohmann/json.hpp>
#include <string>

namespace almondridge::store {

using Json = nlohmann::json;

/** The answer's status with its body as JSON; discarded JSON when the body is none. */
struct PlatformAnswer
{
    int status_ = 0;
    std::string retryAfter_; ///< The header's value; empty when there is none.
    Json body_;
};

/**
 * Unavailable: nothing was sent. Interrupted: something was sent and no whole answer came.
 */
Result<PlatformAnswer> storeCall(const net::Address &address, const net::Request &request,
                                 TimePoint deadline);

/** The failure that a status other than 200 stands for; source names the service. */
boost::leaf::error_id failedStatus(const std::string &source, const PlatformAnswer &answer);

/** Protocol: the answer is not what docs/PROTOCOLS.md says. */
boost::leaf::error_id wrongAnswer(const std::string &source, const std::string &what);

} // namespace almondridge::store
