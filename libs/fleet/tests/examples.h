/** Access to the example files, and helpers for errors. */
#pragma once

#include "almondridge/base/error.h"
#include "almondridge/fleet/fleetfile.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <string>

namespace almondridge::fleet {

inline std::string readExample(const std::string &name)
{
    std::ifstream file(ALMONDRIDGE_SOURCE_DIR "/examples/" + name);
    return {std::istreambuf_iterator<char>(file), {}};
}

/** The text with the first occurrence of before replaced by after. */
inline std::string replaced(std::string text, const std::string &before, const std::string &after)
{
    return text.replace(text.find(before), before.size(), after);
}

/** The error of function; if it succeeds, one of kind Internal without a message. */
template <typename Function>
Error errorOf(Function &&function)
{
    auto captured = capture(std::forward<Function>(function));
    const Error *error = std::get_if<Error>(&captured);
    return error ? *error : Error {};
}

inline bool names(const Error &error, const std::string &field)
{
    return std::any_of(error.fields_.begin(), error.fields_.end(),
                       [&](const FieldError &entry) { return entry.field_ == field; });
}

} // namespace almondridge::fleet
