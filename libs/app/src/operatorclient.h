/**
 * Client of the admin API. Sends each call to the first entry instance that answers.
 */
#pragma once

#include "almondridge/net/http.h"
#include "options.h"

#include <nlohmann/json.hpp>
#include <vector>

namespace almondridge::app {

/** HTTP status and JSON body of an answer. */
struct OperatorAnswer
{
    int status_ = 0;
    nlohmann::json body_;
};

class OperatorClient
{
public:
    /** Reads --entry (comma-separated addresses), --give-up (seconds) and --key. */
    static Result<OperatorClient> fromOptions(const Options &options);

    /**
     * Tries the entry instances in turn until one answers with a status other than 503 or the
     * --give-up time ends. Retrying is safe for every call: an apply is deduplicated by its
     * apply_id. Fails with Interrupted if an entry may have executed the call but none gave a
     * definite answer, and with Unavailable if none could be reached.
     */
    Result<OperatorAnswer> call(const std::string &method, const std::string &path,
                                const nlohmann::json &body = nullptr) const;

private:
    std::vector<net::Address> entries_;
    std::string key_;
    /** How long calls are retried: an instance that has just started answers 503 for a while. */
    std::int64_t retrySeconds_ = 10;
};

} // namespace almondridge::app
