/**
 * The entry subcommand, which runs an entry instance on the platform.
 */
#include "almondridge/base/log.h"
#include "almondridge/platform/instance.h"
#include "options.h"
#include "textfile.h"
#include "verbs.h"

#include <csignal>

namespace almondridge::app {
namespace {

constexpr std::array<OptionSpec, 1> EntryOptions {{
    {"settings", true, "the settings file (JSON); without it, the one that the platform names"},
}};

} // namespace

ExitCode entryVerb(int argc, char **argv)
{
    bool helpAsked = false;
    const auto options =
        Options::read(argc, argv, "entry [--settings FILE]", EntryOptions, helpAsked);
    if (!options) {
        return helpAsked ? ExitCode::Done : ExitCode::Usage;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const std::string path = options->value("settings", platform::settingsPath());
    const auto settings = capture([&]() -> Result<fleet::EntrySettings> {
        BOOST_LEAF_AUTO(text, readTextFile(path));
        return fleet::parseEntrySettings(text);
    });
    if (const Error *error = std::get_if<Error>(&settings)) {
        return reportInvalid(path, *error);
    }
    const auto &valid = std::get<fleet::EntrySettings>(settings);
    startBoundedLog(valid.logLevel_, valid.instance_.value(), valid.domain_.value());
    logEvent(
        LogLevel::Info, "start",
        {{"version", ALMONDRIDGE_VERSION}, {"listen", valid.listen_}, {"store", valid.store_}});
    const auto ran = capture([&] { return platform::Instance(valid).run(); });
    if (const Error *error = std::get_if<Error>(&ran)) {
        logEvent(LogLevel::Error, "start_failed", {{"error", describe(*error)}});
        flushLog();
        return ExitCode::Failed;
    }
    flushLog();
    return ExitCode::Done;
}

} // namespace almondridge::app
