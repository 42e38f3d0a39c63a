#include "almondridge/usage/usageledger.h"

#include <algorithm>
#include <limits>

namespace almondridge::usage {

void LocalCounts::onBegan(const AccountId &account, Window window)
{
    WindowState &state = windows_[window];
    ++state.counts_[account];
    ++state.total_;
    state.changed_.insert(account);
    state.closeReported_ = false;
}

std::vector<WindowCounts> LocalCounts::takeChanges(Window open)
{
    // A window without requests is closed as well, so that reporters don't wait for its counts.
    for (Window window = std::max(closedBefore_, open - 1); window < open; ++window) {
        windows_.try_emplace(window);
    }
    closedBefore_ = std::max(closedBefore_, open);
    std::vector<WindowCounts> parts;
    for (auto &[window, state] : windows_) {
        const bool closes = window < open && !state.closeReported_;
        if (!closes && state.changed_.empty()) {
            continue;
        }
        WindowCounts part {window, window < open, state.total_, {}};
        if (closes) {
            part.counts_ = state.counts_;
            state.closeReported_ = true;
        } else {
            for (const AccountId &account : state.changed_) {
                part.counts_[account] = state.counts_[account];
            }
        }
        state.changed_.clear();
        parts.push_back(std::move(part));
    }
    return parts;
}

std::vector<WindowCounts> LocalCounts::since(Window from, Window open) const
{
    std::vector<WindowCounts> parts;
    for (auto iterator = windows_.lower_bound(from); iterator != windows_.end(); ++iterator) {
        const auto &[window, state] = *iterator;
        parts.push_back({window, window < open, state.total_, state.counts_});
    }
    return parts;
}

void LocalCounts::forgetBefore(Window window)
{
    windows_.erase(windows_.begin(), windows_.lower_bound(window));
}

std::uint64_t UsageLedger::Entry::sum() const
{
    std::uint64_t sum = 0;
    for (const auto &[account, count] : counts_) {
        sum += count;
    }
    return sum;
}

void UsageLedger::add(const UsageUpdate &update)
{
    for (const WindowCounts &part : update.parts_) {
        if (part.window_ < firstRetained_) {
            continue;
        }
        Entry &entry = entries_[{part.window_, update.sender_, update.lifetime_}];
        entry.closed_ = entry.closed_ || part.closed_;
        entry.total_ = std::max(entry.total_, part.total_);
        for (const auto &[account, count] : part.counts_) {
            std::uint64_t &known = entry.counts_[account];
            known = std::max(known, count);
        }
    }
}

AccountCounts UsageLedger::counts(Window window) const
{
    AccountCounts sums;
    for (auto iterator = entries_.lower_bound({window, {}, 0});
         iterator != entries_.end() && iterator->first.window_ == window; ++iterator) {
        for (const auto &[account, count] : iterator->second.counts_) {
            sums[account] += count;
        }
    }
    return sums;
}

bool UsageLedger::isComplete(const InstanceId &instance, Window window) const
{
    auto iterator =
        entries_.upper_bound({window, instance, std::numeric_limits<std::uint64_t>::max()});
    if (iterator == entries_.begin()) {
        return false;
    }
    --iterator;
    const auto &[key, entry] = *iterator;
    return key.window_ == window && key.instance_ == instance && entry.closed_
           && entry.sum() >= entry.total_;
}

std::optional<std::uint64_t> UsageLedger::oldestLifetime() const
{
    std::optional<std::uint64_t> oldest;
    for (const auto &[key, entry] : entries_) {
        oldest = std::min(oldest.value_or(key.lifetime_), key.lifetime_);
    }
    return oldest;
}

std::vector<UsageUpdate> UsageLedger::updatesSince(Window from) const
{
    std::map<std::pair<InstanceId, std::uint64_t>, UsageUpdate> updates;
    for (auto iterator = entries_.lower_bound({from, {}, 0}); iterator != entries_.end();
         ++iterator) {
        const auto &[key, entry] = *iterator;
        UsageUpdate &update = updates[{key.instance_, key.lifetime_}];
        update.sender_ = key.instance_;
        update.lifetime_ = key.lifetime_;
        update.parts_.push_back({key.window_, entry.closed_, entry.total_, entry.counts_});
    }
    std::vector<UsageUpdate> found;
    found.reserve(updates.size());
    for (auto &[key, update] : updates) {
        found.push_back(std::move(update));
    }
    return found;
}

void UsageLedger::forgetBefore(Window window)
{
    firstRetained_ = std::max(firstRetained_, window);
    entries_.erase(entries_.begin(), entries_.lower_bound({firstRetained_, {}, 0}));
}

} // namespace almondridge::usage
