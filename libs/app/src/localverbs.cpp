/**
 * Subcommands that need no connection to a running instance: serve and check.
 */
#include "almondridge/app/instance.h"
#include "almondridge/base/log.h"
#include "almondridge/fleet/fleetfile.h"
#include "options.h"
#include "textfile.h"
#include "verbs.h"

#include <csignal>
#include <cstdio>

namespace almondridge::app {
namespace {

constexpr std::array<OptionSpec, 1> ServeOptions {{
    {"settings", true, "the instance's settings file (JSON)"},
}};

constexpr std::array<OptionSpec, 1> CheckOptions {{
    {"settings", false, "FILE is a settings file rather than a fleet file"},
}};

/** Blocks SIGTERM and SIGINT in this thread and those it starts, for use with sigwait(). */
sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

ExitCode serve(const fleet::Settings &settings)
{
    std::signal(SIGPIPE, SIG_IGN);
    const sigset_t signals = blockStopSignals();
    startLog(settings.logLevel_, settings.instance_.value(), settings.domain_.value());
    const auto started = capture([&] { return Instance::start(settings); });
    if (started.index() == 1) {
        const Error &error = std::get<Error>(started);
        logEvent(LogLevel::Error, "instance.start-failed",
                 {{"why", error.message_}, {"remedy", error.remedy_}});
        return ExitCode::Failed;
    }
    int signal = 0;
    sigwait(&signals, &signal);
    std::get<0>(started)->shutDown();
    return ExitCode::Done;
}

} // namespace

ExitCode serveVerb(int argc, char **argv)
{
    bool helpAsked = false;
    const auto options =
        Options::read(argc, argv, "serve --settings FILE", ServeOptions, helpAsked);
    if (!options) {
        return helpAsked ? ExitCode::Done : ExitCode::Usage;
    }
    const std::string path = options->value("settings");
    const auto settings = capture([&]() -> Result<fleet::Settings> {
        BOOST_LEAF_AUTO(text, readTextFile(path));
        return fleet::parseSettings(text);
    });
    if (settings.index() == 1) {
        return reportInvalid(path, std::get<Error>(settings));
    }
    return serve(std::get<0>(settings));
}

ExitCode checkVerb(int argc, char **argv)
{
    bool helpAsked = false;
    const auto options = Options::read(argc, argv, "check FILE", CheckOptions, helpAsked);
    if (!options) {
        return helpAsked ? ExitCode::Done : ExitCode::Usage;
    }
    if (options->arguments().size() != 1) {
        std::fputs("check needs one file\n", stderr);
        return ExitCode::Usage;
    }
    const std::string path = options->arguments().front();
    const auto checked = capture([&]() -> Result<void> {
        BOOST_LEAF_AUTO(text, readTextFile(path));
        if (options->has("settings")) {
            BOOST_LEAF_CHECK(fleet::parseSettings(text));
            return {};
        }
        BOOST_LEAF_CHECK(fleet::parseFleet(text));
        return {};
    });
    if (checked.index() == 1) {
        return reportInvalid(path, std::get<Error>(checked));
    }
    std::printf("%s: ok\n", path.c_str());
    return ExitCode::Done;
}

} // namespace almondridge::app
