/**
 * A request's story from the logs of any number of instances: its own lines, and what its instance
 * came to believe of the endpoints and dependencies that it met.
 */
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace almondridge::observe {

struct LogPair
{
    std::string key_;
    std::string value_;
};

/** One line of key=value pairs. */
struct LogLine
{
    std::vector<LogPair> pairs_;
    std::string text_; ///< As it stood in the log, from its time on.

    /** Empty when the line has no such key. */
    std::string_view value(std::string_view key) const;
};

/** Reads a line; whatever stands before its time is skipped. nullopt: it is no log line. */
std::optional<LogLine> readLogLine(std::string_view line);

/** The story's lines in the order of time, its cause last; empty: no line names the request. */
std::vector<std::string> tellStory(const std::vector<LogLine> &lines, std::string_view requestId);

} // namespace almondridge::observe
