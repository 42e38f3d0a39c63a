/**
 * Structured logging through spdlog: one line of key=value pairs for each event.
 */
#pragma once

#include "almondridge/base/enumnames.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>

namespace almondridge {

enum class LogLevel { Debug, Info, Warning, Error };

inline constexpr std::array<EnumName<LogLevel>, 4> LogLevelNames {{
    {LogLevel::Debug, "debug"},
    {LogLevel::Info, "info"},
    {LogLevel::Warning, "warning"},
    {LogLevel::Error, "error"},
}};

/** A key=value pair of a log line. */
class LogField
{
public:
    LogField(std::string_view key, std::string_view value)
        : key_(key)
        , value_(value)
    { }
    LogField(std::string_view key, const char *value)
        : key_(key)
        , value_(value)
    { }
    LogField(std::string_view key, const std::string &value)
        : key_(key)
        , value_(value)
    { }
    template <typename Number, typename = std::enable_if_t<std::is_arithmetic_v<Number>>>
    LogField(std::string_view key, Number value)
        : key_(key)
        , value_(std::to_string(value))
    { }

    std::string_view key() const noexcept { return key_; }
    const std::string &value() const noexcept { return value_; }

private:
    std::string_view key_;
    std::string value_;
};

/** Sets up logging to standard error: the lowest level printed, and the fields of every line. */
void startLog(LogLevel minLevel, const std::string &instance, const std::string &domain);

/**
 * Sets up logging to standard output through a bounded buffer, so that a stalled reader never
 * blocks the caller. Lines that don't fit are dropped, and a log line reports their number. Lines
 * are written in batches, so flushLog() has to be called regularly.
 */
void startBoundedLog(LogLevel minLevel, const std::string &instance, const std::string &domain);
void flushLog();
/** Number of lines that the bounded log has dropped. */
std::uint64_t droppedLogLines();

/** Logs one line: time, level, event=NAME and the fields in the given order. Thread-safe. */
void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

/** The value in the form of a log line: unquoted if possible, or else in double quotes. */
std::string quoteLogValue(std::string_view value);

} // namespace almondridge
