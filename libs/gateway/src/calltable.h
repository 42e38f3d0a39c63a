/**
 * The calls of a gateway, by the number of their request. Whatever happens to a call after it was
 * created (an event of an exchange, a timer, a peer's message, a walk over all calls) finds it
 * here, so that nothing reaches one that has ended, though it is destroyed a little later.
 */
#pragma once

#include "almondridge/async/eventloop.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

namespace almondridge::gateway {

class Call;

using CallNumber = std::uint64_t; ///< CallId::call_.

class CallTable
{
public:
    explicit CallTable(async::EventLoop &loop);
    ~CallTable();
    CallTable(const CallTable &) = delete;
    CallTable &operator=(const CallTable &) = delete;

    void add(CallNumber number, std::unique_ptr<Call> call);
    /** Null if the call has ended. */
    Call *find(CallNumber number) const;
    /** Takes the call out. It is destroyed from the event loop, as the caller is one of its
     * functions. */
    void end(CallNumber number);
    /** Calls visit for each call; those that begin or end meanwhile are left out. */
    void forEach(const std::function<void(Call &call)> &visit) const;
    /** For reading only: visit must not end a call. */
    const std::unordered_map<CallNumber, std::unique_ptr<Call>> &all() const { return calls_; }
    std::size_t size() const noexcept { return calls_.size(); }

private:
    async::EventLoop &loop_;
    std::unordered_map<CallNumber, std::unique_ptr<Call>> calls_;
};

} // namespace almondridge::gateway
