/**
 * Subcommands. Each one parses its own options; argv[0] is the name of the subcommand.
 */
#pragma once

#include "almondridge/app/commandline.h"

namespace almondridge::app {

ExitCode serveVerb(int argc, char **argv);
ExitCode entryVerb(int argc, char **argv);
ExitCode checkVerb(int argc, char **argv);
ExitCode reviewVerb(int argc, char **argv);
ExitCode applyVerb(int argc, char **argv);
ExitCode statusVerb(int argc, char **argv);
ExitCode timelineVerb(int argc, char **argv);
ExitCode explainVerb(int argc, char **argv);

} // namespace almondridge::app
