#include "almondridge/usage/usageledger.h"

#include <algorithm>
#include <limits>

namespace almondridge::usage {

void OwnCounts::onBegan(const AccountId &account, Window window)
{
    Counted &counted = windows_[window];
    ++counted.counts_[account];
    ++counted.total_;
    counted.changed_.insert(account);
    counted.closureTold_ = false;
}

std::vector<WindowPart> OwnCounts::takeChanges(Window open)
{
    // A window without a request is closed as well, so that nobody waits for what does not come.
    for (Window window = std::max(closedUntil_, open - 1); window < open; ++window) {
        windows_.try_emplace(window);
    }
    closedUntil_ = std::max(closedUntil_, open);
    std::vector<WindowPart> parts;
    for (auto &[window, counted] : windows_) {
        const bool closes = window < open && !counted.closureTold_;
        if (!closes && counted.changed_.empty()) {
            continue;
        }
        WindowPart part {window, window < open, counted.total_, {}};
        if (closes) {
            part.counts_ = counted.counts_;
            counted.closureTold_ = true;
        } else {
            for (const AccountId &account : counted.changed_) {
                part.counts_[account] = counted.counts_[account];
            }
        }
        counted.changed_.clear();
        parts.push_back(std::move(part));
    }
    return parts;
}

std::vector<WindowPart> OwnCounts::since(Window from, Window open) const
{
    std::vector<WindowPart> parts;
    for (auto place = windows_.lower_bound(from); place != windows_.end(); ++place) {
        const auto &[window, counted] = *place;
        parts.push_back({window, window < open, counted.total_, counted.counts_});
    }
    return parts;
}

void OwnCounts::forgetBefore(Window window)
{
    windows_.erase(windows_.begin(), windows_.lower_bound(window));
}

std::uint64_t UsageBook::Entry::sum() const
{
    std::uint64_t sum = 0;
    for (const auto &[account, count] : counts_) {
        sum += count;
    }
    return sum;
}

void UsageBook::add(const UsageNote &note)
{
    for (const WindowPart &part : note.parts_) {
        if (part.window_ < first_) {
            continue;
        }
        Entry &entry = entries_[{part.window_, note.sender_, note.lifetime_}];
        entry.closed_ = entry.closed_ || part.closed_;
        entry.total_ = std::max(entry.total_, part.total_);
        for (const auto &[account, count] : part.counts_) {
            std::uint64_t &known = entry.counts_[account];
            known = std::max(known, count);
        }
    }
}

AccountCounts UsageBook::counts(Window window) const
{
    AccountCounts sums;
    for (auto place = entries_.lower_bound({window, {}, 0});
         place != entries_.end() && place->first.window_ == window; ++place) {
        for (const auto &[account, count] : place->second.counts_) {
            sums[account] += count;
        }
    }
    return sums;
}

bool UsageBook::isComplete(const InstanceId &instance, Window window) const
{
    auto place =
        entries_.upper_bound({window, instance, std::numeric_limits<std::uint64_t>::max()});
    if (place == entries_.begin()) {
        return false;
    }
    --place;
    const auto &[key, entry] = *place;
    return key.window_ == window && key.instance_ == instance && entry.closed_
           && entry.sum() >= entry.total_;
}

std::optional<std::uint64_t> UsageBook::oldestLifetime() const
{
    std::optional<std::uint64_t> oldest;
    for (const auto &[key, entry] : entries_) {
        oldest = std::min(oldest.value_or(key.lifetime_), key.lifetime_);
    }
    return oldest;
}

std::vector<UsageNote> UsageBook::notesSince(Window from) const
{
    std::map<std::pair<InstanceId, std::uint64_t>, UsageNote> notes;
    for (auto place = entries_.lower_bound({from, {}, 0}); place != entries_.end(); ++place) {
        const auto &[key, entry] = *place;
        UsageNote &note = notes[{key.instance_, key.lifetime_}];
        note.sender_ = key.instance_;
        note.lifetime_ = key.lifetime_;
        note.parts_.push_back({key.window_, entry.closed_, entry.total_, entry.counts_});
    }
    std::vector<UsageNote> found;
    found.reserve(notes.size());
    for (auto &[key, note] : notes) {
        found.push_back(std::move(note));
    }
    return found;
}

void UsageBook::forgetBefore(Window window)
{
    first_ = std::max(first_, window);
    entries_.erase(entries_.begin(), entries_.lower_bound({first_, {}, 0}));
}

} // namespace almondridge::usage
