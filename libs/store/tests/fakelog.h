/**
 * An in-memory append-only log that simulates the failures of the platform's log. Thread-safe.
 * Other libraries' tests include it by path.
 */
#pragma once

#include "almondridge/store/store.h"

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <mutex>

namespace almondridge::store {

class FakeLog : public LogService
{
public:
    /** While true, every call fails as not executed. */
    void setOutage(bool on)
    {
        const std::lock_guard lock(mutex_);
        outage_ = on;
        changed_.notify_all();
    }
    /** The next count appends fail because of the rate limit. */
    void refuseAppends(int count)
    {
        const std::lock_guard lock(mutex_);
        refusals_ = count;
    }
    /** The next count appends take effect, but their acknowledgements are lost. */
    void loseAcks(int count)
    {
        const std::lock_guard lock(mutex_);
        lostAcks_ = count;
    }
    /** The next count appends lose their acknowledgements and take effect in landLate(). */
    void delayAppends(int count)
    {
        const std::lock_guard lock(mutex_);
        delayedAppends_ = count;
    }
    void landLate()
    {
        const std::lock_guard lock(mutex_);
        for (const std::string &body : std::exchange(late_, {})) {
            push(body);
        }
    }
    /** While true, reads block. */
    void holdReads(bool on)
    {
        const std::lock_guard lock(mutex_);
        readsHeld_ = on;
        changed_.notify_all();
    }
    /** Trims the records before first. */
    void trim(LogOffset first)
    {
        const std::lock_guard lock(mutex_);
        for (; first_ < first && !records_.empty(); ++first_) {
            records_.pop_front();
        }
    }
    /** Loses all records and starts again at offset 1, which the platform guarantees not to do. */
    void reset()
    {
        const std::lock_guard lock(mutex_);
        records_.clear();
        first_ = 1;
        changed_.notify_all();
    }

    /** Appends even during an outage, like other instances that are not partitioned. */
    void fill(const std::vector<std::string> &bodies)
    {
        const std::lock_guard lock(mutex_);
        std::for_each(bodies.begin(), bodies.end(), [&](const auto &body) { push(body); });
    }

    std::vector<LogRecord> records() const
    {
        const std::lock_guard lock(mutex_);
        return {records_.begin(), records_.end()};
    }
    LogOffset next() const
    {
        const std::lock_guard lock(mutex_);
        return first_ + records_.size();
    }
    /** Number of append calls that took effect. */
    int appends() const
    {
        const std::lock_guard lock(mutex_);
        return appends_;
    }
    /** Number of append calls during an outage. */
    int outageAppends() const
    {
        const std::lock_guard lock(mutex_);
        return outageAppends_;
    }
    int reads() const
    {
        const std::lock_guard lock(mutex_);
        return reads_;
    }
    /** Waits until an append is held for landLate(). */
    void waitForLate() const
    {
        std::unique_lock lock(mutex_);
        changed_.wait(lock, [&] { return !late_.empty(); });
    }

    Result<LogOffset> append(const std::vector<std::string> &bodies, TimePoint) override
    {
        const std::lock_guard lock(mutex_);
        if (outage_) {
            ++outageAppends_;
            return fail(ErrorKind::Unavailable, "outage", "wait");
        }
        if (refusals_ > 0) {
            --refusals_;
            return fail(ErrorKind::Overloaded, "over the rate", "wait");
        }
        if (delayedAppends_ > 0) {
            --delayedAppends_;
            late_.insert(late_.end(), bodies.begin(), bodies.end());
            changed_.notify_all();
            return fail(ErrorKind::Interrupted, "late", "look");
        }
        const LogOffset first = first_ + records_.size();
        std::for_each(bodies.begin(), bodies.end(), [&](const auto &body) { push(body); });
        ++appends_;
        if (lostAcks_ > 0) {
            --lostAcks_;
            return fail(ErrorKind::Interrupted, "lost acknowledgement", "look");
        }
        return first;
    }

    Result<LogPage> read(LogOffset from, TimePoint waitUntil) override
    {
        std::unique_lock lock(mutex_);
        ++reads_;
        changed_.wait_until(lock, waitUntil,
                            [&] { return outage_ || from < first_ + records_.size(); });
        changed_.wait(lock, [&] { return !readsHeld_; });
        if (outage_) {
            return fail(ErrorKind::Unavailable, "outage", "wait");
        }
        if (from < first_) {
            return fail(ErrorKind::Trimmed, "trimmed", "use a snapshot");
        }
        LogPage page {first_, first_ + records_.size(), {}};
        for (LogOffset at = from; at < page.next_ && page.records_.size() < PageRecords; ++at) {
            page.records_.push_back(records_[at - first_]);
        }
        return page;
    }

private:
    static constexpr std::size_t PageRecords = 1'000;

    void push(const std::string &body)
    {
        records_.push_back({first_ + records_.size(), body});
        changed_.notify_all();
    }

    mutable std::mutex mutex_;
    mutable std::condition_variable changed_;
    std::deque<LogRecord> records_;
    std::vector<std::string> late_;
    LogOffset first_ = 1;
    bool outage_ = false;
    bool readsHeld_ = false;
    int refusals_ = 0;
    int lostAcks_ = 0;
    int delayedAppends_ = 0;
    int appends_ = 0;
    int outageAppends_ = 0;
    int reads_ = 0;
};

} // namespace almondridge::store
