#include "almondridge/control/controllog.h"

#include "logreader.h"

#include "almondridge/base/log.h"

#include <array>
#include <random>

namespace almondridge::control {
namespace {

/** How long writing a snapshot is retried; after that, another instance writes one. */
constexpr std::int64_t SnapshotTimeoutMillis = 60'000;

std::uint64_t randomNumber()
{
    std::random_device device;
    return (std::uint64_t(device()) << 32U) | device();
}

/** A random prefix for the record ids of this process; differs after a restart. */
std::string newIdPrefix()
{
    std::array<char, 20> text {};
    std::snprintf(text.data(), text.size(), "%016llx-",
                  static_cast<unsigned long long>(randomNumber()));
    return text.data();
}

} // namespace

struct ControlLog::State
{
    State(store::LogService &service, RecordSource *source, observe::Timeline *timeline,
          std::int64_t keyHorizonMillis, const LogFollower::Options &follower,
          LogAppender::Options appender, const LogReader::Options &reader)
        : service_(service)
        , timeline_(timeline)
        , store_(keyHorizonMillis)
        , follower_(store_, follower)
        , appender_(
              service, std::move(appender), [this](bool reached) { setReachable(reached); },
              [this] { reader_.onLogLostRecords(); })
        , reader_(service, source, store_, follower_, appender_, reader,
                  [this](bool reached) { setReachable(reached); })
    { }

    void event(observe::EventKind kind, const std::string &name, const std::string &subject,
               const std::string &detail)
    {
        if (timeline_ != nullptr) {
            timeline_->add(kind, name, subject, detail);
        }
    }

    void setReachable(bool reached)
    {
        if (reachable_.exchange(reached) != reached) {
            event(observe::EventKind::Platform, reached ? "log.back" : "log.lost", "log", {});
        }
    }

    void noteStep(const FoldStep &step)
    {
        if (const Revision revision = store_.revision(); revision != lastRevision_) {
            lastRevision_ = revision;
            event(observe::EventKind::Apply, "apply.in-force", std::to_string(revision), {});
        }
        if (step.skippedRecords_) {
            appender_.onRecordsSkipped(store_.next());
        }
        appender_.onFolded(step);
    }

    /** Fails when this instance cannot compute verdicts. */
    Result<void> checkStateKnown() const
    {
        if (reader_.logLostRecords()) {
            return fail(ErrorKind::Unavailable, "the log has lost records that were folded here",
                        "bring the log back as it was");
        }
        if (!follower_.caughtUp() && !store_.hasState()) {
            return fail(ErrorKind::Unavailable, "this instance does not know the log's state yet",
                        "wait until it has read the log or reached a peer that has");
        }
        return {};
    }

