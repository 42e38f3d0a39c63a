/**
 * Requests counted by window, instance and account: an instance's own, and what others told. Pure.
 */
#pragma once

#include "almondridge/usage/usagemessage.h"

#include <map>
#include <set>

namespace almondridge::usage {

/** What one lifetime of an instance has counted. */
class LocalCounts
{
public:
    void onBegan(const AccountId &account, Window window);
    /** What has changed since the last call. Windows before open are closed, each told once. */
    std::vector<WindowCounts> takeChanges(Window open);
    /** All counts of the windows from one on. */
    std::vector<WindowCounts> since(Window from, Window open) const;
    void forgetBefore(Window window);

private:
    struct WindowState
    {
        AccountCounts counts_;
        std::uint64_t total_ = 0;
        std::set<AccountId> changed_;
        bool closeReported_ = false;
    };

    std::map<Window, WindowState> windows_;
    Window closedBefore_ = 0; ///< Windows before it are closed.
};

/** What all instances have counted, as far as it is known here. */
class UsageLedger
{
public:
    /** Parts of windows before the first that is kept are dropped. */
    void add(const UsageUpdate &update);
    /** The requests of all instances and lifetimes. */
    AccountCounts counts(Window window) const;
    /** Whether the newest lifetime of the instance has told all that it will. */
    bool isComplete(const InstanceId &instance, Window window) const;
    /** The oldest lifetime that has told anything; nullopt: none has. */
    std::optional<std::uint64_t> oldestLifetime() const;
    /** All that is known of an instance from a window on, a note for each of its lifetimes. */
    std::vector<UsageUpdate> updatesSince(Window from) const;
    void forgetBefore(Window window);

private:
    struct Entry
    {
        bool closed_ = false;
        std::uint64_t total_ = 0;
        AccountCounts counts_;

        std::uint64_t sum() const;
    };
    struct Key
    {
        Window window_ = 0;
        InstanceId instance_;
        std::uint64_t lifetime_ = 0;

        friend auto operator<=>(const Key &, const Key &) = default;
    };

    std::map<Key, Entry> entries_;
    Window firstRetained_ = 0;
};

} // namespace almondridge::usage
