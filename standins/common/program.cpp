#include "common/program.h"

#include <charconv>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <getopt.h>

namespace almondridge::standins {
namespace {

constexpr int ListenOption = 'l';
constexpr int WorkersOption = 'w';
constexpr int SettingsOption = 's';

constexpr std::array<option, 4> Options {{{"listen", required_argument, nullptr, ListenOption},
                                          {"workers", required_argument, nullptr, WorkersOption},
                                          {"settings", required_argument, nullptr, SettingsOption},
                                          {nullptr, 0, nullptr, 0}}};

Result<int> readCount(std::string_view text)
{
    int count = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), count);
    if (error != std::errc() || end != text.data() + text.size() || count < 1) {
        return fail(ErrorKind::InvalidInput, "not a count: '" + std::string(text) + "'",
                    "give a whole number from 1");
    }
    return count;
}

sigset_t stopSignals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    return set;
}

} // namespace

Result<ProgramOptions> readOptions(int argc, char **argv)
{
    ProgramOptions options;
    int chosen = 0;
    while ((chosen = getopt_long(argc, argv, "", Options.data(), nullptr)) != -1) {
        if (chosen == ListenOption) {
            BOOST_LEAF_ASSIGN(options.listen_, net::parseAddress(optarg));
        } else if (chosen == WorkersOption) {
            BOOST_LEAF_ASSIGN(options.workers_, readCount(optarg));
        } else if (chosen == SettingsOption) {
            options.settings_ = optarg;
        } else {
            return fail(ErrorKind::InvalidInput, "unknown option",
                        "use --listen ip:port, --workers N or --settings FILE");
        }
    }
    return options;
}

Result<Json> readSettingsFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return fail(ErrorKind::NotFound, "cannot read '" + path + "'",
                    "name a settings file with --settings");
    }
    Json settings = Json::parse(file, nullptr, false);
    if (settings.is_discarded()) {
        return fail(ErrorKind::InvalidInput, "'" + path + "' is no JSON",
                    "see standins/README.md for an example");
    }
    return settings;
}

namespace detail {

void blockStopSignals()
{
    const sigset_t set = stopSignals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

void waitForStopSignal()
{
    const sigset_t set = stopSignals();
    int signal = 0;
    sigwait(&set, &signal);
}

void printError(const Error &error)
{
    std::fprintf(stderr, "%s\n", describe(error).c_str());
}

} // namespace detail
} // namespace almondridge::standins
