/**
 * How often each call ran, over all instances of a process and all their crashes.
 */
#pragma once

#include "common/fieldtable.h"

#include <map>
#include <mutex>
#include <string>

namespace almondridge::standins {

/** What identifies a call. Empty fields are not counted. */
struct CallName
{
    std::string requestId_;      ///< X-Request-Id: one for each attempt of an entry instance.
    std::string idempotencyKey_; ///< The caller's; the same for all attempts at one request.
    std::string path_;
};

/** Thread-safe. */
class RunCounts
{
public:
    /** Counts a run of the call; its number among those of the same request id. */
    std::int64_t add(const CallName &call);
    /** {"runs":{request id: n},"keys":{idempotency key: n},"paths":{path: n}}. */
    Json show() const;

private:
    using Counts = std::map<std::string, std::int64_t>;

    mutable std::mutex lock_;
    Counts runs_;
    Counts keys_;
    Counts paths_;
};

} // namespace almondridge::standins
