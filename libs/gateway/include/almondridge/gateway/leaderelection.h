/**
 * Keeps the right to act for all instances, if the store names this one: asks again and again, and
 * claims a fencing number. One right for whatever only one instance may do at a time.
 */
#pragma once

#include "almondridge/async/eventloop.h"
#include "almondridge/gateway/leaderstate.h"

#include <functional>

namespace almondridge::gateway {

/** What the right is taken from. Answers may come late or never. */
class AuthorityStore
{
public:
    virtual ~AuthorityStore() = default;

    /** Asks whether this instance is the one that is named; nullopt: no answer. */
    virtual void ask(const std::function<void(std::optional<bool>)> &done) = 0;
    /** Appends a claim and gives its offset; nullopt: it may or may not be there. */
    virtual void claim(const std::function<void(std::optional<LogOffset>)> &done) = 0;
};

class AuthorityKeeper
{
public:
    AuthorityKeeper(async::EventLoop &loop, AuthorityStore &store, AuthoritySettings settings);

    void start();
    void stop();
    /** The right to act now; nullopt: none. */
    std::optional<OrderRight> right() const;
    /** Whether the store names this instance, as far as it knows. */
    bool named() const { return authority_.namedNow(BootClock::now()); }
    /** Whoever was addressed has seen a higher fencing number. */
    void onOvertaken();

private:
    void renew();
    void claimIfNeeded();

    AuthorityStore &store_;
    AuthoritySettings settings_;
    Authority authority_;
    async::Timer renewal_;
    bool claiming_ = false;
    bool running_ = false;
};

} // namespace almondridge::gateway
