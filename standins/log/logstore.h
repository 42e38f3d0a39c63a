/**
 * The records of the log stand-in with its faults. Pure: time is passed in.
 */
#pragma once

#include "almondridge/base/ids.h"
#include "almondridge/base/time.h"
#include "common/fieldtable.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace almondridge::standins {

/** What /control can set. */
struct LogSettings
{
    bool outage_ = false;                 ///< Everything answers 503.
    std::int64_t delayInMillis_ = 0;      ///< Before each call is handled.
    std::int64_t loseAck_ = 0;            ///< The next N appends take effect and answer nothing.
    std::int64_t lateAppendInMillis_ = 0; ///< Appends answer nothing and take effect later.
    std::int64_t appendsPerSecond_ = 0;   ///< 0: no limit.
    std::int64_t keepRecords_ = 0;        ///< 0: all.
};

inline constexpr std::array<Field<LogSettings>, 6> LogFields {{
    {"outage", &LogSettings::outage_},
    {"delay_in_ms", &LogSettings::delayInMillis_},
    {"lose_ack", &LogSettings::loseAck_},
    {"late_append_in_ms", &LogSettings::lateAppendInMillis_},
    {"appends_per_second", &LogSettings::appendsPerSecond_},
    {"keep_records", &LogSettings::keepRecords_},
}};

/** How an append ended. */
enum class AppendStatus {
    Done,
    Unanswered, ///< Took effect or will; the caller is told nothing.
    Outage,
    OverRate,
};

struct AppendAnswer
{
    AppendStatus status_ = AppendStatus::Done;
    LogOffset firstOffset_ = 0;
};

struct StoredRecord
{
    LogOffset offset_ = 0;
    std::string body_;
};

struct LogCounters
{
    std::int64_t appends_ = 0; ///< Appends that took effect.
    std::int64_t records_ = 0; ///< Records ever appended.
    std::int64_t refused_ = 0; ///< Appends refused by the rate or an outage.
};

/** Not thread-safe; the server holds it under one lock. */
class LogStore
{
public:
    AppendAnswer append(std::vector<std::string> bodies, TimePoint now);
    /** Late appends whose time has come take effect. True when there were any. */
    bool applyLate(TimePoint now);
    /** When the next late append takes effect. */
    std::optional<TimePoint> nextLate() const;

    /** At most limit records from offset on, none when it is trimmed or not there yet. */
    std::vector<StoredRecord> read(LogOffset from, std::size_t limit) const;
    LogOffset first() const noexcept { return next_ - records_.size(); }
    LogOffset next() const noexcept { return next_; }

    LogSettings settings() const { return settings_; }
    /** Takes effect at once: a lower keep_records trims now. */
    void setSettings(const LogSettings &settings);
    const LogCounters &counters() const noexcept { return counters_; }

private:
    struct LateAppend
    {
        TimePoint due_;
        std::vector<std::string> bodies_;
    };

    bool takeRate(TimePoint now);
    LogOffset store(std::vector<std::string> bodies);
    void trim();

    LogSettings settings_;
    LogCounters counters_;
    std::deque<std::string> records_;
    LogOffset next_ = 1;
    std::deque<LateAppend> late_;
    TimePoint rateFull_ {}; ///< When the rate's allowance is whole again.
};

} // namespace almondridge::standins
