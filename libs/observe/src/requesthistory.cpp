#include "almondridge/observe/requesthistory.h"

#include <algorithm>
#include <array>

namespace almondridge::observe {
namespace {

constexpr std::string_view TimeKey = "time=";
/** Lines of an instance about its dependencies that may explain a request shown with it. */
constexpr std::array<std::string_view, 10> DependencyEvents {
    "config",  "store_lost",   "store_back",  "history_lost", "reads_store",
    "follows", "without_news", "log_dropped", "stop",         "start"};
/** How many of the last ones before the request's end are shown. */
constexpr std::size_t ShownBeliefs = 12;
constexpr std::size_t ShownDependencies = 4;

struct Explanation
{
    std::string_view cause_;
    std::string_view text_;
};

constexpr std::array<Explanation, 16> Explanations {{
    {"caller-gone", "the caller left before its answer was whole; see first_ms and read_ms"},
    {"deadline", "the time of the caller or of the route was over; see which endpoint had it last"},
    {"unanswered",
     "the connection broke before an answer: it may have run, and was not repeatable"},
    {"truncated", "the endpoint broke off within its answer, and nobody could go on"},
    {"garbled", "what the endpoint sent is no answer of its own"},
    {"not-sent", "no connection to the endpoint could be made"},
    {"no-endpoint", "no endpoint of the service could be used; see its states before"},
    {"no-endpoint-left", "all endpoints were tried; one of them may have run it"},
    {"no-engine", "no engine could be used; see their states before"},
    {"engine-full", "engines refused it, and the allowance for second sends was used up"},
    {"engine-unreachable", "no connection to an engine, and no further send was allowed"},
    {"prefill-failed", "the prompt could not be read apart, and no further send was allowed"},
    {"not-resumed", "the stream broke, and no engine could go on with it"},
    {"quarantined", "equal requests crashed endpoints; see request_quarantined, and "
                    "docs/OPERATIONS.md to lift it"},
    {"suspected",
     "an equal request that may crash its endpoint ran until the deadline of this one"},
    {"no-spare-engine", "it may crash its endpoint, and only the last one of its kind was left"},
}};

bool isAmong(std::string_view event)
{
    return std::find(DependencyEvents.begin(), DependencyEvents.end(), event)
           != DependencyEvents.end();
}

/** Reads a value that stands in double quotes, and takes it off the front. */
std::string takeQuoted(std::string_view &rest)
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

std::string takeBare(std::string_view &rest)
{
    const std::size_t end = std::min(rest.find(' '), rest.size());
    std::string value(rest.substr(0, end));
    rest.remove_prefix(end);
    return value;
}

std::string explain(const LogLine &last)
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

/** Keeps the last count lines. */
void trimFront(std::vector<const LogLine *> &lines, std::size_t count)
{
    if (lines.size() > count) {
        lines.erase(lines.begin(), lines.end() - static_cast<std::ptrdiff_t>(count));
    }
}

} // namespace

std::string_view LogLine::value(std::string_view key) const
{
    for (const LogPair &pair : pairs_) {
        if (pair.key_ == key) {
            return pair.value_;
        }
    }
    return {};
}

std::optional<LogLine> readLogLine(std::string_view line)
{
    const std::size_t begin = line.find(TimeKey);
    if (begin == std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view rest = line.substr(begin);
    LogLine read;
    read.text_ = rest;
    while (!rest.empty()) {
        const std::size_t equals = rest.find('=');
        if (equals == std::string_view::npos) {
            break;
        }
        std::string key(rest.substr(0, equals));
        rest.remove_prefix(equals + 1);
        std::string value = rest.starts_with('"') ? takeQuoted(rest) : takeBare(rest);
        read.pairs_.push_back({std::move(key), std::move(value)});
        while (rest.starts_with(' ')) {
            rest.remove_prefix(1);
        }
    }
    return read;
}

std::vector<std::string> tellStory(const std::vector<LogLine> &lines, std::string_view requestId)
{
    std::vector<const LogLine *> own;
    for (const LogLine &line : lines) {
        if (line.value("id") == requestId) {
            own.push_back(&line);
        }
    }
    if (own.empty()) {
        return {};
    }
    const auto earlier = [](const LogLine *one, const LogLine *other) {
        return one->value("time") < other->value("time");
    };
    std::stable_sort(own.begin(), own.end(), earlier);
    const LogLine &last = *own.back();
    const std::string_view endpoints = last.value("endpoints");

    std::vector<const LogLine *> beliefs;
    std::vector<const LogLine *> dependencies;
    for (const LogLine &line : lines) {
        if (line.value("instance") != last.value("instance")
            || line.value("time") > last.value("time")) {
            continue;
        }
        const std::string_view subject =
            line.value("endpoint").empty() ? line.value("engine") : line.value("endpoint");
        const bool ownLine = line.value("id") == requestId;
        if (!ownLine && !subject.empty() && endpoints.find(subject) != std::string_view::npos) {
            beliefs.push_back(&line);
        } else if (isAmong(line.value("event"))) {
            dependencies.push_back(&line);
        }
    }
    std::stable_sort(beliefs.begin(), beliefs.end(), earlier);
    std::stable_sort(dependencies.begin(), dependencies.end(), earlier);
    trimFront(beliefs, ShownBeliefs);
    trimFront(dependencies, ShownDependencies);

    std::vector<const LogLine *> shown = own;
    shown.insert(shown.end(), beliefs.begin(), beliefs.end());
    shown.insert(shown.end(), dependencies.begin(), dependencies.end());
    std::stable_sort(shown.begin(), shown.end(), earlier);
    std::vector<std::string> story;
    story.reserve(shown.size() + 1);
    for (const LogLine *line : shown) {
        story.push_back(line->text_);
    }
    story.push_back(explain(last));
    return story;
}

} // namespace almondridge::observe
