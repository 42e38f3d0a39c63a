#include "logfollower.h"

namespace almondridge::control {
namespace {

/** Limits the wait, because waiting until the end of the clock's range may overflow. */
constexpr std::int64_t IdleWakeMillis = 60'000;
/** Queued batches from peers. Further ones are dropped; the log or later batches hold them too. */
constexpr std::size_t MaxInbox = 64;

} // namespace

LogFollower::LogFollower(FoldStore &store, const Options &options)
    : store_(store)
    , schedule_(options.snapshotRecords_, options.snapshotWindowMillis_)
    , random_(options.seed_)
{ }

LogFollower::~LogFollower()
{
    stop();
}

void LogFollower::listen(FoldListener listener)
{
    listeners_.push_back(std::move(listener));
}

void LogFollower::onSnapshotDue(std::function<void(SnapshotRecord)> write)
{
    writeSnapshot_ = std::move(write);
}

void LogFollower::start()
{
    thread_ = std::thread([this] { run(); });
}

void LogFollower::stop()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
        changed_.notify_all();
    }
    if (thread_.joinable()) {
        thread_.join();
    }
}

void LogFollower::offer(RecordBatch batch)
{
    const std::lock_guard lock(mutex_);
    if (inbox_.size() < MaxInbox) {
        inbox_.push_back(std::move(batch));
        ++batchesQueued_;
        changed_.notify_all();
    }
}

void LogFollower::foldNow(RecordBatch batch)
{
    std::unique_lock lock(mutex_);
    inbox_.push_back(std::move(batch));
    const std::uint64_t ticket = ++batchesQueued_;
    changed_.notify_all();
    changed_.wait(lock, [&] { return stopping_ || batchesFolded_ >= ticket; });
}

void LogFollower::run()
{
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        if (inbox_.empty()) {
            const TimePoint idle = BootClock::now() + millis(IdleWakeMillis);
            const TimePoint wake = schedule_.dueAt().value_or(idle);
            changed_.wait_until(lock, wake, [&] { return stopping_ || !inbox_.empty(); });
        }
        RecordBatch batch;
        const bool some = !inbox_.empty();
        if (some) {
            batch = std::move(inbox_.front());
            inbox_.pop_front();
        }
        lock.unlock();
        foldBatch(batch);
        writeSnapshotIfDue();
        lock.lock();
        batchesFolded_ += some ? 1 : 0;
        changed_.notify_all();
    }
}

void LogFollower::foldBatch(const RecordBatch &batch)
{
    for (const store::LogRecord &record : batch.records_) {
        if (const std::optional<FoldStep> step = store_.fold(record)) {
            noteStep(*step);
        }
    }
    // A batch from a peer may have been rejected, so on an empty fold it does not prove the end.
    const bool fromLog = batch.firstRetained_ != 0;
    const bool atEnd = batch.end_ != 0 && store_.next() >= batch.end_;
    if (atEnd && (fromLog || store_.hasState())) {
        caughtUp_ = true;
    }
    if (fromLog) {
        schedule_.onRetainedRange(batch.firstRetained_, batch.end_, BootClock::now(), random());
    }
}

void LogFollower::noteStep(const FoldStep &step)
{
    const auto *snapshot = std::get_if<SnapshotRecord>(&step.record_);
    if (snapshot != nullptr && step.verdict_ == Verdict::Accepted) {
        const bool inLog = snapshot->through_ < step.offset_;
        schedule_.onSnapshot(inLog ? step.offset_ : 0);
    } else {
        schedule_.onFolded(BootClock::now(), random());
    }
    for (const FoldListener &listener : listeners_) {
        listener(step);
    }
}

void LogFollower::writeSnapshotIfDue()
{
    if (!schedule_.dueAt() || *schedule_.dueAt() > BootClock::now()) {
        return;
    }
    // Count the snapshot as written. If it is not appended, the next one is due after as many
    // records, here or at another instance.
    schedule_.onSnapshot(0);
    if (writeSnapshot_ && caughtUp_) {
        writeSnapshot_(store_.snapshot());
    }
}

} // namespace almondridge::control
