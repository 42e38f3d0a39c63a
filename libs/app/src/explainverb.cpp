/**
 * The explain subcommand, which reconstructs the history of a request from log files.
 */
#include "almondridge/observe/requesthistory.h"
#include "options.h"
#include "textfile.h"
#include "verbs.h"

#include <cstdio>
#include <sstream>

namespace almondridge::app {
namespace {

/** Appends the log lines of a file to lines; lines that do not parse are skipped. */
Result<void> addLines(const std::string &path, std::vector<observe::LogLine> &lines)
{
    BOOST_LEAF_AUTO(text, readTextFile(path));
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);) {
        if (auto read = observe::parseLogLine(line)) {
            lines.push_back(std::move(*read));
        }
    }
    return {};
}

} // namespace

ExitCode explainVerb(int argc, char **argv)
{
    bool helpAsked = false;
    const auto options = Options::read(argc, argv, "explain REQUEST-ID LOG-FILE...", {}, helpAsked);
    if (!options) {
        return helpAsked ? ExitCode::Done : ExitCode::Usage;
    }
    const std::vector<std::string> &arguments = options->arguments();
    if (arguments.size() < 2) {
        std::fputs("explain needs a request's id and at least one log file\n", stderr);
        return ExitCode::Usage;
    }
    std::vector<observe::LogLine> lines;
    for (std::size_t index = 1; index < arguments.size(); ++index) {
        const auto added = capture([&] { return addLines(arguments[index], lines); });
        if (const Error *error = std::get_if<Error>(&added)) {
            std::fprintf(stderr, "%s\n", describe(*error).c_str());
            return ExitCode::Failed;
        }
    }
    const std::vector<std::string> story = observe::requestHistory(lines, arguments.front());
    for (const std::string &line : story) {
        std::puts(line.c_str());
    }
    if (story.empty()) {
        std::fprintf(stderr, "no line names request %s\n", arguments.front().c_str());
        return ExitCode::Failed;
    }
    return ExitCode::Done;
}

} // namespace almondridge::app
