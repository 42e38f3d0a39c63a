#include "logappender.h"

#include "almondridge/base/log.h"

#include <algorithm>
#include <charconv>

namespace almondridge::control {
namespace {

constexpr std::size_t MaxGroupRecords = 500;
constexpr std::size_t MaxGroupBytes = 512U << 10U;
/** Timeout of one append call. */
constexpr std::int64_t AppendTimeoutMillis = 2'000;
constexpr std::int64_t FirstBackoffMillis = 50;
constexpr std::int64_t LastBackoffMillis = 2'000;
constexpr std::int64_t IdleWakeMillis = 60'000;
/** Appends that may be sent at once after an idle period. */
constexpr std::int64_t BudgetBurst = 4;

/** Whether the error guarantees that the group is not appended, now or later. */
bool isDefiniteRefusal(ErrorKind kind)
{
    return kind == ErrorKind::Unavailable || kind == ErrorKind::Overloaded
           || kind == ErrorKind::TimedOut;
}

} // namespace

LogAppender::LogAppender(store::LogService &service, Options options, ReachabilityListener reached,
                         LostRecordsListener lostRecords)
    : service_(service)
    , idPrefix_(std::move(options.idPrefix_))
    , onReachability_(std::move(reached))
    , onLostRecords_(std::move(lostRecords))
    , queue_(MaxGroupRecords, MaxGroupBytes)
    , budget_(options.appendsPerSecond_, BudgetBurst)
    , backoff_(FirstBackoffMillis, LastBackoffMillis)
    , random_(options.seed_)
{ }

LogAppender::~LogAppender()
{
    stop();
}

void LogAppender::start()
{
    thread_ = std::thread([this] { run(); });
}

void LogAppender::stop()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
        changed_.notify_all();
    }
    if (thread_.joinable()) {
        thread_.join();
    }
    const std::lock_guard lock(mutex_);
    answerLocked(queue_.close());
}

AppendResult LogAppender::append(const Record &record, TimePoint deadline,
                                 OutagePolicy outagePolicy)
{
    std::unique_lock lock(mutex_);
    const AppendId id = addLocked(record, {{}, deadline, outagePolicy, false});
    std::future<AppendResult> answer = waiters_[id].get_future();
    if (stopping_) {
        answerLocked(queue_.close());
    }
    lock.unlock();
    const Duration left = std::min<Duration>(deadline - BootClock::now(), std::chrono::hours(24));
    if (answer.wait_for(left) != std::future_status::ready) {
        lock.lock();
        answerLocked(queue_.expire(deadline));
        lock.unlock();
    }
    return answer.get();
}

void LogAppender::post(const Record &record, TimePoint deadline, bool alone)
{
    const std::lock_guard lock(mutex_);
    addLocked(record, {{}, deadline, OutagePolicy::Retry, alone});
}

AppendId LogAppender::addLocked(const Record &record, QueuedAppend queued)
{
    const AppendId id = ++lastId_;
    queued.body_ = encodeRecord(record, idPrefix_ + std::to_string(id));
    queue_.add(id, std::move(queued));
    changed_.notify_all();
    return id;
}

bool LogAppender::flush(TimePoint deadline) const
{
    std::unique_lock lock(mutex_);
    return changed_.wait_until(lock, deadline, [&] { return stopping_ || queue_.empty(); })
           && queue_.empty();
}

bool LogAppender::waitForPendingAppend(TimePoint until) const
{
    std::unique_lock lock(mutex_);
    return changed_.wait_until(lock, until, [&] { return stopping_ || queue_.awaitsFold(); });
}

void LogAppender::onFolded(const FoldStep &step)
{
    const std::lock_guard lock(mutex_);
    folded_ = std::max(folded_, step.offset_ + 1);
    const std::string &recordId = step.recordId_;
    if (recordId.size() <= idPrefix_.size() || !recordId.starts_with(idPrefix_)) {
        return;
    }
    AppendId id = 0;
    const char *digits = recordId.data() + idPrefix_.size();
    std::from_chars(digits, recordId.data() + recordId.size(), id);
    answerLocked(queue_.onFolded(id, step));
}

void LogAppender::onRecordsSkipped(LogOffset next)
{
    const std::lock_guard lock(mutex_);
    folded_ = std::max(folded_, next);
    answerLocked(queue_.onRecordsSkipped(next));
}

void LogAppender::answerLocked(const std::vector<CompletedAppend> &answered)
{
    for (const CompletedAppend &one : answered) {
        if (const auto found = waiters_.find(one.id_); found != waiters_.end()) {
            found->second.set_value(one.answer_);
            waiters_.erase(found);
        }
    }
    if (!answered.empty()) {
        changed_.notify_all();
    }
}

TimePoint LogAppender::nextWake() const
{
    const TimePoint idle = BootClock::now() + millis(IdleWakeMillis);
    const TimePoint send = std::max({queue_.nextSend(), budget_.allowedAt(), retryAt_});
    return std::min(send, idle);
}

void LogAppender::run()
{
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        const TimePoint now = BootClock::now();
        answerLocked(queue_.expire(now));
        if (queue_.nextSend() <= now && nextWake() <= now) {
            sendGroup(lock);
            continue;
        }
        changed_.wait_until(lock, nextWake());
    }
}

void LogAppender::sendGroup(std::unique_lock<std::mutex> &lock)
{
    const TimePoint now = BootClock::now();
    const AppendGroup group = queue_.take(now);
    if (group.ids_.empty()) {
        return;
    }
    budget_.spend(now);
    ++appends_;
    const LogOffset folded = folded_; // Read before the call: more may be folded during it.
    lock.unlock();
    const auto answer =
        capture([&] { return service_.append(group.bodies_, now + millis(AppendTimeoutMillis)); });
    const Error *error = std::get_if<Error>(&answer);
    onReachability_(error == nullptr || error->kind_ == ErrorKind::Overloaded);
    if (error == nullptr && std::get<LogOffset>(answer) < folded) {
        onLostRecords_();
    }
    lock.lock();
    if (error != nullptr) {
        noteFailure(group, *error);
        return;
    }
    backoff_.onSuccess();
    queue_.onAppended(group, std::get<LogOffset>(answer));
    changed_.notify_all();
}

void LogAppender::noteFailure(const AppendGroup &group, const Error &error)
{
    logEvent(LogLevel::Warning, "control.append-failed",
             {{"records", group.ids_.size()}, {"why", describe(error)}});
    retryAt_ = backoff_.onFailure(BootClock::now(), random());
    if (isDefiniteRefusal(error.kind_)) {
        answerLocked(queue_.onRefused(group, error));
    } else {
        queue_.onUncertain(group, error, retryAt_);
        changed_.notify_all();
    }
}

} // namespace almondridge::control
