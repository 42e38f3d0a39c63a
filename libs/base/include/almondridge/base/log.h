/**
 * Logging: one line of key=value pairs for each event, through spdlog.
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

/** One key=value pair of a log line. Numbers are printed as such. */
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

/** Sets up the process-wide log: least level to print and fields that stand on every line. */
void startLog(LogLevel least, const std::string &instance, const std::string &domain);

/**
 * The same on standard output through a bounded buffer: a reader that does not read never blocks
 * the caller, and lines that had no room are counted on a line of their own. Lines leave in
 * batches, so flushLog() has to be called now and then.
 */
void startBoundedLog(LogLevel least, const std::string &instance, const std::string &domain);
void flushLog();
/** Lines that the bounded log had no room for. */
std::uint64_t droppedLogLines();

/** Writes one line: time, level, event=NAME and the fields in the order given. Thread-safe. */
void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

/** The value quoted as it stands on a log line: bare where possible, else in double quotes. */
std::string quoteLogValue(std::string_view value);

} // namespace almondridge
