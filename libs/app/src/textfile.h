/**
 * Whole files as text.
 */
#pragma once

#include "almondridge/app/commandline.h"
#include "almondridge/base/error.h"

#include <string>

namespace almondridge::app {

/** NotFound when the file cannot be read. */
Result<std::string> readTextFile(const std::string &path);
/** Prints what is wrong with a file, and gives the exit code for it. */
ExitCode reportInvalid(const std::string &path, const Error &error);
/** Unavailable when it cannot be written. */
Result<void> writeTextFile(const std::string &path, const std::string &text);

} // namespace almondridge::app
