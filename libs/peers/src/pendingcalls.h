/**
 * Calls whose threads wait for an answer, by id. Sharded to reduce lock contention. Thread-safe.
 */
#pragma once

#include "almondridge/base/error.h"
#include "almondridge/base/time.h"

#include <array>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <unordered_map>
#include <variant>

namespace almondridge::peers {

using CallId = std::uint64_t;
/** The answer, or the error that took its place. */
using CallOutcome = std::variant<nlohmann::json, Error>;

class PendingCalls
{
public:
    /** Registers a call. Empty after close(). */
    std::optional<CallId> open();

    /** Must be called before sending. False: the caller no longer waits, so nothing may be sent. */
    bool markSent(CallId id);
    /** Sets the outcome. Ignored if the caller no longer waits. */
    void finish(CallId id, CallOutcome outcome);
    /** Fails the call: Interrupted if it was marked as sent, Unavailable if not. */
    void failCall(CallId id, const std::string &reason);

    /** Waits for the outcome until deadline, then fails the call. */
    CallOutcome wait(CallId id, TimePoint deadline);

    /** Fails all calls and rejects new ones. */
    void close();

private:
    struct Call
    {
        bool sent_ = false;
        std::optional<CallOutcome> outcome_;
    };

    struct Shard
    {
        std::mutex mutex_;
        std::condition_variable finished_;
        std::unordered_map<CallId, Call> calls_;
        bool closed_ = false;
    };

    static constexpr std::size_t ShardCount = 8;
    Shard &shardOf(CallId id) noexcept { return shards_[id % ShardCount]; }

    std::atomic<CallId> lastId_ = 0;
    std::array<Shard, ShardCount> shards_;
};

} // namespace almondridge::peers
