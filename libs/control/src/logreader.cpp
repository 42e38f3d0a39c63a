#include "logreader.h"

#include "almondridge/base/log.h"

namespace almondridge::control {
namespace {

constexpr std::int64_t FirstBackoffMillis = 100;
constexpr std::int64_t LastBackoffMillis = 1'000;
/** An offset beyond any log's end: reading it returns only the range of retained offsets. */
constexpr LogOffset BeyondEnd = LogOffset(1) << 62U;

} // namespace

LogReader::LogReader(store::LogService &service, RecordSource *source, FoldStore &store,
                     LogFollower &follower, LogAppender &appender, const Options &options,
                     ReachabilityListener reached)
    : service_(service)
    , source_(source)
    , store_(store)
    , follower_(follower)
    , appender_(appender)
    , wait_(millis(options.waitMillis_))
    , pause_(millis(options.pauseMillis_))
    , onReachability_(std::move(reached))
    , backoff_(FirstBackoffMillis, LastBackoffMillis)
    , random_(options.seed_)
{ }

LogReader::~LogReader()
{
    stop();
}

void LogReader::start()
{
    thread_ = std::thread([this] { run(); });
}

void LogReader::stop()
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

void LogReader::run()
{
    for (;;) {
        {
            const std::lock_guard lock(mutex_);
            if (stopping_) {
                return;
            }
        }
        readOnce();
    }
}

void LogReader::readOnce()
{
    const LogOffset next = store_.next();
    const bool compares = mustCompare_;
    const std::optional<store::LogRecord> last = compares ? store_.lastRecord() : std::nullopt;
    const LogOffset from = last ? last->offset_ : next;
    const TimePoint start = BootClock::now();
    auto read = capture([&] { return service_.read(from, start + wait_); });
    if (const Error *error = std::get_if<Error>(&read)) {
        onFailure(*error);
        return;
    }
    store::LogPage &page = std::get<store::LogPage>(read);
    if (mustCompare_ && !compares) {
        return; // An append found lost records during this read.
    }
    if (!continues(page, next, last)) {
        onLostRecords(page, next);
        return;
    }
    backoff_.onSuccess();
    mustCompare_ = false;
    logLostRecords_ = false;
    onReachability_(true);
    follower_.foldNow({std::move(page.records_), page.first_, page.next_});
    // Reading again at once would cost a call for each record, so pause unless an append waits
    // for its verdict.
    appender_.waitForPendingAppend(start + pause_);
}

/**
 * Whether page continues the log that was folded here. The log must not lose records. If it does,
 * its offsets start again, and folding them would bring back old configurations and fences. This
 * is detected by an end before the last folded offset or, when other instances have appended past
 * it in the meantime, by a different record at that offset.
 */
bool LogReader::continues(const store::LogPage &page, LogOffset next,
                          const std::optional<store::LogRecord> &last)
{
    if (page.next_ < next) {
        return false;
    }
    return !last || (!page.records_.empty() && page.records_.front().body_ == last->body_);
}

/**
 * Appends may fill the log past the last folded offset before the next read, so that read also
 * compares the record at that offset.
 */
void LogReader::onLogLostRecords()
{
    mustCompare_ = true;
    if (!logLostRecords_.exchange(true)) {
        logEvent(LogLevel::Error, "control.log-went-back",
                 {{"folded", store_.next() - 1},
                  {"remedy", "bring the log back; until then nothing is read or appended"}});
    }
}

void LogReader::onLostRecords(const store::LogPage &page, LogOffset next)
{
    mustCompare_ = true;
    if (!logLostRecords_.exchange(true)) {
        logEvent(LogLevel::Error, "control.log-went-back",
                 {{"folded", next - 1},
                  {"log_next", page.next_},
                  {"remedy", "bring the log back; until then nothing is read or appended"}});
    }
    onReachability_(true);
    if (!readFromPeers()) {
        pause(backoff_.onFailure(BootClock::now(), random()));
    }
}

void LogReader::onFailure(const Error &error)
{
    const bool trimmed = error.kind_ == ErrorKind::Trimmed;
    onReachability_(trimmed || error.kind_ == ErrorKind::Overloaded);
    mustCompare_ = !trimmed;
    if (readFromPeers()) {
        return;
    }
    const LogOffset before = store_.next();
    if (trimmed) {
        readFromOldest();
    }
    if (store_.next() == before) {
        pause(backoff_.onFailure(BootClock::now(), random()));
    }
}

bool LogReader::readFromPeers()
{
    if (source_ == nullptr) {
        return false;
    }
    const LogOffset before = store_.next();
    std::vector<store::LogRecord> records = source_->recordsFrom(before);
    if (records.empty()) {
        return false;
    }
    const LogOffset end = records.back().offset_ + 1;
    follower_.foldNow({std::move(records), 0, end});
    return store_.next() > before;
}

/** Folds the first usable snapshot among the records that the log still retains. */
void LogReader::readFromOldest()
{
    const auto kept = capture([&] { return service_.read(BeyondEnd, BootClock::now()); });
    const auto *ends = std::get_if<store::LogPage>(&kept);
    if (ends == nullptr) {
        return;
    }
    const LogOffset before = store_.next();
    for (LogOffset from = ends->first_; from < ends->next_ && store_.next() == before;) {
        auto read = capture([&] { return service_.read(from, BootClock::now()); });
        auto *page = std::get_if<store::LogPage>(&read);
        if (page == nullptr || page->records_.empty()) {
            return;
        }
        from = page->records_.back().offset_ + 1;
        follower_.foldNow({std::move(page->records_), 0, 0});
    }
    if (store_.next() == before && std::exchange(trimmedLoggedAt_, before) != before) {
        logEvent(LogLevel::Error, "control.log-trimmed",
                 {{"wanted", before},
                  {"log_first", ends->first_},
                  {"remedy", "connect a peer that still holds the state"}});
    }
}

void LogReader::pause(TimePoint until)
{
    std::unique_lock lock(mutex_);
    changed_.wait_until(lock, until, [&] { return stopping_; });
}

} // namespace almondridge::control
