/**
 * Entry point of the almondridge command line.
 */
#pragma once

#include "almondridge/base/enumnames.h"

namespace almondridge::app {

/** Process exit codes. */
enum class ExitCode {
    Done = 0,
    Failed = 1,        ///< Any other failure; stderr has the message.
    Usage = 2,         ///< Invalid command line.
    Invalid = 3,       ///< A settings or fleet file is invalid.
    Conflict = 4,      ///< Another apply was accepted first; its revision and the diff are printed.
    Unknown = 5,       ///< The apply may or may not take effect; check with status.
    NotRun = 6,        ///< Nothing was changed; retry later.
    NotEverywhere = 7, ///< Accepted, but not yet active on every live instance.
};

/** Runs the subcommand named by argv[1]. Prints the help and returns Usage if it is unknown. */
ExitCode runCommandLine(int argc, char **argv);

} // namespace almondridge::app
