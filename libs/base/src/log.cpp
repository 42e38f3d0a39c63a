#include "almondridge/base/log.h"

#include "boundedsink.h"

#include <algorithm>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

namespace almondridge {
namespace {

constexpr std::array<spdlog::level::level_enum, 4> SpdlogLevels {
    spdlog::level::debug, spdlog::level::info, spdlog::level::warn, spdlog::level::err};

/** Clients choose some values, such as the ids of their requests. */
constexpr std::size_t MaxValueBytes = 1'024;

spdlog::level::level_enum toSpdlog(LogLevel level)
{
    return SpdlogLevels[static_cast<std::size_t>(level)];
}

bool isPrintable(char letter)
{
    return letter >= ' ' && letter <= '~';
}

void installLogger(std::shared_ptr<spdlog::logger> logger, LogLevel minLevel,
                   const std::string &instance, const std::string &domain)
{
    logger->set_level(toSpdlog(minLevel));
    logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%e%z level=%l instance=" + quoteLogValue(instance)
                        + " domain=" + quoteLogValue(domain) + " %v");
    spdlog::set_default_logger(std::move(logger));
}

} // namespace

void startLog(LogLevel minLevel, const std::string &instance, const std::string &domain)
{
    installLogger(spdlog::stderr_logger_mt("almondridge"), minLevel, instance, domain);
}

void startBoundedLog(LogLevel minLevel, const std::string &instance, const std::string &domain)
{
    auto sink = std::make_shared<BoundedSink>(STDOUT_FILENO);
    installLogger(std::make_shared<spdlog::logger>("almondridge", std::move(sink)), minLevel,
                  instance, domain);
}

std::uint64_t droppedLogLines()
{
    const auto &sinks = spdlog::default_logger_raw()->sinks();
    const auto *sink =
        sinks.empty() ? nullptr : dynamic_cast<const BoundedSink *>(sinks.front().get());
    return sink != nullptr ? sink->dropped() : 0;
}

void flushLog()
{
    spdlog::default_logger_raw()->flush();
}

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    if (!spdlog::should_log(toSpdlog(level))) {
        return;
    }
    std::string line = "event=" + quoteLogValue(event);
    for (const LogField &field : fields) {
        line += ' ';
        line += field.key();
        line += '=';
        const std::string_view value = field.value();
        line += quoteLogValue(value.substr(0, MaxValueBytes));
    }
    spdlog::log(toSpdlog(level), "{}", line);
}

std::string quoteLogValue(std::string_view value)
{
    constexpr std::string_view Special = " \"=\\";
    const bool isPlain =
        !value.empty() && value.find_first_of(Special) == std::string_view::npos
        && std::all_of(value.begin(), value.end(), [](char one) { return isPrintable(one); });
    if (isPlain) {
        return std::string(value);
    }
    std::string quoted = "\"";
    for (const char letter : value) {
        if (letter == '\n' || letter == '\r' || letter == '\t') {
            quoted += ' ';
            continue;
        }
        if (!isPrintable(letter)) {
            constexpr std::string_view Digits = "0123456789abcdef";
            const auto code = static_cast<unsigned char>(letter);
            quoted += "\\x";
            quoted += Digits[code / Digits.size()];
            quoted += Digits[code % Digits.size()];
            continue;
        }
        if (letter == '"' || letter == '\\') {
            quoted += '\\';
        }
        quoted += letter;
    }
    return quoted + '"';
}

} // namespace almondridge
