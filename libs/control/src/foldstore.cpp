#include "foldstore.h"

#include "almondridge/base/log.h"

namespace almondridge::control {
namespace {

constexpr std::size_t MaxTailRecords = 4'000;
constexpr std::size_t MaxTailBytes = 4U << 20U;

void logRefusedSnapshot(const std::string &why)
{
    logEvent(LogLevel::Warning, "control.snapshot-refused", {{"why", why}});
}

} // namespace

FoldStore::FoldStore(std::int64_t keyHorizonMillis)
    : fold_(keyHorizonMillis)
    , tail_(MaxTailRecords, MaxTailBytes)
{ }

std::optional<FoldStep> FoldStore::fold(const store::LogRecord &record)
{
    std::optional<FoldStep> step;
    {
        const std::lock_guard lock(foldMutex_);
        if (record.offset_ == 0) {
            step = restoreLocked(record);
        } else if (record.offset_ >= fold_.next() && fold_.canFold(record)) {
            step = foldLocked(record);
        }
    }
    if (step) {
        publish();
    }
    return step;
}

std::optional<FoldStep> FoldStore::foldLocked(const store::LogRecord &record)
{
    const LogOffset wanted = fold_.next();
    FoldStep step = fold_.fold(record);
    if (record.offset_ == wanted) {
        tail_.push(record);
        return step;
    }
    if (fold_.next() == wanted) {
        logRefusedSnapshot(step.reason_);
        return std::nullopt;
    }
    tail_.restart(fold_.next());
    return step;
}

std::optional<FoldStep> FoldStore::restoreLocked(const store::LogRecord &record)
{
    auto decoded = capture([&] { return decodeRecord(record.body_); });
    Record *body = std::get_if<Record>(&decoded);
    const auto *snapshot = body == nullptr ? nullptr : std::get_if<SnapshotRecord>(body);
    if (snapshot == nullptr) {
        logRefusedSnapshot("not a snapshot record");
        return std::nullopt;
    }
    const bool taken = tryOr([&] { return fold_.restore(snapshot->through_, snapshot->state_); },
                             [](const Error &error) {
                                 logRefusedSnapshot(describe(error));
                                 return false;
                             });
    if (!taken) {
        return std::nullopt;
    }
    tail_.restart(fold_.next());
    return FoldStep {snapshot->through_, Verdict::Accepted, std::move(*body), {}, {}, true};
}

void FoldStore::publish()
{
    AcceptedFleet fleet;
    LogOffset next = 0;
    {
        const std::lock_guard lock(foldMutex_);
        next = fold_.next();
        if (fold_.fleet().revision_ != fleet_.revision_) {
            fleet = fold_.fleet();
        }
    }
    const std::lock_guard lock(fleetMutex_);
    published_ = next;
    if (fleet.revision_ > fleet_.revision_) {
        fleet_ = std::move(fleet);
    }
    changed_.notify_all();
}

LogOffset FoldStore::next() const
{
    const std::lock_guard lock(foldMutex_);
    return fold_.next();
}

std::optional<store::LogRecord> FoldStore::lastRecord() const
{
    std::vector<store::LogRecord> last;
    const std::lock_guard lock(foldMutex_);
    if (tail_.first() < tail_.next()) {
        tail_.copyTo(last, tail_.next() - 1, 1);
    }
    return last.empty() ? std::nullopt : std::optional(std::move(last.front()));
}

SnapshotRecord FoldStore::snapshot() const
{
    std::unique_lock lock(foldMutex_);
    const Fold copy = fold_;
    lock.unlock(); // Serialising is slow; don't block other threads.
    return {copy.next() - 1, copy.snapshot()};
}

std::vector<store::LogRecord> FoldStore::recordsFrom(LogOffset from, std::size_t limit) const
{
    std::vector<store::LogRecord> records;
    std::unique_lock lock(foldMutex_);
    if (fold_.next() == 1 || from >= tail_.first() || limit == 0) {
        tail_.copyTo(records, from, limit);
        return records;
    }
    if (snapshotThrough_ + 1 < tail_.first() || snapshotThrough_ < from) {
        lock.unlock();
        SnapshotRecord made = snapshot();
        const LogOffset through = made.through_;
        std::string body = encodeRecord(std::move(made));
        lock.lock();
        snapshot_ = {0, std::move(body)};
        snapshotThrough_ = through;
    }
    records.push_back(snapshot_);
    if (snapshotThrough_ + 1 >= tail_.first()) {
        tail_.copyTo(records, snapshotThrough_ + 1, limit - 1);
    }
    return records;
}

AcceptedFleet FoldStore::fleet() const
{
    const std::lock_guard lock(fleetMutex_);
    return fleet_;
}

std::shared_ptr<const fleet::Fleet> FoldStore::fleetInForce() const
{
    const std::lock_guard lock(fleetMutex_);
    return fleet_.fleet_;
}

Revision FoldStore::revision() const
{
    const std::lock_guard lock(fleetMutex_);
    return fleet_.revision_;
}

bool FoldStore::waitForRevision(Revision revision, TimePoint deadline) const
{
    std::unique_lock lock(fleetMutex_);
    return changed_.wait_until(lock, deadline, [&] { return fleet_.revision_ >= revision; });
}

bool FoldStore::waitForNext(LogOffset next, TimePoint deadline) const
{
    std::unique_lock lock(fleetMutex_);
    return changed_.wait_until(lock, deadline, [&] { return published_ >= next; });
}

std::shared_ptr<const void> FoldStore::lock() const
{
    return std::make_shared<std::unique_lock<std::mutex>>(foldMutex_);
}

} // namespace almondridge::control
