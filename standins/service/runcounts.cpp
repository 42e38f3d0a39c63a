#include "service/runcounts.h"

namespace almondridge::standins {

std::int64_t RunCounts::add(const CallName &call)
{
    const std::lock_guard guard(lock_);
    if (!call.idempotencyKey_.empty()) {
        ++keys_[call.idempotencyKey_];
    }
    ++paths_[call.path_];
    return call.requestId_.empty() ? 1 : ++runs_[call.requestId_];
}

Json RunCounts::show() const
{
    const std::lock_guard guard(lock_);
    return {{"runs", runs_}, {"keys", keys_}, {"paths", paths_}};
}

} // namespace almondridge::standins
