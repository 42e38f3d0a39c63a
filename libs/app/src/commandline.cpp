#include "almondridge/app/commandline.h"

#include "verbs.h"

#include <array>
#include <cstdio>
#include <string_view>

namespace almondridge::app {
namespace {

struct Verb
{
    std::string_view name_;
    ExitCode (*run_)(int, char **);
    std::string_view help_;
};

constexpr std::array<Verb, 8> Verbs {{
    {"serve", &serveVerb, "run an entry instance"},
    {"entry", &entryVerb, "run an entry instance fed from the platform's store"},
    {"check", &checkVerb, "check a fleet or settings file, without a connection"},
    {"review", &reviewVerb, "show what a fleet file would change, and the orders it causes"},
    {"apply", &applyVerb, "put a fleet file in force"},
    {"status", &statusVerb, "show what instances know"},
    {"timeline", &timelineVerb, "show the events of all instances"},
    {"explain", &explainVerb, "tell a request's story from log files"},
}};

void printHelp(FILE *out)
{
    std::fputs("usage: almondridge VERB [OPTION...]\n\nverbs:\n", out);
    for (const Verb &verb : Verbs) {
        std::fprintf(out, "  %-10s %s\n", verb.name_.data(), verb.help_.data());
    }
    std::fputs("\n'almondridge VERB --help' shows a verb's options.\n"
               "'almondridge --version' or 'almondridge version' shows the version.\n\n"
               "exit codes: 0 done, 1 failed, 2 usage, 3 invalid file, 4 another apply won,\n"
               "5 effect unknown, 6 nothing changed, 7 not yet everywhere\n",
               out);
}

} // namespace

ExitCode runCommandLine(int argc, char **argv)
{
    const std::string_view name = argc > 1 ? argv[1] : "";
    if (name == "--version" || name == "version") {
        std::puts("almondridge " ALMONDRIDGE_VERSION);
        return ExitCode::Done;
    }
    for (const Verb &verb : Verbs) {
        if (verb.name_ == name) {
            return verb.run_(argc - 1, argv + 1);
        }
    }
    const bool asked = name == "--help" || name == "help" || name == "-h";
    printHelp(asked ? stdout : stderr);
    return asked ? ExitCode::Done : ExitCode::Usage;
}

} // namespace almondridge::app