    store::LogService &service_;
    observe::Timeline *const timeline_;
    std::atomic<bool> reachable_ = false;
    Revision lastRevision_ = 0; ///< Used by the follower's thread only.
    FoldStore store_;
    LogFollower follower_;
    LogAppender appender_;
    LogReader reader_;
};

ControlLog::ControlLog(std::unique_ptr<State> state) noexcept
    : state_(std::move(state))
{ }

ControlLog::~ControlLog()
{
    stop();
}

void ControlLog::start()
{
    State &state = *state_;
    state.follower_.listen([&state](const FoldStep &step) { state.noteStep(step); });
    state.follower_.onSnapshotDue([&state](SnapshotRecord snapshot) {
        state.event(observe::EventKind::Instance, "snapshot.written",
                    std::to_string(snapshot.through_), {});
        state.appender_.post(std::move(snapshot), BootClock::now() + millis(SnapshotTimeoutMillis),
                             true);
    });
    state.follower_.start();
    state.appender_.start();
    state.reader_.start();
}

void ControlLog::stop()
{
    state_->appender_.stop();
    state_->follower_.stop();
    state_->reader_.stop();
}

Result<AppendVerdict> ControlLog::append(const Record &record, TimePoint deadline,
                                         OutagePolicy outagePolicy)
{
    BOOST_LEAF_CHECK(state_->checkStateKnown());
    AppendResult answer = state_->appender_.append(record, deadline, outagePolicy);
    if (Error *error = std::get_if<Error>(&answer)) {
        return fail(std::move(*error));
    }
    return std::move(std::get<AppendVerdict>(answer));
}

void ControlLog::post(const Record &record, TimePoint deadline)
{
    tryOr(
        [&]() -> Result<void> {
            BOOST_LEAF_CHECK(state_->checkStateKnown());
            state_->appender_.post(record, deadline, false);
            return {};
        },
        [&](const Error &error) {
            logEvent(LogLevel::Warning, "control.post-dropped",
                     {{"kind", std::string(kindOf(record))}, {"why", describe(error)}});
        });
}

bool ControlLog::flush(TimePoint deadline) const
{
    return state_->appender_.flush(deadline);
}

bool ControlLog::caughtUp() const noexcept
{
    return state_->follower_.caughtUp();
}

Result<void> ControlLog::catchUp(TimePoint deadline)
{
    const LogOffset from = state_->store_.next();
    BOOST_LEAF_CHECK(state_->checkStateKnown());
    BOOST_LEAF_AUTO(page, state_->service_.read(from, BootClock::now()));
    const LogOffset end = page.next_;
    state_->follower_.offer({std::move(page.records_), page.first_, page.next_});
    if (!state_->store_.waitForNext(end, deadline)) {
        return fail(ErrorKind::Unavailable, "the log's end was not read in time",
                    "try again with a later deadline");
    }
    return {};
}

AcceptedFleet ControlLog::fleet() const
{
    return state_->store_.fleet();
}

std::shared_ptr<const fleet::Fleet> ControlLog::fleetInForce() const
{
    return state_->store_.fleetInForce();
}

bool ControlLog::waitForRevision(Revision revision, TimePoint deadline) const
{
    return state_->store_.waitForRevision(revision, deadline);
}

std::vector<store::LogRecord> ControlLog::recordsFrom(LogOffset from, std::size_t limit) const
{
    return state_->store_.recordsFrom(from, limit);
}

void ControlLog::offer(std::vector<store::LogRecord> records)
{
    if (!records.empty()) {
        const LogOffset end = records.back().offset_ + 1;
        state_->follower_.offer({std::move(records), 0, end});
    }
}

bool ControlLog::logReachable() const noexcept
{
    return state_->reachable_;
}

std::uint64_t ControlLog::appends() const noexcept
{
    return state_->appender_.appends();
}

void ControlLog::listen(FoldListener listener)
{
    state_->follower_.listen(std::move(listener));
}

std::shared_ptr<const void> ControlLog::lockFold() const
{
    return state_->store_.lock();
}

const Fold &ControlLog::fold() const
{
    return state_->store_.unlockedFold();
}

ControlLog::Builder &ControlLog::Builder::logService(store::LogService &service)
{
    service_ = &service;
    return *this;
}

ControlLog::Builder &ControlLog::Builder::recordSource(RecordSource &source)
{
    source_ = &source;
    return *this;
}

ControlLog::Builder &ControlLog::Builder::timeline(observe::Timeline &timeline)
{
    timeline_ = &timeline;
    return *this;
}

ControlLog::Builder &ControlLog::Builder::keyHorizon(std::int64_t millis)
{
    keyHorizonMillis_ = millis;
    return *this;
}

ControlLog::Builder &ControlLog::Builder::appendsPerSecond(std::int64_t count)
{
    appendsPerSecond_ = count;
    return *this;
}

ControlLog::Builder &ControlLog::Builder::snapshotEvery(std::int64_t records)
{
    snapshotRecords_ = records;
    return *this;
}

ControlLog::Builder &ControlLog::Builder::snapshotWindow(std::int64_t millis)
{
    snapshotWindowMillis_ = millis;
    return *this;
}

ControlLog::Builder &ControlLog::Builder::readWait(std::int64_t millis)
{
    readWaitMillis_ = millis;
    return *this;
}

ControlLog::Builder &ControlLog::Builder::readPause(std::int64_t millis)
{
    readPauseMillis_ = millis;
    return *this;
}

ControlLog::Builder &ControlLog::Builder::seed(std::uint64_t value)
{
    seed_ = value;
    return *this;
}

std::unique_ptr<ControlLog> ControlLog::Builder::build()
{
    const std::uint64_t seed = seed_.value_or(randomNumber());
    const LogFollower::Options follower {snapshotRecords_, snapshotWindowMillis_, seed};
    const LogReader::Options reader {readWaitMillis_, readPauseMillis_, seed + 1};
    LogAppender::Options appender {appendsPerSecond_, seed + 2, newIdPrefix()};
    return std::unique_ptr<ControlLog>(new ControlLog(std::make_unique<State>(
        *service_, source_, timeline_, keyHorizonMillis_, follower, std::move(appender), reader)));
}

} // namespace almondridge::control
