/**
 * Reads and writes whole text files.
 */
#pragma once

#include "almondridge/app/commandline.h"
#include "almondridge/base/error.h"

#include <string>

namespace almondridge::app {

/** Returns the content of a file. Fails with NotFound if it cannot be opened. */
Result<std::string> readTextFile(const std::string &path);
/** Prints the error in a file to stderr and returns the exit code for it. */
ExitCode reportInvalid(const std::string &path, const Error &error);
/** Replaces the content of a file. Fails with Unavailable if it cannot be written. */
Result<void> writeTextFile(const std::string &path, const std::string &text);

} // namespace almondridge::app
