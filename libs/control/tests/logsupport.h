/** Instances that share an in-memory log, for the tests of the control log. */
#pragma once

#include "../../store/tests/fakelog.h"
#include "almondridge/control/controllog.h"
#include "foldsupport.h"

#include <atomic>
#include <memory>
#include <thread>

namespace almondridge::control {

/** A record source that reads from the instance set as its peer. */
class FakePeers : public RecordSource
{
public:
    std::vector<store::LogRecord> recordsFrom(LogOffset from) override
    {
        const ControlLog *peer = peer_;
        return peer == nullptr ? std::vector<store::LogRecord>() : peer->recordsFrom(from, 100);
    }

    std::atomic<const ControlLog *> peer_ = nullptr;
};

inline ControlLog::Builder quickBuilder(store::LogService &log)
{
    ControlLog::Builder builder;
    builder.logService(log).keyHorizon(3'600'000).readWait(20).readPause(0).seed(1);
    return builder.appendsPerSecond(10'000).snapshotWindow(0);
}

inline std::unique_ptr<ControlLog> started(ControlLog::Builder builder)
{
    std::unique_ptr<ControlLog> log = builder.build();
    log->start();
    return log;
}

/** Waits until condition is true; returns false after 30 s. */
template <typename Condition>
bool eventually(Condition &&condition)
{
    const TimePoint deadline = soon();
    while (!condition()) {
        if (BootClock::now() >= deadline) {
            return false;
        }
        std::this_thread::yield();
    }
    return true;
}

/** An instance that has read the log to its end. */
inline std::unique_ptr<ControlLog> caughtUp(ControlLog::Builder builder)
{
    std::unique_ptr<ControlLog> log = started(builder);
    eventually([&] { return log->caughtUp(); });
    return log;
}

inline Verdict appendVerdict(ControlLog &log, const Record &record)
{
    return log.append(record, soon()).value().verdict_;
}

/** The kind of the append's error; Internal when it succeeded. */
inline ErrorKind appendFailure(ControlLog &log, const Record &record, TimePoint deadline,
                               OutagePolicy outagePolicy = OutagePolicy::Retry)
{
    const auto captured = capture([&] { return log.append(record, deadline, outagePolicy); });
    const Error *error = std::get_if<Error>(&captured);
    return error == nullptr ? ErrorKind::Internal : error->kind_;
}

inline LogOffset nextOf(const ControlLog &log)
{
    return log.read([](const Fold &fold) { return fold.next(); });
}

} // namespace almondridge::control
