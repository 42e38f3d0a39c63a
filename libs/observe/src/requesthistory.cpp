#include "almondridge/observe/requesthistory.h"

#include <algorithm>
#include <array>

namespace almondridge::observe {
namespace {

constexpr std::string_view TimeKey = "time=";
/** Events of an instance's dependencies that may explain the result of a request. */
constexpr std::array<std::string_view, 10> DependencyEvents {
    "config",  "store_lost",   "store_back",  "history_lost", "reads_store",
    "follows", "without_news", "log_dropped", "stop",         "start"};
/** The last lines before the request's end are shown, up to these numbers. */
constexpr std::size_t MaxEndpointLines = 12;
constexpr std::size_t MaxDependencyLines = 4;

struct Explanation
{
    std::string_view cause_;
    std::string_view text_;
};

constexpr std::array<Explanation, 17> Explanations {{
    {"account-share", "demand exceeded the service's room, and its account had used up its share; "
                      "see admission_refused"},
    {"caller-gone", "the caller left before its answer was complete; see first_ms and read_ms"},
    {"deadline", "the deadline of the caller or of the route passed; see the last endpoint"},
    {"unanswered",
     "the connection broke before an answer: it may have been executed, and isn't repeatable"},
    {"truncated", "the endpoint's answer ended early, and no other endpoint could continue it"},
    {"garbled", "the endpoint's answer was malformed or not signed by it"},
    {"not-sent", "no connection to the endpoint could be made"},
    {"no-endpoint", "no endpoint of the service was usable; see the earlier lines on them"},
    {"no-endpoint-left", "all endpoints were tried; one of them may have executed it"},
    {"no-engine", "no engine was usable; see the earlier lines on them"},
    {"engine-full", "engines refused it, and the retry budget was used up"},
    {"engine-unreachable", "no connection to an engine, and no further attempt was allowed"},
    {"prefill-failed", "the separate prefill failed, and no further attempt was allowed"},
    {"not-resumed", "the stream broke, and no engine could resume it"},
    {"quarantined", "equal requests crashed endpoints; see request_quarantined, and "
                    "docs/OPERATIONS.md to lift it"},
    {"suspected",
     "an equal request, suspected of crashing endpoints, ran until this one's deadline"},
    {"no-spare-engine", "it may crash its endpoint, and only the last engine of its kind was left"},
}};

bool isDependencyEvent(std::string_view event)
{
    return std::find(DependencyEvents.begin(), DependencyEvents.end(), event)
           != DependencyEvents.end();
}

/** Parses a value in double quotes at the front of rest, and removes it. */
std::string parseQuotedValue(std::string_view &rest)
{
    std::string value;
    rest.remove_prefix(1);
    while (!rest.empty() && rest.front() != '"') {
        if (rest.front() == '\\' && rest.size() > 1) {
            rest.remove_prefix(1);
        }
        value += rest.front();
        rest.remove_prefix(1);
    }
    if (!rest.empty()) {
        rest.remove_prefix(1);
    }
    return value;
}

/** The same for a value without quotes, which ends at a space. */
std::string parseBareValue(std::string_view &rest)
{
    const std::size_t end = std::min(rest.find(' '), rest.size());
    std::string value(rest.substr(0, end));
    rest.remove_prefix(end);
    return value;
}

std::string explainCause(const LogLine &last)
{
    const std::string_view cause = last.value("cause");
    for (const Explanation &row : Explanations) {
        if (row.cause_ == cause) {
            return "cause: " + std::string(cause) + ": " + std::string(row.text_);
        }
    }
    const std::string status(last.value("status"));
    return "cause: " + (cause.empty() ? "answered with " + status : std::string(cause));
}

/** Keeps only the last count lines. */
void keepLast(std::vector<const LogLine *> &lines, std::size_t count)
{
    if (lines.size() > count) {
        lines.erase(lines.begin(), lines.end() - static_cast<std::ptrdiff_t>(count));
    }
}

} // namespace

std::string_view LogLine::value(std::string_view key) const
{
    for (const LogLineField &field : fields_) {
        if (field.key_ == key) {
            return field.value_;
        }
    }
    return {};
}

std::optional<LogLine> parseLogLine(std::string_view line)
{
    const std::size_t begin = line.find(TimeKey);
    if (begin == std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view rest = line.substr(begin);
    LogLine parsed;
    parsed.text_ = rest;
    while (!rest.empty()) {
        const std::size_t equals = rest.find('=');
        if (equals == std::string_view::npos) {
            break;
        }
        std::string key(rest.substr(0, equals));
        rest.remove_prefix(equals + 1);
        std::string value = rest.starts_with('"') ? parseQuotedValue(rest) : parseBareValue(rest);
        parsed.fields_.push_back({std::move(key), std::move(value)});
        while (rest.starts_with(' ')) {
            rest.remove_prefix(1);
        }
    }
    return parsed;
}

std::vector<std::string> requestHistory(const std::vector<LogLine> &lines,
                                        std::string_view requestId)
{
    std::vector<const LogLine *> requestLines;
    for (const LogLine &line : lines) {
        if (line.value("id") == requestId) {
            requestLines.push_back(&line);
        }
    }
    if (requestLines.empty()) {
        return {};
    }
    const auto earlier = [](const LogLine *one, const LogLine *other) {
        return one->value("time") < other->value("time");
    };
    std::stable_sort(requestLines.begin(), requestLines.end(), earlier);
    const LogLine &last = *requestLines.back();
    const std::string_view endpoints = last.value("endpoints");

    std::vector<const LogLine *> endpointLines;
    std::vector<const LogLine *> dependencyLines;
    for (const LogLine &line : lines) {
        if (line.value("instance") != last.value("instance")
            || line.value("time") > last.value("time")) {
            continue;
        }
        const std::string_view subject =
            line.value("endpoint").empty() ? line.value("engine") : line.value("endpoint");
        const bool isRequestLine = line.value("id") == requestId;
        if (!isRequestLine && !subject.empty()
            && endpoints.find(subject) != std::string_view::npos) {
            endpointLines.push_back(&line);
        } else if (isDependencyEvent(line.value("event"))) {
            dependencyLines.push_back(&line);
        }
    }
    std::stable_sort(endpointLines.begin(), endpointLines.end(), earlier);
    std::stable_sort(dependencyLines.begin(), dependencyLines.end(), earlier);
    keepLast(endpointLines, MaxEndpointLines);
    keepLast(dependencyLines, MaxDependencyLines);

    std::vector<const LogLine *> shown = requestLines;
    shown.insert(shown.end(), endpointLines.begin(), endpointLines.end());
    shown.insert(shown.end(), dependencyLines.begin(), dependencyLines.end());
    std::stable_sort(shown.begin(), shown.end(), earlier);
    std::vector<std::string> history;
    history.reserve(shown.size() + 1);
    for (const LogLine *line : shown) {
        history.push_back(line->text_);
    }
    history.push_back(explainCause(last));
    return history;
}

} // namespace almondridge::observe
