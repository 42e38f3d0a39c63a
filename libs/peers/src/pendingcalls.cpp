#include "pendingcalls.h"

namespace almondridge::peers {
namespace {

Error noAnswerError(bool sent, const std::string &reason)
{
    if (sent) {
        return {ErrorKind::Interrupted, "the peer may have received the request: " + reason,
                "check its effect before sending it again"};
    }
    return {ErrorKind::Unavailable, "the request was not sent: " + reason,
            "try again, or send it to another instance"};
}

} // namespace

std::optional<CallId> PendingCalls::open()
{
    const CallId id = ++lastId_;
    Shard &shard = shardOf(id);
    const std::lock_guard lock(shard.mutex_);
    if (shard.closed_) {
        return std::nullopt;
    }
    shard.calls_[id];
    return id;
}

bool PendingCalls::markSent(CallId id)
{
    Shard &shard = shardOf(id);
    const std::lock_guard lock(shard.mutex_);
    const auto call = shard.calls_.find(id);
    if (call == shard.calls_.end() || call->second.outcome_) {
        return false;
    }
    call->second.sent_ = true;
    return true;
}

void PendingCalls::finish(CallId id, CallOutcome outcome)
{
    Shard &shard = shardOf(id);
    {
        const std::lock_guard lock(shard.mutex_);
        const auto call = shard.calls_.find(id);
        if (call == shard.calls_.end() || call->second.outcome_) {
            return;
        }
        call->second.outcome_ = std::move(outcome);
    }
    shard.finished_.notify_all();
}

void PendingCalls::failCall(CallId id, const std::string &reason)
{
    Shard &shard = shardOf(id);
    {
        const std::lock_guard lock(shard.mutex_);
        const auto call = shard.calls_.find(id);
        if (call == shard.calls_.end() || call->second.outcome_) {
            return;
        }
        call->second.outcome_ = noAnswerError(call->second.sent_, reason);
    }
    shard.finished_.notify_all();
}

CallOutcome PendingCalls::wait(CallId id, TimePoint deadline)
{
    Shard &shard = shardOf(id);
    std::unique_lock lock(shard.mutex_);
    Call &call = shard.calls_.at(id);
    shard.finished_.wait_until(lock, deadline, [&] { return call.outcome_.has_value(); });
    CallOutcome outcome = call.outcome_
                              ? std::move(*call.outcome_)
                              : CallOutcome(noAnswerError(call.sent_, "no answer in time"));
    shard.calls_.erase(id);
    return outcome;
}

void PendingCalls::close()
{
    for (Shard &shard : shards_) {
        {
            const std::lock_guard lock(shard.mutex_);
            shard.closed_ = true;
            for (auto &[id, call] : shard.calls_) {
                if (!call.outcome_) {
                    call.outcome_ = noAnswerError(call.sent_, "this instance is stopping");
                }
            }
        }
        shard.finished_.notify_all();
    }
}

} // namespace almondridge::peers
