/**
 * Reconstructs the history of a request from the logs of any number of instances: the request's own
 * lines, and the lines of its instance on the endpoints and dependencies that it used.
 */
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace almondridge::observe {

struct LogLineField
{
    std::string key_;
    std::string value_;
};

/** A log line of key=value pairs. */
struct LogLine
{
    std::vector<LogLineField> fields_;
    std::string text_; ///< The original text, from its time on.

    /** The value of a key; empty if the line doesn't have it. */
    std::string_view value(std::string_view key) const;
};

/** Parses a line; text before its time is skipped. nullopt: not a log line. */
std::optional<LogLine> parseLogLine(std::string_view line);

/** The lines in order of time, then the cause; empty if no line has the request's id. */
std::vector<std::string> requestHistory(const std::vector<LogLine> &lines,
                                        std::string_view requestId);

} // namespace almondridge::observe
