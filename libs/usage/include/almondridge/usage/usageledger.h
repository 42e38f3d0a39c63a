/**
 * Counts of requests by window, instance and account: an instance's own counts, and those received
 * from others. Does no I/O and reads no clock.
 */
#pragma once

#include "almondridge/usage/usagemessage.h"

#include <map>
#include <set>

namespace almondridge::usage {

/** The requests that this instance has counted since its process started. */
class LocalCounts
{
public:
    void onBegan(const AccountId &account, Window window);
    /**
     * Counts that changed since the last call. Windows before `open` are closed; each is returned
     * once with all of its counts.
     */
    std::vector<WindowCounts> takeChanges(Window open);
    /** All counts of the windows from `from` on; windows before `open` are marked closed. */
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

/** The requests that all instances have counted, as far as known here. */
class UsageLedger
{
public:
    /** Merges an update; counts of windows that are no longer kept are dropped. */
    void add(const UsageUpdate &update);
    /** Sums over all instances and their lifetimes. */
    AccountCounts counts(Window window) const;
    /** Whether all counts of the instance's newest lifetime have arrived, and no more will. */
    bool isComplete(const InstanceId &instance, Window window) const;
    /** The oldest lifetime with counts, as its start in Unix milliseconds; nullopt: none. */
    std::optional<std::uint64_t> oldestLifetime() const;
    /** All counts from a window on, as one update for each lifetime of each instance. */
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
