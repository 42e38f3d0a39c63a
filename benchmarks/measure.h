/**
 * What the measurements of slopes share.
 */
#pragma once

#include "linefit.h"

#include <cstdlib>
#include <functional>
#include <string>

namespace almondridge::bench {

/** An unexpected verdict would make a figure worthless. */
inline void require(bool holds, const char *what)
{
    if (!holds) {
        std::printf("FAILED: %s\n", what);
        std::exit(1);
    }
}

inline std::string numbered(const char *prefix, int number)
{
    return prefix + std::to_string(number);
}

/** Microseconds of processor time for one of count runs. */
inline double microsecondsOf(int count, const std::function<void(int)> &run)
{
    const double start = processSeconds();
    for (int index = 0; index < count; ++index) {
        run(index);
    }
    return (processSeconds() - start) * 1e6 / count;
}

} // namespace almondridge::bench
