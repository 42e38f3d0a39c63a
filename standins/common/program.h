/**
 * What the programs share: options, settings files, and running until a signal comes.
 */
#pragma once

#include "almondridge/net/http.h"
#include "common/fieldtable.h"

#include <functional>
#include <string>

namespace almondridge::standins {

/** The command line of a stand-in. */
struct ProgramOptions
{
    net::Address listen_ {"127.0.0.1", 0}; ///< --listen ip:port
    int workers_ = 64;                     ///< --workers N: connections served at once.
    std::string settings_ {};              ///< --settings FILE
};

/** Reads the options. InvalidInput: an unknown option or a value that makes no sense. */
Result<ProgramOptions> readOptions(int argc, char **argv);

/** Reads a JSON file. NotFound or InvalidInput. */
Result<Json> readSettingsFile(const std::string &path);

/**
 * Runs start, keeps what it returns until SIGTERM or SIGINT, and destroys it. Returns the exit
 * status: 2 when start fails, after its error went to stderr.
 */
template <typename Start>
int runProgram(Start &&start);

namespace detail {

/** Blocks the stop signals in this thread and those it starts. */
void blockStopSignals();
/** Waits for a blocked stop signal. */
void waitForStopSignal();
void printError(const Error &error);

} // namespace detail

template <typename Start>
int runProgram(Start &&start)
{
    constexpr int FailedStart = 2;
    detail::blockStopSignals();
    return tryOr(
        [&]() -> Result<int> {
            BOOST_LEAF_AUTO(running, start());
            detail::waitForStopSignal();
            return 0;
        },
        [&](const Error &error) {
            detail::printError(error);
            return FailedStart;
        });
}

} // namespace almondridge::standins
